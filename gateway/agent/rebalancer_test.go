package agent

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/cranberryward/cranberryward/standin/rankserver"
	"github.com/go-kit/log"
)

const (
	// passInterval is the time between passes of the stand-in, a tenth of a real one.
	passInterval = 5 * time.Millisecond
	// driftPasses is the number of passes after which demand shifts in the tests of faults, so that there is always a change to make.
	driftPasses = 100
	// waitTimeout bounds the waits for events that a working group produces within a second.
	waitTimeout = 20 * time.Second
)

var rankSettings = rankserver.Settings{
	Name:    "g0",
	Ranks:   4,
	Sets:    2,
	Experts: 16,
	Places:  5,
	Spare:   2,
	Copy:    2 * time.Millisecond,
}

// testGroup is a group of stand-in ranks with an agent next to each, as a rebalancer sees it.
type testGroup struct {
	t        *testing.T
	name     string
	group    *rankserver.Group
	members  []rebalancer.Member
	surveyor *surveyor
	// guards are those beside the ranks.
	guards []*holdGuard
	// frozen is set while the instance of rank 0 stands still; the channel is closed when it works again.
	frozen atomic.Pointer[chan struct{}]
	hot    atomic.Int64
	// drift is the number of passes after which the hot expert changes, or zero if it stays.
	drift atomic.Int64
	// due counts the passes that were due, whether they began or not.
	due atomic.Int64
	// lateHolds counts the holds that a test delays.
	lateHolds atomic.Int64
	// logger keeps what the controllers and guards log, for the output of a test that fails.
	logger log.Logger
	stop   chan struct{}
	wait   sync.WaitGroup
}

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (lockedBuffer *lockedBuffer) Write(data []byte) (int, error) {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.Write(data)
}

// String returns what was written.
func (lockedBuffer *lockedBuffer) String() string {
	lockedBuffer.mutex.Lock()
	defer lockedBuffer.mutex.Unlock()
	return lockedBuffer.buffer.String()
}

func newTestGroup(t *testing.T) *testGroup { return newNamedTestGroup(t, rankSettings.Name) }

func newNamedTestGroup(t *testing.T, name string) *testGroup {
	settings := rankSettings
	settings.Name = name
	return newConfiguredTestGroup(t, settings)
}

func newConfiguredTestGroup(t *testing.T, settings rankserver.Settings) *testGroup {
	testGroup := &testGroup{
		t:     t,
		name:  settings.Name,
		group: rankserver.NewGroup(settings),
		stop:  make(chan struct{}),
	}
	logged := &lockedBuffer{}
	testGroup.logger = log.With(log.NewLogfmtLogger(logged), "ts", log.DefaultTimestampUTC)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logged:\n%s", logged)
		}
	})
	client := caller.NewClient("")
	t.Cleanup(client.Close)
	changes := &changesPacker{}
	testGroup.surveyor = &surveyor{
		tree:    newTree(client),
		changes: changes,
	}
	testGroup.surveyor.tree.fanout, testGroup.surveyor.tree.flat = 2, 2 // the four ranks are reached through two levels
	for index := range testGroup.group.RankCount() {
		rank := httptest.NewServer(testGroup.freezable(index, testGroup.group.Rank(index)))
		t.Cleanup(rank.Close)
		address := strings.TrimPrefix(rank.URL, "http://")
		server, err := caller.NewServer("127.0.0.1:0", "")
		if err != nil {
			t.Fatal(err)
		}
		rankService := newRankService(address, testGroup.surveyor.tree, func(cranberryward.RankReport) {})
		if err := server.Register("Rank", rankService); err != nil {
			t.Fatal(err)
		}
		testGroup.guards = append(testGroup.guards, &holdGuard{
			rankService: rankService,
			group:       testGroup,
			logger:      log.With(testGroup.logger, "agent", index),
		})
		server.Start()
		t.Cleanup(server.Stop)
		testGroup.members = append(testGroup.members, rebalancer.Member{
			ID: address,
			Client: &rankClient{
				client:       client,
				agentAddress: server.Address(),
				direct:       platform.NewRank(address),
				changes:      changes,
			},
		})
	}
	testGroup.wait.Go(testGroup.run)
	t.Cleanup(func() {
		close(testGroup.stop)
		testGroup.wait.Wait()
	})
	return testGroup
}

