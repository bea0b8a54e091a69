package relayer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

// Belief is what the store held at a revision, as one process read it and others took over; it is never changed once made.
type Belief struct {
	cranberryward.View
	// Content tells beliefs with equal meaning: those whose revisions differ by heartbeats only.
	Content uint64
}

// newBelief returns a belief with the digest of its content.
func newBelief(view cranberryward.View) *Belief {
	return &Belief{
		View:    view,
		Content: digest(view.Deployment, view.Servers),
	}
}

func digest(deployment *cranberryward.Deployment, servers map[string]cranberryward.BackendServer) uint64 {
	ids := make([]string, 0, len(servers))
	for id := range servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	hash := xxhash.New()
	write := func(text string) {
		_, _ = hash.WriteString(text) // never fails, as its documentation states
		_, _ = hash.Write([]byte{0})
	}
	if deployment != nil {
		_, _ = hash.Write(byteOrder(deployment.Revision))
	}
	for _, id := range ids {
		server := servers[id]
		write(id)
		write(server.Service)
		write(server.Address)
		write(server.Zone)
		_, _ = hash.Write(byteOrder(uint64(server.Slots)))
		if server.Leaving {
			write("leaving")
		}
	}
	return hash.Sum64()
}

func byteOrder(value uint64) []byte {
	bytes := make([]byte, 8)
	for i := range bytes {
		bytes[i] = byte(value >> (8 * i))
	}
	return bytes
}

// Notice is what a process tells its peers of its belief and of its load.
type Notice struct {
	From     string   `json:"from"`
	Instance string   `json:"instance"`
	Entry    bool     `json:"entry,omitempty"`
	Zone     string   `json:"zone"`
	At       uint64   `json:"at"`
	AgeMS    int64    `json:"age_ms"`
	Content  uint64   `json:"content"`
	Peers    []string `json:"peers,omitempty"`
	// Running counts the requests of this entry at each backend server, by id.
	Running map[string]int `json:"running,omitempty"`
	// Group is the state of the group of the rank beside this agent.
	Group *GroupState `json:"group,omitempty"`
	// Busy is the load of the backend servers of a service.
	Busy *Busy `json:"busy,omitempty"`
	// Leaving is whether the process is about to end.
	Leaving bool `json:"leaving,omitempty"`
}

// GroupState is what one rank says of the group that serves a service.
type GroupState struct {
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
	Open    bool   `json:"open"`
}

// Busy counts the requests at each backend server of a service, in the order of their ids in the belief with the notice's content.
type Busy struct {
	Service string `json:"service"`
	// Counts has one byte for a backend server; 255 stands for an unknown count.
	Counts []byte `json:"counts"`
}

// unknownCount stands for a backend server that was not observed.
const unknownCount = 255

// serviceIDs returns the ids of a service's backend servers in order.
func (belief *Belief) serviceIDs(service string) []string {
	var ids []string
	for id, server := range belief.Servers {
		if server.Service == service {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// FetchRequest asks a peer for its belief.
type FetchRequest struct{}

// FetchReply is a peer's belief with its age.
type FetchReply struct {
	Belief *Belief
	Age    time.Duration
}
