package switcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/cranberryward/cranberryward/waiter"
	"golang.org/x/sync/errgroup"
)

// switchResult is the combined outcome of the switch orders to all ranks.
type switchResult int

const (
	// switchSucceeded means that every rank carried out the order.
	switchSucceeded switchResult = iota
	// switchFailed means that a rank did not carry out the order and that the outcome at every other rank is known.
	switchFailed
	// switchUnknown means that a rank may have carried out the order or may still do so.
	switchUnknown
)

// attempt is one execution of a change, or the recovery of a group that was left held.
type attempt struct {
	switcher      *Switcher
	rankClients   []RankClient
	change        Change
	machine       charter.Machine
	step          uint64
	started       time.Time
	initialStates []cranberryward.RankState
	fencing       uint64
}

func newRefusal(reason cranberryward.Reason, message string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, reason, message)
}

func (attempt *attempt) fire(event charter.Event) {
	if err := attempt.machine.Fire(event); err != nil {
		_ = attempt.switcher.logger.Log("event", "state_fault", "group", attempt.change.Group, "error", err)
	}
}

func (attempt *attempt) outcome() Outcome {
	outcome := Outcome{
		State:      string(attempt.machine.State()),
		Step:       attempt.step,
		HeldMillis: time.Since(attempt.started).Milliseconds(),
		Version:    attempt.change.FromVersion,
	}
	if outcome.State == "released" {
		outcome.Version = attempt.change.ToVersion
	}
	return outcome
}

func (attempt *attempt) check(ctx context.Context) error {
	if len(attempt.rankClients) == 0 {
		return newRefusal(cranberryward.ReasonUnreachable, "not all ranks of the group are in the instance list")
	}
	states, err := States(ctx, attempt.rankClients)
	if err != nil {
		return err
	}
	if err := attempt.checkComplete(ctx); err != nil {
		return err
	}
	attempt.fencing = FirstOrderFencing(attempt.change.Fencing)
	for rank, state := range states {
		switch {
		case state.MapVersion != attempt.change.FromVersion:
			return newRefusal(cranberryward.ReasonStale, fmt.Sprintf("rank %d runs expert map version %d, but the change starts from version %d", rank, state.MapVersion, attempt.change.FromVersion))
		case !state.HasPrepared(attempt.change.ToVersion):
			return newRefusal(cranberryward.ReasonStale, fmt.Sprintf("rank %d has not prepared expert map version %d", rank, attempt.change.ToVersion))
		case state.HeldStep != 0:
			return newRefusal(cranberryward.ReasonConflict, fmt.Sprintf("rank %d is already held at step %d", rank, state.HeldStep))
		case state.Fencing >= FirstOrderFencing(attempt.change.Fencing+1):
			return newRefusal(cranberryward.ReasonFenced, fmt.Sprintf("rank %d has accepted orders from a newer holder of the group's lease", rank))
		}
		attempt.fencing = max(attempt.fencing, state.Fencing)
	}
	attempt.fencing = max(attempt.fencing, attempt.switcher.lastFencing)
	attempt.initialStates = states
	return nil
}

// checkComplete returns an error if ranks are missing in the instance list, which cannot tell how many there are; the map in force can.
func (attempt *attempt) checkComplete(ctx context.Context) error {
	expertMap, err := attempt.rankClients[0].Map(ctx, attempt.change.FromVersion)
	if err != nil {
		return err
	}
	if listed := len(attempt.rankClients); expertMap.Ranks != listed {
		return newRefusal(cranberryward.ReasonUnreachable, fmt.Sprintf("%d of the group's %d ranks are in the instance list", listed, expertMap.Ranks))
	}
	return nil
}

func (attempt *attempt) nextFencing() uint64 {
	attempt.fencing++
	attempt.switcher.lastFencing = attempt.fencing
	return attempt.fencing
}

func (attempt *attempt) run(ctx context.Context) (Outcome, error) {
	// The change runs to its end even if the caller's context ends, because the group must not stay held.
	ctx = context.WithoutCancel(ctx)
	bound := time.Duration(attempt.change.HoldMillis) * time.Millisecond
	attempt.fire(eventHold)
	if !attempt.hold(ctx, bound/holdWaitDivisor) {
		attempt.fire(eventRollBack)
		_, _ = attempt.restore(ctx, attempt.fixedVersion(attempt.change.FromVersion)) // the context does not end
		attempt.fire(eventRestored)
		return attempt.outcome(), newRefusal(cranberryward.ReasonUnreachable, "the group could not be held at a step boundary")
	}
	attempt.fire(eventHeld)
	switch attempt.switchAll(ctx) {
	case switchSucceeded:
		_ = attempt.release(ctx) // the context does not end
		attempt.fire(eventSwitched)
		return attempt.outcome(), nil
	case switchUnknown:
		// A rank may carry out an order late if its response was lost, which is harmless only if the group already runs that version.
		_, _ = attempt.restore(ctx, attempt.fixedVersion(attempt.change.ToVersion)) // the context does not end
		attempt.fire(eventSwitched)
		return attempt.outcome(), nil
	}
	attempt.fire(eventRollBack)
	_, _ = attempt.restore(ctx, attempt.fixedVersion(attempt.change.FromVersion)) // the context does not end
	attempt.fire(eventRestored)
	return attempt.outcome(), newRefusal(cranberryward.ReasonUnreachable, "a rank did not switch its expert map; every rank runs the previous version")
}

func (attempt *attempt) newOrder(kind cranberryward.OrderKind, version, fencing uint64) cranberryward.Order {
	return cranberryward.Order{
		Kind:    kind,
		Group:   attempt.change.Group,
		Fencing: fencing,
		Version: version,
		Step:    attempt.step,
	}
}