// run starts passes in which one hot expert of each set gets half of the demand.
func (testGroup *testGroup) run() {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-testGroup.stop:
			return
		case <-ticker.C:
		}
		testGroup.due.Add(1)
		if !testGroup.group.BeginPass() {
			continue
		}
		if drift := uint64(testGroup.drift.Load()); drift > 0 && testGroup.group.Step()%drift == 0 {
			testGroup.hot.Store((testGroup.hot.Load() + 5) % int64(rankSettings.Experts))
		}
		for rank := range rankSettings.Ranks {
			for set := range rankSettings.Sets {
				for expert := range rankSettings.Experts {
					times := 1
					if expert == int(testGroup.hot.Load()) {
						times = rankSettings.Experts
					}
					testGroup.group.RecordChoices(rank, set, expert, times)
				}
			}
		}
	}
}

// Surveyor reaches the ranks through the tree of their agents.
func (testGroup *testGroup) Surveyor() rebalancer.Surveyor { return testGroup.surveyor }

// Name returns the name of the group.
func (testGroup *testGroup) Name() string { return testGroup.name }

// Members returns the ranks.
func (testGroup *testGroup) Members() []rebalancer.Member { return testGroup.members }

// PauseObjective returns the objective of a group under pressure.
func (testGroup *testGroup) PauseObjective() time.Duration { return passInterval }

// HandleReports does nothing.
func (testGroup *testGroup) HandleReports(map[string]cranberryward.RankReport, time.Duration) {}

// Engine returns the cost model of the stand-ins.
func (testGroup *testGroup) Engine() *cranberryward.EngineCostModel {
	return &cranberryward.EngineCostModel{
		Sets:     rankSettings.Sets,
		Experts:  rankSettings.Experts,
		Places:   rankSettings.Places,
		Spare:    rankSettings.Spare,
		ExpertMB: float64(rankSettings.Copy.Milliseconds()),
		LinkMbps: 8000,
	}
}

// runController runs a rebalancer until the returned function ends its term.
func (testGroup *testGroup) runController(term uint64) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = rebalancer.New(testGroup, testTerm(term), testGroup.logger).Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// testTerm returns the term of the controller that wrote its key at a revision.
func testTerm(revision uint64) uint64 {
	return rebalancer.Term(cranberryward.Position{Revision: revision})
}

// await waits until a condition holds, which it checks at every pass interval.
func (testGroup *testGroup) await(what string, condition func() bool) {
	testGroup.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			testGroup.t.Fatalf("timed out waiting for %s; mixed %v, switches %d, step %d, held for %d", what, testGroup.group.MixedPasses(), len(testGroup.group.AppliedVersions()), testGroup.group.Step(), testGroup.group.HeldAttempts())
		case <-ticker.C:
		}
	}
}

func (testGroup *testGroup) awaitSwitches(more int) {
	testGroup.t.Helper()
	before := len(testGroup.group.AppliedVersions())
	testGroup.await("a new map", func() bool { return len(testGroup.group.AppliedVersions()) >= before+more })
}

func (testGroup *testGroup) skew() float64 {
	loads := make([]float64, rankSettings.Experts)
	for expert := range loads {
		loads[expert] = 1
	}
	loads[testGroup.hot.Load()] = float64(rankSettings.Experts)
	worst := 0.0
	for _, set := range testGroup.group.Placement() {
		worst = max(worst, planner.Skew(set, loads))
	}
	return worst
}

func (testGroup *testGroup) requireOneMap() {
	testGroup.t.Helper()
	if mixed := testGroup.group.MixedPasses(); len(mixed) > 0 {
		testGroup.t.Fatalf("a pass began with two maps: %v", mixed)
	}
}

