package rankserver

import "time"

// Shape says how large a group is and what it can hold.
type Shape struct {
	Ranks   int
	Sets    int
	Experts int
	Places  int
	Spare   int
	// Copy is how long a rank copies one expert.
	Copy time.Duration
	// Form is how long the group takes to open after a lost rank is back.
	Form time.Duration
}

// Fault is what happens to an order on its way.
type Fault struct {
	// Lose breaks the connection and never carries the order out.
	Lose bool
	// LoseAnswer carries the order out and breaks its connection.
	LoseAnswer bool
	// Late breaks the connection and carries the order out when the channel is closed; nil is in time.
	Late <-chan struct{}
	// Outcome takes the status of a late order, if it is set; it must have room for it.
	Outcome chan<- int
}

// Order is an order as it arrives.
type Order struct {
	Operation    string
	Version      uint64
	Step         uint64 `json:"step"`
	Epoch        uint64 `json:"epoch"`
	Map          [][][]int
	Precondition *uint64
}
