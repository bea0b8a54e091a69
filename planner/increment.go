package planner

import "slices"

// busiestRanks is how many of the most loaded ranks an increment relieves at each step of its search.
const busiestRanks = 3

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
	holders [][]int
	totals  []float64
	// crowds are the crowdings of the ranks.
	crowds    []float64
	newcomers []int
	copies    int
	scale     float64
}

// incrementStep gives a rank an expert, in a free place where out is negative and in place of another expert otherwise; where in is negative the rank only gives one up.
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
		crowds:    make([]float64, len(placement)),
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
	search.sumUp()
	return search
}

// slowest returns the time of the slowest rank.
func (incrementSearch *incrementSearch) slowest() float64 {
	slowest := 0.0
	for rank, total := range incrementSearch.totals {
		slowest = max(slowest, total*incrementSearch.pace(rank))
	}
	return slowest
}

func (incrementSearch *incrementSearch) allowance(rank int) int {
	if rank < len(incrementSearch.increment.Allowances) {
		return min(incrementSearch.increment.Allowances[rank], incrementSearch.increment.Newcomers)
	}
	return incrementSearch.increment.Newcomers
}

func (incrementSearch *incrementSearch) pace(rank int) float64 {
	if rank < len(incrementSearch.increment.Paces) {
		return incrementSearch.increment.Paces[rank]
	}
	return 1
}

// crowd returns the eighth power of a rank's relative load: high enough that the most loaded ranks decide, and smooth where several are level.
func (incrementSearch *incrementSearch) crowd(rank int, total float64) float64 {
	level := total * incrementSearch.pace(rank) * incrementSearch.scale
	level *= level
	level *= level
	return level * level
}

// best returns the step that removes the most crowding.
func (incrementSearch *incrementSearch) best() (incrementStep, bool) {
	best := incrementStep{gain: incrementSearch.increment.MinimumGain * slices.Max(incrementSearch.crowds)}
	found := false
	for _, in := range incrementSearch.hot() {
		relief := incrementSearch.relief(in)
		for rank := range incrementSearch.placement {
			// A rank can lose no more than its crowding, whatever it gives up.
			if incrementSearch.held[rank][in] || relief+incrementSearch.crowds[rank] <= best.gain {
				continue
			}
			returning := incrementSearch.original[rank][in]
			if !returning && incrementSearch.newcomers[rank] >= incrementSearch.allowance(rank) {
				continue
			}
			if len(incrementSearch.placement[rank]) < incrementSearch.increment.Places {
				incrementSearch.consider(&best, &found, relief, rank, in, -1)
			}
			for _, out := range incrementSearch.placement[rank] {
				if incrementSearch.counts[out] > 1 {
					incrementSearch.consider(&best, &found, relief, rank, in, out)
				}
			}
		}
	}
	for _, rank := range incrementSearch.busiest() {
		for _, out := range incrementSearch.placement[rank] {
			if incrementSearch.counts[out] > 1 {
				incrementSearch.considerDrop(&best, &found, rank, out)
			}
		}
	}
	return best, found
}

// considerDrop weighs leaving an expert to the other ranks that hold it, which copies nothing.
func (incrementSearch *incrementSearch) considerDrop(best *incrementStep, found *bool, rank, out int) {
	leaving := incrementSearch.loads[out] / float64(incrementSearch.counts[out])
	spread := incrementSearch.loads[out]/float64(incrementSearch.counts[out]-1) - leaving
	gain := incrementSearch.crowds[rank] - incrementSearch.crowd(rank, incrementSearch.totals[rank]-leaving)
	for _, other := range incrementSearch.holders[out] {
		if other != rank {
			gain += incrementSearch.crowds[other] - incrementSearch.crowd(other, incrementSearch.totals[other]+spread)
		}
	}
	if gain > best.gain {
		*found = true
		*best = incrementStep{
			rank: rank,
			in:   -1,
			out:  out,
			gain: gain,
		}
	}
}

// hot returns the experts of the most loaded ranks.
func (incrementSearch *incrementSearch) hot() []int {
	var experts []int
	for _, rank := range incrementSearch.busiest() {
		for _, expert := range incrementSearch.placement[rank] {
			if incrementSearch.loads[expert] > 0 && !holds(experts, expert) {
				experts = append(experts, expert)
			}
		}
	}
	return experts
}

