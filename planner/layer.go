package planner

import (
	"slices"
)

const (
	maxOperations   = 48
	maxTargets      = 4
	maxNonImproving = 10
	minImprovement  = 1e-4
)

// operation replaces one replica on a rank, or exchanges two replicas between ranks.
type operation struct {
	from, to       int
	out, in        int
	exchange       bool
	slowest, score float64
}

func (operation operation) moves() int {
	if operation.exchange {
		return 2
	}
	return 1
}

type layer struct {
	loads              []float64
	placement          [][]int
	counts             []int
	totals             []float64
	mean               float64
	heldBits           []uint64
	wordsPerRank       int
	leastLoadedScratch []int
	holders            [][]int
	shares             []float64
}

func newLayer(placement [][]int, loads []float64) *layer {
	layer := &layer{
		loads:        loads,
		placement:    make([][]int, len(placement)),
		counts:       make([]int, len(loads)),
		totals:       make([]float64, len(placement)),
		wordsPerRank: (len(loads) + 63) / 64,
		holders:      make([][]int, len(loads)),
		shares:       make([]float64, len(loads)),
	}
	layer.heldBits = make([]uint64, layer.wordsPerRank*len(placement))
	for rank, experts := range placement {
		layer.placement[rank] = append([]int(nil), experts...)
		for _, expert := range experts {
			layer.counts[expert]++
			layer.setHeld(rank, expert, true)
			layer.holders[expert] = append(layer.holders[expert], rank)
		}
	}
	for expert := range loads {
		layer.updateShare(expert)
	}
	layer.updateTotals()
	return layer
}

func (layer *layer) updateShare(expert int) {
	layer.shares[expert] = layer.loads[expert] / float64(max(layer.counts[expert], 1))
}

func (layer *layer) setHeld(rank, expert int, held bool) {
	word, bit := rank*layer.wordsPerRank+expert/64, uint64(1)<<(expert%64)
	if held {
		layer.heldBits[word] |= bit
	} else {
		layer.heldBits[word] &^= bit
	}
}

func (layer *layer) holds(rank, expert int) bool {
	return layer.heldBits[rank*layer.wordsPerRank+expert/64]&(1<<(expert%64)) != 0
}

func (layer *layer) share(expert int) float64 {
	return layer.shares[expert]
}

func (layer *layer) updateTotals() {
	total := 0.0
	for rank, experts := range layer.placement {
		layer.totals[rank] = 0
		for _, expert := range experts {
			layer.totals[rank] += layer.share(expert)
		}
		total += layer.totals[rank]
	}
	layer.mean = total / float64(max(len(layer.placement), 1))
}

func (layer *layer) slowestRank() int {
	worst := 0
	for rank, total := range layer.totals {
		if total > layer.totals[worst] {
			worst = rank
		}
	}
	return worst
}

func (layer *layer) skew() float64 {
	if layer.mean <= 0 {
		return 1
	}
	return layer.totals[layer.slowestRank()] / layer.mean
}

// bestOperation returns the operation that lowers the load of the slowest rank the most for each move.
func (layer *layer) bestOperation() (operation, bool) {
	worst := layer.slowestRank()
	best := operation{}
	found := false
	consider := func(candidate operation) {
		gain := layer.totals[worst] - candidate.slowest
		if gain < minImprovement*layer.mean {
			return
		}
		candidate.score = gain / float64(candidate.moves())
		if !found || candidate.score > best.score {
			best, found = candidate, true
		}
	}
	targets := layer.leastLoadedRanks()
	for _, expert := range layer.placement[worst] {
		for _, rank := range targets {
			if rank == worst || layer.holds(rank, expert) {
				continue
			}
			layer.considerReplicas(worst, rank, expert, consider)
			layer.considerExchanges(worst, rank, expert, consider)
		}
	}
	return best, found
}

