package engineserver

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	maxStepRecords = 1 << 20
	zipfExponent   = 0.9
)

// Group is a lock-step group, which advances only when every rank may enter the next step.
type Group struct {
	settings    Settings
	weights     cranberryward.WeightStore
	mutex       sync.Mutex
	ranks       []*Rank
	step        uint64
	log         []cranberryward.StepRecord
	phase       float64
	skew        float64
	maxHoldTime time.Duration
	heldSince   time.Time
}

// NewGroup returns a group whose ranks all run the initial expert map, version 1.
func NewGroup(settings Settings, weights cranberryward.WeightStore) *Group {
	group := &Group{
		settings: settings,
		weights:  weights,
		skew:     1,
	}
	initial := InitialMap(settings)
	for rank := range settings.Ranks {
		group.ranks = append(group.ranks, newRank(group, rank, initial))
	}
	return group
}

// InitialMap returns the expert map that fills the ranks' slots with the experts in order.
func InitialMap(settings Settings) cranberryward.ExpertMap {
	expertMap := cranberryward.ExpertMap{
		Version: 1,
		Ranks:   settings.Ranks,
	}
	slots := settings.Experts + settings.Redundant
	perRank := slots / settings.Ranks
	for range settings.Layers {
		layer := make([][]int, settings.Ranks)
		for slot := range perRank * settings.Ranks {
			layer[slot/perRank] = append(layer[slot/perRank], slot%settings.Experts)
		}
		expertMap.Layers = append(expertMap.Layers, layer)
	}
	return expertMap
}

// Rank returns the rank with the given number.
func (group *Group) Rank(rank int) *Rank { return group.ranks[rank] }

// RankCount returns the number of ranks.
func (group *Group) RankCount() int { return len(group.ranks) }

// SetPhase shifts the popularity of the experts, which drifts over the day.
func (group *Group) SetPhase(phase float64) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.phase = phase
}

// StepLog returns the map version that each rank ran in each step.
func (group *Group) StepLog() []cranberryward.StepRecord {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return append([]cranberryward.StepRecord{}, group.log...)
}

// Step returns the last step that the group entered.
func (group *Group) Step() uint64 {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.step
}

// Skew returns the slowest rank's load divided by the mean load in the last step, averaged over the layers.
func (group *Group) Skew() float64 {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.skew
}

// MaxHoldTime returns the longest time that the group was held at a step boundary.
func (group *Group) MaxHoldTime() time.Duration {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.maxHoldTime
}

// Run advances the group until the context ends.
func (group *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(group.settings.StepMicros) * time.Microsecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			group.advance()
		}
	}
}

func (group *Group) advance() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	next := group.step + 1
	ready, held := true, false
	for _, rank := range group.ranks {
		rank.activateAfterRestart(next)
		if !rank.mayEnter(next) {
			ready = false
		}
		held = held || (rank.held && rank.heldStep <= next && !rank.faults.Dead)
	}
	group.trackHold(held)
	if !ready {
		return
	}
	group.step = next
	for _, rank := range group.ranks {
		rank.runStep(next)
		if len(group.log) < maxStepRecords {
			group.log = append(group.log, cranberryward.StepRecord{
				Step:       next,
				Rank:       rank.number,
				MapVersion: rank.version,
			})
		}
	}
	group.measureSkew()
}

func (group *Group) trackHold(held bool) {
	if !held {
		group.heldSince = time.Time{}
		return
	}
	if group.heldSince.IsZero() {
		group.heldSince = time.Now()
	}
	group.maxHoldTime = max(group.maxHoldTime, time.Since(group.heldSince))
}

func (group *Group) measureSkew() {
	expertMap := group.ranks[0].maps[group.ranks[0].version]
	loads := group.expertLoads()
	var skewSum, layers float64
	for layer, placement := range expertMap.Layers {
		replicas := make([]float64, group.settings.Experts)
		for _, experts := range placement {
			for _, expert := range experts {
				replicas[expert]++
			}
		}
		var slowest, total float64
		for _, experts := range placement {
			var load float64
			for _, expert := range experts {
				load += float64(loads[layer][expert]) / replicas[expert]
			}
			slowest = max(slowest, load)
			total += load
		}
		if total > 0 {
			skewSum += slowest * float64(len(placement)) / total
			layers++
		}
	}
	if layers > 0 {
		group.skew = skewSum / layers
	}
}

func (group *Group) expertLoads() [][]float32 {
	loads := make([][]float32, group.settings.Layers)
	for layer := range loads {
		loads[layer] = make([]float32, group.settings.Experts)
		shift := int(group.phase*float64(group.settings.Experts)) + layer
		for expert := range loads[layer] {
			position := (expert + shift) % group.settings.Experts
			loads[layer][expert] = float32(1 / math.Pow(float64(position+1), zipfExponent))
		}
	}
	return loads
}
