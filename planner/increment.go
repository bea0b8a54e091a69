package planner

import "slices"

// crowding is the exponent with which a rank's load counts: high enough that the most loaded ranks decide, and smooth where several are level.
const crowding = 8

// busiestRanks is how many of the most loaded ranks an increment relieves at each step of its search.
const busiestRanks = 3

// Increment bounds one small change of a placement.
type Increment struct {
	// Places is how many experts of a layer a rank can hold.
	Places int
	// Newcomers is how many experts of a layer a rank may take in with one change.
	Newcomers int
	// MinimumGain is how much crowding each step must remove, as a share of that of the most crowded rank.
	MinimumGain float64
	// Paces are how much longer than usual each rank takes for the same work; an empty slice takes all ranks as equal.
	Paces []float64
}

// Skew returns the time of the slowest rank over the mean for one layer of a placement, with the ranks' paces.
func (increment Increment) Skew(placement [][]int, loads []float64) float64 {
	search := newIncrementSearch(increment, placement, loads)
	if search.scale <= 0 {
		return 1
	}
	return search.slowest() * search.scale
}

// Improve returns a placement of one layer that a rank can reach by copying a few experts, and how many are copied in all.
func (increment Increment) Improve(placement [][]int, loads []float64) (improved [][]int, copies int) {
	search := newIncrementSearch(increment, placement, loads)
	before := search.slowest()
	for {
		step, found := search.best()
		if !found {
			break
		}
		search.apply(step)
	}
	// Less crowding in all may come with a slower slowest rank, which every pass waits for.
	if search.slowest() > before {
		return placement, 0
	}
	return search.placement, search.copies
}

type incrementSearch struct {
	increment Increment
	loads     []float64
	placement [][]int
	held      [][]bool
	original  [][]bool
	counts    []int
	// holders are the ranks that hold each expert.
	holders   [][]int
	totals    []float64
	newcomers []int
	copies    int
	scale     float64
}

// incrementStep gives a rank an expert, in a free place where out is negative and in place of another expert otherwise.
type incrementStep struct {
	rank, in, out int
	gain          float64
}

func newIncrementSearch(increment Increment, placement [][]int, loads []float64) *incrementSearch {
	search := &incrementSearch{
		increment: increment,
		loads:     loads,
		placement: make([][]int, len(placement)),
		held:      make([][]bool, len(placement)),
		original:  make([][]bool, len(placement)),
		counts:    make([]int, len(loads)),
		holders:   make([][]int, len(loads)),
		totals:    make([]float64, len(placement)),
		newcomers: make([]int, len(placement)),
	}
	total := 0.0
	for rank, experts := range placement {
		search.placement[rank] = append([]int(nil), experts...)
		search.held[rank] = make([]bool, len(loads))
		search.original[rank] = make([]bool, len(loads))
		for _, expert := range experts {
			search.counts[expert]++
			search.holders[expert] = append(search.holders[expert], rank)
			search.held[rank][expert], search.original[rank][expert] = true, true
		}
	}
	for rank, experts := range placement {
		for _, expert := range experts {
			search.totals[rank] += loads[expert] / float64(search.counts[expert])
		}
		total += search.totals[rank]
	}
	if total > 0 {
		search.scale = float64(len(placement)) / total
	}
	return search
}

// slowest returns the time of the slowest rank.
func (search *incrementSearch) slowest() float64 {
	slowest := 0.0
	for rank, total := range search.totals {
		slowest = max(slowest, total*search.pace(rank))
	}
	return slowest
}

func (search *incrementSearch) pace(rank int) float64 {
	if rank < len(search.increment.Paces) {
		return search.increment.Paces[rank]
	}
	return 1
}

func (search *incrementSearch) crowd(rank int, total float64) float64 {
	level := total * search.pace(rank) * search.scale
	level *= level
	level *= level
	return level * level
}

