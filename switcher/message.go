package switcher

import "github.com/cranberryward/cranberryward"

// OrderRequest is an order for one incarnation of a rank's agent.
type OrderRequest struct {
	Order       cranberryward.Order
	Incarnation string
	Recovery    bool
}

// Change asks the agent of a group's first rank to switch the group from one expert map version to another.
type Change struct {
	Group       string
	Fencing     uint64
	FromVersion uint64
	ToVersion   uint64
	Revision    uint64
	HoldMillis  int64
}

// Outcome is the result of a change.
type Outcome struct {
	State      string
	Step       uint64
	HeldMillis int64
	Version    uint64
}
