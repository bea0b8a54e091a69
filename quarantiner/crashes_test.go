package quarantiner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCrashes lets two processes see a request crash, which tell each other.
func TestCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		happen  func(here, there *Crashes)
		suspect bool
	}{
		"nothing happened":          {func(here, there *Crashes) {}, false},
		"one crash":                 {func(here, there *Crashes) { here.Note("a") }, false},
		"two crashes":               {func(here, there *Crashes) { here.Note("a"); here.Note("a") }, true},
		"two of different requests": {func(here, there *Crashes) { here.Note("a"); here.Note("b") }, false},
		"one here and one elsewhere": {func(here, there *Crashes) {
			there.Note("a")
			here.Hear("there", there.Recent())
			here.Note("a")
		}, true},
		"one that is told twice": {func(here, there *Crashes) {
			there.Note("a")
			here.Hear("there", there.Recent())
			here.Hear("there", there.Recent())
		}, false},
		"answered after one": {func(here, there *Crashes) {
			here.Note("a")
			here.Clear("a")
			here.Note("a")
		}, false},
		"answered elsewhere": {func(here, there *Crashes) {
			here.Note("a")
			here.Note("a")
			there.Hear("here", here.Recent())
			there.Clear("a")
			here.Hear("there", there.Recent())
		}, false},
		"long ago": {func(here, there *Crashes) {
			here.Note("a")
			here.Note("a")
			time.Sleep(crashMemory + time.Second)
		}, false},
		"one long ago": {func(here, there *Crashes) {
			here.Note("a")
			time.Sleep(crashMemory + time.Second)
			here.Note("a")
		}, false},
		"told of no more after a while": {func(here, there *Crashes) {
			there.Note("a")
			time.Sleep(recentTime + time.Second)
			here.Hear("there", there.Recent())
			here.Note("a")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var here, there Crashes
				test.happen(&here, &there)
				if suspect := here.Suspect("a"); suspect != test.suspect {
					t.Errorf("suspect is %v, expected %v", suspect, test.suspect)
				}
			})
		})
	}
}

func TestCrashesRememberOnlySoMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashes Crashes
		for i := range 3 * maxRemembered {
			crashes.Note(fmt.Sprint(i))
			crashes.Note(fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		if count := len(crashes.records); count > maxRemembered {
			t.Errorf("%d requests are remembered, expected at most %d", count, maxRemembered)
		}
		if !crashes.Suspect(fmt.Sprint(3*maxRemembered - 1)) {
			t.Error("the last request was forgotten")
		}
		if count := len(crashes.Recent()); count > maxRecent {
			t.Errorf("%d requests are told of, expected at most %d", count, maxRecent)
		}
	})
}