func TestMapFollowsDemandShift(t *testing.T) {
	testGroup := newTestGroup(t)
	end := testGroup.runController(1)
	defer end()
	const even = 1.3 // with the hot expert on all four ranks, the load of each is within a third of the mean
	testGroup.await("an even map", func() bool { return testGroup.skew() < even })
	shifted := testGroup.group.Step()
	testGroup.hot.Store(7)
	testGroup.await("an even map after the shift", func() bool { return testGroup.skew() < even })
	t.Logf("from the shift of demand to the even map in force on all ranks: %d passes", testGroup.group.Step()-shifted)
	testGroup.requireOneMap()
}

func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	for name, disturb := range map[string]func(testGroup *testGroup, random *rand.Rand){
		"responses to orders are lost": func(testGroup *testGroup, random *rand.Rand) {
			testGroup.setFaults(random, func() rankserver.Fault { return rankserver.Fault{LoseAnswer: random.IntN(3) == 0} })
			testGroup.awaitSwitches(3)
		},
		"orders are carried out late": func(testGroup *testGroup, random *rand.Rand) {
			var gates []chan struct{}
			testGroup.setFaults(random, func() rankserver.Fault {
				if random.IntN(4) > 0 {
					return rankserver.Fault{}
				}
				gate := make(chan struct{})
				gates = append(gates, gate)
				return rankserver.Fault{Late: gate}
			})
			testGroup.awaitSwitches(2)
			testGroup.setFaults(random, func() rankserver.Fault { return rankserver.Fault{} })
			for _, gate := range gates {
				close(gate)
				step := testGroup.group.Step()
				testGroup.await("a pass", func() bool { return testGroup.group.Step() > step+1 })
			}
		},
		"the group breaks repeatedly": func(testGroup *testGroup, random *rand.Rand) {
			for range 6 {
				testGroup.awaitSwitches(1)
				last := testGroup.group.Step() + uint64(random.IntN(8))
				testGroup.await("some passes", func() bool { return testGroup.group.Step() >= last })
				testGroup.group.Break()
				testGroup.group.Reopen()
			}
		},
	} {
		for _, uncounted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, uncounted %v", name, uncounted), func(t *testing.T) {
				settings := rankSettings
				settings.Uncounted = uncounted
				testGroup := newConfiguredTestGroup(t, settings)
				testGroup.drift.Store(driftPasses)
				end := testGroup.runController(1)
				defer end()
				testGroup.awaitSwitches(1)
				disturb(testGroup, rand.New(rand.NewPCG(7, 7)))
				testGroup.setFaults(rand.New(rand.NewPCG(1, 1)), func() rankserver.Fault { return rankserver.Fault{} })
				testGroup.awaitSwitches(1)
				testGroup.requireOneMap()
			})
		}
	}
}

// TestPassWaitsForUnarmedRank drops the orders to arm one rank until the pass that they name is due.
func TestPassWaitsForUnarmedRank(t *testing.T) {
	testGroup := newTestGroup(t)
	testGroup.drift.Store(driftPasses)
	const longestAhead = 16 // more passes than any change is armed ahead
	lost := int64(0)
	testGroup.group.Rank(2).SetFault(func(order rankserver.Order) rankserver.Fault {
		if order.Operation != "arm" {
			return rankserver.Fault{}
		}
		if lost == 0 {
			lost = testGroup.due.Load()
		}
		return rankserver.Fault{Lose: testGroup.due.Load() < lost+longestAhead}
	})
	end := testGroup.runController(1)
	defer end()
	testGroup.awaitSwitches(2)
	testGroup.requireOneMap()
}

// TestReleaseIsSentOnce answers the pattern "ranks do not count the orders of map changes": a release on condition of a number that is one too high is refused
// while the group is held.
func TestReleaseIsSentOnce(t *testing.T) {
	settings := rankSettings
	settings.Uncounted = true
	testGroup := newConfiguredTestGroup(t, settings)
	testGroup.drift.Store(driftPasses)
	var holds, releases atomic.Int64
	for index := range testGroup.group.RankCount() {
		testGroup.group.Rank(index).SetFault(func(order rankserver.Order) rankserver.Fault {
			switch order.Operation {
			case "hold":
				holds.Add(1)
			case "go":
				releases.Add(1)
			}
			return rankserver.Fault{}
		})
	}
	end := testGroup.runController(1)
	testGroup.awaitSwitches(3)
	end()
	if held, released := holds.Load(), releases.Load(); released > held {
		t.Errorf("%d releases of %d holds", released, held)
	}
	testGroup.requireOneMap()
}

