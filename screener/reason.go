package screener

// Reason says why a backend server may be sent nothing, or less than its share.
type Reason string

// The reasons, from those that no time ends to those that end by themselves.
const (
	Free Reason = ""
	// Leaving is an answer of the backend server that says so, and Draining its registration.
	Leaving  Reason = "leaving"
	Draining Reason = "draining"
	// Gone is a registration that vanished, and Stale one that only an older copy of the store has brought back.
	Gone  Reason = "gone"
	Stale Reason = "stale"
	// Evacuated is an operators' request for the availability zone.
	Evacuated Reason = "evacuated"
	// Away is a time for which the backend server has asked this entry to stay away.
	Away Reason = "away"
	// Cold is a start a short time ago, and Returning the time after it or after an absence.
	Cold      Reason = "cold"
	Returning Reason = "returning"
	// Limit is a limit on requests that the backend server has named.
	Limit Reason = "limit"
	// Missing is a registration that vanished without notice a moment ago, and Paused a failed connection or a refusal.
	Missing Reason = "missing"
	Paused  Reason = "paused"
	// Unreported is that the controller of its group no longer reports its load.
	Unreported Reason = "unreported"
	// Slow is that a rank would hold up its group, whose ranks execute each pass together.
	Slow Reason = "slow"
	// Home is a home region of the route or the workspace in which the backend server is not, and Broken a group that is broken.
	Home   Reason = "home"
	Broken Reason = "broken"
)

// Lasting returns whether the reason is an event to tell operators of, when it begins and when it ends, and not one of many a second.
func (reason Reason) Lasting() bool {
	switch reason {
	case Leaving, Evacuated, Away, Cold:
		return true
	default:
		return false
	}
}

// Reasons are all reasons that metrics count.
var Reasons = []Reason{Leaving, Draining, Gone, Stale, Evacuated, Away, Cold, Returning, Limit, Missing, Paused}
