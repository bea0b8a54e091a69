package rebalancer

import (
	"context"
	"sync"
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

// observe queries the members that may belong to the group concurrently, and keeps their ranks only if all ranks of the open group answered in the
// same epoch.
func (rebalancer *Rebalancer) observe(ctx context.Context, counts bool) error {
	members := rebalancer.foreign.filter(rebalancer.group.Members(), time.Now())
	var sampled map[string]bool
	if counts {
		sampled = rebalancer.sampler.choose(time.Now(), members, rebalancer.countsPerRank(), rebalancer.group.CountsRate())
	}
	observations := make([]Observation, len(members))
	failures := make([]error, len(members))
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, member := range members {
		wait.Go(func() {
			query := rebalancer.query()
			query.Counts = sampled[member.ID]
			observations[i], failures[i] = member.Client.Observe(ctx, query)
		})
	}
	wait.Wait()
	now := time.Now()
	rebalancer.demand.decay(now)
	ranks := make([]rank, 0, len(members))
	var failure error
	for i, member := range members {
		if eris.Is(failures[i], ErrTermEnded) {
			return failures[i]
		}
		if failures[i] != nil {
			failure = eris.Wrapf(failures[i], "observe %s", member.ID)
			continue
		}
		foreign := observations[i].Report.Group != rebalancer.group.Name()
		rebalancer.foreign.record(member.ID, foreign, now)
		if foreign {
			continue
		}
		rebalancer.demand.observe(observations[i].Report.Rank, observations[i].Report.Born, observations[i].Counts)
		ranks = append(ranks, rank{
			id:          member.ID,
			client:      member.Client,
			observation: observations[i],
		})
	}
	rebalancer.publishReports(ranks)
	rebalancer.ranks = rebalancer.completeGroup(ranks)
	if len(rebalancer.ranks) == 0 && failure != nil {
		return failure
	}
	rebalancer.updatePassTime(now)
	return nil
}

// publishReports passes the reports of the ranks that answered to the group.
func (rebalancer *Rebalancer) publishReports(ranks []rank) {
	reports := make(map[string]cranberryward.RankReport, len(ranks))
	for _, rank := range ranks {
		reports[rank.id] = rank.observation.Report
	}
	rebalancer.group.HandleReports(reports, rebalancer.passTime)
}

// countsPerRank returns the number of counts of a rank: one for each expert of each set.
func (rebalancer *Rebalancer) countsPerRank() int {
	engine := rebalancer.group.Engine()
	if engine == nil {
		return 0
	}
	return engine.Sets * engine.Experts
}

// completeGroup returns the ranks of the latest epoch in order of their index, and nil if any is missing or not open.
func (rebalancer *Rebalancer) completeGroup(ranks []rank) []rank {
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
		if report.Epoch != epoch || !report.Open || report.Rank < 0 || report.Rank >= size || ordered[report.Rank].client != nil {
			continue
		}
		ordered[report.Rank] = rank
		found++
	}
	if found != size {
		return nil
	}
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
	for i := range rebalancer.ranks {
		query := rebalancer.query()
		query.Placement = true
		observation, err := rebalancer.ranks[i].client.Observe(ctx, query)
		if err != nil {
			return eris.Wrapf(err, "read the placement of rank %d", i)
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
