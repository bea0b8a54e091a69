package agent

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/rebalancer"
)

// Target is a rank that a request through the tree concerns: the address of the agent beside it and, for an order, the state that it requires.
type Target struct {
	Agent string
	// Life is the incarnation of the agent in which it learned the term, and Orders is the rank's number of orders; both are set for orders only.
	Life   uint64
	Orders uint64
}

// SurveyRequest asks the agent of the first target for the states of all targets; it asks the agents of the others.
type SurveyRequest struct {
	Query   rebalancer.Query
	Targets []Target
	// Timeout is how long the requester waits.
	Timeout time.Duration
}

// SurveyReply holds a result for each target, and the sum of their new counts.
type SurveyReply struct {
	// Results are encoded by packResults.
	Results []byte
	// Placements holds the placement of each target if they were requested.
	Placements []TargetPlacement
	// CountsPacked holds the packed counts, in multiples of CountsUnit; it is empty if none were requested.
	CountsPacked []byte
	CountsUnit   int64
}

// TargetPlacement lists the experts that a rank holds in each set under a map version.
type TargetPlacement struct {
	Version uint64
	Experts [][]int
}

// SurveyResult is the state of one rank, with the incarnation of the agent that observed it, or the failure.
type SurveyResult struct {
	Observation rebalancer.Observation
	Life        uint64
	Failure     TreeFailure
}

// CommandRequest asks the agent of the first target to pass an order to the ranks of all targets; it asks the agents of the others.
type CommandRequest struct {
	Group   string
	Term    uint64
	Order   cranberryward.RankOrder
	Base    uint64
	Changes []byte
	Targets []Target
	// Timeout is how long the requester waits.
	Timeout time.Duration
}

// CommandReply holds a result for each target.
type CommandReply struct{ Results []CommandResult }

// CommandResult says how one rank responded to an order.
type CommandResult struct {
	Outcome cranberryward.OrderOutcome
	Failure TreeFailure
}

// TreeFailure is a failure of one target; the zero value is none.
type TreeFailure struct {
	Text string
	// TermEnded means that the target's agent has accepted a later term.
	TermEnded bool
	// NotRun means that the target was certainly not reached.
	NotRun bool
}
