package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestAbandonedSends guards against charging a crash to requests whose callers left long before it, or twice, and against keeping them without a bound.
func TestAbandonedSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sends abandonedSends
		record := func(server, id string) {
			sends.record(server, abandonedSend{
				heldRequest: heldRequest{id: id},
				leftAt:      time.Now(),
			})
		}
		if recent := sends.take("i-0", time.Now()); len(recent) != 0 {
			t.Errorf("%d sends before the first one", len(recent))
		}
		record("i-0", "early")
		record("i-1", "elsewhere")
		time.Sleep(abandonedTTL + time.Millisecond)
		record("i-0", "late")
		if recent := sends.take("i-0", time.Now()); len(recent) != 1 || recent[0].id != "late" {
			t.Errorf("got %v, expected the late send only", recent)
		}
		if recent := sends.take("i-0", time.Now()); len(recent) != 0 {
			t.Errorf("%d sends are charged twice", len(recent))
		}
		if len(sends.sends) != 0 {
			t.Errorf("%d backend servers are remembered after their time", len(sends.sends))
		}
		for number := range 2 * maxAbandonedSends {
			record("i-0", fmt.Sprint(number))
		}
		if recent := sends.take("i-0", time.Now()); len(recent) != maxAbandonedSends {
			t.Errorf("%d sends are remembered, expected %d", len(recent), maxAbandonedSends)
		}
	})
}
