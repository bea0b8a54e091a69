package forwarder

import (
	"time"

	"github.com/cranberryward/cranberryward/admitter"
)

// refusal is why a request is not served; room is what was known of the places if it is refused for want of room.
type refusal struct {
	denial
	room    admitter.Room
	forRoom bool
}

// belief is what a decision on a request is based on and recorded in: the state of the forwarder, or a copy of it.
type belief struct {
	admission   *admission
	brokenSince func(service string) time.Time
	room        func(service string) admitter.Room
	// hold keeps a request until a group of its service is open, and returns false if that takes too long.
	hold func(exchange *exchange, hold time.Duration) bool
}

// liveBelief returns the state of the forwarder itself.
func (forwarder *Forwarder) liveBelief() belief {
	return belief{
		admission:   &forwarder.admission,
		brokenSince: forwarder.groups.brokenSince,
		room:        forwarder.servers.room,
		hold:        forwarder.holdUntilOpen,
	}
}

// copiedBelief returns a copy of the state for one service, in which a decision leaves no trace; held is called in place of a wait for a group.
func (forwarder *Forwarder) copiedBelief(service string, held func(hold time.Duration)) belief {
	return belief{
		admission: copyAdmission(&forwarder.admission, service),
		brokenSince: func(service string) time.Time {
			forwarder.groups.mutex.Lock()
			defer forwarder.groups.mutex.Unlock()
			return forwarder.groups.seenBroken(service)
		},
		room: func(service string) admitter.Room { return forwarder.servers.roomBy(service, peek) },
		hold: func(_ *exchange, hold time.Duration) bool {
			held(hold)
			return true
		},
	}
}

// copyAdmission returns an admission that decides on requests of one service as the original would, and shares nothing with it.
func copyAdmission(original *admission, service string) *admission {
	original.mutex.Lock()
	defer original.mutex.Unlock()
	copied := &admission{
		gates: map[string]*admitter.Gate{},
		times: map[string]*admitter.StatedTimes{},
	}
	for route, times := range original.times {
		copied.times[route] = times.Clone()
	}
	if gate := original.gates[service]; gate != nil {
		copied.gates[service] = gate.Clone()
	}
	return copied
}
