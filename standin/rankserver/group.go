package rankserver

import (
	"fmt"
	"slices"
	"sync"
)

// Group is a group of ranks that begins a pass when the test calls BeginPass and records the passes in which the ranks run different maps.
type Group struct {
	settings Settings

	mutex           sync.Mutex
	epoch           uint64
	open            bool
	step            uint64
	ranks           []*Rank
	appliedVersions []uint64
	mixedPasses     []string
	heldAttempts    int
}

// NewGroup returns an open group in its first epoch.
func NewGroup(settings Settings) *Group {
	group := &Group{
		settings: settings,
		epoch:    1,
		open:     true,
	}
	for index := range settings.Ranks {
		group.ranks = append(group.ranks, newRank(group, index))
	}
	return group
}

// Rank returns the rank with the given index.
func (group *Group) Rank(index int) *Rank { return group.ranks[index] }

// RankCount returns the number of ranks.
func (group *Group) RankCount() int { return len(group.ranks) }

// BeginPass begins the next pass unless the group is broken or held, and returns whether it did.
func (group *Group) BeginPass() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.open {
		return false
	}
	next := group.step + 1
	if slices.ContainsFunc(group.ranks, func(rank *Rank) bool { return rank.heldStep != 0 && next >= rank.heldStep }) {
		group.heldAttempts++
		return false
	}
	group.step, group.heldAttempts = next, 0
	for _, rank := range group.ranks {
		if rank.armedStep != 0 && next >= rank.armedStep {
			rank.version, rank.placement = rank.armedVersion, rank.preparedPlacement
			rank.armedVersion, rank.armedStep, rank.preparedVersion = 0, 0, 0
		}
	}
	group.checkVersions()
	return true
}

// checkVersions records the pass if it begins with two map versions, and otherwise its map version if that takes effect with the pass.
func (group *Group) checkVersions() {
	first := group.ranks[0]
	for _, rank := range group.ranks[1:] {
		if rank.version != first.version {
			group.mixedPasses = append(group.mixedPasses, fmt.Sprintf("pass %d: rank 0 has map %d, rank %d has map %d", group.step, first.version, rank.index, rank.version))
			return
		}
	}
	if len(group.appliedVersions) == 0 && first.version != 0 || len(group.appliedVersions) > 0 && group.appliedVersions[len(group.appliedVersions)-1] != first.version {
		group.appliedVersions = append(group.appliedVersions, first.version)
	}
}

// MixedPasses describes the passes that began with two map versions.
func (group *Group) MixedPasses() []string {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return slices.Clone(group.mixedPasses)
}

// AppliedVersions returns the map versions that took effect, in order.
func (group *Group) AppliedVersions() []uint64 {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return slices.Clone(group.appliedVersions)
}

// Step returns the number of the last pass that began.
func (group *Group) Step() uint64 {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.step
}

// HeldAttempts returns how many attempts to begin a pass have failed in a row because of a hold.
func (group *Group) HeldAttempts() int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.heldAttempts
}

// Break stops the group until Reopen, as the loss of a rank does.
func (group *Group) Break() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.open = false
}

// Reopen opens the group in a new epoch, with map 0 and nothing prepared, armed or held.
func (group *Group) Reopen() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.epoch++
	group.open = true
	for _, rank := range group.ranks {
		rank.reset()
	}
}

// RecordChoices adds to the number of times that the requests of a rank chose an expert of a set.
func (group *Group) RecordChoices(rank, set, expert, times int) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.ranks[rank].counts[set*group.settings.Experts+expert] += int64(times)
}

// Placement returns the experts that the group holds, by set and rank.
func (group *Group) Placement() [][][]int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	placement := make([][][]int, group.settings.Sets)
	for set := range placement {
		for _, rank := range group.ranks {
			placement[set] = append(placement[set], slices.Clone(rank.placement[set]))
		}
	}
	return placement
}
