package rebalancer

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// observeInterval is the pause between observations; demand shifts within seconds, and the reaction should take well under one second.
	observeInterval = 50 * time.Millisecond
	// baseIntervalRanks is the largest group that is observed at observeInterval; for larger ones the interval grows with the cost of a round.
	baseIntervalRanks = 16
	// observeTimeout bounds one observation of the ranks, each through the agent on its own instance.
	observeTimeout = 400 * time.Millisecond
	// minDemandPerExpert is the mean number of choices per expert below which the estimate is mostly noise.
	minDemandPerExpert = 4
	// lowPressureGain and highPressureGain are the shares of the most loaded rank's penalty (planner.LocalSearch.MinimumGain) that a copy must
	// remove at lowPressure and at highPressure. Copies cost bandwidth and slow passes down, so they are worth more the closer the pauses
	// come to the objective. The penalty is the eighth power of the load, so half of it is a twelfth of the rank's load.
	lowPressureGain  = 0.85
	highPressureGain = 0.15
	// lowPressure and highPressure are pass times as shares of the pause objective; at highPressure passes take about as long as callers accept.
	lowPressure  = 0.4
	highPressure = 0.9
	// failureLogInterval is how often a failure that repeats is logged.
	failureLogInterval = time.Second
	// defaultCopyBudget is how long a rank may copy for one change if no pause objective is configured: about one pass.
	defaultCopyBudget = 120 * time.Millisecond
	// lowPressureSaved and highPressureSaved are the shares of the expert time of a pass that a change must save at lowPressure and at highPressure.
	lowPressureSaved  = 0.2
	highPressureSaved = 0.02
)

// Group provides the group's members and settings to the rebalancer and receives its observations.
type Group interface {
	// Name returns the name of the group; the other groups of the same service have other names.
	Name() string
	// Surveyor reaches all members at once.
	Surveyor() Surveyor
	// Members returns the backend servers that are currently registered for the service.
	Members() []Member
	// Engine returns the published cost model, or nil before the configuration is known.
	Engine() *cranberryward.EngineCostModel
	// PauseObjective returns the longest pause between events that counts as on time, or zero if none is configured.
	PauseObjective() time.Duration
	// HandleReports is called after each observation with the reports of the ranks that answered, by the ids of their backend servers, and with the
	// pass time, zero if unknown.
	HandleReports(reports map[string]cranberryward.RankReport, pass time.Duration)
}

// Rebalancer controls one group during one term.
type Rebalancer struct {
	group  Group
	term   uint64
	logger log.Logger

	demand         demand
	foreign        foreignRanks
	ranks          []rank
	epoch          uint64
	placement      [][][]int
	version        uint64
	issuedVersions uint64
	// firstVersion is the version below those that this controller issues, zero before the first.
	firstVersion uint64
	// uncounted is whether the ranks' numbers of orders stay the same.
	uncounted  bool
	leadPasses uint64
	passTime   time.Duration
	lastStep   uint64
	lastStepAt time.Time
	changes    int
	// failure is the last one that was logged.
	failure         string
	failureLoggedAt time.Time
}

// rank is one rank of a complete group with its last observation.
type rank struct {
	member      Member
	observation Observation
}

// New returns a rebalancer for a term, whose number must be higher than those of all earlier terms.
func New(group Group, term uint64, logger log.Logger) *Rebalancer {
	return &Rebalancer{
		group:      group,
		term:       term,
		logger:     log.With(logger, "term", term),
		leadPasses: initialLead,
	}
}

// Run controls the group until the context is done or a later term begins.
func (rebalancer *Rebalancer) Run(ctx context.Context) error {
	for {
		before := rebalancer.changes
		if err := rebalancer.round(ctx); err != nil {
			if eris.Is(err, ErrTermEnded) || ctx.Err() != nil {
				return err
			}
			rebalancer.recordFailure(err)
		}
		if rebalancer.changes > before {
			continue // changeMap has already waited for the switch
		}
		if err := sleep(ctx, rebalancer.interval()); err != nil {
			return err
		}
	}
}

