package deduplicator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/oklog/ulid/v2"
)

const (
	testLifetime   = 8 * time.Second
	testClockError = time.Second
)

func instance(id, incarnation string) cranberryward.Instance {
	return cranberryward.Instance{
		ID:          id,
		Incarnation: incarnation,
	}
}

func keyAt(at time.Time) string {
	return ulid.MustNew(ulid.Timestamp(at), ulid.DefaultEntropy()).String()
}

func TestAuthorityExpiresWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := Assign(Table{}, []cranberryward.Instance{instance("a", "1")}, nil, time.Now(), testLifetime)
		authority := NewAuthority("a", "1", testLifetime, testClockError)
		authority.Confirm(table, time.Now())
		if err := authority.MayAdmit(3, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testLifetime)
		if cranberryward.VerdictOf(authority.MayAdmit(3, time.Now())) != cranberryward.NotRun {
			t.Fatal("a home admitted a key after its authority expired")
		}
	})
}

func TestNewHomeWaitsUntilOldAuthorityExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _ := Assign(Table{}, []cranberryward.Instance{instance("a", "1")}, nil, time.Now(), testLifetime)
		earlier := NewAuthority("a", "1", testLifetime, testClockError)
		earlier.Confirm(first, time.Now())
		second, moved := Assign(first, []cranberryward.Instance{instance("b", "1")}, func(string) bool { return true }, time.Now(), testLifetime)
		if !moved {
			t.Fatal("the shards of a missing home were not reassigned")
		}
		later := NewAuthority("b", "1", testLifetime, testClockError)
		for elapsed := time.Duration(0); elapsed < 3*testLifetime; elapsed += time.Second {
			later.Confirm(second, time.Now())
			if earlier.MayAdmit(3, time.Now()) == nil && later.MayAdmit(3, time.Now()) == nil {
				t.Fatalf("two homes admit keys after %v", elapsed)
			}
			time.Sleep(time.Second)
		}
		if err := later.MayAdmit(3, time.Now()); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCheckKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := Assign(Table{}, []cranberryward.Instance{instance("a", "1")}, nil, time.Now(), testLifetime)
		time.Sleep(time.Hour)
		table, _ = Assign(table, []cranberryward.Instance{instance("a", "2")}, nil, time.Now(), testLifetime)
		authority := NewAuthority("a", "2", testLifetime, testClockError)
		authority.Confirm(table, time.Now())
		time.Sleep(time.Minute)
		now := time.Now()
		cases := map[string]struct {
			key  string
			want KeyStatus
		}{
			"made after the restart": {
				key:  keyAt(now.Add(-10 * time.Second)),
				want: KeyNew,
			},
			"made before the restart": {
				key:  keyAt(now.Add(-2 * time.Minute)),
				want: KeyMayBeUsed,
			},
			"made after the restart within the clock error": {
				key:  keyAt(now.Add(-time.Minute).Add(testClockError)),
				want: KeyMayBeUsed,
			},
			"made ahead of the clock": {
				key:  keyAt(now.Add(time.Minute)),
				want: KeyFromFuture,
			},
			"older than the retention": {
				key:  keyAt(now.Add(-24 * time.Hour)),
				want: KeyMayBeUsed,
			},
			"a key without a time": {
				key:  "booking-17",
				want: KeyUntimed,
			},
			"a random UUID": {
				key:  "3f0e6a52-8f0b-4c57-9d5e-1f7a2b3c4d5e",
				want: KeyUntimed,
			},
			"a UUID of version 7 with a future time": {
				key:  "01890a5d-ac96-774b-bcce-b302099a8057",
				want: KeyFromFuture,
			},
			"26 characters that are no ULID": {
				key:  "booking-booking-booking-ab",
				want: KeyUntimed,
			},
			"a ULID with an implausible time": {
				key:  "00000000000000000000000000",
				want: KeyUntimed,
			},
		}
		for name, test := range cases {
			if got := authority.CheckKey(test.key, now, defaultRetention); got != test.want {
				t.Errorf("%s: key status %d, want %d", name, got, test.want)
			}
		}
	})
}

func TestKeyStore(t *testing.T) {
	keyStore := NewKeyStore(2, time.Hour)
	now := time.Now()
	if added, err := keyStore.Begin("k", "f", now); !added || err != nil {
		t.Fatal(added, err)
	}
	if added, _ := keyStore.Begin("k", "f", now); added {
		t.Fatal("the same key was added twice")
	}
	if _, pending, known, _ := keyStore.Lookup("k", "f"); !known || pending == nil {
		t.Fatal("a key whose request runs is not pending")
	}
	keyStore.Resolve("k", []byte("answer"))
	if response, _, _, _ := keyStore.Lookup("k", "f"); string(response) != "answer" {
		t.Fatalf("got response %q, want \"answer\"", response)
	}
	if _, _, _, err := keyStore.Lookup("k", "other body"); cranberryward.FailureOf(err).Reason() != cranberryward.ReasonKeyReused {
		t.Fatal(err)
	}
	_, _ = keyStore.Begin("l", "f", now)
	if _, err := keyStore.Begin("m", "f", now); cranberryward.VerdictOf(err) != cranberryward.NotRun {
		t.Fatal("a full store admitted a key")
	}
	keyStore.Fail("l")
	if _, _, _, err := keyStore.Lookup("l", "f"); cranberryward.VerdictOf(err) != cranberryward.MayHaveRun {
		t.Fatal(err)
	}
	if added, err := keyStore.Begin("m", "f", now.Add(2*time.Hour)); !added || err != nil {
		t.Fatal("keys past their retention were not evicted", err)
	}
}

