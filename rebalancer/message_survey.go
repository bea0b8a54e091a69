package rebalancer

import "github.com/cranberryward/cranberryward"

// Survey is the result of a query to many ranks.
type Survey struct {
	// Observations and Failures hold a result for each member; the observations hold no counts.
	Observations []Observation
	Failures     []error
	// Counts is how often the ranks that answered chose each expert since the survey before, one set after the other; it is empty unless the query asked
	// for it, and what a lost reply held is missing.
	Counts []int64
}

// OrderResult is the outcome of an order to one rank, with the reason of an unknown one.
type OrderResult struct {
	Outcome cranberryward.OrderOutcome
	Err     error
}
