package rebalancer

import (
	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	// versionsPerTerm is the size of the range of map versions that each revision has for itself, above the ranges of all earlier ones.
	versionsPerTerm = 1 << 16
	// revisionsPerEra is the number of revisions in each era of the store, far more than it gives out in years.
	revisionsPerEra = 1 << 40
	// termsPerRevision is the number of terms of each revision: one of the controller and one of the agent beside each rank, up to 4,095 ranks.
	termsPerRevision = 1 << 12
)

// ErrTermEnded means that a rank's agent has accepted a later term.
var ErrTermEnded = eris.New("a later term has begun")

// Term returns the term of a controller whose key was written at a position: terms of a later era are higher, although revisions are given out again.
func Term(position cranberryward.Position) uint64 {
	return (position.Era*revisionsPerEra + position.Revision) * termsPerRevision
}

// GuardTerm returns the term in which the agent beside a rank ends what the controller of a term left unfinished: it is later than that term, earlier than
// that of the next controller, and no other agent has the same.
func GuardTerm(term uint64, rank int) uint64 {
	return term - term%termsPerRevision + uint64(min(rank+1, termsPerRevision-1))
}

// IsControllerTerm returns whether a term is that of a controller, and not that of an agent that ends what one left unfinished.
func IsControllerTerm(term uint64) bool { return term%termsPerRevision == 0 }

// SameController returns whether two terms are those of one controller or of agents that end what it left unfinished.
func SameController(a, b uint64) bool { return a/termsPerRevision == b/termsPerRevision }

// firstVersion returns the version below those of a term.
func firstVersion(term uint64) uint64 {
	return term / termsPerRevision % revisionsPerEra * versionsPerTerm
}
