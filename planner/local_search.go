package planner

import "slices"

// relievedRanks is how many of the most loaded ranks each search step considers for relief.
const relievedRanks = 3

// Skew returns the time of the slowest rank of a layer, with the ranks' slowdowns, relative to the time for the mean load at normal speed.
func (localSearch LocalSearch) Skew(placement [][]int, loads []float64) float64 {
	searchState := newSearchState(localSearch, placement, loads)
	if searchState.scale <= 0 {
		return 1
	}
	return searchState.slowestTime() * searchState.scale
}

// Improve returns a placement of a layer that the ranks can reach by copying a few experts, and the total number of copies.
func (localSearch LocalSearch) Improve(placement [][]int, loads []float64) (improved [][]int, copies int) {
	searchState := newSearchState(localSearch, placement, loads)
	before := searchState.slowestTime()
	for {
		step, found := searchState.bestStep()
		if !found {
			break
		}
		searchState.apply(step)
	}
	// A lower total penalty may come with a slower slowest rank, which every pass has to wait for.
	if searchState.slowestTime() > before {
		return placement, 0
	}
	return searchState.placement, searchState.copies
}

type searchState struct {
	localSearch LocalSearch
	loads       []float64
	placement   [][]int
	held        [][]bool
	original    [][]bool
	counts      []int
	// holders lists the ranks that hold each expert.
	holders [][]int
	totals  []float64
	// penalties holds the penalty of each rank.
	penalties []float64
	added     []int
	copies    int
	scale     float64
}

// searchStep adds the expert in to a rank and removes the expert out from it; a negative number stands for none.
type searchStep struct {
	rank, in, out int
	gain          float64
}

func newSearchState(localSearch LocalSearch, placement [][]int, loads []float64) *searchState {
	searchState := &searchState{
		localSearch: localSearch,
		loads:       loads,
		placement:   make([][]int, len(placement)),
		held:        make([][]bool, len(placement)),
		original:    make([][]bool, len(placement)),
		counts:      make([]int, len(loads)),
		holders:     make([][]int, len(loads)),
		totals:      make([]float64, len(placement)),
		penalties:   make([]float64, len(placement)),
		added:       make([]int, len(placement)),
	}
	total := 0.0
	for rank, experts := range placement {
		searchState.placement[rank] = append([]int(nil), experts...)
		searchState.held[rank] = make([]bool, len(loads))
		searchState.original[rank] = make([]bool, len(loads))
		for _, expert := range experts {
			searchState.counts[expert]++
			searchState.holders[expert] = append(searchState.holders[expert], rank)
			searchState.held[rank][expert], searchState.original[rank][expert] = true, true
		}
	}
	for rank, experts := range placement {
		for _, expert := range experts {
			searchState.totals[rank] += loads[expert] / float64(searchState.counts[expert])
		}
		total += searchState.totals[rank]
	}
	if total > 0 {
		searchState.scale = float64(len(placement)) / total
	}
	searchState.updateTotals()
	return searchState
}

// slowestTime returns the time of the slowest rank.
func (searchState *searchState) slowestTime() float64 {
	slowest := 0.0
	for rank, total := range searchState.totals {
		slowest = max(slowest, total*searchState.slowdown(rank))
	}
	return slowest
}

func (searchState *searchState) copyBudget(rank int) int {
	if rank < len(searchState.localSearch.CopyBudgets) {
		return min(searchState.localSearch.CopyBudgets[rank], searchState.localSearch.MaxCopiesPerRank)
	}
	return searchState.localSearch.MaxCopiesPerRank
}

func (searchState *searchState) slowdown(rank int) float64 {
	if rank < len(searchState.localSearch.Slowdowns) {
		return searchState.localSearch.Slowdowns[rank]
	}
	return 1
}

// penalty returns the eighth power of a rank's relative load: the exponent is high enough that the most loaded ranks decide, while the sum stays
// smooth when several ranks have the same load.
func (searchState *searchState) penalty(rank int, total float64) float64 {
	level := total * searchState.slowdown(rank) * searchState.scale
	level *= level
	level *= level
	return level * level
}

// bestStep returns the step that reduces the total penalty the most.
func (searchState *searchState) bestStep() (searchStep, bool) {
	best := searchStep{gain: searchState.localSearch.MinimumGain * slices.Max(searchState.penalties)}
	found := false
	for _, in := range searchState.candidateExperts() {
		relief := searchState.holderGain(in)
		for rank := range searchState.placement {
			// The rank itself cannot lose more than its whole penalty, whichever expert it drops.
			if searchState.held[rank][in] || relief+searchState.penalties[rank] <= best.gain {
				continue
			}
			returning := searchState.original[rank][in]
			if !returning && searchState.added[rank] >= searchState.copyBudget(rank) {
				continue
			}
			if len(searchState.placement[rank]) < searchState.localSearch.SlotsPerRank {
				searchState.considerAdd(&best, &found, relief, rank, in, -1)
			}
			for _, out := range searchState.placement[rank] {
				if searchState.counts[out] > 1 {
					searchState.considerAdd(&best, &found, relief, rank, in, out)
				}
			}
		}
	}
	for _, rank := range searchState.mostLoadedRanks() {
		for _, out := range searchState.placement[rank] {
			if searchState.counts[out] > 1 {
				searchState.considerDrop(&best, &found, rank, out)
			}
		}
	}
	return best, found
}

