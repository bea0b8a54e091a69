package rankserver

import "time"

// Settings configure the size, the capacity and the delays of a group.
type Settings struct {
	// Name is the name of the group; it may be empty if a service has a single group.
	Name    string
	Ranks   int
	Sets    int
	Experts int
	Places  int
	Spare   int
	// Copy is how long a rank takes to copy one expert.
	Copy time.Duration
	// Uncounted is whether orders leave the rank's number of orders as it is.
	Uncounted bool
	// Form is how long the group takes to open after a lost rank is back.
	Form time.Duration
}

// Fault is what happens to an order in transit.
type Fault struct {
	// Lose breaks the connection and never executes the order.
	Lose bool
	// LoseAnswer executes the order and breaks the connection without a response.
	LoseAnswer bool
	// Late, if set, breaks the connection and executes the order once the channel is closed.
	Late <-chan struct{}
	// Outcome, if set, receives the status of a late order; it must be buffered, since the send holds the group's mutex.
	Outcome chan<- int
}

// Order is an order as received.
type Order struct {
	Operation    string
	Version      uint64
	Step         uint64 `json:"step"`
	Epoch        uint64 `json:"epoch"`
	Map          [][][]int
	Precondition *uint64
}
