package planner

import (
	"math"
	"sort"

	"github.com/cranberryward/cranberryward"
)

// Memory is the memory that each rank of a group has for experts.
type Memory struct {
	SlotsPerLayer int   `json:"slots_per_layer"`
	SparePerRank  int   `json:"spare_per_rank"`
	ExpertBytes   int64 `json:"expert_bytes"`
}

// Situation is the input of a decision, with all times in seconds since the start of the run.
type Situation struct {
	Second         float64                 `json:"second"`
	Present        cranberryward.ExpertMap `json:"present"`
	Memory         Memory                  `json:"memory"`
	BytesPerSecond float64                 `json:"bytes_per_second"`
	ChangeSeconds  float64                 `json:"change_seconds"`
	Quiet          bool                    `json:"quiet"`
	QuietFrom      float64                 `json:"quiet_from"`
	QuietUntil     float64                 `json:"quiet_until"`
	LostRanks      []bool                  `json:"lost_ranks,omitempty"`
}

// Decision is the outcome of a placement decision.
type Decision struct {
	keep       bool
	reason     string
	expertMap  cranberryward.ExpertMap
	moves      []Move
	skewBefore float64
	skewAfter  float64
}

// Keep returns whether the present map is kept.
func (decision Decision) Keep() bool { return decision.keep }

// Reason returns a short text that says why the map is kept or changed.
func (decision Decision) Reason() string { return decision.reason }

// Map returns the map to run, which is the present one if it is kept.
func (decision Decision) Map() cranberryward.ExpertMap { return decision.expertMap }

// Moves returns the loads to carry out before the change, followed by the discards to carry out after it.
func (decision Decision) Moves() []Move { return decision.moves }

// SkewBefore returns the forecast skew of the present map.
func (decision Decision) SkewBefore() float64 { return decision.skewBefore }

// SkewAfter returns the forecast skew of the map to run.
func (decision Decision) SkewAfter() float64 { return decision.skewAfter }

// LoadCount returns how many of the moves load an expert's weights on a rank.
func (decision Decision) LoadCount() int {
	loads := 0
	for _, move := range decision.moves {
		if !move.Discard {
			loads++
		}
	}
	return loads
}

func keepMap(situation Situation, reason string, skew float64) Decision {
	return Decision{
		keep:       true,
		reason:     reason,
		expertMap:  situation.Present,
		skewBefore: skew,
		skewAfter:  skew,
	}
}

// Policy decides on the expert map of a group.
type Policy interface {
	// Decide returns the decision for a situation and the estimated loads.
	Decide(situation Situation, estimator *Estimator) Decision
}

// CostAware is the policy that changes the map when the skew removed is worth more than the weights moved, so that noise alone causes no changes.
type CostAware struct {
	weights Weights
}

var _ Policy = CostAware{}

// NewCostAware returns the policy with the weights of a user.
func NewCostAware(weights Weights) CostAware {
	return CostAware{
		weights: weights,
	}
}

type layerChange struct {
	index int
	after *layer
	moves int
	net   float64
	gain  float64
}

// Decide returns a recovery if a rank was lost, and otherwise a new map if its value exceeds its cost and it fits before the next quiet window.
func (costAware CostAware) Decide(situation Situation, estimator *Estimator) Decision {
	if anyLost(situation.LostRanks) {
		return planRecovery(situation, estimator)
	}
	if situation.Quiet {
		return keepMap(situation, "a quiet window is open", 0)
	}
	if !estimator.Observed() {
		return keepMap(situation, "no load has been reported", 0)
	}
	horizon := costAware.weights.HorizonSeconds
	from, until := situation.Second, situation.Second+horizon
	budget := math.Inf(1)
	if situation.QuietFrom > situation.Second {
		timeLeft := situation.QuietFrom - situation.Second - situation.ChangeSeconds
		if timeLeft <= 0 {
			return keepMap(situation, "a quiet window opens before a change could end", 0)
		}
		budget = timeLeft * situation.BytesPerSecond
		// A map chosen shortly before a window stays in force until the window closes, so the forecast covers the window too.
		if situation.QuietFrom-situation.Second < horizon {
			until = math.Max(until, situation.QuietUntil)
			horizon = until - from
		}
	}
	forecast := estimator.Forecast(situation.Second, from, until)
	return costAware.plan(situation, forecast, horizon, budget)
}

