package rebalancer

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the demand estimate; it is short because demand shifts within seconds.
const demandHalfLife = 300 * time.Millisecond

// demand estimates how often each expert is chosen, from the counts of all ranks.
type demand struct {
	loads     []float64
	decayedAt time.Time
}

// add adds the choices of all ranks since the last call.
func (demand *demand) add(counts []int64) {
	if len(counts) == 0 {
		return
	}
	if len(demand.loads) != len(counts) {
		demand.loads = make([]float64, len(counts))
	}
	for i, count := range counts {
		demand.loads[i] += float64(count)
	}
}

// decay reduces the loads by the time that has passed since the last call.
func (demand *demand) decay(now time.Time) {
	if !demand.decayedAt.IsZero() {
		factor := math.Exp2(-now.Sub(demand.decayedAt).Seconds() / demandHalfLife.Seconds())
		for i := range demand.loads {
			demand.loads[i] *= factor
		}
	}
	demand.decayedAt = now
}

// setLoads returns the loads of the experts of one set.
func (demand *demand) setLoads(set, experts int) []float64 {
	return demand.loads[set*experts : (set+1)*experts]
}

// total returns the sum of all loads, a measure of how reliable the estimate is.
func (demand *demand) total() float64 {
	total := 0.0
	for _, load := range demand.loads {
		total += load
	}
	return total
}