// best returns the step that removes the most crowding.
func (search *incrementSearch) best() (incrementStep, bool) {
	crowded := 0.0
	for rank, total := range search.totals {
		crowded = max(crowded, search.crowd(rank, total))
	}
	best := incrementStep{gain: search.increment.MinimumGain * crowded}
	found := false
	for _, in := range search.hot() {
		for rank := range search.placement {
			if search.held[rank][in] {
				continue
			}
			returning := search.original[rank][in]
			if !returning && search.newcomers[rank] >= search.increment.Newcomers {
				continue
			}
			if len(search.placement[rank]) < search.increment.Places {
				search.consider(&best, &found, rank, in, -1)
			}
			for _, out := range search.placement[rank] {
				if search.counts[out] > 1 {
					search.consider(&best, &found, rank, in, out)
				}
			}
		}
	}
	return best, found
}

// hot returns the experts of the most loaded ranks.
func (search *incrementSearch) hot() []int {
	taken := map[int]bool{}
	var experts []int
	for range min(busiestRanks, len(search.totals)) {
		busiest := -1
		for rank, total := range search.totals {
			if !taken[rank] && (busiest < 0 || total*search.pace(rank) > search.totals[busiest]*search.pace(busiest)) {
				busiest = rank
			}
		}
		taken[busiest] = true
		for _, expert := range search.placement[busiest] {
			if search.loads[expert] > 0 && !holds(experts, expert) {
				experts = append(experts, expert)
			}
		}
	}
	return experts
}

// consider weighs one step by the crowding of the ranks that it touches.
func (search *incrementSearch) consider(best *incrementStep, found *bool, rank, in, out int) {
	newIn := search.loads[in] / float64(search.counts[in]+1)
	change := newIn - search.loads[in]/float64(search.counts[in])
	leaving, spread := 0.0, 0.0
	if out >= 0 {
		leaving = search.loads[out] / float64(search.counts[out])
		spread = search.loads[out]/float64(search.counts[out]-1) - leaving
	}
	gain := search.crowd(rank, search.totals[rank]) - search.crowd(rank, search.totals[rank]+newIn-leaving)
	gain += search.relief(rank, in, out, change, spread)
	if gain > best.gain {
		*found = true
		*best = incrementStep{
			rank: rank,
			in:   in,
			out:  out,
			gain: gain,
		}
	}
}

// relief returns the crowding that a step removes from the ranks other than the one that takes the expert in.
func (search *incrementSearch) relief(rank, in, out int, change, spread float64) float64 {
	relief := 0.0
	for _, other := range search.holders[in] {
		after := search.totals[other] + change
		if out >= 0 && search.held[other][out] {
			after += spread
		}
		relief += search.crowd(other, search.totals[other]) - search.crowd(other, after)
	}
	if out < 0 {
		return relief
	}
	for _, other := range search.holders[out] {
		if other != rank && !search.held[other][in] {
			total := search.totals[other]
			relief += search.crowd(other, total) - search.crowd(other, total+spread)
		}
	}
	return relief
}

func (search *incrementSearch) apply(step incrementStep) {
	if step.out >= 0 {
		for i, expert := range search.placement[step.rank] {
			if expert == step.out {
				search.placement[step.rank][i] = step.in
			}
		}
		search.held[step.rank][step.out] = false
		search.holders[step.out] = slices.DeleteFunc(search.holders[step.out], func(rank int) bool { return rank == step.rank })
		search.counts[step.out]--
		if !search.original[step.rank][step.out] {
			search.newcomers[step.rank]--
			search.copies--
		}
	} else {
		search.placement[step.rank] = append(search.placement[step.rank], step.in)
	}
	search.held[step.rank][step.in] = true
	search.holders[step.in] = append(search.holders[step.in], step.rank)
	search.counts[step.in]++
	if !search.original[step.rank][step.in] {
		search.newcomers[step.rank]++
		search.copies++
	}
	search.sumUp()
}

func (search *incrementSearch) sumUp() {
	for rank, experts := range search.placement {
		search.totals[rank] = 0
		for _, expert := range experts {
			search.totals[rank] += search.loads[expert] / float64(search.counts[expert])
		}
	}
}
