package prover

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/engineserver"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/go-kit/log"
)

// orderFault is a fault of one order to a rank.
type orderFault int

const (
	// orderRefused fails the order as not run, without sending it to the rank.
	orderRefused orderFault = iota + 1
	// orderResponseLost executes the order and reports an unknown outcome.
	orderResponseLost
	// orderDelayed reports an unknown outcome at once and executes the order later.
	orderDelayed
	// rankRestarted restarts the rank, which loses its expert maps, instead of executing the order.
	rankRestarted
)

// faultyRankClient calls a rank of a stand-in group and injects one fault into orders of one kind.
type faultyRankClient struct {
	rank            *engineserver.Rank
	kind            cranberryward.OrderKind
	fault           orderFault
	remainingFaults int
	mutex           sync.Mutex
	delayedOrders   []func()
}

func (faultyRankClient *faultyRankClient) State(context.Context) (cranberryward.RankState, error) {
	return faultyRankClient.rank.State(), nil
}

func (faultyRankClient *faultyRankClient) Map(_ context.Context, version uint64) (cranberryward.ExpertMap, error) {
	return faultyRankClient.rank.Map(version)
}

func (faultyRankClient *faultyRankClient) Direct() (switcher.RankClient, bool) { return nil, false }

func (faultyRankClient *faultyRankClient) Order(ctx context.Context, order cranberryward.Order) error {
	faultyRankClient.mutex.Lock()
	defer faultyRankClient.mutex.Unlock()
	if order.Kind != faultyRankClient.kind || faultyRankClient.remainingFaults <= 0 {
		return faultyRankClient.rank.ExecuteOrder(ctx, order)
	}
	faultyRankClient.remainingFaults--
	unknown := cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonUnreachable, "test fault")
	switch faultyRankClient.fault {
	case orderRefused:
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "test fault")
	case orderResponseLost:
		_ = faultyRankClient.rank.ExecuteOrder(ctx, order)
		return unknown
	case orderDelayed:
		faultyRankClient.delayedOrders = append(faultyRankClient.delayedOrders, func() { _ = faultyRankClient.rank.ExecuteOrder(context.Background(), order) })
		return unknown
	case rankRestarted:
		faultyRankClient.rank.Restart()
		return unknown
	}
	return faultyRankClient.rank.ExecuteOrder(ctx, order)
}

func (faultyRankClient *faultyRankClient) executeDelayed() {
	faultyRankClient.mutex.Lock()
	defer faultyRankClient.mutex.Unlock()
	for _, execute := range faultyRankClient.delayedOrders {
		execute()
	}
	faultyRankClient.delayedOrders = nil
}

func noStoredMap(context.Context) (cranberryward.ExpertMap, error) {
	return cranberryward.ExpertMap{}, nil
}

type emptyWeightStore struct{}

func (emptyWeightStore) Fetch(context.Context, string, int, []int) (int64, error) { return 0, nil }

