package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/rotisserie/eris"
)

// lostController is the view that a controller beside rank 0 has of its group. At one stage of its first change the instance stands still or is cut off.
type lostController struct {
	*testGroup
	fault, stage string
	once         sync.Once
	// reached is closed at the stage, and healed when the instance works again.
	reached, healed chan struct{}
}

// pass returns once a call at a stage may go on, with an error if the instance is cut off.
func (lostController *lostController) pass(stage string) error {
	if stage == lostController.stage {
		lostController.once.Do(func() {
			if lostController.fault == "frozen" {
				lostController.frozen.Store(&lostController.healed)
			}
			close(lostController.reached)
		})
	}
	select {
	case <-lostController.reached:
	default:
		return nil
	}
	if lostController.fault == "frozen" {
		<-lostController.healed
	}
	select {
	case <-lostController.healed:
		return nil
	default:
		return eris.New("cut off")
	}
}

// freezable serves a rank, that with index 0 not while its instance stands still.
func (testGroup *testGroup) freezable(index int, rank http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if healed := testGroup.frozen.Load(); index == 0 && healed != nil {
			<-*healed
		}
		rank.ServeHTTP(writer, request)
	})
}

func (lostController *lostController) Members() []rebalancer.Member {
	members := slices.Clone(lostController.members)
	for index := range members {
		members[index].Local = index == 0
		members[index].Client = lostClient{
			RankClient: members[index].Client,
			controller: lostController,
		}
	}
	return members
}

func (lostController *lostController) Surveyor() rebalancer.Surveyor { return lostController }

func reachable(members []rebalancer.Member) []rebalancer.Member {
	members = slices.Clone(members)
	for index := range members {
		members[index].Client = members[index].Client.(lostClient).RankClient
	}
	return members
}

func (lostController *lostController) Survey(ctx context.Context, members []rebalancer.Member, query rebalancer.Query) rebalancer.Survey {
	if err := lostController.pass("survey"); err != nil {
		return rebalancer.Survey{
			Observations: make([]rebalancer.Observation, len(members)),
			Failures:     slices.Repeat([]error{err}, len(members)),
		}
	}
	return lostController.testGroup.surveyor.Survey(ctx, reachable(members), query)
}

func (lostController *lostController) OrderAll(ctx context.Context, members []rebalancer.Member, orders []uint64, group string, term uint64, order cranberryward.RankOrder) []rebalancer.OrderResult {
	results := slices.Repeat([]rebalancer.OrderResult{{Err: eris.New("cut off")}}, len(members))
	name := order.Kind.String()
	if len(members) == 1 {
		name += " own"
	}
	if lostController.pass(name+" begins") != nil {
		return results
	}
	half := len(members) / 2
	first := lostController.testGroup.surveyor.OrderAll(ctx, reachable(members[:half]), orders[:half], group, term, order)
	if lostController.pass("half "+name) != nil {
		return results
	}
	rest := lostController.testGroup.surveyor.OrderAll(ctx, reachable(members[half:]), orders[half:], group, term, order)
	if lostController.pass(name+" done") != nil {
		return results
	}
	return append(first, rest...)
}

type lostClient struct {
	rebalancer.RankClient
	controller *lostController
}

func (lostClient lostClient) Observe(ctx context.Context, query rebalancer.Query) (rebalancer.Observation, error) {
	name := "observe"
	if query.Hold == rebalancer.HoldCommitted {
		name = "commit"
	}
	if err := lostClient.controller.pass(name + " begins"); err != nil {
		return rebalancer.Observation{}, err
	}
	observation, err := lostClient.RankClient.Observe(ctx, query)
	if failure := lostClient.controller.pass(name + " done"); failure != nil {
		return rebalancer.Observation{}, failure
	}
	return observation, err
}

func (lostClient lostClient) Order(ctx context.Context, group string, term uint64, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	return lostClient.controller.around(order, func() (cranberryward.OrderOutcome, error) {
		return lostClient.RankClient.Order(ctx, group, term, order)
	})
}

