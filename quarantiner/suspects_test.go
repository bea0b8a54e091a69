package quarantiner

import "testing"

func TestCrashIsChargedToTheSuspectAlone(t *testing.T) {
	var suspects Suspects
	life, _ := suspects.Enter("poison", true)
	_, _ = suspects.Enter("innocent", false)
	if _, ok := suspects.Enter("other suspect", true); ok {
		t.Fatal("two suspects ran beside each other")
	}
	if !suspects.Crashed("poison", life) || suspects.Crashed("innocent", life) {
		t.Fatal("the crash was charged to the wrong request")
	}
	suspects.Leave("innocent", life)
	if next, ok := suspects.Enter("other suspect", true); !ok || next == life {
		t.Fatal("the next life does not start clean")
	}
}

func TestCrashWithoutSuspectIsChargedToAll(t *testing.T) {
	var suspects Suspects
	life, _ := suspects.Enter("a", false)
	_, _ = suspects.Enter("b", false)
	if !suspects.Crashed("a", life) || !suspects.Crashed("b", life) {
		t.Fatal("a request in flight was not charged")
	}
}