func (costAware CostAware) plan(situation Situation, forecast [][]float64, horizon, byteBudget float64) Decision {
	layers := len(situation.Present.Layers)
	value := costAware.weights.SkewValue * horizon / float64(max(layers, 1))
	price := costAware.weights.MovePrice / float64(max(layers, 1)) * movePriceScale(situation)
	var changes []layerChange
	var before float64
	for i, placement := range situation.Present.Layers {
		layer := newLayer(placement, forecast[i])
		skew := layer.skew()
		before += skew
		moves, gain := layer.improve(value, price)
		if rebuilt, ok := rebuildLayer(placement, forecast[i], skew, value, price); ok && rebuilt.net > value*gain-price*float64(moves) {
			layer, moves, gain = rebuilt.after, rebuilt.moves, rebuilt.gain
		}
		if moves > 0 {
			changes = append(changes, layerChange{
				index: i,
				after: layer,
				moves: moves,
				gain:  gain,
				net:   value*gain - price*float64(moves),
			})
		}
	}
	before /= float64(max(layers, 1))
	kept, after, net := selectWithinBudget(situation, changes, before, byteBudget)
	if len(kept) == 0 || net < costAware.weights.ChangePrice {
		return keepMap(situation, "no change is worth its cost", before)
	}
	expertMap := successorOf(situation.Present)
	for _, change := range kept {
		expertMap.Layers[change.index] = change.after.placement
	}
	return Decision{
		reason:     "the skew removed is worth more than the weights moved",
		expertMap:  expertMap,
		moves:      Moves(situation.Present, expertMap),
		skewBefore: before,
		skewAfter:  after,
	}
}

// movePriceScale returns the factor on the price of a move, which falls with the number of slots in a layer as a single replica matters less.
func movePriceScale(situation Situation) float64 {
	return referenceSlots / float64(max(situation.Present.Ranks*situation.Memory.SlotsPerLayer, 1))
}

const referenceSlots = 288.0

// selectWithinBudget selects the most valuable changes that fit in the spare memory of each rank and in the bytes that can be moved before the
// next quiet window.
func selectWithinBudget(situation Situation, changes []layerChange, before, byteBudget float64) (kept []layerChange, after, net float64) {
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].net > changes[j].net })
	spare := make([]int, situation.Present.Ranks)
	for rank := range spare {
		spare[rank] = situation.Memory.SparePerRank
	}
	after = before
	bytes := 0.0
	for _, change := range changes {
		added := addedPerRank(situation.Present.Layers[change.index], change.after.placement)
		size := 0
		fits := true
		for rank, count := range added {
			size += count
			fits = fits && count <= spare[rank]
		}
		cost := float64(size) * float64(situation.Memory.ExpertBytes)
		if !fits || bytes+cost > byteBudget {
			continue
		}
		for rank, count := range added {
			spare[rank] -= count
		}
		bytes += cost
		kept = append(kept, change)
		net += change.net
		after -= change.gain / float64(len(situation.Present.Layers))
	}
	return kept, after, net
}

// addedPerRank returns how many experts each rank holds in next but not in present.
func addedPerRank(present, next [][]int) []int {
	added := make([]int, len(next))
	for rank, experts := range next {
		for _, expert := range experts {
			if rank >= len(present) || !holds(present[rank], expert) {
				added[rank]++
			}
		}
	}
	return added
}

// successorOf returns a copy of a map under the next version.
func successorOf(present cranberryward.ExpertMap) cranberryward.ExpertMap {
	next := cranberryward.ExpertMap{
		Version: present.Version + 1,
		Ranks:   present.Ranks,
		Layers:  make([][][]int, len(present.Layers)),
	}
	copy(next.Layers, present.Layers)
	return next
}

// Moves returns the loads that the change from one map to the next needs, layer by layer, and then the discards.
func Moves(present, next cranberryward.ExpertMap) []Move {
	var loads, discards []Move
	for layer := range next.Layers {
		for rank := range next.Layers[layer] {
			before, after := present.Layers[layer][rank], next.Layers[layer][rank]
			for _, expert := range after {
				if !holds(before, expert) {
					loads = append(loads, Move{
						Layer:  layer,
						Rank:   rank,
						Expert: expert,
					})
				}
			}
			for _, expert := range before {
				if !holds(after, expert) {
					discards = append(discards, Move{
						Layer:   layer,
						Rank:    rank,
						Expert:  expert,
						Discard: true,
					})
				}
			}
		}
	}
	return append(loads, discards...)
}
