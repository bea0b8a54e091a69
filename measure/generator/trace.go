package generator

import (
	"math"
	"math/rand/v2"

	"github.com/cranberryward/cranberryward/planner"
)

const (
	// SecondsPerDay is the length of a day, in seconds.
	SecondsPerDay = 86400.0

	topicCount      = 16
	expertsPerTopic = 24
	zipfExponent    = 0.9
	backgroundShare = 0.35
	driftAmplitude  = 0.8
	surgeFactor     = 6.0
	surgeRamp       = 900.0
	surgeLength     = 7200.0
	reportNoise     = 0.12
	reportLag       = 30.0
	missingShare    = 0.05
	reporterCount   = 4
	stallStart      = 2.45 * SecondsPerDay
	stallLength     = 3600.0
	reportTokens    = 1e6
)

// Shape is the size of a lock-step group, its daily quiet window and the interval between decisions.
type Shape struct {
	name       string
	ranks      int
	layers     int
	experts    int
	slots      int
	quietFrom  float64
	quietUntil float64
	interval   float64
}

// Name returns the shape's name.
func (shape Shape) Name() string { return shape.name }

// Ranks returns the number of ranks of the group.
func (shape Shape) Ranks() int { return shape.ranks }

// Layers returns the number of layers with experts.
func (shape Shape) Layers() int { return shape.layers }

// Experts returns the number of experts of a layer.
func (shape Shape) Experts() int { return shape.experts }

// Slots returns how many experts a rank holds in each layer.
func (shape Shape) Slots() int { return shape.slots }

// Interval returns the number of seconds between decisions.
func (shape Shape) Interval() float64 { return shape.interval }

// QuietWindow returns whether a second of the trace lies in a quiet window, and when that window or otherwise the next one opens and closes.
func (shape Shape) QuietWindow(second float64) (inside bool, from, until float64) {
	day := math.Floor(second / SecondsPerDay)
	for offset := -1.0; offset <= 1; offset++ {
		from = (day+offset)*SecondsPerDay + shape.quietFrom
		until = (day+offset)*SecondsPerDay + shape.quietUntil
		if second < until {
			return second >= from, from, until
		}
	}
	return false, from, until
}

// Shapes returns the shapes of a deployment's group at its current and its target size; the quiet window lasts 3 hours for Parlamigo and 10 for Brazos
// Flats.
func Shapes(deployment string) []Shape {
	from, until := 26.0*3600, 29.0*3600
	if deployment == "brazos-flats" {
		from, until = 21.0*3600, 31.0*3600
	}
	return []Shape{
		{
			name:       "today",
			ranks:      8,
			layers:     24,
			experts:    64,
			slots:      10,
			quietFrom:  from,
			quietUntil: until,
			interval:   300,
		},
		{
			name:       "target",
			ranks:      32,
			layers:     12,
			experts:    256,
			slots:      10,
			quietFrom:  from,
			quietUntil: until,
			interval:   300,
		},
	}
}

// Trace is a synthetic load of the experts: a mix of topics whose shares vary over the day, one of which surges on the third day.
type Trace struct {
	shape        Shape
	random       *rand.Rand
	affinity     [][][]float64
	topicWeights []float64
	topicPhases  []float64
	surgeTopic   int
	surgeStart   float64
	sequence     uint64
}

// New returns the trace for a seed.
func New(shape Shape, seed uint64) *Trace {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	trace := &Trace{
		shape:      shape,
		random:     random,
		surgeTopic: random.IntN(topicCount),
		surgeStart: (2.3 + 0.25*random.Float64()) * SecondsPerDay,
	}
	for range topicCount {
		trace.topicWeights = append(trace.topicWeights, math.Pow(float64(1+random.IntN(topicCount)), -zipfExponent))
		trace.topicPhases = append(trace.topicPhases, random.Float64()*2*math.Pi)
	}
	for range shape.layers {
		var layer [][]float64
		for range topicCount {
			layer = append(layer, trace.topicAffinity())
		}
		trace.affinity = append(trace.affinity, layer)
	}
	return trace
}

// topicAffinity returns each expert's share of a topic's load: a part spread evenly, and the rest by a Zipf distribution over some experts.
func (trace *Trace) topicAffinity() []float64 {
	experts := trace.shape.experts
	affinity := make([]float64, experts)
	for expert := range affinity {
		affinity[expert] = backgroundShare / float64(experts)
	}
	total := 0.0
	chosen := trace.random.Perm(experts)[:min(expertsPerTopic, experts)]
	for position := range chosen {
		total += math.Pow(float64(position+1), -zipfExponent)
	}
	for position, expert := range chosen {
		affinity[expert] += (1 - backgroundShare) * math.Pow(float64(position+1), -zipfExponent) / total
	}
	return affinity
}

// topicMix returns each topic's share of the load at a second.
func (trace *Trace) topicMix(second float64) []float64 {
	mix := make([]float64, topicCount)
	total := 0.0
	for topic := range mix {
		mix[topic] = trace.topicWeights[topic] * (1 + driftAmplitude*math.Sin(2*math.Pi*second/SecondsPerDay+trace.topicPhases[topic]))
		if topic == trace.surgeTopic {
			mix[topic] *= 1 + surgeFactor*trace.surge(second)
		}
		total += mix[topic]
	}
	for topic := range mix {
		mix[topic] /= total
	}
	return mix
}

// surge returns the strength of the surge at a second, from 0 to 1.
func (trace *Trace) surge(second float64) float64 {
	since := second - trace.surgeStart
	switch {
	case since < 0 || since > surgeLength:
		return 0
	case since < surgeRamp:
		return since / surgeRamp
	}
	return 1
}

// Loads returns each expert's true share of the load of its layer at a second.
func (trace *Trace) Loads(second float64) [][]float64 {
	mix := trace.topicMix(second)
	loads := make([][]float64, trace.shape.layers)
	for layer := range loads {
		loads[layer] = make([]float64, trace.shape.experts)
		for topic, share := range mix {
			for expert, affinity := range trace.affinity[layer][topic] {
				loads[layer][expert] += share * affinity
			}
		}
	}
	return loads
}

// Reports returns the ranks' reports at a second, which are delayed, noisy, sometimes missing, and have an old sequence number while the first rank is
// stalled.
func (trace *Trace) Reports(second float64) []planner.Report {
	trace.sequence++
	loads := trace.Loads(second - reportLag)
	var reports []planner.Report
	for reporter := range reporterCount {
		stalled := reporter == 0 && second >= stallStart && second < stallStart+stallLength
		report := planner.Report{
			Rank:     reporter,
			Sequence: trace.sequence,
			Loads:    make([][]float32, len(loads)),
		}
		for layer := range loads {
			report.Loads[layer] = make([]float32, len(loads[layer]))
			for expert, load := range loads[layer] {
				report.Loads[layer][expert] = float32(load * reportTokens * math.Exp(reportNoise*2*trace.random.NormFloat64()))
			}
		}
		if trace.random.Float64() < missingShare {
			continue
		}
		if stalled {
			report.Sequence = 1
		}
		reports = append(reports, report)
	}
	return reports
}
