package planner

import "github.com/cranberryward/cranberryward"

// Static is the policy that never changes the map.
type Static struct{}

// Greedy is the policy that builds a new map from the estimated loads at every decision outside quiet windows.
type Greedy struct{}

// Threshold is the policy that builds a new greedy map when the skew reaches a high threshold, if that lowers the skew by at least the distance
// to a low threshold.
type Threshold struct {
	high float64
	low  float64
}

var (
	_ Policy = Static{}
	_ Policy = Greedy{}
	_ Policy = Threshold{}
)

// NewThreshold returns the policy with its low and high skew thresholds.
func NewThreshold(low, high float64) Threshold {
	return Threshold{
		high: high,
		low:  low,
	}
}

// Decide keeps the map.
func (static Static) Decide(situation Situation, _ *Estimator) Decision {
	return keepMap(situation, "static", 0)
}

// Decide returns a greedy map unless a quiet window is open or opens before a change could end.
func (greedy Greedy) Decide(situation Situation, estimator *Estimator) Decision {
	if changeForbidden(situation) || !estimator.Observed() {
		return keepMap(situation, "a quiet window is open or near", 0)
	}
	return rebuild(situation, estimator.level)
}

func changeForbidden(situation Situation) bool {
	return situation.Quiet || (situation.QuietFrom > situation.Second && situation.QuietFrom-situation.Second <= situation.ChangeSeconds)
}

func rebuild(situation Situation, loads [][]float64) Decision {
	next := successorOf(situation.Present)
	capacity := make([]int, situation.Present.Ranks)
	for rank := range capacity {
		capacity[rank] = situation.Memory.SlotsPerLayer
	}
	for i := range next.Layers {
		next.Layers[i] = GreedyLayer(loads[i], capacity)
	}
	return Decision{
		reason:    "greedy",
		expertMap: next,
		moves:     Moves(situation.Present, next),
	}
}

// Decide returns a greedy map when the skew has reached the high threshold and the map lowers it enough.
func (threshold Threshold) Decide(situation Situation, estimator *Estimator) Decision {
	if changeForbidden(situation) || !estimator.Observed() {
		return keepMap(situation, "a quiet window is open or near", 0)
	}
	skew := MeanSkew(situation.Present, estimator.level)
	if skew < threshold.high {
		return keepMap(situation, "the skew is below the threshold", skew)
	}
	decision := rebuild(situation, estimator.level)
	if MeanSkew(decision.expertMap, estimator.level) > skew-(threshold.high-threshold.low) {
		return keepMap(situation, "a new map would not lower the skew enough", skew)
	}
	return decision
}

// MeanSkew returns the mean of Skew over all layers of a map.
func MeanSkew(expertMap cranberryward.ExpertMap, loads [][]float64) float64 {
	var total float64
	for i, placement := range expertMap.Layers {
		total += Skew(placement, loads[i])
	}
	return total / float64(max(len(expertMap.Layers), 1))
}
