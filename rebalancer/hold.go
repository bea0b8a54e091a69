package rebalancer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// announceAttempts is how many agents are asked at most before a change is put off.
	announceAttempts = 3
	// HoldPatience is how long the agent beside a held rank hears no controller before it ends the hold: the pause of a pass or two, which most callers accept.
	HoldPatience = 150 * time.Millisecond
	// vouchInterval is how often the controller is heard beside a rank that it holds, several times in HoldPatience.
	vouchInterval = 40 * time.Millisecond
	// maxHold is how long a controller vouches for its hold. Callers pay more for a longer one than the change saves, and the agent beside the held rank may
	// reach ranks that the controller does not.
	maxHold = 500 * time.Millisecond
	// settleTimeout bounds the first observation of a group that is held; agents that did not answer are left out of the next one.
	settleTimeout = 200 * time.Millisecond
)

// announceHold chooses a rank to hold and tells the agent beside it, which ends the hold if the controller is lost. It is a random one whose agent answers at
// this moment and that is not on the controller's own instance, if there is one: so one of the two can act whichever instance is lost.
func (rebalancer *Rebalancer) announceHold(ctx context.Context, version uint64) (int, error) {
	order := rand.Perm(len(rebalancer.ranks))
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(unsuitability(rebalancer.ranks[a]), unsuitability(rebalancer.ranks[b]))
	})
	for _, index := range order[:min(len(order), announceAttempts)] {
		observation, err := rebalancer.ranks[index].member.Client.Observe(ctx, rebalancer.holdQuery(HoldAnnounced, version))
		if eris.Is(err, ErrTermEnded) {
			return 0, err
		}
		if err != nil {
			continue
		}
		if observation.Report.Epoch != rebalancer.epoch {
			return 0, errEpochEnded
		}
		rebalancer.ranks[index].observation = observation
		if observation.Fresh {
			return index, nil
		}
	}
	return 0, eris.New("no agent answers")
}

// unsuitability returns 0 for a rank that may well be held.
func unsuitability(rank rank) int {
	if rank.member.Local || !rank.observation.Fresh {
		return 1
	}
	return 0
}

// commitHold asks the agent beside the held rank for permission to arm the rank on the controller's own instance. An agent that has begun to end the hold
// refuses. Only that agent can permit it: a report that the rank itself gives in its place is none, also once nobody waits for the answer.
func (rebalancer *Rebalancer) commitHold(ctx context.Context, heldRank int, version uint64) error {
	var failure error
	for range announceAttempts {
		observation, err := rebalancer.ranks[heldRank].member.Client.Observe(ctx, rebalancer.holdQuery(HoldCommitted, version))
		if err == nil && observation.Fresh {
			return nil
		}
		_ = level.Info(rebalancer.logger).Log("event", "hold_not_committed", "version", version, "rank", heldRank, "fresh", observation.Fresh, "error", err, "ended", context.Cause(ctx))
		if eris.Is(err, ErrTermEnded) {
			return err
		}
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "wait for the agent beside the held rank")
		}
		failure = err
	}
	return eris.Errorf("the agent beside the held rank does not answer: %v", failure)
}

// holdQuery returns a query that tells the agent beside a rank how far the change to a version that holds this has come, and which rank is armed last.
func (rebalancer *Rebalancer) holdQuery(phase HoldPhase, version uint64) Query {
	query := rebalancer.query()
	query.Hold, query.Change = phase, version
	for _, rank := range rebalancer.ranks {
		if rank.member.Local {
			query.Holder = rank.member.ID
		}
	}
	return query
}

// hold holds a rank before a pass, and returns false if the pass has begun. The order goes to the rank directly: a process that is lost as it gives the order
// is then not the one beside the rank, which ends the hold.
func (rebalancer *Rebalancer) hold(ctx context.Context, index int, step uint64) (bool, error) {
	order := cranberryward.RankOrder{
		Kind:   cranberryward.RankHold,
		Epoch:  rebalancer.epoch,
		Orders: rebalancer.ranks[index].observation.Report.Orders,
		Step:   step,
	}
	outcome, err := rebalancer.ranks[index].member.Client.OrderDirectly(ctx, order)
	if err == nil && outcome == cranberryward.OrderAccepted {
		rebalancer.recordAccepted(index, order)
		return true, nil
	}
	return rebalancer.sendOrder(ctx, index, order, func(report cranberryward.RankReport) bool { return report.Held == step })
}

// whileHeld calls act and has the agents beside the held ranks hear this controller, by the given query, until it returns, for maxHold at most. The context of
// act ends if one of them has accepted a later term.
func (rebalancer *Rebalancer) whileHeld(ctx context.Context, held []int, query Query, act func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for _, index := range held {
		go vouch(ctx, cancel, rebalancer.ranks[index].member.Client, query)
	}
	err := act(ctx)
	if cause := context.Cause(ctx); eris.Is(cause, ErrTermEnded) {
		return cause
	}
	return err
}

func vouch(ctx context.Context, cancel context.CancelCauseFunc, client RankClient, query Query) {
	for begun := time.Now(); time.Since(begun) < maxHold && sleep(ctx, vouchInterval) == nil; {
		if _, err := client.Observe(ctx, query); eris.Is(err, ErrTermEnded) {
			cancel(ErrTermEnded)
			return
		}
	}
}

// ClosedChange is a change of the map that the agent beside the held rank has closed: its controller never arms its own rank with it.
type ClosedChange struct {
	Version uint64
	// Holder is the backend server beside the controller, or empty if none is known.
	Holder string
	// HeldRank is the rank that the change holds.
	HeldRank int
}

// Settle ends what a controller that is not heard any more left unfinished, in a term of its own (GuardTerm). Of a closed change it does without the holder's
// rank, which may be lost with the controller.
func (rebalancer *Rebalancer) Settle(ctx context.Context, closed ClosedChange) error {
	if closed.Holder != "" {
		return rebalancer.settleWithout(ctx, closed)
	}
	if err := rebalancer.observeWithin(ctx, settleTimeout, false); err != nil {
		return err
	}
	if len(rebalancer.ranks) == 0 {
		return eris.New("not all ranks of the open group answered")
	}
	if !rebalancer.changeUnfinished() {
		return nil
	}
	return rebalancer.resolveUnfinished(ctx)
}
