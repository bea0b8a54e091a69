package steward

import (
	"cmp"
	"slices"
	"time"
)

// sampler chooses of which members the counts are read, so that all take their turn and no more is read in a while than may be.
// Its zero value is ready.
type sampler struct {
	allowance float64
	at        time.Time
	readAt    map[string]time.Time
}

// choose returns of which of the members the counts are read now, those first that were not for longest. A rank has the given number of
// counts, of which rate may be read in a second; with no rate all are read.
func (sampler *sampler) choose(now time.Time, members []Member, counts int, rate float64) map[string]bool {
	chosen := make(map[string]bool, len(members))
	whole := float64(counts * len(members))
	if !sampler.at.IsZero() {
		sampler.allowance += rate * now.Sub(sampler.at).Seconds()
	}
	sampler.allowance = min(sampler.allowance, whole)
	if sampler.at.IsZero() || rate <= 0 {
		sampler.allowance = whole
	}
	sampler.at = now
	if sampler.readAt == nil {
		sampler.readAt = map[string]time.Time{}
	}
	byAge := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(sampler.readAt[a.ID].Compare(sampler.readAt[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	readAt := make(map[string]time.Time, len(members))
	for _, member := range byAge {
		readAt[member.ID] = sampler.readAt[member.ID]
		if sampler.allowance < float64(counts) {
			continue
		}
		sampler.allowance -= float64(counts)
		chosen[member.ID], readAt[member.ID] = true, now
	}
	sampler.readAt = readAt
	return chosen
}
