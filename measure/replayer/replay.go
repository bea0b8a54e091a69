package replayer

import (
	"sort"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/measure/generator"
	"github.com/cranberryward/cranberryward/planner"
)

const (
	dayCount              = 3
	measuredFrom          = 2 * generator.SecondsPerDay
	expertBytes           = 40e6
	bytesPerSecond        = 2e9
	changeSeconds         = 60.0
	delayedStepsPerChange = 3
	loadsPerDelayedStep   = 8
	sparePerRankDivisor   = 2
	percentile95          = 0.95
	percentile99          = 0.99
	bytesPerGB            = 1e9
)

// Row is the result of one policy over the third day of a trace.
type Row struct {
	Policy       string  `json:"policy"`
	MeanSkew     float64 `json:"mean_skew"`
	P95Skew      float64 `json:"p95_skew"`
	P99Skew      float64 `json:"p99_skew"`
	Bound        float64 `json:"bound"`
	Excess       float64 `json:"excess"`
	QuietSkew    float64 `json:"quiet_skew"`
	MovedGB      float64 `json:"moved_gb"`
	Changes      int     `json:"changes"`
	CachesLost   int     `json:"caches_lost"`
	DelayedSteps int     `json:"steps_delayed"`
	QuietChanges int     `json:"quiet_acts"`
}

// Point is the skew under a policy at one time of the third day and the weights moved until then.
type Point struct {
	Second  float64 `json:"second"`
	Skew    float64 `json:"skew"`
	MovedGB float64 `json:"moved_gb"`
}

// greedyAtQuiet is the policy that builds a greedy map at the last decision before each quiet window.
type greedyAtQuiet struct {
	interval float64
}

// Decide returns a greedy map if the next decision would be too late for a change that ends before the quiet window.
func (greedyAtQuiet greedyAtQuiet) Decide(situation planner.Situation, estimator *planner.Estimator) planner.Decision {
	last := situation.QuietFrom-situation.Second <= greedyAtQuiet.interval+changeSeconds
	if situation.Quiet || !last {
		return planner.Static{}.Decide(situation, estimator)
	}
	return planner.Greedy{}.Decide(situation, estimator)
}

// Policies returns the baseline policies and the project's own policy, which uses the given weights.
func Policies(shape generator.Shape, weights planner.Weights) map[string]planner.Policy {
	return map[string]planner.Policy{
		"static":          planner.Static{},
		"greedy":          planner.Greedy{},
		"threshold":       planner.NewThreshold(1.05, 1.25),
		"greedy-at-quiet": greedyAtQuiet{interval: shape.Interval()},
		"cranberryward":   planner.NewCostAware(weights),
	}
}

type run struct {
	shape      generator.Shape
	trace      *generator.Trace
	policy     planner.Policy
	weights    planner.Weights
	current    cranberryward.ExpertMap
	row        Row
	skews      []float64
	bounds     []float64
	quietSkews []float64
	points     []Point
}

// Replay runs a policy over the trace of a seed and returns its row and its points of the third day.
func Replay(name string, shape generator.Shape, seed uint64, policy planner.Policy, weights planner.Weights) (Row, []Point) {
	run := &run{
		shape:   shape,
		trace:   generator.New(shape, seed),
		policy:  policy,
		weights: weights,
		row: Row{
			Policy: name,
		},
	}
	run.placeInitialMap()
	estimator := planner.NewEstimator(shape.Layers(), shape.Experts(), weights)
	for second := 0.0; second < dayCount*generator.SecondsPerDay; second += shape.Interval() {
		estimator.Observe(second, run.trace.Reports(second))
		run.decide(second, estimator)
		run.recordSkew(second + shape.Interval()/2)
	}
	run.summarize()
	return run.row, run.points
}

// placeInitialMap sets the first map to the greedy map for the loads at the start.
func (run *run) placeInitialMap() {
	capacity := make([]int, run.shape.Ranks())
	for rank := range capacity {
		capacity[rank] = run.shape.Slots()
	}
	run.current = cranberryward.ExpertMap{
		Version: 1,
		Ranks:   run.shape.Ranks(),
	}
	for _, loads := range run.trace.Loads(0) {
		run.current.Layers = append(run.current.Layers, planner.GreedyLayer(loads, capacity))
	}
}

func (run *run) decide(second float64, estimator *planner.Estimator) {
	inside, from, until := run.shape.QuietWindow(second)
	decision := run.policy.Decide(planner.Situation{
		Second:  second,
		Present: run.current,
		Memory: planner.Memory{
			SlotsPerLayer: run.shape.Slots(),
			SparePerRank:  run.shape.Slots() * run.shape.Layers() / sparePerRankDivisor,
			ExpertBytes:   expertBytes,
		},
		BytesPerSecond: bytesPerSecond,
		ChangeSeconds:  changeSeconds,
		Quiet:          inside,
		QuietFrom:      from,
		QuietUntil:     until,
	}, estimator)
	if decision.Keep() {
		return
	}
	if !planner.Covers(decision.Map(), run.shape.Experts(), run.shape.Slots()) {
		panic("policy " + run.row.Policy + " returned a map that does not hold every expert or exceeds the slots of a rank")
	}
	run.current = decision.Map()
	if second < measuredFrom {
		return
	}
	run.recordCost(decision, inside)
}

func (run *run) recordCost(decision planner.Decision, inside bool) {
	perRank := make([]int, run.shape.Ranks())
	for _, move := range decision.Moves() {
		if !move.Discard {
			perRank[move.Rank]++
		}
	}
	busiest := 0
	for _, loads := range perRank {
		busiest = max(busiest, loads)
		if loads > 0 {
			run.row.CachesLost++
		}
	}
	run.row.Changes++
	run.row.DelayedSteps += delayedStepsPerChange + busiest/loadsPerDelayedStep
	run.row.MovedGB += float64(decision.LoadCount()) * expertBytes / bytesPerGB
	if inside {
		run.row.QuietChanges++
	}
}

func (run *run) recordSkew(second float64) {
	if second < measuredFrom {
		return
	}
	loads := run.trace.Loads(second)
	skew := planner.MeanSkew(run.current, loads)
	bound := 0.0
	for _, layer := range loads {
		bound += planner.LowerBound(layer, run.shape.Ranks(), run.shape.Slots())
	}
	run.skews = append(run.skews, skew)
	run.bounds = append(run.bounds, bound/float64(len(loads)))
	if inside, _, _ := run.shape.QuietWindow(second); inside {
		run.quietSkews = append(run.quietSkews, skew)
	}
	run.points = append(run.points, Point{
		Second:  second - measuredFrom,
		Skew:    skew,
		MovedGB: run.row.MovedGB,
	})
}

func (run *run) summarize() {
	run.row.MeanSkew = mean(run.skews)
	run.row.Bound = mean(run.bounds)
	run.row.Excess = run.row.MeanSkew - run.row.Bound
	run.row.QuietSkew = mean(run.quietSkews)
	sorted := append([]float64{}, run.skews...)
	sort.Float64s(sorted)
	run.row.P95Skew = sorted[int(percentile95*float64(len(sorted)-1))]
	run.row.P99Skew = sorted[int(percentile99*float64(len(sorted)-1))]
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(max(len(values), 1))
}