// recordFailure counts a failed round, and logs it unless it repeats.
func (rebalancer *Rebalancer) recordFailure(err error) {
	meter.CountMapFailure()
	if text := err.Error(); text != rebalancer.failure || time.Since(rebalancer.failureLoggedAt) > failureLogInterval {
		rebalancer.failure, rebalancer.failureLoggedAt = text, time.Now()
		_ = level.Info(rebalancer.logger).Log("event", "map_round_failed", "error", err)
	}
}

// interval returns the pause between observations, which grows with the fourth root of the group size: it doubles for sixteen times the ranks.
func (rebalancer *Rebalancer) interval() time.Duration {
	growth := math.Sqrt(math.Sqrt(float64(len(rebalancer.ranks)) / baseIntervalRanks))
	return time.Duration(float64(observeInterval) * max(growth, 1))
}

// round observes the group, resolves an unfinished change if there is one, and otherwise changes the map if that saves enough.
func (rebalancer *Rebalancer) round(ctx context.Context) error {
	if err := rebalancer.observe(ctx, true); err != nil {
		return err
	}
	if len(rebalancer.ranks) == 0 {
		return nil
	}
	if rebalancer.changeUnfinished() {
		return rebalancer.resolveUnfinished(ctx)
	}
	engine := rebalancer.group.Engine()
	if engine == nil || engine.Sets == 0 || rebalancer.countArmedRanks() > 0 {
		return nil // an armed map takes effect only at the next pass, which in an idle group waits for a request
	}
	if err := rebalancer.fetchPlacement(ctx, engine); err != nil {
		return err
	}
	if rebalancer.demand.total() < float64(minDemandPerExpert*engine.Sets*engine.Experts) {
		return nil
	}
	next, copies, saved := rebalancer.plan(engine)
	if saved < rebalancer.minimumSaved() {
		return nil
	}
	_ = level.Info(rebalancer.logger).Log("event", "map_planned", "copies", copies, "skew", rebalancer.meanSkew(rebalancer.placement, engine), "planned_skew", rebalancer.meanSkew(next, engine))
	return rebalancer.changeMap(ctx, next, copies, engine)
}

// plan returns the next map, the largest number of experts that any rank copies for it, and the share of the expert time that it saves.
func (rebalancer *Rebalancer) plan(engine *cranberryward.EngineCostModel) (next [][][]int, copies int, saved float64) {
	localSearch := planner.LocalSearch{
		SlotsPerRank:     engine.Places,
		MaxCopiesPerRank: 1,
		MinimumGain:      rebalancer.minimumGain(),
		Slowdowns:        rebalancer.slowdowns(),
	}
	budget := rebalancer.copiesPerRank(engine)
	for range rebalancer.ranks {
		localSearch.CopyBudgets = append(localSearch.CopyBudgets, budget)
	}
	skews := make([]float64, engine.Sets)
	for set := range skews {
		skews[set] = localSearch.Skew(rebalancer.placement[set], rebalancer.demand.setLoads(set, engine.Experts))
	}
	next = slices.Clone(rebalancer.placement)
	before, after := 0.0, 0.0
	for _, set := range worstFirst(skews) {
		loads := rebalancer.demand.setLoads(set, engine.Experts)
		improved, _ := localSearch.Improve(rebalancer.placement[set], loads)
		before += skews[set]
		after += localSearch.Skew(improved, loads)
		for rank := range improved {
			localSearch.CopyBudgets[rank] -= countAdded(rebalancer.placement[set][rank], improved[rank])
		}
		next[set] = improved
	}
	for _, remaining := range localSearch.CopyBudgets {
		copies = max(copies, budget-remaining)
	}
	if before <= 0 {
		return next, copies, 0
	}
	return next, copies, (before - after) / before
}

// meanSkew returns planner.LocalSearch.Skew under the current demand, averaged over all sets and rounded to two decimals.
func (rebalancer *Rebalancer) meanSkew(placement [][][]int, engine *cranberryward.EngineCostModel) float64 {
	localSearch := planner.LocalSearch{Slowdowns: rebalancer.slowdowns()}
	sum := 0.0
	for set := range placement {
		sum += localSearch.Skew(placement[set], rebalancer.demand.setLoads(set, engine.Experts))
	}
	return math.Round(100*sum/float64(max(len(placement), 1))) / 100
}

