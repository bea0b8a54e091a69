package rebalancer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// initialLead is how many passes ahead the first change is armed; the lead grows when arming takes longer.
	initialLead = 3
	maxLead     = 12
	// maxLeadStep bounds the growth of the lead after one change: arming that waited seconds for a frozen rank says little about the next one.
	maxLeadStep = 2
	// armTimeFactor is the safety factor on the last measured arming time: arming that takes longer delays the group's next pass.
	armTimeFactor = 1.5
	// lostOrderTime is the minimum lead time; within it one lost order can be detected and sent again without delaying the group.
	lostOrderTime = 100 * time.Millisecond
	// leadDecayChanges is the mean number of changes after which a lead that is longer than needed is shortened by one pass; it is kept that long
	// because lost orders come in bursts of seconds.
	leadDecayChanges = 12
	// maxOrderAttempts is how often one order is sent at most when its responses are lost.
	maxOrderAttempts = 12
	// pollInterval is the pause between polls of the ranks for complete copies or for the switch to a map.
	pollInterval = 25 * time.Millisecond
	// copyTimeoutMargin is how long a copy may take beyond its expected time before the change is abandoned.
	copyTimeoutMargin = 1500 * time.Millisecond
	// staleReportDelay is how long to wait until reports, which may be several hundred milliseconds old, include the last order.
	staleReportDelay = 400 * time.Millisecond
	// staleReportSteps is the number of attempts in that time.
	staleReportSteps = 4
	// switchTimeout bounds the wait for the pass of the switch, which a group under load begins within a fraction of a second.
	switchTimeout = time.Second
)

// errEpochEnded means that the group reopened in a new epoch, which clears all prepared, armed and held state.
var errEpochEnded = eris.New("the group reopened in a new epoch")

// changeMap puts a map in force: it prepares the map on all ranks, holds one rank before a pass, arms the map on all ranks for that pass and
// only then releases the held rank. So no pass can begin with the map armed on only some ranks, even if orders are lost or arrive late. If this process is
// lost meanwhile, the agent beside the held rank ends the hold.
func (rebalancer *Rebalancer) changeMap(ctx context.Context, next [][][]int, copies int, engine *cranberryward.EngineCostModel) error {
	version := rebalancer.nextVersion()
	begun := time.Now()
	if err := rebalancer.prepare(ctx, version, next, time.Duration(copies)*engine.CopyTime()); err != nil {
		rebalancer.skipVersions()
		return eris.Wrapf(err, "prepare map %d", version)
	}
	prepared := time.Now()
	heldRank, err := rebalancer.announceHold(ctx, version)
	if err != nil {
		return eris.Wrap(err, "announce the hold")
	}
	step := rebalancer.highestStep() + rebalancer.leadPasses
	arming := time.Now()
	err = rebalancer.whileHeld(ctx, []int{heldRank}, rebalancer.holdQuery(HoldVouched, version), func(ctx context.Context) error {
		held, err := rebalancer.hold(ctx, heldRank, step)
		if err != nil {
			return eris.Wrapf(err, "hold the group before pass %d", step)
		}
		if !held {
			rebalancer.leadPasses = min(rebalancer.leadPasses+1, maxLead)
			return eris.Errorf("pass %d began before it could be held", step)
		}
		if err := rebalancer.arm(ctx, heldRank, version, step); err != nil {
			return eris.Wrapf(err, "arm map %d for pass %d", version, step)
		}
		rebalancer.updateLead(time.Since(arming))
		armed := func(report cranberryward.RankReport) bool { return report.Armed == version }
		return eris.Wrapf(rebalancer.release(ctx, heldRank, step, armed), "release the group for pass %d", step)
	})
	if err != nil {
		return err
	}
	rebalancer.placement, rebalancer.version = next, version
	rebalancer.changes++
	meter.RecordMapChange(prepared.Sub(begun), time.Since(prepared))
	_ = level.Info(rebalancer.logger).Log("event", "map_armed", "version", version, "step", step, "copies", copies,
		"prepare_ms", prepared.Sub(begun).Milliseconds(), "arm_ms", time.Since(prepared).Milliseconds(), "lead", rebalancer.leadPasses, "pass_ms", rebalancer.passTime.Milliseconds())
	return rebalancer.awaitSwitch(ctx, version)
}

