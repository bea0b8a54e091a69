package rebalancer

import (
	"context"
	"slices"
	"sync"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// changeUnfinished returns whether a rank is held, or some ranks are armed and not all with the same version. Between changes this happens only
// if a controller was lost during a change or an order arrived late.
func (rebalancer *Rebalancer) changeUnfinished() bool {
	return rebalancer.countHeldRanks() > 0 || rebalancer.countArmedRanks() > 0 && !rebalancer.sameVersionArmed()
}

// resolveUnfinished completes a change that is armed on all ranks, undoes any other, and releases the held ranks.
func (rebalancer *Rebalancer) resolveUnfinished(ctx context.Context) error {
	_ = level.Info(rebalancer.logger).Log("event", "group_unsettled", "epoch", rebalancer.epoch, "held", rebalancer.countHeldRanks(), "armed", rebalancer.countArmedRanks())
	query := rebalancer.query()
	query.Hold = HoldVouched // of no known change: whoever ends the hold in place of this process needs the reports of all ranks
	return rebalancer.whileHeld(ctx, rebalancer.heldRanks(), query, func(ctx context.Context) error {
		if err := rebalancer.confirmArmed(ctx); err != nil {
			return err
		}
		held := rebalancer.heldRanks() // which may have been released meanwhile
		if rebalancer.sameVersionArmed() {
			rebalancer.placement = nil
			version := rebalancer.ranks[0].observation.Report.Armed
			return rebalancer.releaseAll(ctx, held, func(report cranberryward.RankReport) bool { return report.Armed == version })
		}
		if !rebalancer.changeUnfinished() {
			return nil
		}
		if err := rebalancer.undoChange(ctx); err != nil {
			return eris.Wrap(err, "undo an unfinished change")
		}
		rebalancer.placement = nil
		return rebalancer.releaseUndone(ctx, held)
	})
}

// confirmArmed observes a group again whose ranks all seem to be armed, if one of the reports may be old, after the time in which reports include what was done before
// the first look. Such a change may have been released already, by an order that is carried out late, so the age of a report is no reason to undo it; nor to release it, as
// the report may be from before it was undone. No other process begins to undo it meanwhile: it would first need a rank that is not armed.
func (rebalancer *Rebalancer) confirmArmed(ctx context.Context) error {
	old := slices.ContainsFunc(rebalancer.ranks, func(rank rank) bool { return !rank.observation.Fresh })
	if !old || !rebalancer.sameVersionArmed() {
		return nil
	}
	if err := sleep(ctx, staleReportDelay); err != nil {
		return err
	}
	if err := rebalancer.observe(ctx, false); err != nil {
		return err
	}
	if len(rebalancer.ranks) == 0 {
		return eris.New("not all ranks of the open group answered once more")
	}
	return nil
}

// heldRanks returns the indexes of the ranks that are held.
func (rebalancer *Rebalancer) heldRanks() []int {
	return rebalancer.indexes(func(report cranberryward.RankReport) bool { return report.Held != 0 })
}

// sameVersionArmed returns whether all ranks are armed with the same version.
func (rebalancer *Rebalancer) sameVersionArmed() bool {
	first := rebalancer.ranks[0].observation.Report.Armed
	return first != 0 && !slices.ContainsFunc(rebalancer.ranks, func(rank rank) bool { return rank.observation.Report.Armed != first })
}

// undoChange disarms all ranks and orders each to prepare the placement that it already has. A rank that carries that order out is not armed, and nothing
// that was sent before can arm it, as no map of a change is prepared any more.
func (rebalancer *Rebalancer) undoChange(ctx context.Context) error {
	engine := rebalancer.group.Engine()
	if engine == nil {
		return eris.New("no engine cost model is known")
	}
	rebalancer.placement = nil
	if err := rebalancer.fetchPlacement(ctx, engine); err != nil {
		return err
	}
	return rebalancer.replaceChange(ctx, rebalancer.placement)
}

// replaceChange has all ranks prepare the given map in place of that of a change. Those that are not armed come first: if one has been armed meanwhile, by a
// controller that works on, it refuses, and no other has been disarmed. The held ranks come next: a release that is still under way, or that somebody who sees
// all ranks armed sends, is then refused, before any other rank is disarmed. A held rank that has been released is left as it is.
func (rebalancer *Rebalancer) replaceChange(ctx context.Context, present [][][]int) error {
	unarmed := rebalancer.indexes(func(report cranberryward.RankReport) bool { return report.Armed == 0 && report.Held == 0 })
	held := rebalancer.indexes(func(report cranberryward.RankReport) bool { return report.Held != 0 })
	armed := rebalancer.indexes(func(report cranberryward.RankReport) bool { return report.Armed != 0 && report.Held == 0 })
	if err := rebalancer.replacePrepared(ctx, unarmed, present); err != nil {
		return err
	}
	for _, index := range held {
		if err := rebalancer.replaceHeld(ctx, index, present); err != nil {
			return err
		}
	}
	if err := rebalancer.disarm(ctx, armed); err != nil {
		return err
	}
	return rebalancer.replacePrepared(ctx, armed, present)
}

// replaceHeld disarms a held rank and has it prepare a map, as long as it is held before the same pass.
func (rebalancer *Rebalancer) replaceHeld(ctx context.Context, index int, present [][][]int) error {
	report := &rebalancer.ranks[index].observation.Report
	step, armed := report.Held, report.Armed
	stillHeld := func(report cranberryward.RankReport) bool { return report.Held == step }
	if armed != 0 {
		order := cranberryward.RankOrder{
			Kind:    cranberryward.RankDisarm,
			Version: armed,
		}
		disarmed, err := rebalancer.sendOrderWhile(ctx, index, order, stillHeld, func(report cranberryward.RankReport) bool { return stillHeld(report) && report.Armed == 0 })
		if err == nil && !disarmed {
			err = eris.New("the rank refused, or is not held before that pass any more")
		}
		if err != nil {
			return eris.Wrapf(err, "disarm rank %d held before pass %d", index, step)
		}
	}
	version := rebalancer.nextVersion()
	order := cranberryward.RankOrder{
		Kind:    cranberryward.RankPrepare,
		Version: version,
		Map:     present,
	}
	prepared, err := rebalancer.sendOrderWhile(ctx, index, order, stillHeld, func(report cranberryward.RankReport) bool { return stillHeld(report) && report.Prepared == version })
	if err == nil && !prepared {
		err = eris.New("the rank refused, or is not held before that pass any more")
	}
	if err != nil {
		rebalancer.skipVersions()
		return eris.Wrapf(err, "replace the prepared map of rank %d held before pass %d", index, step)
	}
	report.Prepared = version
	return nil
}

// releaseUndone releases the held ranks after their change was undone, each in the state that it was left in.
func (rebalancer *Rebalancer) releaseUndone(ctx context.Context, held []int) error {
	for _, index := range held {
		version := rebalancer.ranks[index].observation.Report.Prepared
		undone := func(report cranberryward.RankReport) bool { return report.Armed == 0 && report.Prepared == version }
		if err := rebalancer.releaseAll(ctx, []int{index}, undone); err != nil {
			return err
		}
	}
	return nil
}

// disarm disarms ranks that are armed.
func (rebalancer *Rebalancer) disarm(ctx context.Context, indexes []int) error {
	failures := make([]error, len(rebalancer.ranks))
	var wait sync.WaitGroup
	for _, index := range indexes {
		armed := rebalancer.ranks[index].observation.Report.Armed
		order := cranberryward.RankOrder{
			Kind:    cranberryward.RankDisarm,
			Version: armed,
		}
		wait.Go(func() {
			disarmed, err := rebalancer.sendOrder(ctx, index, order, func(report cranberryward.RankReport) bool { return report.Armed == 0 })
			if err == nil && !disarmed {
				err = eris.Errorf("rank %d is still armed with map %d", index, armed)
			}
			failures[index] = err
		})
	}
	wait.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (rebalancer *Rebalancer) countHeldRanks() int {
	return rebalancer.countRanks(func(report cranberryward.RankReport) bool { return report.Held != 0 })
}

func (rebalancer *Rebalancer) countArmedRanks() int {
	return rebalancer.countRanks(func(report cranberryward.RankReport) bool { return report.Armed != 0 })
}

func (rebalancer *Rebalancer) countRanks(matches func(cranberryward.RankReport) bool) int {
	count := 0
	for _, rank := range rebalancer.ranks {
		if matches(rank.observation.Report) {
			count++
		}
	}
	return count
}