func TestExportImportKeepsKeys(t *testing.T) {
	keyStore, next := NewKeyStore(0, 0), NewKeyStore(0, 0)
	now := time.Now()
	_, _ = keyStore.Begin("done", "f", now)
	keyStore.Resolve("done", []byte("1"))
	_, _ = keyStore.Begin("open", "f", now)
	next.Import(keyStore.Export(func(int) bool { return true }))
	if response, _, _, _ := next.Lookup("done", "f"); string(response) != "1" {
		t.Fatal("the response of a resolved key was not imported")
	}
	if _, _, _, err := next.Lookup("open", "f"); cranberryward.VerdictOf(err) != cranberryward.MayHaveRun {
		t.Fatal("the request of an imported pending key may run again")
	}
}

func TestCheckKeyFindsKeysOfTheOldHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _ := Assign(Table{}, []cranberryward.Instance{instance("a", "1")}, nil, time.Now(), testLifetime)
		earlier := NewAuthority("a", "1", testLifetime, testClockError)
		earlier.Confirm(first, time.Now())
		second, _ := Assign(first, []cranberryward.Instance{instance("b", "1")}, func(string) bool { return true }, time.Now(), testLifetime+testClockError)
		later := NewAuthority("b", "1", testLifetime, testClockError)
		later.Confirm(second, time.Now())
		var admitted []string
		for range 20 {
			time.Sleep(time.Second)
			later.Confirm(second, time.Now())
			key := keyAt(time.Now())
			if earlier.MayAdmit(ShardOf(key), time.Now()) == nil {
				admitted = append(admitted, key)
			}
		}
		if len(admitted) == 0 {
			t.Fatal("the earlier home admitted nothing")
		}
		for _, key := range admitted {
			if keyStatus := later.CheckKey(key, time.Now(), defaultRetention); keyStatus != KeyMayBeUsed {
				t.Fatalf("status of a key that the earlier home admitted: got %d, want KeyMayBeUsed", keyStatus)
			}
		}
	})
}

func TestCheckKeyAcceptsKeysMadeAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := Assign(Table{}, []cranberryward.Instance{instance("a", keyAt(time.Now()))}, nil, time.Now(), testLifetime)
		time.Sleep(time.Hour)
		restarted := instance("a", keyAt(time.Now()))
		time.Sleep(5 * time.Second)
		table, _ = Assign(table, []cranberryward.Instance{restarted}, nil, time.Now(), testLifetime)
		authority := NewAuthority("a", restarted.Incarnation, testLifetime, testClockError)
		authority.Confirm(table, time.Now())
		if keyStatus := authority.CheckKey(keyAt(time.Now()), time.Now(), defaultRetention); keyStatus != KeyNew {
			t.Fatalf("status of a key made after the restart: got %d, want KeyNew", keyStatus)
		}
		if keyStatus := authority.CheckKey(keyAt(time.Now().Add(-5*time.Second)), time.Now(), defaultRetention); keyStatus != KeyMayBeUsed {
			t.Fatalf("status of a key made before the restart: got %d, want KeyMayBeUsed", keyStatus)
		}
	})
}

func TestAssignIgnoresOlderIncarnations(t *testing.T) {
	table, _ := Assign(Table{}, []cranberryward.Instance{instance("a", "2")}, nil, time.Now(), testLifetime)
	if _, changed := Assign(table, []cranberryward.Instance{instance("a", "1")}, nil, time.Now(), testLifetime); changed {
		t.Fatal("a list with an earlier incarnation changed the table")
	}
}

// TestAbandonedKeyIsExportedOnce guards against handing a key over twice that was abandoned and then admitted again. An older key is held all the while,
// because places at the head of the order are freed when the next key comes.
func TestAbandonedKeyIsExportedOnce(t *testing.T) {
	keyStore := NewKeyStore(0, 0)
	if added, err := keyStore.Begin("older", "f", time.Unix(1, 0)); err != nil || !added {
		t.Fatal(added, err)
	}
	for range 2 {
		if added, err := keyStore.Begin("k", "f", time.Unix(1, 0)); err != nil || !added {
			t.Fatal(added, err)
		}
		keyStore.Abandon("k")
	}
	if added, err := keyStore.Begin("k", "f", time.Unix(1, 0)); err != nil || !added {
		t.Fatal(added, err)
	}
	if exported := keyStore.Export(func(int) bool { return true }); len(exported) != 2 {
		t.Errorf("exported %d records of two keys", len(exported))
	}
}
