package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/go-kit/log"
)

// Limits are the bounds within which the guard allows disruptive orders.
type Limits struct {
	MaxAge     time.Duration `json:"max_age"`
	HoldBound  time.Duration `json:"hold_bound"`
	ClockError time.Duration `json:"clock_error"`
}

// Guard checks orders before the engine receives them: their fencing number must not be lower than any earlier one, and a disruptive order, unless it
// is part of a recovery, needs a recently confirmed configuration and must end before a quiet window opens.
type Guard struct {
	engine         cranberryward.Engine
	localState     *distributor.LocalState
	zone           string
	incarnation    string
	limits         Limits
	logger         log.Logger
	mutex          sync.Mutex
	highestFencing uint64
	// reportedFencing is a copy of highestFencing that State reads without waiting for an order in progress, which holds the mutex.
	reportedFencing atomic.Uint64
	fencingKnown    bool
}

// New returns a guard for an engine and one incarnation of its agent.
func New(engine cranberryward.Engine, localState *distributor.LocalState, zone, incarnation string, limits Limits, logger log.Logger) *Guard {
	return &Guard{
		engine:      engine,
		localState:  localState,
		zone:        zone,
		incarnation: incarnation,
		limits:      limits,
		logger:      logger,
	}
}

// State returns the state of the rank, with the highest fencing number that the guard or the engine has received.
func (guard *Guard) State(ctx context.Context) (cranberryward.RankState, error) {
	state, err := guard.engine.RankState(ctx)
	state.Fencing = max(state.Fencing, guard.reportedFencing.Load())
	return state, err
}

// Order sends an order to the engine or refuses it as NotRun.
func (guard *Guard) Order(ctx context.Context, orderRequest switcher.OrderRequest) error {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	err := guard.check(ctx, orderRequest)
	if err == nil {
		guard.highestFencing = orderRequest.Order.Fencing
		guard.reportedFencing.Store(guard.highestFencing)
		err = guard.engine.Order(ctx, orderRequest.Order)
	}
	verdict := cranberryward.VerdictOf(err)
	_ = guard.logger.Log("event", "order", "kind", orderRequest.Order.Kind, "group", orderRequest.Order.Group, "fencing", orderRequest.Order.Fencing,
		"version", orderRequest.Order.Version, "step", orderRequest.Order.Step, "verdict", verdict, "revision", guard.localState.Revision(), "error", err)
	return err
}

func newRefusal(reason cranberryward.Reason, message string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, reason, message).WithResend(false)
}

func (guard *Guard) check(ctx context.Context, orderRequest switcher.OrderRequest) error {
	if orderRequest.Incarnation != "" && orderRequest.Incarnation != guard.incarnation {
		return newRefusal(cranberryward.ReasonWrongIncarnation, "the order is for another incarnation of this agent")
	}
	if !guard.fencingKnown {
		state, err := guard.engine.RankState(ctx)
		if err != nil {
			return newRefusal(cranberryward.ReasonUnreachable, "reading the fencing number from the engine failed")
		}
		guard.highestFencing = max(guard.highestFencing, state.Fencing)
		guard.fencingKnown = true
	}
	if orderRequest.Order.Fencing < guard.highestFencing {
		return newRefusal(cranberryward.ReasonFenced, "an order with a higher fencing number has been received")
	}
	if isDisruptive(orderRequest.Order.Kind) && !orderRequest.Recovery {
		return guard.MayDisrupt()
	}
	return nil
}

func isDisruptive(kind cranberryward.OrderKind) bool {
	switch kind {
	case cranberryward.OrderPrepare, cranberryward.OrderHold, cranberryward.OrderLoadModel, cranberryward.OrderRole:
		return true
	}
	return false
}

// MayDisrupt returns nil if a disruptive order or change may start now: the configuration was confirmed recently enough, and no quiet window is open or opens
// before it could end.
func (guard *Guard) MayDisrupt() error {
	age, confirmed := guard.localState.Age()
	if !confirmed || age > guard.limits.MaxAge {
		return newRefusal(cranberryward.ReasonStale, "the configuration has not been confirmed as the newest recently enough")
	}
	now := time.Now()
	if window, quiet := guard.localState.EffectiveConfiguration().Calendar().Overlapping(guard.zone, now, now.Add(guard.limits.HoldBound), guard.limits.ClockError); quiet {
		return newRefusal(cranberryward.ReasonQuietWindow, "quiet window "+window.Name()+" is open or opens before the disruption could end")
	}
	return nil
}
