package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/leaser"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/go-kit/log"
)

const (
	callTimeout         = 2 * time.Second
	storeTimeout        = 2 * time.Second
	preparePollInterval = 20 * time.Millisecond
	changeTimeout       = 10 * time.Second
)

// Settings configure a controller.
type Settings struct {
	Zone           string          `json:"zone"`
	Holder         string          `json:"holder"`
	LeaseTTL       time.Duration   `json:"lease_ttl"`
	Interval       time.Duration   `json:"interval"`
	PrepareLimit   time.Duration   `json:"prepare_limit"`
	ChangeTime     time.Duration   `json:"change_time"`
	ClockError     time.Duration   `json:"clock_error"`
	MaxAge         time.Duration   `json:"max_age"`
	BytesPerSecond int             `json:"bytes_per_second"`
	Memory         planner.Memory  `json:"memory"`
	Weights        planner.Weights `json:"weights"`
}

// Controller plans and applies the expert map changes of one lock-step group while this process holds the group's lease.
type Controller struct {
	group          string
	settings       Settings
	store          cranberryward.KeyValueStore
	localState     *distributor.LocalState
	client         *caller.Client
	lease          *leaser.Lease
	policy         planner.Policy
	logger         log.Logger
	started        time.Time
	rebalanceMutex sync.Mutex
	mutex          sync.Mutex
	estimator      *planner.Estimator
	status         Status
}

// Status is the state of a controller and its last decision on the group's expert map.
type Status struct {
	Group      string  `json:"group"`
	Holder     string  `json:"holder"`
	Fencing    uint64  `json:"fencing"`
	MapVersion uint64  `json:"map_version"`
	Skew       float64 `json:"skew"`
	Decision   string  `json:"decision"`
}

// New returns a controller for the named group.
func New(name string, settings Settings, store cranberryward.KeyValueStore, localState *distributor.LocalState, client *caller.Client, logger log.Logger) *Controller {
	return &Controller{
		group:      name,
		settings:   settings,
		store:      store,
		localState: localState,
		client:     client,
		lease:      leaser.New(store, LeaseKey(name), settings.Holder, settings.LeaseTTL, logger),
		policy:     planner.NewCostAware(settings.Weights),
		logger:     log.With(logger, "group", name),
		started:    time.Now(),
	}
}

// Status returns the controller's state and whether it holds the group's lease.
func (controller *Controller) Status() (Status, bool) {
	fencing, held := controller.lease.Held()
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	status := controller.status
	status.Group = controller.group
	status.Holder = controller.settings.Holder
	status.Fencing = fencing
	return status, held
}

// Run acquires and renews the group's lease and calls Decide at every interval until the context ends.
func (controller *Controller) Run(ctx context.Context) {
	leaseEnded := make(chan struct{})
	go func() {
		defer close(leaseEnded)
		controller.lease.Run(ctx)
	}()
	defer func() { <-leaseEnded }()
	ticker := time.NewTicker(controller.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, err := controller.Rebalance(ctx); err != nil {
				_ = controller.logger.Log("event", "placement_failed", "error", err)
			}
		}
	}
}

func (controller *Controller) updateStatus(version uint64, decision planner.Decision) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.status.MapVersion = version
	controller.status.Skew = decision.SkewBefore()
	controller.status.Decision = decision.Reason()
}

func (controller *Controller) elapsedSeconds() float64 {
	return time.Since(controller.started).Seconds()
}

func (controller *Controller) ranks() []cranberryward.Instance {
	return switcher.GroupRanks(controller.localState.Membership(), controller.group)
}

