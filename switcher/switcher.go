package switcher

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
)

const (
	eventPrepare  = charter.Event("prepare")
	eventPrepared = charter.Event("prepared")
	eventCommit   = charter.Event("commit")
	eventHold     = charter.Event("hold")
	eventHeld     = charter.Event("held")
	eventSwitched = charter.Event("switched")
	eventRollBack = charter.Event("roll_back")
	eventRestored = charter.Event("restored")
	eventAbandon  = charter.Event("abandon")

	holdLeadSteps    = 2
	heldPollInterval = 2 * time.Millisecond
	retryDelay       = 20 * time.Millisecond
	callTimeout      = 500 * time.Millisecond
	fencingOrderBits = 20
	maxHoldAttempts  = 3
	holdWaitDivisor  = 2
	heldLogInterval  = time.Second
)

var chart = charter.MustLoad("change", eventPrepare, eventPrepared, eventCommit, eventHold, eventHeld, eventSwitched, eventRollBack, eventRestored, eventAbandon)

// RankClient calls one rank of the group.
type RankClient interface {
	// State returns the current state of the rank.
	State(ctx context.Context) (cranberryward.RankState, error)
	// Map returns an expert map that the rank holds.
	Map(ctx context.Context, version uint64) (cranberryward.ExpertMap, error)
	// Direct returns a client that calls the rank without its agent, and false if there is none.
	Direct() (RankClient, bool)
	// Order sends an order to the rank and returns when the rank has responded.
	Order(ctx context.Context, order cranberryward.Order) error
}

// Switcher changes the expert map of one group.
type Switcher struct {
	group string
	// rankClients returns the clients in rank order; the group is held and released through its first rank, whose agent calls Execute.
	rankClients func() []RankClient
	logger      log.Logger
	mutex       sync.Mutex
	lastFencing uint64
	lastStep    uint64
	lastMap     cranberryward.ExpertMap
}

// New returns a switcher; rankClients returns a client for each rank in rank order, and none if a rank is not listed.
func New(group string, rankClients func() []RankClient, logger log.Logger) *Switcher {
	return &Switcher{
		group:       group,
		rankClients: rankClients,
		logger:      logger,
	}
}

// FirstOrderFencing returns the lowest fencing number for orders under a lease; its low bits are left for numbering the orders.
func FirstOrderFencing(leaseFencing uint64) uint64 { return leaseFencing << fencingOrderBits }

// Execute switches the group to the change's new version, or rolls back to the version that it ran, and returns when the group is released.
func (switcher *Switcher) Execute(ctx context.Context, change Change, mayStart func() error) (Outcome, error) {
	switcher.mutex.Lock()
	defer switcher.mutex.Unlock()
	attempt := &attempt{
		switcher:    switcher,
		rankClients: switcher.rankClients(),
		change:      change,
		machine:     chart.Start(),
		started:     time.Now(),
	}
	for _, event := range []charter.Event{eventPrepare, eventPrepared, eventCommit} {
		attempt.fire(event)
	}
	if err := attempt.check(ctx); err != nil {
		attempt.fire(eventAbandon)
		return attempt.outcome(), err
	}
	if err := mayStart(); err != nil {
		attempt.fire(eventAbandon)
		return attempt.outcome(), err
	}
	return attempt.run(ctx)
}

// States returns the states of all ranks, or the first error.
func States(ctx context.Context, rankClients []RankClient) ([]cranberryward.RankState, error) {
	states := make([]cranberryward.RankState, len(rankClients))
	errGroup, ctx := errgroup.WithContext(ctx)
	for i, rankClient := range rankClients {
		errGroup.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			state, err := rankClient.State(ctx)
			states[i] = state
			return err
		})
	}
	return states, errGroup.Wait()
}

// Resolve releases a group that an earlier switcher left held, after switching it to the newest version that every rank has prepared.
func (switcher *Switcher) Resolve(ctx context.Context) (resolved bool, err error) {
	switcher.mutex.Lock()
	defer switcher.mutex.Unlock()
	rankClients := switcher.rankClients()
	if len(rankClients) == 0 {
		return false, nil
	}
	firstRank, err := rankClients[0].State(ctx)
	if err != nil || firstRank.HeldStep == 0 {
		return false, err
	}
	states, err := States(ctx, rankClients)
	if err != nil {
		return false, err
	}
	attempt := &attempt{
		switcher:    switcher,
		rankClients: rankClients,
		change: Change{
			Group: switcher.group,
		},
		machine:       chart.Start(),
		step:          firstRank.HeldStep,
		started:       time.Now(),
		initialStates: states,
		fencing:       switcher.lastFencing,
	}
	for _, state := range states {
		attempt.fencing = max(attempt.fencing, state.Fencing)
	}
	// A late order of the earlier switcher leads to the same version, unless the controller has discarded it meanwhile.
	version, err := attempt.restore(ctx, attempt.newestPrepared)
	if err != nil {
		return false, err
	}
	_ = switcher.logger.Log("event", "group_resolved", "group", switcher.group, "step", attempt.step, "version", version)
	return true, nil
}

// newestPreparedByAll returns the newest version prepared by every rank that runs a version.
func newestPreparedByAll(states []cranberryward.RankState) uint64 {
	newest := uint64(0)
	for _, candidate := range states {
		for _, version := range candidate.Prepared {
			if version > newest && preparedByAll(states, version) {
				newest = version
			}
		}
	}
	return newest
}

func preparedByAll(states []cranberryward.RankState, version uint64) bool {
	for _, state := range states {
		if state.MapVersion != 0 && !state.HasPrepared(version) {
			return false
		}
	}
	return true
}
