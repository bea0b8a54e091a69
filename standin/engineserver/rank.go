package engineserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
)

type pendingSwitch struct {
	step    uint64
	version uint64
}

// Rank is one rank of a group; the group's mutex guards its fields.
type Rank struct {
	group         *Group
	number        int
	incarnation   int
	faults        Faults
	version       uint64
	maps          map[uint64]cranberryward.ExpertMap
	loadingMaps   map[uint64]bool
	held          bool
	heldStep      uint64
	pending       pendingSwitch
	fencing       uint64
	queue         []*stream
	running       []*stream
	streams       map[string]*stream
	executions    []*stream
	cache         blockCache
	events        eventLog
	load          cranberryward.EngineLoad
	loadUpdatedAt time.Time
	random        *rand.Rand
	orders        []cranberryward.Order
	crashes       int
	models        map[string]bool
	role          string
}

func newRank(group *Group, number int, initial cranberryward.ExpertMap) *Rank {
	rank := &Rank{
		group:  group,
		number: number,
		random: rand.New(rand.NewPCG(group.settings.Seed, uint64(number))),
	}
	rank.reset()
	rank.version = initial.Version
	rank.maps[initial.Version] = initial
	return rank
}

func (rank *Rank) reset() {
	rank.incarnation++
	rank.version = 0
	rank.maps = map[uint64]cranberryward.ExpertMap{}
	rank.loadingMaps = map[uint64]bool{}
	rank.held = false
	rank.heldStep = 0
	rank.pending = pendingSwitch{}
	rank.fencing = 0
	for _, stream := range rank.streams {
		stream.markLost()
	}
	rank.queue = nil
	rank.running = nil
	rank.streams = map[string]*stream{}
	rank.cache = newBlockCache(rank.group.settings.CacheBlocks)
	rank.events = eventLog{}
	rank.models = map[string]bool{rank.group.settings.Model: true}
}

func (rank *Rank) incarnationName() string {
	return rank.group.settings.Name + "-" + strconv.Itoa(rank.number) + "-" + strconv.Itoa(rank.incarnation)
}

// SetFaults replaces the rank's faults; a rank that becomes dead loses everything that it holds in memory.
func (rank *Rank) SetFaults(faults Faults) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	if faults.Dead && !rank.faults.Dead {
		rank.reset()
	}
	rank.faults = faults
}

// Restart discards everything that the rank holds in memory.
func (rank *Rank) Restart() {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	rank.reset()
}

// Crashes returns how many requests with the crash marker have crashed the rank.
func (rank *Rank) Crashes() int {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	return rank.crashes
}

// State returns the current state of the rank.
func (rank *Rank) State() cranberryward.RankState {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	return rank.state()
}

// Executions returns a record of each request that began to run.
func (rank *Rank) Executions() []cranberryward.ExecutionRecord {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	executions := make([]cranberryward.ExecutionRecord, 0, len(rank.executions))
	for _, stream := range rank.executions {
		executions = append(executions, cranberryward.ExecutionRecord{
			RequestID: stream.request.RequestID,
			Version:   stream.request.Version,
			Text:      stream.text[:stream.emittedBytes],
			Finished:  stream.end != nil,
			Crashed:   stream.crashed,
		})
	}
	return executions
}

// Orders returns the orders that the rank executed.
func (rank *Rank) Orders() []cranberryward.Order {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	return append([]cranberryward.Order{}, rank.orders...)
}

func (rank *Rank) state() cranberryward.RankState {
	state := cranberryward.RankState{
		Step:        rank.group.step,
		Held:        rank.held && rank.heldStep <= rank.group.step+1,
		HeldStep:    rank.heldStep,
		MapVersion:  rank.version,
		Incarnation: rank.incarnationName(),
		Fencing:     rank.fencing,
	}
	if rank.pending.version != 0 && rank.pending.step == rank.group.step+1 {
		state.MapVersion = rank.pending.version
	}
	for version := range rank.maps {
		state.Prepared = append(state.Prepared, version)
	}
	sort.Slice(state.Prepared, func(i, j int) bool { return state.Prepared[i] < state.Prepared[j] })
	for model := range rank.models {
		state.Versions = append(state.Versions, model)
	}
	return state
}

