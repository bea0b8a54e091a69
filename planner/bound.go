package planner

import "math"

const bisectionSteps = 40

// LowerBound returns a lower bound on the skew of a layer over all maps with the given number of ranks and slots per rank.
func LowerBound(loads []float64, ranks, slots int) float64 {
	var total, heaviest float64
	for _, load := range loads {
		total += load
		heaviest = math.Max(heaviest, load)
	}
	if total <= 0 || ranks == 0 {
		return 1
	}
	mean := total / float64(ranks)
	low, high := heaviest/float64(ranks), heaviest
	if high <= mean {
		return 1
	}
	for range bisectionSteps {
		middle := (low + high) / 2
		if replicasNeeded(loads, middle, ranks) <= ranks*slots {
			high = middle
		} else {
			low = middle
		}
	}
	return math.Max(1, low/mean)
}

// replicasNeeded returns how many replicas keep the load of each one within a share, or math.MaxInt if an expert needs more than one per rank.
func replicasNeeded(loads []float64, share float64, ranks int) int {
	needed := 0
	for _, load := range loads {
		count := int(math.Ceil(load / share))
		if count > ranks {
			return math.MaxInt
		}
		needed += max(count, 1)
	}
	return needed
}

// Skew returns the load of the most loaded rank divided by the mean load for one layer of a map.
func Skew(placement [][]int, loads []float64) float64 {
	replicas := make([]float64, len(loads))
	for _, experts := range placement {
		for _, expert := range experts {
			replicas[expert]++
		}
	}
	var slowest, total float64
	for _, experts := range placement {
		var load float64
		for _, expert := range experts {
			load += loads[expert] / replicas[expert]
		}
		slowest = math.Max(slowest, load)
		total += load
	}
	if total <= 0 {
		return 1
	}
	return slowest * float64(len(placement)) / total
}
