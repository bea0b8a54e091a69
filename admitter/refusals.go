package admitter

import "time"

const (
	// maxRefusals bounds the refused requests that an entry remembers.
	maxRefusals = 4096
	// returnSlack is how far from the time that it was asked for the return of a caller may be: callers round, and cut it by the time they have left.
	returnSlack = 200 * time.Millisecond
)

// dueReturn is when the callers of equal requests were last asked to return, and whether there are several of them.
type dueReturn struct {
	at     time.Time
	shared bool
}

// refusals remembers until when the callers of refused requests were asked to stay away; its zero value is ready to use.
type refusals struct {
	due map[string]dueReturn
	// order holds the fingerprints by the time of their first refusal.
	order []string
}

// remember stores when the caller of a refused request is due to return.
func (refusals *refusals) remember(arrival Arrival, due time.Time) {
	if arrival.Fingerprint == "" {
		return
	}
	fingerprint := arrival.Fingerprint
	if refusals.due == nil {
		refusals.due = map[string]dueReturn{}
	}
	before, known := refusals.due[fingerprint]
	if !known {
		refusals.order = append(refusals.order, fingerprint)
	}
	refusals.due[fingerprint] = dueReturn{
		at:     due,
		shared: before.shared,
	}
	if len(refusals.order) > maxRefusals {
		delete(refusals.due, refusals.order[0])
		refusals.order = refusals.order[1:]
	}
}

// check returns how long the caller of a request was asked to stay away from now on, or zero, and whether it comes back as it was asked.
func (refusals *refusals) check(arrival Arrival, now time.Time) (early time.Duration, returned bool) {
	due, known := refusals.due[arrival.Fingerprint]
	if !known {
		return 0, false
	}
	if arrival.Attempt == AttemptNew {
		due.shared = true // by another caller, as this one was not refused
		refusals.due[arrival.Fingerprint] = due
		return 0, false
	}
	switch remaining := due.at.Sub(now); {
	case due.shared && arrival.Attempt == AttemptReturned:
		return 0, true
	case remaining < -returnSlack:
		return 0, false
	case remaining > returnSlack:
		return remaining, false
	default:
		due.at = time.Time{} // for one caller; those that repeat at that time have not waited
		refusals.due[arrival.Fingerprint] = due
		return 0, true
	}
}
