package limiter

import (
	"math"
	"time"
)

const (
	defaultLimit     = 16
	defaultMinimum   = 2
	defaultMaximum   = 512
	latencySmoothing = 0.1
	floorDrift       = 0.002
	latencyTolerance = 2.0
	limitSmoothing   = 0.2
	minGradient      = 0.5
)

// Concurrency is a limit on requests in flight that follows the measured latency, and its zero value starts at sixteen.
type Concurrency struct {
	limit   float64
	floor   float64
	average float64
	minimum float64
	maximum float64
}

// NewConcurrency returns a limit that stays between a minimum and a maximum.
func NewConcurrency(start, minimum, maximum int) Concurrency {
	return Concurrency{
		limit:   float64(start),
		minimum: float64(minimum),
		maximum: float64(maximum),
	}
}

// Limit returns how many requests may be in flight.
func (concurrency *Concurrency) Limit() int {
	if concurrency.limit == 0 {
		return defaultLimit
	}
	return int(concurrency.limit)
}

func (concurrency *Concurrency) prepare() {
	if concurrency.limit == 0 {
		concurrency.limit = defaultLimit
	}
	if concurrency.minimum == 0 {
		concurrency.minimum = defaultMinimum
	}
	if concurrency.maximum == 0 {
		concurrency.maximum = defaultMaximum
	}
}

// Observe takes in the latency of a request and how many were in flight beside it.
func (concurrency *Concurrency) Observe(latency time.Duration, inFlight int) {
	concurrency.prepare()
	seconds := latency.Seconds()
	if concurrency.average == 0 {
		concurrency.average = seconds
		concurrency.floor = seconds
	}
	concurrency.average += latencySmoothing * (seconds - concurrency.average)
	if seconds < concurrency.floor {
		concurrency.floor = seconds
	} else {
		concurrency.floor += floorDrift * (seconds - concurrency.floor)
	}
	gradient := 1.0
	if concurrency.average > 0 {
		gradient = math.Max(minGradient, math.Min(1, latencyTolerance*concurrency.floor/concurrency.average))
	}
	if gradient == 1 && float64(inFlight) < concurrency.limit/2 {
		return
	}
	target := concurrency.limit*gradient + math.Sqrt(concurrency.limit)
	concurrency.limit += limitSmoothing * (target - concurrency.limit)
	concurrency.clamp()
}

// Drop takes in that a request timed out or was refused by the backend server.
func (concurrency *Concurrency) Drop() {
	concurrency.prepare()
	concurrency.limit *= 1 - limitSmoothing
	concurrency.clamp()
}

func (concurrency *Concurrency) clamp() {
	concurrency.limit = math.Max(concurrency.minimum, math.Min(concurrency.maximum, concurrency.limit))
}
