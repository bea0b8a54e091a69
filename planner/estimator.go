package planner

import (
	"math"
	"time"
)

const (
	secondsPerDay   = 86400
	profileBins     = 48
	maxReportGrowth = 1000.0
	profileGain     = 0.5
	trendSmoothing  = 0.2
	gainRampStart   = 0.3
	gainRampWidth   = 0.4
	maxGain         = 0.9
	minLoad         = 1e-9

	deviationDecaySeconds = 7200.0
)

// Estimator estimates and forecasts the share of each expert in its layer's load from reports that may be late, noisy or missing, with all times
// in seconds since the start of the run.
type Estimator struct {
	layers       int
	experts      int
	smoothing    float64
	damping      float64
	level        [][]float64
	trend        [][]float64
	profile      [profileBins][][]float64
	lastSequence map[int]uint64
	reportTotal  map[int]float64
	observedAt   float64
	ignored      int
	observed     int
	firstSecond  float64
}

// NewEstimator returns an estimator for the given numbers of layers and experts that starts with equal loads.
func NewEstimator(layers, experts int, weights Weights) *Estimator {
	estimator := &Estimator{
		layers:       layers,
		experts:      experts,
		smoothing:    weights.Smoothing,
		damping:      weights.TrendDamping,
		level:        make([][]float64, layers),
		trend:        make([][]float64, layers),
		lastSequence: map[int]uint64{},
		reportTotal:  map[int]float64{},
	}
	for layer := range layers {
		estimator.level[layer] = make([]float64, experts)
		estimator.trend[layer] = make([]float64, experts)
		for expert := range experts {
			estimator.level[layer][expert] = 1 / float64(experts)
		}
	}
	return estimator
}

// Ignored returns how many reports were rejected.
func (estimator *Estimator) Ignored() int { return estimator.ignored }

// Observed returns whether any report was accepted.
func (estimator *Estimator) Observed() bool { return estimator.observed > 0 }

// Age returns the time since the last accepted report, or the largest duration before the first one.
func (estimator *Estimator) Age(second float64) time.Duration {
	if estimator.observed == 0 {
		return math.MaxInt64
	}
	return time.Duration((second - estimator.observedAt) * float64(time.Second))
}

// Observe updates the estimate with the reports that arrived by a time, and rejects repeated, malformed, empty and implausibly large ones.
func (estimator *Estimator) Observe(second float64, reports []Report) {
	sums := make([][]float64, estimator.layers)
	for layer := range sums {
		sums[layer] = make([]float64, estimator.experts)
	}
	accepted := 0
	for _, report := range reports {
		if !estimator.accept(report) {
			estimator.ignored++
			continue
		}
		accepted++
		for layer := range sums {
			for expert, load := range report.Loads[layer] {
				sums[layer][expert] += float64(load)
			}
		}
	}
	if accepted == 0 {
		return
	}
	for layer := range sums {
		estimator.updateLayer(layer, sums[layer], second)
	}
	if estimator.observed == 0 {
		estimator.firstSecond = second
	}
	estimator.observed++
	estimator.observedAt = second
}

func (estimator *Estimator) accept(report Report) bool {
	if len(report.Loads) != estimator.layers {
		return false
	}
	if last, seen := estimator.lastSequence[report.Rank]; seen && report.Sequence <= last {
		return false
	}
	total := 0.0
	for _, loads := range report.Loads {
		if len(loads) != estimator.experts {
			return false
		}
		for _, load := range loads {
			if load < 0 || math.IsNaN(float64(load)) || math.IsInf(float64(load), 0) {
				return false
			}
			total += float64(load)
		}
	}
	if lastTotal := estimator.reportTotal[report.Rank]; total <= 0 || (lastTotal > 0 && total > lastTotal*maxReportGrowth) {
		return false
	}
	estimator.lastSequence[report.Rank] = report.Sequence
	estimator.reportTotal[report.Rank] = total
	return true
}

