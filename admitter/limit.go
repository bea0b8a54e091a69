package admitter

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// longestPassFactor is the ratio of the longest pass during a stream to the mean pass: by the published cost model, passes take 1.15 times as
	// long while ranks copy experts, and longer by the time to read half a chunk when a rank has several prompts to read.
	longestPassFactor = 1.4
	// lateStreamValue is the value of a late stream to its caller relative to one on time; the users' service sheets give 0.49 to 0.51.
	lateStreamValue = 0.5
	// averagingTime is the time over which the pass time is averaged: after a shift of demand a few passes are long until the expert map is
	// adapted, which is no reason to refuse requests.
	averagingTime = 1500 * time.Millisecond
)

// Estimator estimates the pass time of one group; its zero value is ready to use.
type Estimator struct {
	// passTimeRatio is the measured pass time in nanoseconds divided by the step time of the cost model in milliseconds.
	passTimeRatio float64
	observedAt    time.Time
}

// Observe updates the estimate with the current pass time and the mean number of running requests per rank.
func (estimator *Estimator) Observe(engine *cranberryward.EngineCostModel, now time.Time, pass time.Duration, running float64) {
	modelled := stepTime(engine, running)
	if pass <= 0 || modelled <= 0 || running <= 0 {
		return // an idle or broken group makes no passes, and the time is that of an earlier one
	}
	sample := float64(pass) / modelled
	weight := 1.0
	if estimator.passTimeRatio > 0 {
		weight = min(float64(now.Sub(estimator.observedAt))/float64(averagingTime), 1)
	}
	estimator.passTimeRatio += weight * (sample - estimator.passTimeRatio)
	estimator.observedAt = now
}

// Limit returns how many requests each rank should run to keep pauses within the objective, or all slots if nothing was observed or too few
// streams would be on time.
func (estimator *Estimator) Limit(engine *cranberryward.EngineCostModel, objective time.Duration) int {
	slots := engine.Slots
	perSequence := stepTime(engine, 1) - stepTime(engine, 0)
	if estimator.passTimeRatio <= 0 || objective <= 0 || perSequence <= 0 {
		return slots
	}
	target := float64(objective) / longestPassFactor / estimator.passTimeRatio
	limit := int((target - stepTime(engine, 0)) / perSequence)
	// If too few streams would be on time, running all slots with late streams is worth more.
	if limit >= slots || throughput(engine, limit) < lateStreamValue*throughput(engine, slots) {
		return slots
	}
	return limit
}

// stepTime returns the time in milliseconds that one step takes with the given number of running requests, by the cost model.
func stepTime(engine *cranberryward.EngineCostModel, running float64) float64 {
	context := engine.UsualPrompt + engine.UsualAnswer/2
	return engine.StepMS + running*(engine.PerSequenceMS+engine.ContextPerThousand*context/1000)
}

// throughput returns a value proportional to the rate at which requests end with the given number running.
func throughput(engine *cranberryward.EngineCostModel, running int) float64 {
	return max(float64(running), 0) / stepTime(engine, float64(running))
}
