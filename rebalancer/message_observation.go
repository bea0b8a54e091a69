package rebalancer

import "github.com/cranberryward/cranberryward"

// Observation is the state of one rank at one time.
type Observation struct {
	Report cranberryward.RankReport
	// Placement lists the experts that the rank holds in each set under map version PlacementVersion, if the query asked for it.
	Placement        [][]int
	PlacementVersion uint64
	// Fresh is false if the report may be several hundred milliseconds old.
	Fresh bool
}

// Query selects what an observation includes, and names the group and the term of the controller that asks.
type Query struct {
	Group string
	Term  uint64
	// Counts and Placement request the optional parts of an Observation.
	Counts    bool
	Placement bool
	// Hold is how far a change that holds the rank has come, and Change the version of its map.
	Hold   HoldPhase
	Change uint64
	// Holder is the backend server on the controller's instance, if any, which is armed last.
	Holder string
}

// HoldPhase is how far a change that holds a rank has come.
type HoldPhase int

// The phases of a hold; the zero value means that the controller does not hold the rank.
const (
	// HoldAnnounced means that the controller is about to hold the rank.
	HoldAnnounced HoldPhase = iota + 1
	// HoldVouched means that the controller holds the rank and works on the change.
	HoldVouched
	// HoldCommitted asks for permission to arm the rank on the controller's own instance, after all others.
	HoldCommitted
)

// Member is a registered backend server, which may be a rank of the group.
type Member struct {
	ID     string
	Client RankClient
	// Local is whether the backend server is on the controller's own instance.
	Local bool
}