// considerDrop evaluates dropping an expert from a rank and leaving it to its other holders, which copies nothing.
func (searchState *searchState) considerDrop(best *searchStep, found *bool, rank, out int) {
	leaving := searchState.loads[out] / float64(searchState.counts[out])
	spread := searchState.loads[out]/float64(searchState.counts[out]-1) - leaving
	gain := searchState.penalties[rank] - searchState.penalty(rank, searchState.totals[rank]-leaving)
	for _, other := range searchState.holders[out] {
		if other != rank {
			gain += searchState.penalties[other] - searchState.penalty(other, searchState.totals[other]+spread)
		}
	}
	if gain > best.gain {
		*found = true
		*best = searchStep{
			rank: rank,
			in:   -1,
			out:  out,
			gain: gain,
		}
	}
}

// candidateExperts returns the experts of the most loaded ranks.
func (searchState *searchState) candidateExperts() []int {
	var experts []int
	for _, rank := range searchState.mostLoadedRanks() {
		for _, expert := range searchState.placement[rank] {
			if searchState.loads[expert] > 0 && !holds(experts, expert) {
				experts = append(experts, expert)
			}
		}
	}
	return experts
}

// mostLoadedRanks returns the relievedRanks ranks that take longest, by load and slowdown.
func (searchState *searchState) mostLoadedRanks() []int {
	var ranks []int
	for range min(relievedRanks, len(searchState.totals)) {
		busiest := -1
		for rank, total := range searchState.totals {
			if !holds(ranks, rank) && (busiest < 0 || total*searchState.slowdown(rank) > searchState.totals[busiest]*searchState.slowdown(busiest)) {
				busiest = rank
			}
		}
		ranks = append(ranks, busiest)
	}
	return ranks
}

// considerAdd evaluates adding an expert to a rank by the penalties of all affected ranks; relief is the holderGain of the expert.
func (searchState *searchState) considerAdd(best *searchStep, found *bool, relief float64, rank, in, out int) {
	after := searchState.totals[rank] + searchState.loads[in]/float64(searchState.counts[in]+1)
	gain := relief
	if out >= 0 {
		after -= searchState.loads[out] / float64(searchState.counts[out])
		gain += searchState.holderLoss(rank, in, out)
	}
	gain += searchState.penalties[rank] - searchState.penalty(rank, after)
	if gain > best.gain {
		*found = true
		*best = searchStep{
			rank: rank,
			in:   in,
			out:  out,
			gain: gain,
		}
	}
}

// shareChange returns the change, which is negative, in the load that each holder has from an expert when one more rank holds it.
func (searchState *searchState) shareChange(in int) float64 {
	return searchState.loads[in]/float64(searchState.counts[in]+1) - searchState.loads[in]/float64(searchState.counts[in])
}

// holderGain returns by how much the penalties of the holders of an expert fall when one more rank holds it.
func (searchState *searchState) holderGain(in int) float64 {
	change, relief := searchState.shareChange(in), 0.0
	for _, other := range searchState.holders[in] {
		relief += searchState.penalties[other] - searchState.penalty(other, searchState.totals[other]+change)
	}
	return relief
}

// holderLoss returns, as a negative number, by how much the penalties of the other holders of an expert rise when a rank replaces it by another
// expert, which some of them may hold too.
func (searchState *searchState) holderLoss(rank, in, out int) float64 {
	spread := searchState.loads[out]/float64(searchState.counts[out]-1) - searchState.loads[out]/float64(searchState.counts[out])
	change := 0.0
	for _, other := range searchState.holders[out] {
		if other == rank {
			continue
		}
		before := searchState.totals[other]
		if searchState.held[other][in] {
			before += searchState.shareChange(in)
		}
		change += searchState.penalty(other, before) - searchState.penalty(other, before+spread)
	}
	return change
}

func (searchState *searchState) apply(step searchStep) {
	if step.out >= 0 {
		searchState.remove(step.rank, step.out)
	}
	if step.in >= 0 {
		searchState.add(step.rank, step.in)
	}
	searchState.updateTotals()
}

func (searchState *searchState) remove(rank, expert int) {
	searchState.placement[rank] = slices.DeleteFunc(searchState.placement[rank], func(held int) bool { return held == expert })
	searchState.held[rank][expert] = false
	searchState.holders[expert] = slices.DeleteFunc(searchState.holders[expert], func(holder int) bool { return holder == rank })
	searchState.counts[expert]--
	if !searchState.original[rank][expert] {
		searchState.added[rank]--
		searchState.copies--
	}
}

func (searchState *searchState) add(rank, expert int) {
	searchState.placement[rank] = append(searchState.placement[rank], expert)
	searchState.held[rank][expert] = true
	searchState.holders[expert] = append(searchState.holders[expert], rank)
	searchState.counts[expert]++
	if !searchState.original[rank][expert] {
		searchState.added[rank]++
		searchState.copies++
	}
}

func (searchState *searchState) updateTotals() {
	for rank, experts := range searchState.placement {
		searchState.totals[rank] = 0
		for _, expert := range experts {
			searchState.totals[rank] += searchState.loads[expert] / float64(searchState.counts[expert])
		}
		searchState.penalties[rank] = searchState.penalty(rank, searchState.totals[rank])
	}
}