func newGroup(t *testing.T, ignoreFencing bool) *engineserver.Group {
	t.Helper()
	settings := engineserver.DefaultSettings()
	settings.StepMicros = 500
	group := engineserver.NewGroup(settings, emptyWeightStore{})
	for rank := range group.RankCount() {
		group.Rank(rank).SetFaults(engineserver.Faults{IgnoreFencing: ignoreFencing})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go group.Run(ctx)
	return group
}

func prepareMap(t *testing.T, group *engineserver.Group, version uint64) {
	t.Helper()
	for number := range group.RankCount() {
		rank := group.Rank(number)
		expertMap, err := rank.Map(1)
		if err != nil {
			t.Fatal(err)
		}
		expertMap.Version = version
		if err := rank.ExecuteOrder(t.Context(), cranberryward.Order{
			Kind:    cranberryward.OrderPrepare,
			Map:     expertMap,
			Version: version,
		}); err != nil {
			t.Fatal(err)
		}
		await(t, "the rank has prepared the expert map", func() bool { return rank.State().HasPrepared(version) })
	}
}

func awaitSteps(t *testing.T, group *engineserver.Group) {
	t.Helper()
	from := group.Step()
	await(t, "the group runs further steps", func() bool { return group.Step() > from+5 })
}

func TestMapChangeIsConsistentUnderOrderFaults(t *testing.T) {
	faults := map[string]orderFault{"refused": orderRefused, "response lost": orderResponseLost, "executed late": orderDelayed, "rank restarted": rankRestarted}
	for _, ignoreFencing := range []bool{false, true} {
		for name, orderFault := range faults {
			for _, kind := range []cranberryward.OrderKind{cranberryward.OrderHold, cranberryward.OrderSwitch, cranberryward.OrderRelease} {
				for _, rank := range []int{0, 2} {
					t.Run(fmt.Sprintf("%s order %s at rank %d, engines ignore fencing %v", kind, name, rank, ignoreFencing), func(t *testing.T) {
						runChangeWithFault(t, ignoreFencing, orderFault, kind, rank)
					})
				}
			}
		}
	}
}

func runChangeWithFault(t *testing.T, ignoreFencing bool, orderFault orderFault, kind cranberryward.OrderKind, rank int) {
	group := newGroup(t, ignoreFencing)
	prepareMap(t, group, 2)
	var rankClients []switcher.RankClient
	for number := range group.RankCount() {
		rankClient := &faultyRankClient{
			rank: group.Rank(number),
		}
		if number == rank {
			rankClient.kind, rankClient.fault, rankClient.remainingFaults = kind, orderFault, 1
		}
		rankClients = append(rankClients, rankClient)
	}
	groupSwitcher := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
	outcome, err := groupSwitcher.Execute(t.Context(), switcher.Change{
		Group:       "calls",
		Fencing:     7,
		FromVersion: 1,
		ToVersion:   2,
		HoldMillis:  1000,
	}, func() error { return nil })
	rankClients[rank].(*faultyRankClient).executeDelayed()
	if _, err := groupSwitcher.Resolve(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := groupSwitcher.RestoreRanks(t.Context(), noStoredMap); err != nil {
		t.Fatal(err)
	}
	awaitSteps(t, group)
	last := checkStepVersions(t, group.StepLog())
	if last != outcome.Version && kind != cranberryward.OrderHold {
		t.Errorf("the group runs version %d, but the outcome is %+v (%v)", last, outcome, err)
	}
	if held := group.MaxHoldTime(); held > 2*time.Second {
		t.Errorf("the group was held for %v, at most 2s are allowed", held)
	}
}

func TestNextSwitcherReleasesHeldGroup(t *testing.T) {
	for _, switched := range []int{0, 2, 4} {
		t.Run(fmt.Sprintf("%d ranks had switched", switched), func(t *testing.T) {
			group := newGroup(t, true)
			prepareMap(t, group, 2)
			firstRank := group.Rank(0)
			step := firstRank.State().Step + 3
			order := cranberryward.Order{
				Kind:    cranberryward.OrderHold,
				Step:    step,
				Fencing: 9,
			}
			if err := firstRank.ExecuteOrder(t.Context(), order); err != nil {
				t.Fatal(err)
			}
			await(t, "the group is held", func() bool { return firstRank.State().Held })
			for number := range switched {
				order := cranberryward.Order{
					Kind:    cranberryward.OrderSwitch,
					Step:    step,
					Version: 2,
					Fencing: 9,
				}
				if err := group.Rank(number).ExecuteOrder(t.Context(), order); err != nil {
					t.Fatal(err)
				}
			}
			var rankClients []switcher.RankClient
			for number := range group.RankCount() {
				rankClients = append(rankClients, &faultyRankClient{rank: group.Rank(number)})
			}
			next := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
			if resolved, err := next.Resolve(t.Context()); err != nil || !resolved {
				t.Fatal(resolved, err)
			}
			awaitSteps(t, group)
			checkStepVersions(t, group.StepLog())
			stale := cranberryward.Order{
				Kind:    cranberryward.OrderSwitch,
				Step:    step,
				Version: 2,
				Fencing: 9,
			}
			if err := group.Rank(3).ExecuteOrder(t.Context(), stale); err == nil {
				t.Error("a rank executed an order of the previous switcher for a step that had already begun")
			}
			checkStepVersions(t, group.StepLog())
		})
	}
}

func TestSwitcherWithOldFencingNumberIsRefused(t *testing.T) {
	group := newGroup(t, false)
	prepareMap(t, group, 2)
	var rankClients []switcher.RankClient
	for number := range group.RankCount() {
		rankClients = append(rankClients, &faultyRankClient{rank: group.Rank(number)})
	}
	change := switcher.Change{
		Fencing:     9,
		FromVersion: 1,
		ToVersion:   2,
		HoldMillis:  1000,
	}
	first := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
	if _, err := first.Execute(t.Context(), change, func() error { return nil }); err != nil {
		t.Fatal(err)
	}
	discard := cranberryward.Order{
		Kind:    cranberryward.OrderDiscard,
		Version: 1,
		Fencing: switcher.FirstOrderFencing(10),
	}
	_ = group.Rank(0).ExecuteOrder(t.Context(), discard)
	stale := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
	_, err := stale.Execute(t.Context(), switcher.Change{
		Fencing:     8,
		FromVersion: 2,
		ToVersion:   1,
		HoldMillis:  1000,
	}, func() error { return nil })
	if cranberryward.VerdictOf(err) != cranberryward.NotRun {
		t.Fatalf("the switcher with an old fencing number was not refused: %v", err)
	}
	awaitSteps(t, group)
	if last := checkStepVersions(t, group.StepLog()); last != 2 {
		t.Fatalf("the group runs version %d, want 2", last)
	}
}

// discardingRankClient discards a version at all ranks when it is ordered to switch to it, as a controller does that gives the change up meanwhile.
type discardingRankClient struct {
	faultyRankClient
	group   *engineserver.Group
	version uint64
}

func (discardingRankClient *discardingRankClient) Order(ctx context.Context, order cranberryward.Order) error {
	if order.Kind == cranberryward.OrderSwitch && order.Version == discardingRankClient.version {
		for number := range discardingRankClient.group.RankCount() {
			discard := cranberryward.Order{
				Kind:    cranberryward.OrderDiscard,
				Version: order.Version,
				Fencing: order.Fencing,
			}
			if err := discardingRankClient.group.Rank(number).ExecuteOrder(ctx, discard); err != nil {
				return err
			}
		}
	}
	return discardingRankClient.faultyRankClient.Order(ctx, order)
}

// TestHeldGroupIsReleasedWhenItsNewVersionIsDiscarded guards against ordering a version for ever that was prepared by all ranks when the held group
// was found, and which the controller discards before the ranks have switched.
func TestHeldGroupIsReleasedWhenItsNewVersionIsDiscarded(t *testing.T) {
	group := newGroup(t, false)
	prepareMap(t, group, 2)
	firstRank := group.Rank(0)
	hold := cranberryward.Order{
		Kind:    cranberryward.OrderHold,
		Step:    firstRank.State().Step + 3,
		Fencing: 9,
	}
	if err := firstRank.ExecuteOrder(t.Context(), hold); err != nil {
		t.Fatal(err)
	}
	await(t, "the group is held", func() bool { return firstRank.State().Held })
	var rankClients []switcher.RankClient
	for number := range group.RankCount() {
		rankClients = append(rankClients, &discardingRankClient{
			faultyRankClient: faultyRankClient{
				rank: group.Rank(number),
			},
			group:   group,
			version: 2,
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	next := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
	if resolved, err := next.Resolve(ctx); err != nil || !resolved {
		t.Fatal(resolved, err)
	}
	awaitSteps(t, group)
	if last := checkStepVersions(t, group.StepLog()); last != 1 {
		t.Errorf("the group runs version %d, expected 1", last)
	}
}

// TestMissingHighestRankStopsChange guards against switching a group of which the instance list lacks the highest rank, which numbers without a gap do not
// show: that rank would run the former map.
func TestMissingHighestRankStopsChange(t *testing.T) {
	group := newGroup(t, false)
	prepareMap(t, group, 2)
	var rankClients []switcher.RankClient
	for number := range group.RankCount() - 1 {
		rankClients = append(rankClients, &faultyRankClient{rank: group.Rank(number)})
	}
	groupSwitcher := switcher.New("calls", func() []switcher.RankClient { return rankClients }, log.NewNopLogger())
	outcome, err := groupSwitcher.Execute(t.Context(), switcher.Change{
		Group:       "calls",
		Fencing:     7,
		FromVersion: 1,
		ToVersion:   2,
		HoldMillis:  1000,
	}, func() error { return nil })
	if cranberryward.VerdictOf(err) != cranberryward.NotRun || outcome.Version != 1 {
		t.Errorf("outcome %+v, error %v, expected a refusal", outcome, err)
	}
	awaitSteps(t, group)
	checkStepVersions(t, group.StepLog())
}