// activateAfterRestart gives a rank without a map the pending one if it is due, so that the rank may enter the step.
func (rank *Rank) activateAfterRestart(next uint64) {
	if rank.version == 0 && rank.pending.version != 0 && rank.pending.step <= next {
		rank.version = rank.pending.version
		rank.pending = pendingSwitch{}
	}
}

func (rank *Rank) mayEnter(step uint64) bool {
	if rank.faults.Dead || rank.faults.Stalled {
		return false
	}
	if rank.version == 0 {
		return false
	}
	return !rank.held || rank.heldStep > step
}

func (rank *Rank) runStep(step uint64) {
	if rank.pending.version != 0 && rank.pending.step <= step {
		rank.version = rank.pending.version
		rank.pending = pendingSwitch{}
	}
	rank.admit()
	kept := rank.running[:0]
	for _, stream := range rank.running {
		if rank.advanceStream(stream) {
			kept = append(kept, stream)
		}
	}
	if rank.faults.Dead {
		return // a request has crashed the rank, which has lost all of them
	}
	rank.running = kept
	rank.updateLoad(false)
}

func (rank *Rank) admit() {
	sort.SliceStable(rank.queue, func(i, j int) bool {
		return rank.queue[i].request.Priority > rank.queue[j].request.Priority
	})
	for len(rank.queue) > 0 && len(rank.running) < rank.group.settings.MaxBatch {
		stream := rank.queue[0]
		rank.queue = rank.queue[1:]
		if stream.canceled {
			continue
		}
		rank.startStream(stream)
	}
}

func (rank *Rank) startStream(stream *stream) {
	blocks := cranberryward.AppendBlockHashes(nil, stream.request.Prompt)
	cached := rank.cache.countCached(blocks)
	removed := rank.cache.store(blocks)
	rank.events.add(rank, blocks, removed)
	stream.cachedTokens = tokenCount(cached * cranberryward.PrefixBlockBytes)
	uncached := len(stream.request.Prompt) - cached*cranberryward.PrefixBlockBytes
	stream.prefillSteps = uncached / max(rank.group.settings.PrefillBytes, 1)
	rank.running = append(rank.running, stream)
	rank.executions = append(rank.executions, stream)
	rank.crashAt(stream)
}

// crashAt crashes the rank if the request has the crash marker and its response has as many tokens as the fault says, and returns whether it does.
func (rank *Rank) crashAt(stream *stream) bool {
	marker := rank.faults.CrashMarker
	if marker == "" || !strings.Contains(stream.request.Prompt, marker) || stream.emittedTokens < rank.faults.CrashAfterTokens {
		return false
	}
	stream.crashed = true
	rank.crash()
	return true
}

func (rank *Rank) crash() {
	rank.crashes++
	restart := time.Duration(rank.faults.RestartMS) * time.Millisecond
	rank.reset()
	rank.faults.Dead = true
	time.AfterFunc(restart, func() {
		rank.group.mutex.Lock()
		defer rank.group.mutex.Unlock()
		rank.faults.Dead = false
	})
}

func (rank *Rank) advanceStream(stream *stream) (keep bool) {
	if stream.canceled || stream.lost {
		return false
	}
	if stream.prefillSteps > 0 {
		stream.prefillSteps--
		return true
	}
	stream.emitToken()
	if rank.faults.CrashAfterTokens > 0 && rank.crashAt(stream) {
		return false
	}
	return stream.end == nil
}

func (rank *Rank) updateLoad(force bool) {
	lag := time.Duration(rank.faults.LoadLagMS) * time.Millisecond
	if !force && time.Since(rank.loadUpdatedAt) < lag {
		return
	}
	rank.loadUpdatedAt = time.Now()
	queuedTokens := 0
	for _, stream := range rank.queue {
		queuedTokens += tokenCount(len(stream.request.Prompt))
	}
	rank.load = cranberryward.EngineLoad{
		Running:       len(rank.running),
		Queued:        len(rank.queue),
		QueuedTokens:  queuedTokens,
		Step:          rank.group.step,
		StepMicros:    int64(float64(rank.group.settings.StepMicros) * rank.group.skew),
		MapVersion:    rank.version,
		Incarnation:   rank.incarnationName(),
		CacheSequence: rank.events.sequence,
	}
}

