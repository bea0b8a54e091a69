package agent

import (
	"sync"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/rebalancer"
)

// holds knows whether the rank may be held, from the orders that were passed to it and from its reports.
type holds struct {
	// changed gets a value when the rank may have become held.
	changed chan struct{}

	mutex sync.Mutex
	held  bool
	// change is the version of the map of the change that was announced last, in a controller's term, and holder the backend server beside the controller.
	change, term uint64
	holder       string
	// committed is whether the controller may have armed its own rank, and closed whether it may no longer.
	committed, closed bool
}

func newHolds() *holds {
	return &holds{changed: make(chan struct{}, 1)}
}

func (holds *holds) isHeld() bool {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	return holds.held
}

func (holds *holds) set(held bool) {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	if held && !holds.held {
		select {
		case holds.changed <- struct{}{}:
		default: // the guard has not seen the last one yet
		}
	}
	holds.held = held
}

// heard records what the controller says about its hold, and returns false if it may not go on.
func (holds *holds) heard(query rebalancer.Query) bool {
	if query.Hold == 0 {
		return true
	}
	holds.set(true)
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	switch query.Hold {
	case rebalancer.HoldAnnounced:
		if query.Term > holds.term || query.Change > holds.change { // otherwise it comes late, after a later change
			holds.term, holds.change, holds.holder = query.Term, query.Change, query.Holder
			holds.committed, holds.closed = false, false
		}
	case rebalancer.HoldCommitted:
		if holds.closed || query.Term != holds.term || query.Change != holds.change {
			return false
		}
		holds.committed = true
	case rebalancer.HoldVouched:
		if query.Change == 0 {
			holds.committed = true // the controller undoes a change, in which it may disarm any rank first
		}
	}
	return true
}

// forget forgets the change that was announced last.
func (holds *holds) forget() {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	holds.term, holds.change, holds.holder, holds.committed, holds.closed = 0, 0, "", false, false
}

// controllerTerm returns the term of the controller that announced a hold last.
func (holds *holds) controllerTerm() uint64 {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	return holds.term
}

// closeChange keeps the controller of a term from arming its own rank with the map of the announced change, and returns that change, or the zero value if the rank
// may be armed already or the controller has announced no change.
func (holds *holds) closeChange(term uint64) rebalancer.ClosedChange {
	holds.mutex.Lock()
	defer holds.mutex.Unlock()
	if holds.committed || !rebalancer.SameController(holds.term, term) {
		return rebalancer.ClosedChange{}
	}
	holds.closed = true
	return rebalancer.ClosedChange{
		Version: holds.change,
		Holder:  holds.holder,
	}
}

// recordOrder records an order that was passed to the rank; one without a known outcome may be carried out later.
func (holds *holds) recordOrder(order cranberryward.RankOrder, outcome cranberryward.OrderOutcome) {
	switch {
	case order.Kind == cranberryward.RankHold && outcome != cranberryward.OrderRefused:
		holds.set(true)
	case order.Kind == cranberryward.RankRelease && outcome == cranberryward.OrderAccepted:
		holds.set(false)
	}
}
