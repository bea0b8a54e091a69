package rebalancer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log"
)

const (
	// heldVersion is the version of the map that is armed, and ownID and heldID the ranks beside the controller and beside the agent that ends the hold.
	heldVersion = 7
	ownID       = "own"
	heldID      = "held"
)

// unheardGroup is a group of which the agent beside the held rank answers no question for permission; the rank answers in its place, with an old report.
type unheardGroup struct {
	Group
	RankClient
	// onVouch is what the agent answers to a controller that vouches for its hold.
	onVouch error
	// silence is how long the agent is waited for before the rank is asked, or zero if that only happens once the question is abandoned.
	silence time.Duration
	// armed are the ranks that got the order to arm the map.
	armed []string
}

func (*unheardGroup) Name() string { return "" }

func (unheardGroup *unheardGroup) Surveyor() Surveyor { return armingSurveyor{unheardGroup} }

type armingSurveyor struct{ *unheardGroup }

func (armingSurveyor armingSurveyor) Survey(context.Context, []Member, Query) Survey { return Survey{} }

func (armingSurveyor armingSurveyor) OrderAll(_ context.Context, members []Member, _ []uint64, _ string, _ uint64, _ cranberryward.RankOrder) []OrderResult {
	for _, member := range members {
		armingSurveyor.armed = append(armingSurveyor.armed, member.ID)
	}
	return slices.Repeat([]OrderResult{{Outcome: cranberryward.OrderAccepted}}, len(members))
}

func (unheardGroup *unheardGroup) Observe(ctx context.Context, query Query) (Observation, error) {
	if query.Hold == HoldVouched {
		return Observation{}, unheardGroup.onVouch
	}
	if unheardGroup.silence > 0 {
		time.Sleep(unheardGroup.silence)
		return Observation{}, nil
	}
	<-ctx.Done()
	return Observation{}, nil
}

// TestOwnRankIsArmedOnlyWithPermission guards against a controller that takes an old report of the held rank for the permission of the agent beside it, as its context
// has ended: that agent has undone the change without the controller's own rank, which alone runs the new map then (review/6).
func TestOwnRankIsArmedOnlyWithPermission(t *testing.T) {
	lost := errors.New("the lease is lost")
	for name, test := range map[string]struct {
		group    unheardGroup
		endAfter time.Duration
		expected error
	}{
		"a later term ends the change":  {unheardGroup{onVouch: ErrTermEnded}, time.Hour, ErrTermEnded},
		"the lease is lost meanwhile":   {unheardGroup{}, time.Second, context.Canceled},
		"the lease was lost before":     {unheardGroup{}, 0, context.Canceled},
		"the lease is lost as it fails": {unheardGroup{silence: time.Second}, 500 * time.Millisecond, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(test.endAfter, func() { cancel(lost) })
				synctest.Wait()
				rebalancer := New(&test.group, 1, log.NewNopLogger())
				for _, id := range []string{ownID, heldID} {
					rebalancer.ranks = append(rebalancer.ranks, rank{member: Member{
						ID:     id,
						Client: &test.group,
						Local:  id == ownID,
					}})
				}
				err := rebalancer.whileHeld(ctx, []int{1}, rebalancer.holdQuery(HoldVouched, heldVersion), func(ctx context.Context) error {
					return rebalancer.arm(ctx, 1, heldVersion, 1)
				})
				if !errors.Is(err, test.expected) || slices.Contains(test.group.armed, ownID) {
					t.Errorf("error %v, expected %v; armed: %v", err, test.expected, test.group.armed)
				}
			})
		})
	}
}

// heldRank is a rank that is held before a pass, whose agent does not answer: its own reports are old, and the outcomes of orders are lost.
type heldRank struct {
	Group
	RankClient
	heldAt time.Time
	// lost is how many orders get lost before one is carried out.
	lost     int
	released bool
}

func (*heldRank) Name() string { return "" }

func (heldRank *heldRank) Order(context.Context, string, uint64, cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	heldRank.lost--
	heldRank.released = heldRank.released || heldRank.lost < 0
	return cranberryward.OrderUnknown, errors.New("no answer")
}

func (heldRank *heldRank) Observe(context.Context, Query) (Observation, error) {
	observation := Observation{Report: cranberryward.RankReport{Armed: heldVersion}}
	if !heldRank.released && time.Since(heldRank.heldAt) > staleReportDelay {
		observation.Report.Held = heldStep
	}
	if heldRank.released {
		observation.Report.Step = heldStep
	}
	return observation, nil
}

// heldStep is the pass before which a rank is held.
const heldStep = 9

// TestReleaseIsNotTakenFromReportsBeforeTheHold guards against a change that counts as complete while its group stands still: the held rank's agent does not answer, and the
// rank's report is from before the hold.
func TestReleaseIsNotTakenFromReportsBeforeTheHold(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				held := &heldRank{
					heldAt: time.Now(),
					lost:   lost,
				}
				rebalancer := New(held, 1, log.NewNopLogger())
				rebalancer.ranks = []rank{{
					member: Member{Client: held},
					observation: Observation{Report: cranberryward.RankReport{
						Armed: heldVersion,
						Held:  heldStep,
					}},
				}}
				armed := func(report cranberryward.RankReport) bool { return report.Armed == heldVersion }
				if err := rebalancer.release(t.Context(), 0, heldStep, armed); err != nil || !held.released {
					t.Errorf("error %v, the rank is released: %t", err, held.released)
				}
			})
		})
	}
}