// updateLead adapts the lead to the time that arming took, so that arming does not delay the group.
func (rebalancer *Rebalancer) updateLead(took time.Duration) {
	if rebalancer.passTime <= 0 {
		return
	}
	leadTime := max(armTimeFactor*float64(took), float64(lostOrderTime))
	needed := min(uint64(leadTime/float64(rebalancer.passTime))+1, maxLead)
	if needed > rebalancer.leadPasses {
		rebalancer.leadPasses = min(needed, rebalancer.leadPasses+maxLeadStep)
	} else if rebalancer.leadPasses > needed && rand.IntN(leadDecayChanges) == 0 {
		rebalancer.leadPasses--
	}
}

// prepare orders all ranks to copy the experts that a map needs and waits until each reports that its copies are complete.
func (rebalancer *Rebalancer) prepare(ctx context.Context, version uint64, next [][][]int, expected time.Duration) error {
	order := cranberryward.RankOrder{
		Kind:    cranberryward.RankPrepare,
		Version: version,
		Map:     next,
	}
	before := make([]uint64, len(rebalancer.ranks))
	for index, rank := range rebalancer.ranks {
		before[index] = rank.observation.Report.Orders
	}
	if err := rebalancer.sendOrderAll(ctx, order, func(report cranberryward.RankReport) bool { return report.Prepared >= version }); err != nil {
		return err
	}
	if err := sleep(ctx, max(expected, pollInterval)); err != nil {
		return err
	}
	if err := rebalancer.awaitAll(ctx, copyTimeoutMargin, func(report cranberryward.RankReport) bool { return report.Prepared == version }); err != nil {
		return err
	}
	rebalancer.learnCounting(before)
	return nil
}