func (lostClient lostClient) OrderDirectly(ctx context.Context, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	return lostClient.controller.around(order, func() (cranberryward.OrderOutcome, error) { return lostClient.RankClient.OrderDirectly(ctx, order) })
}

func (lostController *lostController) around(order cranberryward.RankOrder, send func() (cranberryward.OrderOutcome, error)) (cranberryward.OrderOutcome, error) {
	if err := lostController.pass(order.Kind.String() + " begins"); err != nil {
		return cranberryward.OrderUnknown, err
	}
	outcome, err := send()
	if failure := lostController.pass(order.Kind.String() + " done"); failure != nil {
		return cranberryward.OrderUnknown, failure
	}
	return outcome, err
}

// hasReached returns whether the controller has come to the stage at which it is lost.
func (lostController *lostController) hasReached() bool {
	select {
	case <-lostController.reached:
		return true
	default:
		return false
	}
}

// TestGroupGoesOnWithoutItsController answers the pattern "the instance of the controller stands still for seconds during a change": passes go on, with no
// other controller and before the instance is back, and never with two maps.
func TestGroupGoesOnWithoutItsController(t *testing.T) {
	const longestAhead = 16 // more passes than any change is armed ahead
	stages := []string{
		"prepare begins", "half prepare", "prepare done", "hold begins", "hold done", "arm begins", "half arm", "arm done",
		"commit begins", "commit done", "arm own done", "release begins", "release done",
	}
	for _, fault := range []string{"frozen", "cut off", "ended"} {
		for index, stage := range stages {
			t.Run(fault+", "+stage, func(t *testing.T) {
				t.Parallel()
				settings := rankSettings
				settings.Uncounted = index%2 == 0 // at every other stage, as numbers of orders must not matter here
				testGroup := newConfiguredTestGroup(t, settings)
				testGroup.drift.Store(driftPasses)
				controller := &lostController{
					testGroup: testGroup,
					fault:     fault,
					stage:     stage,
					reached:   make(chan struct{}),
					healed:    make(chan struct{}),
				}
				guards, stopGuards := context.WithCancel(context.Background())
				defer stopGuards()
				for _, guard := range testGroup.guards {
					go guard.run(guards)
				}
				heal := sync.OnceFunc(func() { close(controller.healed) })
				t.Cleanup(heal) // a test that fails before would wait for the frozen rank's answers for good
				ctx, end := context.WithCancel(context.Background())
				defer end()
				ended := make(chan struct{})
				term := uint64(0)
				go func() {
					defer close(ended)
					// On a busy machine, a guard may end the hold and the term of a controller before the stage; the next one begins, as it would.
					for ctx.Err() == nil && !controller.hasReached() {
						term++
						_ = rebalancer.New(controller, testTerm(term), testGroup.logger).Run(ctx)
						time.Sleep(passInterval)
					}
				}()
				select {
				case <-controller.reached:
				case <-time.After(10 * waitTimeout):
					t.Fatal("no controller has reached the stage")
				}
				if fault == "ended" {
					end()
				}
				step := testGroup.group.Step()
				_ = testGroup.logger.Log("event", "stage_reached", "step", step)
				// After the commit, nobody can know whether the rank on the frozen instance is armed.
				if unknown := fault == "frozen" && slices.Contains([]string{"commit done", "arm own done", "release begins"}, stage); !unknown {
					testGroup.await("passes without the controller", func() bool { return testGroup.group.Step() > step+longestAhead })
				}
				heal()
				testGroup.await("passes after the fault", func() bool { return testGroup.group.Step() > step+2*longestAhead })
				successor := testGroup.runController(term + 1)
				defer successor()
				testGroup.awaitSwitches(1)
				testGroup.requireOneMap()
				end()
				<-ended
			})
		}
	}
}
