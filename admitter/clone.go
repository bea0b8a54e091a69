package admitter

import (
	"maps"
	"slices"
)

// Clone returns a gate that decides as this one would and shares nothing with it.
func (gate *Gate) Clone() *Gate {
	clone := &Gate{
		classes: clonePointers(gate.classes),
		rates:   clonePointers(gate.rates),
		workspaces: workspaces{
			all:       gate.workspaces.all,
			byName:    clonePointers(gate.workspaces.byName),
			competing: gate.workspaces.competing,
			sweptAt:   gate.workspaces.sweptAt,
		},
		refusals: refusals{
			due:   maps.Clone(gate.refusals.due),
			order: slices.Clone(gate.refusals.order),
		},
		asked:    gate.asked,
		repeated: gate.repeated,
	}
	for number, returns := range gate.calendar.buckets {
		if clone.calendar.buckets == nil {
			clone.calendar.buckets = map[int64]map[int]int{}
		}
		clone.calendar.buckets[number] = maps.Clone(returns)
	}
	return clone
}

// Clone returns stated times that recognize the callers that these would and share nothing with them.
func (statedTimes *StatedTimes) Clone() *StatedTimes {
	clone := *statedTimes
	clone.counts = maps.Clone(statedTimes.counts)
	return &clone
}

func clonePointers[K comparable, V any](original map[K]*V) map[K]*V {
	if original == nil {
		return nil
	}
	clone := make(map[K]*V, len(original))
	for key, value := range original {
		copied := *value
		clone[key] = &copied
	}
	return clone
}
