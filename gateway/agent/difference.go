package agent

import (
	"math"
	"slices"
)

// wholeMap is the base of changes that hold every set and rank of a map.
const wholeMap = math.MaxUint64

// mapChanges returns the differences between two maps of the same shape.
func mapChanges(before, after [][][]int) []MapChange {
	var changes []MapChange
	for set := range after {
		for rank, experts := range after[set] {
			if !slices.Equal(before[set][rank], experts) {
				changes = append(changes, MapChange{
					Set:     set,
					Rank:    rank,
					Experts: experts,
				})
			}
		}
	}
	return changes
}

// applyChanges returns a copy of a map with changes applied.
func applyChanges(before [][][]int, changes []MapChange) [][][]int {
	after := make([][][]int, len(before))
	for set := range before {
		after[set] = slices.Clone(before[set])
	}
	for _, change := range changes {
		if change.Set >= 0 && change.Set < len(after) && change.Rank >= 0 && change.Rank < len(after[change.Set]) {
			after[change.Set][change.Rank] = change.Experts
		}
	}
	return after
}

// wholeMapChanges returns the changes that make up a whole map.
func wholeMapChanges(placement [][][]int) []MapChange {
	var changes []MapChange
	for set := range placement {
		for rank, experts := range placement[set] {
			changes = append(changes, MapChange{
				Set:     set,
				Rank:    rank,
				Experts: experts,
			})
		}
	}
	return changes
}

// emptyMap returns a map without experts that has the sets and ranks of the changes.
func emptyMap(changes []MapChange) [][][]int {
	sets, ranks := 0, 0
	for _, change := range changes {
		sets, ranks = max(sets, change.Set+1), max(ranks, change.Rank+1)
	}
	placement := make([][][]int, sets)
	for set := range placement {
		placement[set] = make([][]int, ranks)
	}
	return placement
}
