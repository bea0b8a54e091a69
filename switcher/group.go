package switcher

import (
	"sort"

	"github.com/cranberryward/cranberryward"
)

// GroupRanks returns the instances of a group ordered by rank, or nil if the listed ranks are not numbered from 0 without gaps.
func GroupRanks(membership cranberryward.Membership, group string) []cranberryward.Instance {
	ranks := membership.Select(func(instance cranberryward.Instance) bool {
		return instance.Role == cranberryward.RoleEngine && instance.Group == group
	})
	sort.Slice(ranks, func(i, j int) bool { return ranks[i].Rank < ranks[j].Rank })
	for i, instance := range ranks {
		if instance.Rank != i {
			return nil
		}
	}
	return ranks
}
