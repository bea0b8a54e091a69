package admitter

import (
	"slices"

	"github.com/cranberryward/cranberryward"
)

// sparedShare is the share of the slots from which on a rank that is spared already stays so, as paces vary.
const sparedShare = 0.8

// Loads returns the load of each rank of a group, in requests at a rank of usual pace that lengthen the passes as much, and those that are to run none, where
// the ones that were to run none before are given. All ranks execute each pass together and wait for the slowest, but a rank without requests delays nobody. So
// one that would take longer for a single request than others with all slots in use gets none.
func Loads(engine *cranberryward.EngineCostModel, reports map[string]cranberryward.RankReport, before map[string]bool) (loads map[string]int, spared map[string]bool) {
	paces := make([]float64, 0, len(reports))
	for _, report := range reports {
		paces = append(paces, max(report.Pace, 1))
	}
	usual := usualPace(paces)
	loads, spared = make(map[string]int, len(reports)), map[string]bool{}
	for id, report := range reports {
		requests, slowness := report.Running+report.Waiting, max(report.Pace, 1)/usual
		loads[id] = load(engine, requests, slowness)
		most := 1.0
		if before[id] {
			most = sparedShare
		}
		if hasCosts(engine) && slowness > 1 && equalLoad(engine, 0, slowness) >= most*float64(engine.Slots) {
			spared[id] = true
		}
	}
	return loads, spared
}

// usualPace returns the pace of the slowest rank that should run requests, at least of half of them: those that are slower still hold up the others more than they
// execute.
func usualPace(paces []float64) float64 {
	slices.Sort(paces)
	usual, most := 1.0, 0.0
	for i, pace := range paces {
		if executed := float64(i+1) / pace; executed >= most && 2*(i+1) >= len(paces) {
			usual, most = pace, executed
		}
	}
	return usual
}

// load returns the load of a rank of the given slowness.
func load(engine *cranberryward.EngineCostModel, requests int, slowness float64) int {
	switch {
	case slowness <= 1:
		return requests
	case !hasCosts(engine):
		return int(float64(requests+1)*slowness) - 1
	default: // no more than full, as what exceeds the slots would count as the load of others
		return min(int(equalLoad(engine, requests, slowness)), max(requests, engine.Slots))
	}
}

func hasCosts(engine *cranberryward.EngineCostModel) bool {
	return engine != nil && stepTime(engine, 1) > stepTime(engine, 0)
}

// equalLoad returns how many requests a rank of usual pace runs in the time that one of the given slowness takes for its own and one more, less one.
func equalLoad(engine *cranberryward.EngineCostModel, requests int, slowness float64) float64 {
	perSequence := stepTime(engine, 1) - stepTime(engine, 0)
	return (slowness*stepTime(engine, float64(requests+1))-stepTime(engine, 0))/perSequence - 1
}
