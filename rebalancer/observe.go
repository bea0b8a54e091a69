package rebalancer

import (
	"context"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// query returns a query for the report of a rank only.
func (rebalancer *Rebalancer) query() Query {
	return Query{
		Group: rebalancer.group.Name(),
		Term:  rebalancer.term,
	}
}

// observe queries the members that may belong to the group at once, and keeps their ranks only if all ranks of the open group answered in the same epoch.
func (rebalancer *Rebalancer) observe(ctx context.Context, counts bool) error {
	return rebalancer.observeWithin(ctx, observeTimeout, counts)
}

func (rebalancer *Rebalancer) observeWithin(ctx context.Context, timeout time.Duration, counts bool) error {
	members := rebalancer.foreign.filter(rebalancer.group.Members(), time.Now())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := rebalancer.query()
	query.Counts = counts
	survey := rebalancer.group.Surveyor().Survey(ctx, members, query)
	now := time.Now()
	rebalancer.demand.decay(now)
	rebalancer.demand.add(survey.Counts)
	ranks, failure := rebalancer.ownRanks(members, survey, now)
	if eris.Is(failure, ErrTermEnded) {
		return failure
	}
	rebalancer.publishReports(ranks)
	rebalancer.ranks = rebalancer.completeGroup(ranks, 0)
	if len(rebalancer.ranks) == 0 && failure != nil {
		return failure
	}
	rebalancer.updatePassTime(now)
	return nil
}

// ownRanks returns the ranks of the group that answered a survey, and ErrTermEnded or the last failure, if any.
func (rebalancer *Rebalancer) ownRanks(members []Member, survey Survey, now time.Time) ([]rank, error) {
	ranks := make([]rank, 0, len(members))
	var failure error
	for i, member := range members {
		if err := survey.Failures[i]; err != nil {
			if eris.Is(err, ErrTermEnded) {
				return nil, err
			}
			failure = eris.Wrapf(err, "observe %s", member.ID)
			continue
		}
		foreign := survey.Observations[i].Report.Group != rebalancer.group.Name()
		rebalancer.foreign.record(member.ID, foreign, now)
		if foreign {
			continue
		}
		ranks = append(ranks, rank{
			member:      member,
			observation: survey.Observations[i],
		})
	}
	return ranks, failure
}

// publishReports passes the reports of the ranks that answered to the group.
func (rebalancer *Rebalancer) publishReports(ranks []rank) {
	reports := make(map[string]cranberryward.RankReport, len(ranks))
	for _, rank := range ranks {
		reports[rank.member.ID] = rank.observation.Report
	}
	rebalancer.group.HandleReports(reports, rebalancer.passTime)
}

// completeGroup returns the ranks of the latest epoch in order of their index, and nil if not exactly the given number is missing or not open.
func (rebalancer *Rebalancer) completeGroup(ranks []rank, missing int) []rank {
	if len(ranks) == 0 {
		return nil
	}
	epoch, size := uint64(0), 0
	for _, rank := range ranks {
		if rank.observation.Report.Epoch > epoch {
			epoch, size = rank.observation.Report.Epoch, rank.observation.Report.Size
		}
	}
	ordered := make([]rank, size)
	found := 0
	for _, rank := range ranks {
		report := rank.observation.Report
		if report.Epoch != epoch || !report.Open || report.Rank < 0 || report.Rank >= size || ordered[report.Rank].member.Client != nil {
			continue
		}
		ordered[report.Rank] = rank
		found++
	}
	if found != size-missing {
		return nil
	}
	ordered = slices.DeleteFunc(ordered, func(rank rank) bool { return rank.member.Client == nil })
	if epoch != rebalancer.epoch {
		rebalancer.epoch, rebalancer.placement = epoch, nil
	}
	return ordered
}

// updatePassTime updates the moving average of the pass time from the passes begun since the last observation.
func (rebalancer *Rebalancer) updatePassTime(now time.Time) {
	if len(rebalancer.ranks) == 0 {
		return
	}
	step := rebalancer.highestStep()
	if step > rebalancer.lastStep && !rebalancer.lastStepAt.IsZero() {
		sample := now.Sub(rebalancer.lastStepAt) / time.Duration(step-rebalancer.lastStep)
		if rebalancer.passTime == 0 {
			rebalancer.passTime = sample
		}
		rebalancer.passTime += (sample - rebalancer.passTime) / 4
	}
	meter.SetPassTime(rebalancer.passTime)
	if step != rebalancer.lastStep {
		rebalancer.lastStep, rebalancer.lastStepAt = step, now
	}
}

func (rebalancer *Rebalancer) highestStep() uint64 {
	highest := uint64(0)
	for _, rank := range rebalancer.ranks {
		highest = max(highest, rank.observation.Report.Step)
	}
	return highest
}

// fetchPlacement reads the placement from the ranks unless their map is the one that is known already.
func (rebalancer *Rebalancer) fetchPlacement(ctx context.Context, engine *cranberryward.EngineCostModel) error {
	version := rebalancer.ranks[0].observation.Report.Map
	if rebalancer.placement != nil && version == rebalancer.version {
		return nil
	}
	placement := make([][][]int, engine.Sets)
	for set := range placement {
		placement[set] = make([][]int, len(rebalancer.ranks))
	}
	members := rebalancer.members()
	query := rebalancer.query()
	query.Placement = true
	survey := rebalancer.group.Surveyor().Survey(ctx, members, query)
	for i, observation := range survey.Observations {
		if survey.Failures[i] != nil {
			return eris.Wrapf(survey.Failures[i], "read the placement of rank %d", i)
		}
		if observation.PlacementVersion != version || len(observation.Placement) != engine.Sets {
			return eris.Errorf("rank %d reports map %d with %d sets, expected map %d with %d sets", i, observation.PlacementVersion, len(observation.Placement), version, engine.Sets)
		}
		for set, experts := range observation.Placement {
			placement[set][i] = experts
		}
	}
	rebalancer.placement, rebalancer.version = placement, version
	_ = level.Info(rebalancer.logger).Log("event", "map_learned", "version", version, "epoch", rebalancer.epoch)
	return nil
}

// members returns the members of the complete group, in the order of their ranks.
func (rebalancer *Rebalancer) members() []Member {
	members := make([]Member, 0, len(rebalancer.ranks))
	for _, rank := range rebalancer.ranks {
		members = append(members, rank.member)
	}
	return members
}