// leastLoadedRanks returns the maxTargets least loaded ranks, the only ones that are considered for taking load from another rank.
func (layer *layer) leastLoadedRanks() []int {
	layer.leastLoadedScratch = layer.leastLoadedScratch[:0]
	for rank := range layer.totals {
		position := len(layer.leastLoadedScratch)
		if position == maxTargets {
			if layer.totals[rank] >= layer.totals[layer.leastLoadedScratch[position-1]] {
				continue
			}
			position--
			layer.leastLoadedScratch = layer.leastLoadedScratch[:position]
		}
		for position > 0 && layer.totals[layer.leastLoadedScratch[position-1]] > layer.totals[rank] {
			position--
		}
		layer.leastLoadedScratch = slices.Insert(layer.leastLoadedScratch, position, rank)
	}
	return layer.leastLoadedScratch
}

// considerReplicas evaluates adding a replica of the expert on the rank in place of a replica of an expert that other ranks hold too.
func (layer *layer) considerReplicas(worst, rank, expert int, consider func(operation)) {
	share := layer.share(expert)
	added := layer.loads[expert] / float64(layer.counts[expert]+1)
	relieved := layer.totals[worst] - share + added
	for _, dropped := range layer.placement[rank] {
		if layer.counts[dropped] < 2 {
			continue
		}
		old := layer.share(dropped)
		spread := layer.loads[dropped]/float64(layer.counts[dropped]-1) - old
		slowest := layer.totals[rank] - old + added
		after := relieved
		if layer.holds(worst, dropped) {
			after += spread
		}
		slowest = max(slowest, after)
		if slowest >= layer.totals[worst] {
			continue
		}
		for _, holder := range layer.holders[dropped] {
			if holder != rank && holder != worst {
				total := layer.totals[holder] + spread
				if layer.holds(holder, expert) {
					total += added - share
				}
				slowest = max(slowest, total)
			}
		}
		consider(operation{
			from:    worst,
			to:      rank,
			in:      expert,
			out:     dropped,
			slowest: slowest,
		})
	}
}

// considerExchanges evaluates exchanging the expert for a lighter one of the rank.
func (layer *layer) considerExchanges(worst, rank, expert int, consider func(operation)) {
	share := layer.share(expert)
	for _, other := range layer.placement[rank] {
		if layer.holds(worst, other) {
			continue
		}
		otherShare := layer.share(other)
		if otherShare >= share {
			continue
		}
		consider(operation{
			from:     worst,
			to:       rank,
			in:       expert,
			out:      other,
			exchange: true,
			slowest:  max(layer.totals[worst]-share+otherShare, layer.totals[rank]-otherShare+share),
		})
	}
}

func (layer *layer) apply(operation operation) {
	layer.replace(operation.to, operation.out, operation.in)
	if operation.exchange {
		layer.replace(operation.from, operation.in, operation.out)
	} else {
		layer.counts[operation.in]++
		layer.counts[operation.out]--
	}
	layer.updateShare(operation.in)
	layer.updateShare(operation.out)
	layer.updateTotals()
}

func (layer *layer) replace(rank, out, in int) {
	for i, expert := range layer.placement[rank] {
		if expert == out {
			layer.placement[rank][i] = in
		}
	}
	layer.setHeld(rank, out, false)
	layer.setHeld(rank, in, true)
	layer.holders[out] = slices.DeleteFunc(layer.holders[out], func(holder int) bool { return holder == rank })
	layer.holders[in] = append(layer.holders[in], rank)
}

// improve applies the sequence of operations with the highest net value: the value of the skew that it removes less the price of its moves.
func (layer *layer) improve(value, price float64) (moves int, gain float64) {
	before := layer.skew()
	var operations []operation
	bestCount, bestMoves, bestNet := 0, 0, 0.0
	trial := newLayer(layer.placement, layer.loads)
	for len(operations) < maxOperations {
		operation, found := trial.bestOperation()
		if !found {
			break
		}
		trial.apply(operation)
		operations = append(operations, operation)
		moves += operation.moves()
		if net := value*(before-trial.skew()) - price*float64(moves); net > bestNet {
			bestCount, bestMoves, bestNet = len(operations), moves, net
		}
		if len(operations)-bestCount > maxNonImproving {
			break
		}
	}
	for _, operation := range operations[:bestCount] {
		layer.apply(operation)
	}
	return bestMoves, before - layer.skew()
}