// TestLateHoldDoesNotStopReleasedGroup delays a hold whose response was lost until the same hold, sent again, has just been released.
func TestLateHoldDoesNotStopReleasedGroup(t *testing.T) {
	testGroup := newTestGroup(t)
	testGroup.drift.Store(driftPasses)
	outcome := make(chan int, 1)
	for index := range testGroup.group.RankCount() {
		var late chan struct{}
		testGroup.group.Rank(index).SetFault(func(order rankserver.Order) rankserver.Fault {
			switch {
			case order.Operation == "hold" && late == nil && testGroup.lateHolds.Add(1) == 1:
				late = make(chan struct{})
				return rankserver.Fault{
					Late:    late,
					Outcome: outcome,
				}
			case order.Operation == "go" && late != nil:
				// The late order waits for the lock under which this one is carried out.
				close(late)
				late = nil
			}
			return rankserver.Fault{}
		})
	}
	end := testGroup.runController(1)
	defer end()
	select {
	case status := <-outcome:
		if status != http.StatusConflict {
			t.Errorf("the late hold got status %d, expected a conflict: the group would be held with no controller to release it", status)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the group was never released")
	}
	testGroup.awaitSwitches(1)
	testGroup.requireOneMap()
}

// setFaults sets the function that chooses the fault of each order; it is called by one rank at a time.
func (testGroup *testGroup) setFaults(_ *rand.Rand, choose func() rankserver.Fault) {
	for index := range testGroup.group.RankCount() {
		testGroup.group.Rank(index).SetFault(func(rankserver.Order) rankserver.Fault { return choose() })
	}
}

func TestGroupRecoversFromControllerLossAfterAnyOrder(t *testing.T) {
	testGroup := newTestGroup(t)
	testGroup.drift.Store(driftPasses)
	term := uint64(1)
	for lost := 1; lost <= 24; lost++ {
		sent := atomic.Int64{}
		reached := make(chan struct{})
		for index := range testGroup.group.RankCount() {
			testGroup.group.Rank(index).SetFault(func(rankserver.Order) rankserver.Fault {
				if sent.Add(1) == int64(lost) {
					close(reached)
				}
				return rankserver.Fault{}
			})
		}
		end := testGroup.runController(term)
		select {
		case <-reached:
		case <-time.After(waitTimeout):
			t.Fatalf("order %d was not sent", lost)
		}
		end()
		term++
	}
	end := testGroup.runController(term)
	defer end()
	testGroup.awaitSwitches(1)
	testGroup.requireOneMap()
}

func TestConcurrentControllers(t *testing.T) {
	testGroup := newTestGroup(t)
	testGroup.drift.Store(driftPasses)
	first := testGroup.runController(1)
	defer first()
	testGroup.awaitSwitches(1)
	second := testGroup.runController(2)
	defer second()
	testGroup.awaitSwitches(6)
	testGroup.requireOneMap()
}

// TestGroupsOfOneServiceAreControlledSeparately runs two groups with equal epochs and rank numbers, whose ranks are registered for one service: a
// controller that took ranks of both for one group would put its map in force on some ranks of each.
func TestGroupsOfOneServiceAreControlledSeparately(t *testing.T) {
	groups := []*testGroup{newNamedTestGroup(t, "g0"), newNamedTestGroup(t, "g1")}
	var members []rebalancer.Member
	for index := range rankSettings.Ranks {
		for _, group := range groups {
			members = append(members, group.members[index])
		}
	}
	for index, group := range groups {
		group.members = members
		group.drift.Store(driftPasses)
		end := group.runController(uint64(index + 1))
		defer end()
	}
	for range 2 {
		for _, group := range groups {
			group.awaitSwitches(2)
			group.requireOneMap()
		}
	}
}