func (attempt *attempt) hold(ctx context.Context, wait time.Duration) bool {
	firstRank := attempt.rankClients[0]
	deadline := time.Now().Add(wait)
	for range maxHoldAttempts {
		state, err := firstRank.State(ctx)
		if err != nil {
			return false
		}
		attempt.step = state.Step + holdLeadSteps
		if firstRank.Order(ctx, attempt.newOrder(cranberryward.OrderHold, 0, attempt.nextFencing())) == nil {
			return attempt.awaitHeld(ctx, deadline)
		}
	}
	return false
}

func (attempt *attempt) awaitHeld(ctx context.Context, deadline time.Time) bool {
	for time.Now().Before(deadline) {
		state, err := attempt.rankClients[0].State(ctx)
		if err == nil && state.Held && state.Step+1 == attempt.step {
			return true
		}
		time.Sleep(heldPollInterval)
	}
	return false
}

// switchAll orders every rank to run the new version from the held step on and combines the outcomes.
func (attempt *attempt) switchAll(ctx context.Context) switchResult {
	order := attempt.newOrder(cranberryward.OrderSwitch, attempt.change.ToVersion, attempt.nextFencing())
	outcomes := make([]error, len(attempt.rankClients))
	var waitGroup sync.WaitGroup
	for i, rankClient := range attempt.rankClients {
		waitGroup.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			outcomes[i] = rankClient.Order(ctx, order)
		})
	}
	waitGroup.Wait()
	result := switchSucceeded
	for _, err := range outcomes {
		switch cranberryward.VerdictOf(err) {
		case cranberryward.MayHaveRun:
			return switchUnknown
		case cranberryward.NotRun:
			result = switchFailed
		}
	}
	return result
}

// release ends the hold of the first rank, whichever hold order took effect, and retries until the hold or the context has ended.
func (attempt *attempt) release(ctx context.Context) error {
	firstRank := attempt.rankClients[0]
	lastLogged := time.Now()
	for {
		state, err := firstRank.State(ctx)
		if err == nil && state.HeldStep == 0 {
			return nil
		}
		if err == nil {
			order := attempt.newOrder(cranberryward.OrderRelease, 0, attempt.nextFencing())
			order.Step = state.HeldStep
			err = firstRank.Order(ctx, order)
		}
		if err == nil {
			continue
		}
		attempt.logHeld(&lastLogged, state.MapVersion, err)
		if waiter.Sleep(ctx, retryDelay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// versionChooser returns the version that a held group is switched to before it is released.
type versionChooser func(ctx context.Context) (uint64, error)

func (attempt *attempt) fixedVersion(version uint64) versionChooser {
	return func(context.Context) (uint64, error) { return version, nil }
}

// newestPrepared returns the newest version that every rank has prepared now; the controller may discard versions at any time.
func (attempt *attempt) newestPrepared(ctx context.Context) (uint64, error) {
	states, err := States(ctx, attempt.rankClients)
	if err != nil {
		return 0, err
	}
	version := newestPreparedByAll(states)
	if version == 0 {
		return 0, newRefusal(cranberryward.ReasonStale, "no expert map version is prepared by every rank")
	}
	return version, nil
}

// restore switches every rank to the chosen version and releases the group, retrying with a new choice until each rank is known to run the version
// or, after a restart, none.
func (attempt *attempt) restore(ctx context.Context, choose versionChooser) (version uint64, err error) {
	lastLogged := time.Now()
	for {
		if version, err = attempt.restoreOnce(ctx, choose); err == nil {
			return version, attempt.release(ctx)
		}
		attempt.logHeld(&lastLogged, version, err)
		if waiter.Sleep(ctx, retryDelay); ctx.Err() != nil {
			return version, ctx.Err()
		}
	}
}

// logHeld logs why the group is still held, at most once in heldLogInterval.
func (attempt *attempt) logHeld(lastLogged *time.Time, version uint64, reason error) {
	if time.Since(*lastLogged) < heldLogInterval {
		return
	}
	*lastLogged = time.Now()
	_ = attempt.switcher.logger.Log("event", "group_held", "group", attempt.change.Group, "step", attempt.step, "version", version,
		"held_ms", time.Since(attempt.started).Milliseconds(), "reason", reason)
}

// restoreOnce orders every rank to switch to the chosen version once, and returns an error unless each is known to run it.
func (attempt *attempt) restoreOnce(ctx context.Context, choose versionChooser) (version uint64, err error) {
	if rankClients := attempt.switcher.rankClients(); len(rankClients) == len(attempt.rankClients) {
		// A restarted agent accepts orders only for its current incarnation.
		attempt.rankClients = rankClients
	}
	if version, err = choose(ctx); err != nil {
		return version, err
	}
	order := attempt.newOrder(cranberryward.OrderSwitch, version, attempt.nextFencing())
	var errGroup errgroup.Group
	for i, rankClient := range attempt.rankClients {
		errGroup.Go(func() error {
			err := attempt.restoreRank(ctx, i, rankClient, order)
			if direct, ok := rankClient.Direct(); ok && err != nil {
				err = attempt.restoreRank(ctx, i, direct, order)
			}
			return err
		})
	}
	return version, errGroup.Wait()
}

// restoreRank returns nil when the rank runs the ordered version or, after a restart, none at all.
func (attempt *attempt) restoreRank(ctx context.Context, rank int, rankClient RankClient, order cranberryward.Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := rankClient.Order(ctx, order)
	if err == nil {
		return nil
	}
	state, stateErr := rankClient.State(ctx)
	if stateErr != nil {
		return err
	}
	restarted := len(attempt.initialStates) > rank && state.Incarnation != attempt.initialStates[rank].Incarnation
	if state.Step >= attempt.step || (restarted && state.MapVersion == 0) {
		return nil
	}
	return err
}