// copiesPerRank returns how many experts, over all sets, one rank may copy for a change. A rank copies them sequentially while the whole group
// waits for the map, so one copy on each of many ranks takes far less time than many copies on one rank.
func (rebalancer *Rebalancer) copiesPerRank(engine *cranberryward.EngineCostModel) int {
	budget := rebalancer.group.PauseObjective()
	if budget <= 0 {
		budget = defaultCopyBudget
	}
	if engine.CopyTime() <= 0 {
		return engine.Sets
	}
	return max(int(budget/engine.CopyTime()), 1)
}

// worstFirst returns the sets by descending skew, the order in which they are improved: earlier sets use the ranks' copy budgets first.
func worstFirst(skews []float64) []int {
	sets := make([]int, len(skews))
	for set := range sets {
		sets[set] = set
	}
	slices.SortStableFunc(sets, func(a, b int) int { return cmp.Compare(skews[b], skews[a]) })
	return sets
}

// minimumGain returns the share of the most loaded rank's penalty that a copy must remove at the current pass time.
func (rebalancer *Rebalancer) minimumGain() float64 {
	return rebalancer.atPressure(lowPressureGain, highPressureGain)
}

// minimumSaved returns the share of the expert time that a change must save at the current pass time.
func (rebalancer *Rebalancer) minimumSaved() float64 {
	return rebalancer.atPressure(lowPressureSaved, highPressureSaved)
}

// atPressure returns a value between those for lowPressure and highPressure, by the current pass time as a share of the pause objective.
func (rebalancer *Rebalancer) atPressure(low, high float64) float64 {
	objective := rebalancer.group.PauseObjective()
	if objective <= 0 {
		return low
	}
	pressure := float64(rebalancer.passTime) / float64(objective)
	position := (pressure - lowPressure) / (highPressure - lowPressure)
	return low + (high-low)*min(max(position, 0), 1)
}

// slowdowns returns the factor by which each rank is slower than usual, at least 1.
func (rebalancer *Rebalancer) slowdowns() []float64 {
	slowdowns := make([]float64, len(rebalancer.ranks))
	for i, rank := range rebalancer.ranks {
		slowdowns[i] = max(rank.observation.Report.Pace, 1)
	}
	return slowdowns
}

// countAdded returns how many experts of after are not in before.
func countAdded(before, after []int) int {
	count := 0
	for _, expert := range after {
		known := false
		for _, old := range before {
			known = known || old == expert
		}
		if !known {
			count++
		}
	}
	return count
}

// nextVersion returns a map version higher than any that the ranks have had.
func (rebalancer *Rebalancer) nextVersion() uint64 {
	if rebalancer.firstVersion == 0 {
		rebalancer.firstVersion = rebalancer.versionRange()
	}
	rebalancer.issuedVersions++
	return rebalancer.firstVersion + rebalancer.issuedVersions
}

// versionSkip is how many versions are skipped after a prepare order that failed, more than were issued since a copy of the store that is minutes old.
const versionSkip = 1 << 36

// skipVersions goes on to higher versions: a rank refuses one that is not higher than all that it has had, also those that it no longer shows since its group
// formed again.
func (rebalancer *Rebalancer) skipVersions() { rebalancer.firstVersion += versionSkip }

// versionRange returns the range of versions of this term: that of its revision, or one above those that the ranks hold, as in an era of the store in which
// revisions are given out again. Another controller may have issued versions of the highest range that no rank shows yet.
func (rebalancer *Rebalancer) versionRange() uint64 {
	first := firstVersion(rebalancer.term)
	for _, rank := range rebalancer.ranks {
		report := rank.observation.Report
		if highest := max(report.Map, report.Prepared, report.Armed); highest > first {
			first = (highest/versionsPerTerm + 1) * versionsPerTerm
		}
	}
	return first
}

// Changes returns how many maps this rebalancer has put in force.
func (rebalancer *Rebalancer) Changes() int { return rebalancer.changes }