// awaitAll polls the ranks until the reports of all of them match.
func (rebalancer *Rebalancer) awaitAll(ctx context.Context, timeout time.Duration, matches func(cranberryward.RankReport) bool) error {
	deadline := time.Now().Add(timeout)
	for {
		if err := rebalancer.pollUnmatched(ctx, matches); err != nil {
			return err
		}
		if !slices.ContainsFunc(rebalancer.ranks, func(rank rank) bool { return !matches(rank.observation.Report) }) {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("not all ranks reported the expected state within %s", timeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// pollUnmatched observes the ranks whose last report does not match, and returns an error only if the open epoch or the term ended.
func (rebalancer *Rebalancer) pollUnmatched(ctx context.Context, matches func(cranberryward.RankReport) bool) error {
	var members []Member
	var unmatched []*rank
	for i := range rebalancer.ranks {
		if rank := &rebalancer.ranks[i]; !matches(rank.observation.Report) {
			members, unmatched = append(members, rank.member), append(unmatched, rank)
		}
	}
	if len(members) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	survey := rebalancer.group.Surveyor().Survey(ctx, members, rebalancer.query())
	for i, rank := range unmatched {
		if eris.Is(survey.Failures[i], ErrTermEnded) {
			return survey.Failures[i]
		}
		if survey.Failures[i] != nil {
			continue // it is asked again
		}
		report := survey.Observations[i].Report
		if report.Epoch != rebalancer.epoch || !report.Open {
			return errEpochEnded
		}
		rank.observation.Report = report
	}
	return nil
}

// arm arms a map on all ranks for a pass before which the group is held, the rank on the controller's own instance last and only if the agent beside the held
// rank agrees. So that agent knows that this rank is not armed, also if it can't reach the instance.
func (rebalancer *Rebalancer) arm(ctx context.Context, heldRank int, version, step uint64) error {
	order := cranberryward.RankOrder{
		Kind:    cranberryward.RankArm,
		Version: version,
		Step:    step,
	}
	armed := func(report cranberryward.RankReport) bool { return report.Armed == version }
	own, others := rebalancer.splitLocal()
	if err := rebalancer.sendOrders(ctx, others, order, armed); err != nil {
		return err
	}
	if len(own) == 0 {
		return nil
	}
	if err := rebalancer.commitHold(ctx, heldRank, version); err != nil {
		return eris.Wrap(err, "commit")
	}
	return rebalancer.sendOrders(ctx, own, order, armed)
}

// release allows a held group to begin its pass, as long as the held rank's state is still the one that the group is released in: whoever undoes the change
// meanwhile changes that rank before it disarms any other, and may not be heard of, as a rank whose agent is silent is reached directly.
func (rebalancer *Rebalancer) release(ctx context.Context, heldRank int, step uint64, allowed func(cranberryward.RankReport) bool) error {
	order := cranberryward.RankOrder{
		Kind: cranberryward.RankRelease,
		Step: step,
	}
	released, err := rebalancer.sendOrderWhile(ctx, heldRank, order, allowed, func(report cranberryward.RankReport) bool { return report.Held == 0 })
	if err == nil && !released {
		err = eris.Errorf("rank %d is still held before pass %d, or its change is being undone", heldRank, step)
	}
	return err
}

// awaitSwitch waits for the ranks to run a map, since an armed rank cannot prepare another; it is no error if an idle group takes longer.
func (rebalancer *Rebalancer) awaitSwitch(ctx context.Context, version uint64) error {
	if err := sleep(ctx, min(max(time.Duration(rebalancer.leadPasses)*rebalancer.passTime/2, pollInterval), switchTimeout)); err != nil {
		return err
	}
	// All ranks switch at the same pass, so observing one of them is enough.
	first := rebalancer.ranks[:1]
	for deadline := time.Now().Add(switchTimeout); time.Now().Before(deadline); {
		observation, err := first[0].member.Client.Observe(ctx, rebalancer.query())
		if err != nil || observation.Report.Epoch != rebalancer.epoch || observation.Report.Map == version {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	_ = level.Info(rebalancer.logger).Log("event", "switch_not_seen", "version", version, "waited_ms", switchTimeout.Milliseconds())
	return nil
}

// sendOrderAll sends an order to all ranks at once, again to those whose outcome is unknown, and returns an error unless each has carried it out.
func (rebalancer *Rebalancer) sendOrderAll(ctx context.Context, order cranberryward.RankOrder, done func(cranberryward.RankReport) bool) error {
	return rebalancer.sendOrders(ctx, rebalancer.indexes(func(cranberryward.RankReport) bool { return true }), order, done)
}

// indexes returns the indexes of the ranks whose last reports match.
func (rebalancer *Rebalancer) indexes(matches func(cranberryward.RankReport) bool) []int {
	var indexes []int
	for index, rank := range rebalancer.ranks {
		if matches(rank.observation.Report) {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// splitLocal returns the index of the rank on the controller's own instance, if any, and those of the others.
func (rebalancer *Rebalancer) splitLocal() (own, others []int) {
	for index, rank := range rebalancer.ranks {
		if rank.member.Local {
			own = append(own, index)
		} else {
			others = append(others, index)
		}
	}
	return own, others
}

// sendOrders does the same as sendOrderAll for some ranks.
func (rebalancer *Rebalancer) sendOrders(ctx context.Context, indexes []int, order cranberryward.RankOrder, done func(cranberryward.RankReport) bool) error {
	if len(indexes) == 0 {
		return nil
	}
	orders := make([]uint64, len(indexes))
	members := make([]Member, len(indexes))
	for i, index := range indexes {
		orders[i], members[i] = rebalancer.ranks[index].observation.Report.Orders, rebalancer.ranks[index].member
	}
	order.Epoch = rebalancer.epoch
	results := rebalancer.group.Surveyor().OrderAll(ctx, members, orders, rebalancer.group.Name(), rebalancer.term, order)
	failures := make([]error, len(indexes))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for i, result := range results {
		switch {
		case eris.Is(result.Err, ErrTermEnded):
			cancel()
			wait.Wait() // none goes on beside what follows
			return eris.Wrapf(result.Err, "order to rank %d", indexes[i])
		case result.Outcome == cranberryward.OrderAccepted:
			rebalancer.recordAccepted(indexes[i], order)
		default:
			wait.Go(func() { failures[i] = rebalancer.settleOrder(ctx, indexes[i], order, done) })
		}
	}
	wait.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// settleOrder finds out whether a rank has carried out an order whose outcome is unknown, and sends it again if it has not.
func (rebalancer *Rebalancer) settleOrder(ctx context.Context, index int, order cranberryward.RankOrder, done func(cranberryward.RankReport) bool) error {
	rank := &rebalancer.ranks[index]
	if observation, err := rank.member.Client.Observe(ctx, rebalancer.query()); err == nil {
		if observation.Report.Epoch != order.Epoch {
			return errEpochEnded
		}
		rank.observation.Report = observation.Report
		if done(observation.Report) {
			return nil
		}
	}
	accepted, err := rebalancer.sendOrder(ctx, index, order, done)
	if err == nil && !accepted {
		err = eris.Errorf("rank %d refused the order", index)
	}
	return err
}

// sendOrder sends a rank an order until it is known to be carried out or finally refused, and returns whether it was carried out. Each attempt
// is valid only for the number of orders that the rank has begun, so that none takes effect twice or late.
func (rebalancer *Rebalancer) sendOrder(ctx context.Context, index int, order cranberryward.RankOrder, done func(cranberryward.RankReport) bool) (bool, error) {
	return rebalancer.sendOrderWhile(ctx, index, order, func(cranberryward.RankReport) bool { return true }, done)
}

// errNotAllowed means that the last known state of a rank does not allow an order, which was not sent.
var errNotAllowed = eris.New("the rank's state does not allow the order")

// sendOrderWhile does the same as sendOrder, but each attempt takes effect only in a state that is allowed.
func (rebalancer *Rebalancer) sendOrderWhile(ctx context.Context, index int, order cranberryward.RankOrder, allowed, done func(cranberryward.RankReport) bool) (bool, error) {
	rank := &rebalancer.ranks[index]
	order.Epoch = rank.observation.Report.Epoch
	var failure error
	begun := time.Now()
	for range maxOrderAttempts {
		order.Orders = rank.observation.Report.Orders
		outcome, err := cranberryward.OrderUnknown, errNotAllowed
		if allowed(rank.observation.Report) {
			outcome, err = rank.member.Client.Order(ctx, rebalancer.group.Name(), rebalancer.term, order)
		}
		if outcome == cranberryward.OrderAccepted {
			rebalancer.recordAccepted(index, order)
			return true, nil
		}
		if eris.Is(err, ErrTermEnded) {
			return false, eris.Wrapf(err, "order to rank %d", index)
		}
		if ctx.Err() != nil {
			return false, eris.Wrapf(ctx.Err(), "order to rank %d", index)
		}
		failure = err
		before := rank.observation.Report.Orders
		observation, err := rank.member.Client.Observe(ctx, rebalancer.query())
		if err != nil {
			if eris.Is(err, ErrTermEnded) || ctx.Err() != nil {
				return false, eris.Wrapf(err, "observe rank %d after an order", index)
			}
			failure = err
			continue
		}
		if observation.Report.Epoch != order.Epoch {
			return false, errEpochEnded
		}
		rank.observation.Report = observation.Report
		_ = level.Info(rebalancer.logger).Log("event", "order_unsettled", "rank", index, "order", order.Kind, "outcome", int(outcome), "error", failure, "orders", before, "reported_orders", observation.Report.Orders, "held", observation.Report.Held, "armed", observation.Report.Armed, "fresh", observation.Fresh)
		if done(observation.Report) && !mayPrecede(observation, order, begun) {
			return true, nil
		}
		refused := outcome == cranberryward.OrderRefused && before == observation.Report.Orders
		if observation.Fresh && (refused || !allowed(observation.Report)) {
			return false, nil
		}
		if !observation.Fresh {
			// The report may be older than the order.
			if err := sleep(ctx, staleReportDelay/staleReportSteps); err != nil {
				return false, err
			}
		}
	}
	return false, eris.Wrapf(failure, "outcome of the order still unknown after %d attempts", maxOrderAttempts)
}

// mayPrecede returns whether an observation may be older than the hold that an order releases, which is older than the first attempt: the rank is not held in
// such a report either.
func mayPrecede(observation Observation, order cranberryward.RankOrder, begun time.Time) bool {
	return order.Kind == cranberryward.RankRelease && !observation.Fresh && observation.Report.Step < order.Step && time.Since(begun) < staleReportDelay
}

// recordAccepted records what an order that a rank has accepted changes in its report: the number of orders, unless the ranks don't count, and what is armed or
// held. A copy may not be complete yet.
func (rebalancer *Rebalancer) recordAccepted(index int, order cranberryward.RankOrder) {
	report := &rebalancer.ranks[index].observation.Report
	if !rebalancer.uncounted {
		report.Orders++
	}
	switch order.Kind {
	case cranberryward.RankArm:
		report.Armed = order.Version
	case cranberryward.RankDisarm:
		report.Armed = 0
	case cranberryward.RankHold:
		report.Held = order.Step
	case cranberryward.RankRelease:
		report.Held = 0
	}
}

// learnCounting finds out whether the ranks counted the order that all of them have accepted since their last reports had the given numbers of orders.
// A wrong number costs one more exchange for each order, also while the group is held.
func (rebalancer *Rebalancer) learnCounting(before []uint64) {
	rebalancer.uncounted = true
	for index, rank := range rebalancer.ranks {
		rebalancer.uncounted = rebalancer.uncounted && rank.observation.Report.Orders == before[index]
	}
}

func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}
