package rebalancer

import (
	"context"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// settleWithout undoes the change of a controller whose own rank is not armed, never will be, and may not be reachable.
func (rebalancer *Rebalancer) settleWithout(ctx context.Context, closed ClosedChange) error {
	if err := rebalancer.observeWithout(ctx, closed.Holder); err != nil {
		return err
	}
	if err := rebalancer.checkClosed(closed); err != nil {
		return err
	}
	_ = level.Info(rebalancer.logger).Log("event", "group_unsettled", "epoch", rebalancer.epoch, "held", rebalancer.countHeldRanks(), "armed", rebalancer.countArmedRanks(), "without", closed.Holder)
	next, err := rebalancer.presentMap(ctx)
	if err != nil {
		return err
	}
	if err := rebalancer.replaceChange(ctx, next); err != nil {
		return err
	}
	return rebalancer.releaseUndone(ctx, rebalancer.heldRanks())
}

// checkClosed returns an error unless the closed change is the one that is under way: a controller that was only not heard may have gone on to a later one, in
// which its own rank may be armed. After reports that are fresh its orders pass through none of the agents any more.
func (rebalancer *Rebalancer) checkClosed(closed ClosedChange) error {
	for _, rank := range rebalancer.ranks {
		report := rank.observation.Report
		switch {
		case !rank.observation.Fresh:
			return eris.Errorf("the report of rank %d may be old", report.Rank)
		case report.Armed != 0 && report.Armed != closed.Version:
			return eris.Errorf("rank %d is armed with map %d, and the closed change is that to map %d", report.Rank, report.Armed, closed.Version)
		case report.Held != 0 && report.Rank != closed.HeldRank:
			return eris.Errorf("rank %d is held too", report.Rank)
		}
	}
	return nil
}

// observeWithout observes the ranks of the open group but that of one backend server; all of them must answer.
func (rebalancer *Rebalancer) observeWithout(ctx context.Context, holder string) error {
	members := slices.DeleteFunc(slices.Clone(rebalancer.group.Members()), func(member Member) bool { return member.ID == holder })
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	survey := rebalancer.group.Surveyor().Survey(ctx, members, rebalancer.query())
	ranks, failure := rebalancer.ownRanks(members, survey, time.Now())
	if eris.Is(failure, ErrTermEnded) {
		return failure
	}
	if rebalancer.ranks = rebalancer.completeGroup(ranks, 1); len(rebalancer.ranks) == 0 {
		return eris.Errorf("%d ranks answered, expected all but that of %s, last failure: %v", len(ranks), holder, failure)
	}
	return nil
}

// presentMap returns the map in force; of the rank that is left out, it has the experts that no other holds.
func (rebalancer *Rebalancer) presentMap(ctx context.Context) ([][][]int, error) {
	engine := rebalancer.group.Engine()
	if engine == nil {
		return nil, eris.New("no engine cost model is known")
	}
	query := rebalancer.query()
	query.Placement = true
	survey := rebalancer.group.Surveyor().Survey(ctx, rebalancer.members(), query)
	present := make([][][]int, engine.Sets)
	for set := range present {
		present[set] = make([][]int, len(rebalancer.ranks)+1)
	}
	missing := len(rebalancer.ranks)
	for i, rank := range rebalancer.ranks {
		placement := survey.Observations[i].Placement
		if survey.Failures[i] != nil || len(placement) != engine.Sets {
			return nil, eris.Errorf("rank %d reports %d sets, expected %d, failure: %v", rank.observation.Report.Rank, len(placement), engine.Sets, survey.Failures[i])
		}
		if rank.observation.Report.Rank != i {
			missing = min(missing, i)
		}
		for set, experts := range placement {
			present[set][rank.observation.Report.Rank] = experts
		}
	}
	for set := range present {
		present[set][missing] = unplaced(present[set], engine.Experts)
	}
	return present, nil
}

// unplaced returns the experts of a set that no rank holds.
func unplaced(ranks [][]int, experts int) []int {
	placed := make([]bool, experts)
	for _, held := range ranks {
		for _, expert := range held {
			if expert >= 0 && expert < experts { // otherwise the configuration is not that of the group's start
				placed[expert] = true
			}
		}
	}
	var missing []int
	for expert, known := range placed {
		if !known {
			missing = append(missing, expert)
		}
	}
	return missing
}

// replacePrepared has ranks prepare a map that needs no copies, in place of any that they have prepared.
func (rebalancer *Rebalancer) replacePrepared(ctx context.Context, indexes []int, next [][][]int) error {
	version := rebalancer.nextVersion()
	order := cranberryward.RankOrder{
		Kind:    cranberryward.RankPrepare,
		Version: version,
		Map:     next,
	}
	err := rebalancer.sendOrders(ctx, indexes, order, func(report cranberryward.RankReport) bool { return report.Prepared >= version })
	if err != nil {
		rebalancer.skipVersions()
	}
	return err
}

// releaseAll releases the held ranks, each as long as its state is allowed.
func (rebalancer *Rebalancer) releaseAll(ctx context.Context, held []int, allowed func(cranberryward.RankReport) bool) error {
	for _, index := range held {
		step := rebalancer.ranks[index].observation.Report.Held
		if step == 0 {
			continue // its release, lost before, has taken effect meanwhile
		}
		if err := rebalancer.release(ctx, index, step, allowed); err != nil {
			return eris.Wrapf(err, "release rank %d held before pass %d", index, step)
		}
	}
	return nil
}