// busiest returns the most loaded ranks.
func (incrementSearch *incrementSearch) busiest() []int {
	var ranks []int
	for range min(busiestRanks, len(incrementSearch.totals)) {
		busiest := -1
		for rank, total := range incrementSearch.totals {
			if !holds(ranks, rank) && (busiest < 0 || total*incrementSearch.pace(rank) > incrementSearch.totals[busiest]*incrementSearch.pace(busiest)) {
				busiest = rank
			}
		}
		ranks = append(ranks, busiest)
	}
	return ranks
}

// consider weighs one step by the crowding of the ranks that it touches; relief is what it takes from the holders of the expert.
func (incrementSearch *incrementSearch) consider(best *incrementStep, found *bool, relief float64, rank, in, out int) {
	after := incrementSearch.totals[rank] + incrementSearch.loads[in]/float64(incrementSearch.counts[in]+1)
	gain := relief
	if out >= 0 {
		after -= incrementSearch.loads[out] / float64(incrementSearch.counts[out])
		gain += incrementSearch.burden(rank, in, out)
	}
	gain += incrementSearch.crowds[rank] - incrementSearch.crowd(rank, after)
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

// shareLess returns by how much the holders of an expert have less of it once one more rank holds it, as a negative number.
func (incrementSearch *incrementSearch) shareLess(in int) float64 {
	return incrementSearch.loads[in]/float64(incrementSearch.counts[in]+1) - incrementSearch.loads[in]/float64(incrementSearch.counts[in])
}

// relief returns the crowding that the holders of an expert lose once one more rank holds it.
func (incrementSearch *incrementSearch) relief(in int) float64 {
	change, relief := incrementSearch.shareLess(in), 0.0
	for _, other := range incrementSearch.holders[in] {
		relief += incrementSearch.crowds[other] - incrementSearch.crowd(other, incrementSearch.totals[other]+change)
	}
	return relief
}

// burden returns, as a negative number, the crowding that the other holders of an expert gain once a rank gives it up for another one, which
// some of them may hold too.
func (incrementSearch *incrementSearch) burden(rank, in, out int) float64 {
	spread := incrementSearch.loads[out]/float64(incrementSearch.counts[out]-1) - incrementSearch.loads[out]/float64(incrementSearch.counts[out])
	burden := 0.0
	for _, other := range incrementSearch.holders[out] {
		if other == rank {
			continue
		}
		before := incrementSearch.totals[other]
		if incrementSearch.held[other][in] {
			before += incrementSearch.shareLess(in)
		}
		burden += incrementSearch.crowd(other, before) - incrementSearch.crowd(other, before+spread)
	}
	return burden
}

func (incrementSearch *incrementSearch) apply(step incrementStep) {
	if step.out >= 0 {
		incrementSearch.remove(step.rank, step.out)
	}
	if step.in >= 0 {
		incrementSearch.add(step.rank, step.in)
	}
	incrementSearch.sumUp()
}

func (incrementSearch *incrementSearch) remove(rank, expert int) {
	incrementSearch.placement[rank] = slices.DeleteFunc(incrementSearch.placement[rank], func(held int) bool { return held == expert })
	incrementSearch.held[rank][expert] = false
	incrementSearch.holders[expert] = slices.DeleteFunc(incrementSearch.holders[expert], func(holder int) bool { return holder == rank })
	incrementSearch.counts[expert]--
	if !incrementSearch.original[rank][expert] {
		incrementSearch.newcomers[rank]--
		incrementSearch.copies--
	}
}

func (incrementSearch *incrementSearch) add(rank, expert int) {
	incrementSearch.placement[rank] = append(incrementSearch.placement[rank], expert)
	incrementSearch.held[rank][expert] = true
	incrementSearch.holders[expert] = append(incrementSearch.holders[expert], rank)
	incrementSearch.counts[expert]++
	if !incrementSearch.original[rank][expert] {
		incrementSearch.newcomers[rank]++
		incrementSearch.copies++
	}
}

func (incrementSearch *incrementSearch) sumUp() {
	for rank, experts := range incrementSearch.placement {
		incrementSearch.totals[rank] = 0
		for _, expert := range experts {
			incrementSearch.totals[rank] += incrementSearch.loads[expert] / float64(incrementSearch.counts[expert])
		}
		incrementSearch.crowds[rank] = incrementSearch.crowd(rank, incrementSearch.totals[rank])
	}
}