// ExecuteOrder executes an order, as the HTTP API does.
func (rank *Rank) ExecuteOrder(ctx context.Context, order cranberryward.Order) error {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	if rank.faults.RefuseOrders {
		return refusal(cranberryward.ReasonInternal, "the rank refuses orders because of an injected fault")
	}
	if !rank.faults.IgnoreFencing {
		if order.Fencing < rank.fencing {
			return refusal(cranberryward.ReasonFenced, fmt.Sprintf("fencing number %d of the order is lower than the last one, %d", order.Fencing, rank.fencing))
		}
		rank.fencing = order.Fencing
	}
	if err := rank.apply(ctx, order); err != nil {
		return err
	}
	rank.orders = append(rank.orders, order)
	return nil
}

// Map returns the expert map that the rank holds for a version.
func (rank *Rank) Map(version uint64) (cranberryward.ExpertMap, error) {
	rank.group.mutex.Lock()
	defer rank.group.mutex.Unlock()
	expertMap, ok := rank.maps[version]
	if !ok {
		return expertMap, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNotFound, fmt.Sprintf("expert map version %d not found", version))
	}
	return expertMap, nil
}

func refusal(reason cranberryward.Reason, message string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, reason, message).WithResend(false)
}

func (rank *Rank) apply(ctx context.Context, order cranberryward.Order) error {
	next := rank.group.step + 1
	switch order.Kind {
	case cranberryward.OrderPrepare:
		rank.prepare(ctx, order.Map)
	case cranberryward.OrderDiscard:
		if order.Version != rank.version && order.Version != rank.pending.version {
			delete(rank.maps, order.Version)
		}
	case cranberryward.OrderHold:
		if order.Step < next {
			return refusal(cranberryward.ReasonStale, fmt.Sprintf("cannot hold before step %d: the group has entered step %d", order.Step, rank.group.step))
		}
		rank.held = true
		rank.heldStep = order.Step
	case cranberryward.OrderSwitch:
		if order.Step < next {
			return refusal(cranberryward.ReasonStale, fmt.Sprintf("cannot switch at step %d: the group has entered step %d", order.Step, rank.group.step))
		}
		if _, prepared := rank.maps[order.Version]; !prepared {
			return refusal(cranberryward.ReasonInvalid, fmt.Sprintf("expert map version %d is not prepared", order.Version))
		}
		rank.pending = pendingSwitch{
			step:    order.Step,
			version: order.Version,
		}
	case cranberryward.OrderRelease:
		if rank.held && order.Step == rank.heldStep {
			rank.held = false
			rank.heldStep = 0
		}
	case cranberryward.OrderLoadModel:
		rank.models[order.Model] = true
	case cranberryward.OrderRole:
		rank.role = order.Name
	default:
		return refusal(cranberryward.ReasonInvalid, fmt.Sprintf("unknown order kind %q", order.Kind))
	}
	return nil
}

// prepare fetches the weights in the background and continues after the request of the order has ended.
func (rank *Rank) prepare(ctx context.Context, expertMap cranberryward.ExpertMap) {
	if _, ready := rank.maps[expertMap.Version]; ready || rank.loadingMaps[expertMap.Version] {
		return
	}
	incarnation := rank.incarnation
	rank.loadingMaps[expertMap.Version] = true
	current := rank.maps[rank.version]
	go func() {
		err := rank.fetch(context.WithoutCancel(ctx), current, expertMap)
		rank.group.mutex.Lock()
		defer rank.group.mutex.Unlock()
		if rank.incarnation != incarnation {
			return
		}
		delete(rank.loadingMaps, expertMap.Version)
		if err == nil {
			rank.maps[expertMap.Version] = expertMap
		}
	}()
}

// fetch reads the weights of the experts that the current map does not place on the rank.
func (rank *Rank) fetch(ctx context.Context, current, wanted cranberryward.ExpertMap) error {
	for layer, placement := range wanted.Layers {
		resident := map[int]bool{}
		if layer < len(current.Layers) {
			for _, expert := range current.Layers[layer][rank.number] {
				resident[expert] = true
			}
		}
		var missing []int
		for _, expert := range placement[rank.number] {
			if !resident[expert] {
				missing = append(missing, expert)
				resident[expert] = true
			}
		}
		if len(missing) == 0 {
			continue
		}
		if _, err := rank.group.weights.Fetch(ctx, rank.group.settings.Model, layer, missing); err != nil {
			return err
		}
	}
	return nil
}
