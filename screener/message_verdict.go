package screener

import "time"

// Terms are what applies to all backend servers of a service at one moment.
type Terms struct {
	Now time.Time
	// Entries is how many entries share the rates, or zero while that is not known, and Place the place of this one among them, from 1, or zero while it is not known.
	Entries int
	Place   int
	// ColdRate is the rate at which all entries together send to a cold backend server, in requests a second, or zero for no limit.
	ColdRate float64
	// ColdTime is how long a backend server stays cold after its start.
	ColdTime time.Duration
}

// Verdict is the answer for one backend server.
type Verdict struct {
	Tier   Tier
	Reason Reason
	// Wait is how long it is until the next request, if only a rate excludes the backend server now.
	Wait time.Duration
	// Until is when the reason ends, or zero if that is not known.
	Until time.Time
}
