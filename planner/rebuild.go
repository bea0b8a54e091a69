package planner

// rebuildLayer builds a greedy placement from scratch, assigns its parts to the ranks that hold most of them already, and returns it if it lowers
// the skew.
func rebuildLayer(placement [][]int, loads []float64, before, value, price float64) (layerChange, bool) {
	capacity := make([]int, len(placement))
	for rank, experts := range placement {
		capacity[rank] = len(experts)
	}
	rebuilt := align(placement, GreedyLayer(loads, capacity))
	after := newLayer(rebuilt, loads)
	gain := before - after.skew()
	if gain <= 0 {
		return layerChange{}, false
	}
	moves := 0
	for _, added := range addedPerRank(placement, rebuilt) {
		moves += added
	}
	return layerChange{
		after: after,
		moves: moves,
		gain:  gain,
		net:   value*gain - price*float64(moves),
	}, true
}

// align reorders the ranks of a rebuilt placement so that each keeps many of its experts, by greedy matching.
func align(present, rebuilt [][]int) [][]int {
	aligned := make([][]int, len(present))
	used := make([]bool, len(rebuilt))
	for rank, experts := range present {
		best, bestShared := -1, -1
		for candidate, share := range rebuilt {
			if used[candidate] || len(share) != len(experts) {
				continue
			}
			shared := 0
			for _, expert := range share {
				if holds(experts, expert) {
					shared++
				}
			}
			if shared > bestShared {
				best, bestShared = candidate, shared
			}
		}
		if best < 0 {
			return rebuilt
		}
		used[best] = true
		aligned[rank] = rebuilt[best]
	}
	return aligned
}