func (estimator *Estimator) updateLayer(layer int, sums []float64, second float64) {
	total := 0.0
	for _, sum := range sums {
		total += sum
	}
	if total <= 0 {
		return
	}
	first := estimator.observed == 0
	elapsed := second - estimator.observedAt
	level, trend := estimator.level[layer], estimator.trend[layer]
	profile := estimator.profileBin(second, layer)
	for expert, sum := range sums {
		share := sum / total
		if first {
			level[expert] = share
			profile[expert] = share
			continue
		}
		before := level[expert]
		predicted := before + estimator.damping*trend[expert]*elapsed
		level[expert] = math.Max(minLoad, predicted+estimator.gain(share, predicted)*(share-predicted))
		if elapsed > 0 {
			trend[expert] += trendSmoothing * ((level[expert]-before)/elapsed - trend[expert])
		}
		if profile[expert] == 0 {
			profile[expert] = share
		} else {
			profile[expert] += profileGain * hoursPerBin(profileBins) * (share - profile[expert])
		}
	}
}

// gain returns the weight of a reported share, which rises with the prediction error beyond what noise explains.
func (estimator *Estimator) gain(share, predicted float64) float64 {
	equalShare := 1 / float64(estimator.experts)
	relativeError := math.Abs(share-predicted) / math.Max(predicted, equalShare)
	weight := math.Min(1, math.Max(0, (relativeError-gainRampStart)/gainRampWidth))
	return estimator.smoothing + (maxGain-estimator.smoothing)*weight
}

func hoursPerBin(bins int) float64 { return 24 / float64(bins) }

func binOf(second float64) int {
	return int(math.Mod(second, secondsPerDay) / (secondsPerDay / profileBins))
}

func (estimator *Estimator) profileBin(second float64, layer int) []float64 {
	bin := binOf(second)
	if estimator.profile[bin] == nil {
		estimator.profile[bin] = make([][]float64, estimator.layers)
	}
	if estimator.profile[bin][layer] == nil {
		estimator.profile[bin][layer] = make([]float64, estimator.experts)
	}
	return estimator.profile[bin][layer]
}

// Forecast returns the mean share of each expert between two times, as predicted at a given time.
func (estimator *Estimator) Forecast(second, from, until float64) [][]float64 {
	forecast := make([][]float64, estimator.layers)
	bins := forecastBins(from, until)
	for layer := range forecast {
		forecast[layer] = make([]float64, estimator.experts)
		for _, at := range bins {
			estimator.addForecast(forecast[layer], layer, second, at, 1/float64(len(bins)))
		}
	}
	return forecast
}

func forecastBins(from, until float64) []float64 {
	const binSeconds = secondsPerDay / profileBins
	if until-from < binSeconds {
		return []float64{(from + until) / 2}
	}
	var bins []float64
	for at := from + binSeconds/2; at < until; at += binSeconds {
		bins = append(bins, at)
	}
	return bins
}

func (estimator *Estimator) addForecast(forecast []float64, layer int, second, at, weight float64) {
	present, future := estimator.profile[binOf(second)], estimator.profile[binOf(at)]
	profileKnown := estimator.observed > 0 && second-estimator.firstSecond >= secondsPerDay*0.9 &&
		present != nil && future != nil && present[layer] != nil && future[layer] != nil
	ahead := math.Min(at-second, secondsPerDay/profileBins)
	// The deviation of today from the daily profile counts less the further ahead the forecast is.
	deviationDecay := math.Exp(-(at - second) / deviationDecaySeconds)
	for expert := range forecast {
		share := estimator.level[layer][expert]
		if profileKnown {
			share = future[layer][expert] + deviationDecay*(share-present[layer][expert])
		} else {
			share += estimator.damping * estimator.trend[layer][expert] * ahead
		}
		forecast[expert] += weight * math.Max(minLoad, share)
	}
}
