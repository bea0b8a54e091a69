package rebalancer

import (
	"math/rand/v2"
	"time"
)

// foreignTTL is how long a member that reported another group is not queried again, with as much jitter: the platform may form groups anew.
const foreignTTL = 30 * time.Second

// foreignRanks are the members of the service that belong to other groups; the zero value is ready to use.
type foreignRanks struct{ until map[string]time.Time }

// record notes the group that a member reported, which is foreign if it is not the controller's own.
func (foreignRanks *foreignRanks) record(id string, foreign bool, now time.Time) {
	if !foreign {
		delete(foreignRanks.until, id)
		return
	}
	if foreignRanks.until == nil {
		foreignRanks.until = map[string]time.Time{}
	}
	foreignRanks.until[id] = now.Add(foreignTTL + rand.N(foreignTTL))
}

// filter returns the members that may belong to the controller's group, and forgets those that are no longer registered.
func (foreignRanks *foreignRanks) filter(members []Member, now time.Time) []Member {
	if len(foreignRanks.until) == 0 {
		return members
	}
	kept := make([]Member, 0, len(members))
	until := make(map[string]time.Time, len(foreignRanks.until))
	for _, member := range members {
		if expiry, known := foreignRanks.until[member.ID]; known && now.Before(expiry) {
			until[member.ID] = expiry
			continue
		}
		kept = append(kept, member)
	}
	foreignRanks.until = until
	return kept
}
