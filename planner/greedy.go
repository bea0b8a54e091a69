package planner

import (
	"container/heap"
	"sort"
)

type replicaHeap struct {
	loads  []float64
	counts []int
	order  []int
}

func (replicaHeap *replicaHeap) Len() int { return len(replicaHeap.order) }

func (replicaHeap *replicaHeap) Less(i, j int) bool {
	a, b := replicaHeap.order[i], replicaHeap.order[j]
	left := replicaHeap.loads[a] / float64(replicaHeap.counts[a])
	right := replicaHeap.loads[b] / float64(replicaHeap.counts[b])
	if left != right {
		return left > right
	}
	return a < b
}

func (replicaHeap *replicaHeap) Swap(i, j int) {
	replicaHeap.order[i], replicaHeap.order[j] = replicaHeap.order[j], replicaHeap.order[i]
}

func (replicaHeap *replicaHeap) Push(any) {}

func (replicaHeap *replicaHeap) Pop() any { return nil }

func replicaCounts(loads []float64, slots, ranks int) []int {
	counts := make([]int, len(loads))
	replicas := &replicaHeap{
		loads:  loads,
		counts: counts,
	}
	for expert := range loads {
		counts[expert] = 1
		replicas.order = append(replicas.order, expert)
	}
	heap.Init(replicas)
	for free := slots - len(loads); free > 0; free-- {
		top := replicas.order[0]
		if counts[top] >= ranks {
			return counts
		}
		counts[top]++
		heap.Fix(replicas, 0)
	}
	return counts
}

type replica struct {
	expert int
	load   float64
}

// GreedyLayer builds the placement of a layer from scratch: it replicates the heaviest experts and packs the replicas on the ranks, heaviest first.
func GreedyLayer(loads []float64, capacity []int) [][]int {
	slots, ranks := 0, 0
	for _, free := range capacity {
		slots += free
		if free > 0 {
			ranks++
		}
	}
	counts := replicaCounts(loads, slots, ranks)
	var replicas []replica
	for expert, count := range counts {
		for range count {
			replicas = append(replicas, replica{
				expert: expert,
				load:   loads[expert] / float64(count),
			})
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool { return replicas[i].load > replicas[j].load })
	return pack(replicas, capacity)
}

func pack(replicas []replica, capacity []int) [][]int {
	placement := make([][]int, len(capacity))
	totals := make([]float64, len(capacity))
	for _, replica := range replicas {
		best := -1
		for rank := range capacity {
			if len(placement[rank]) >= capacity[rank] || holds(placement[rank], replica.expert) {
				continue
			}
			if best < 0 || totals[rank] < totals[best] {
				best = rank
			}
		}
		if best < 0 {
			continue
		}
		placement[best] = append(placement[best], replica.expert)
		totals[best] += replica.load
	}
	return repair(placement, replicas, capacity)
}

// repair places the experts that pack found no rank for, in a free slot or in place of a replica of an expert that has several.
func repair(placement [][]int, replicas []replica, capacity []int) [][]int {
	counts := map[int]int{}
	for _, experts := range placement {
		for _, expert := range experts {
			counts[expert]++
		}
	}
	for _, replica := range replicas {
		if counts[replica.expert] > 0 {
			continue
		}
		for rank := range placement {
			if counts[replica.expert] == 0 && len(placement[rank]) < capacity[rank] {
				placement[rank] = append(placement[rank], replica.expert)
				counts[replica.expert]++
			}
		}
		for rank := range placement {
			for i, expert := range placement[rank] {
				if counts[replica.expert] == 0 && counts[expert] > 1 {
					placement[rank][i] = replica.expert
					counts[expert]--
					counts[replica.expert]++
				}
			}
		}
	}
	return placement
}

func holds(experts []int, expert int) bool {
	for _, held := range experts {
		if held == expert {
			return true
		}
	}
	return false
}