// Rebalance reads the group's expert loads, applies a new expert map if the policy expects the gain to exceed the cost of the change, and returns whether the
// group runs it.
func (controller *Controller) Rebalance(ctx context.Context) (bool, error) {
	controller.rebalanceMutex.Lock()
	defer controller.rebalanceMutex.Unlock()
	fencing, held := controller.lease.Held()
	ranks := controller.ranks()
	if !held || len(ranks) == 0 {
		return false, nil
	}
	current, err := controller.observe(ctx, ranks)
	if err != nil {
		return false, err
	}
	if current.Ranks != len(ranks) {
		return false, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable,
			fmt.Sprintf("%d of the group's %d ranks are in the instance list", len(ranks), current.Ranks))
	}
	decision := controller.evaluatePolicy(current)
	age, _ := controller.localState.Age()
	controller.updateStatus(current.Version, decision)
	_ = controller.logger.Log("event", "placement", "keep", decision.Keep(), "reason", decision.Reason(), "version", current.Version,
		"skew", decision.SkewBefore(), "skew_after", decision.SkewAfter(), "loads", decision.LoadCount(), "fencing", fencing,
		"revision", controller.localState.Revision(), "configuration_age_ms", age.Milliseconds(),
		"load_age_ms", controller.estimator.Age(controller.elapsedSeconds()).Milliseconds(), "ignored_reports", controller.estimator.Ignored())
	if decision.Keep() {
		return false, nil
	}
	return controller.applyMap(ctx, ranks, current, decision.Map())
}

func (controller *Controller) observe(ctx context.Context, ranks []cranberryward.Instance) (cranberryward.ExpertMap, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	firstRank := ranks[0].PeerAddress
	var state cranberryward.RankState
	if err := controller.client.Call(ctx, firstRank, "Agent.State", messenger.StateRequest{}, &state); err != nil {
		return cranberryward.ExpertMap{}, err
	}
	var current cranberryward.ExpertMap
	if err := controller.client.Call(ctx, firstRank, "Agent.Map", messenger.MapRequest{Version: state.MapVersion}, &current); err != nil {
		return cranberryward.ExpertMap{}, err
	}
	var report messenger.ReportReply
	err := controller.client.Call(ctx, firstRank, "Agent.Report", messenger.ReportRequest{ExpertLoads: true}, &report)
	if err != nil {
		return current, err
	}
	loads := report.Engine.ExpertLoads
	if controller.estimator == nil && len(loads) > 0 {
		controller.estimator = planner.NewEstimator(len(loads), len(loads[0]), controller.settings.Weights)
	}
	if controller.estimator == nil {
		controller.estimator = planner.NewEstimator(len(current.Layers), 0, controller.settings.Weights)
	}
	controller.estimator.Observe(controller.elapsedSeconds(), []planner.Report{{
		Sequence: report.Engine.Step,
		Loads:    loads,
	}})
	return current, nil
}

func (controller *Controller) evaluatePolicy(current cranberryward.ExpertMap) planner.Decision {
	now := time.Now()
	situation := planner.Situation{
		Second:         controller.elapsedSeconds(),
		Present:        current,
		Memory:         controller.memoryOf(current),
		BytesPerSecond: float64(controller.settings.BytesPerSecond),
		ChangeSeconds:  controller.settings.ChangeTime.Seconds(),
	}
	age, confirmed := controller.localState.Age()
	if !confirmed || age > controller.settings.MaxAge {
		situation.Quiet = true
	}
	calendar := controller.localState.EffectiveConfiguration().Calendar()
	if _, quiet := calendar.Overlapping(controller.settings.Zone, now, now, controller.settings.ClockError); quiet {
		situation.Quiet = true
	}
	if opens, closes, ahead := calendar.NextWindow(controller.settings.Zone, now); ahead {
		situation.QuietFrom = situation.Second + (opens.Sub(now) - controller.settings.ClockError).Seconds()
		situation.QuietUntil = situation.Second + closes.Sub(now).Seconds()
	}
	return controller.policy.Decide(situation, controller.estimator)
}

func (controller *Controller) memoryOf(current cranberryward.ExpertMap) planner.Memory {
	memory := controller.settings.Memory
	for _, placement := range current.Layers {
		for _, experts := range placement {
			memory.SlotsPerLayer = max(memory.SlotsPerLayer, len(experts))
		}
	}
	return memory
}
