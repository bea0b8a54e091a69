package acceptor

import "time"

// Limits are what each connection is held to; all are set.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection waits for a request, and how long its caller may take nothing of an answer.
	IdleTimeout time.Duration
}
