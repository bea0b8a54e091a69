package relayer

import (
	"time"

	"github.com/go-kit/log"
)

// Options say how a process takes part.
type Options struct {
	Instance string
	Zone     string
	Address  string
	Entry    bool
	Seeds    []string
	// Refresh is the age of the belief at which the process reads the store itself; another process's read resets it.
	Refresh time.Duration
	// Neighbours returns addresses at which processes of the system may be reached, derived from a belief.
	Neighbours func(belief *Belief) []string
	// Changed is called with each belief whose content differs from the one before, in order.
	Changed func(before, now *Belief)
	// Running returns the requests of this entry at each backend server.
	Running func() map[string]int
	// HeardBusy is called with the load of a service's backend servers, by id, that a group's controller tells of, and with its limit for each.
	HeardBusy func(service string, busy map[string]int, limit int)
	// HeardCrashed is called with the requests that took down backend servers at the entry with the given address.
	HeardCrashed func(from string, crashed map[string]int)
	// Heard is called with each notice of a peer.
	Heard  func(notice Notice)
	Logger log.Logger
}
