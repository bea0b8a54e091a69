package agent

import (
	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/rebalancer"
)

// ObserveRequest asks an agent for the state of its rank.
type ObserveRequest struct{ Question rebalancer.Query }

// ObserveReply is the state of a rank, with the incarnation of the agent that observed it.
type ObserveReply struct {
	Observation rebalancer.Observation
	Life        uint64
}

// OrderRequest asks an agent to pass an order to its rank; Life is the incarnation in which the agent learned the term.
type OrderRequest struct {
	Group string
	Term  uint64
	Life  uint64
	Order cranberryward.RankOrder
	// Base is the version of the map that Changes apply to; if it is zero, the order holds the whole map.
	Base uint64
	// Changes are encoded by packChanges.
	Changes []byte
}

// MapChange holds the new experts of a rank in one set, where a map differs from the one before.
type MapChange struct {
	Set     int
	Rank    int
	Experts []int
}

// OrderReply says how the rank responded to an order.
type OrderReply struct {
	Answer cranberryward.OrderOutcome
}
