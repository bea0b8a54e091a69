package stopper

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestsThatOutlastAStopAreRefused guards against accepting requests late in a stop, long or short, whose deadlines are later than its end: they would be cut
// off there, also those that may not be repeated.
func TestRequestsThatOutlastAStopAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		length, after, remaining time.Duration
		accepted                 bool
	}{
		"at once":                             {8 * time.Second, 0, time.Minute, true},
		"early":                               {8 * time.Second, 2 * time.Second, 8 * time.Second, true},
		"late":                                {8 * time.Second, 4 * time.Second, 8 * time.Second, false},
		"late, and short enough":              {8 * time.Second, 4 * time.Second, 3 * time.Second, true},
		"late, until the answers":             {8 * time.Second, 4 * time.Second, 4*time.Second - AnswerTime, true},
		"late, beside the answers":            {8 * time.Second, 4 * time.Second, 4*time.Second - AnswerTime/2, false},
		"a short stop":                        {3 * time.Second, 0, 8 * time.Second, false},
		"a long stop, early":                  {30 * time.Second, 2 * time.Second, time.Minute, true},
		"a long stop, late":                   {30 * time.Second, 10 * time.Second, 25 * time.Second, false},
		"a long stop, late, and short enough": {30 * time.Second, 10 * time.Second, 15 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var stopper Stopper
				if !stopper.Accepts(time.Now().Add(time.Hour)) {
					t.Error("a process that does not stop accepts no requests")
				}
				stopper.Begin(time.Now().Add(test.length))
				time.Sleep(test.after)
				if accepted := stopper.Accepts(time.Now().Add(test.remaining)); accepted != test.accepted {
					t.Errorf("accepted %t, expected %t", accepted, test.accepted)
				}
			})
		})
	}
}

func TestMovedEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopper Stopper
		begun := time.Now()
		stopper.Begin(begun.Add(7500 * time.Millisecond))
		time.Sleep(3 * time.Second)
		if stopper.Accepts(begun.Add(10 * time.Second)) {
			t.Error("a request that outlasts the stop is accepted after the time for it")
		}
		stopper.Begin(begun.Add(15500 * time.Millisecond))
		if !stopper.Accepts(begun.Add(10 * time.Second)) {
			t.Error("a request that ends before the moved end is refused")
		}
		if stopper.Accepts(begun.Add(20 * time.Second)) {
			t.Error("moving the end accepts requests that outlast it once more")
		}
	})
}
