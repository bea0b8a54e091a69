package planner

import "github.com/cranberryward/cranberryward"

func anyLost(lost []bool) bool {
	for _, gone := range lost {
		if gone {
			return true
		}
	}
	return false
}

// planRecovery places each expert that only lost ranks held on one of the remaining ranks, which takes one load per expert.
func planRecovery(situation Situation, estimator *Estimator) Decision {
	forecast := estimator.Forecast(situation.Second, situation.Second, situation.Second+1)
	next := successorOf(situation.Present)
	for i, placement := range situation.Present.Layers {
		restored, complete := recoverLayer(placement, forecast[i], situation)
		if !complete {
			return keepMap(situation, "the remaining ranks cannot hold every expert", 0)
		}
		next.Layers[i] = restored
	}
	moves := Moves(situation.Present, next)
	if len(moves) == 0 {
		return keepMap(situation, "the lost ranks hold no experts", 0)
	}
	return Decision{
		reason:    "a rank was lost",
		expertMap: next,
		moves:     moves,
	}
}

func recoverLayer(placement [][]int, loads []float64, situation Situation) (restored [][]int, complete bool) {
	counts := make([]int, len(loads))
	restored = make([][]int, len(placement))
	for rank, experts := range placement {
		if situation.LostRanks[rank] {
			continue
		}
		restored[rank] = append([]int(nil), experts...)
		for _, expert := range experts {
			counts[expert]++
		}
	}
	for expert, count := range counts {
		if count == 0 && !placeLostExpert(restored, counts, loads, expert, situation) {
			return nil, false
		}
	}
	return restored, true
}

// placeLostExpert puts an expert in a free slot or in place of the least loaded replica that other ranks hold too, and returns whether it could.
func placeLostExpert(restored [][]int, counts []int, loads []float64, lostExpert int, situation Situation) bool {
	bestRank, bestSlot := -1, -1
	var bestLoad float64
	for rank := range restored {
		if situation.LostRanks[rank] {
			continue
		}
		if len(restored[rank]) < situation.Memory.SlotsPerLayer {
			restored[rank] = append(restored[rank], lostExpert)
			counts[lostExpert]++
			return true
		}
		for slot, expert := range restored[rank] {
			share := loads[expert] / float64(counts[expert])
			if counts[expert] > 1 && (bestRank < 0 || share < bestLoad) {
				bestRank, bestSlot, bestLoad = rank, slot, share
			}
		}
	}
	if bestRank < 0 {
		return false
	}
	counts[restored[bestRank][bestSlot]]--
	restored[bestRank][bestSlot] = lostExpert
	counts[lostExpert]++
	return true
}

// Covers returns whether each layer of the map holds every expert at least once and no rank holds more experts than it has slots.
func Covers(expertMap cranberryward.ExpertMap, experts, slots int) bool {
	for _, placement := range expertMap.Layers {
		held := make([]bool, experts)
		for _, rankExperts := range placement {
			if len(rankExperts) > slots {
				return false
			}
			for _, expert := range rankExperts {
				held[expert] = true
			}
		}
		for _, found := range held {
			if !found {
				return false
			}
		}
	}
	return true
}
