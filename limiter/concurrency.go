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
	baseLatencyDrift = 0.002
	latencyTolerance = 2.0
	limitSmoothing   = 0.2
	minGradient      = 0.5
)

// ConcurrencyLimit is a limit on requests in flight that adapts to the measured latency; its zero value starts at 16.
type ConcurrencyLimit struct {
	limit          float64
	baseLatency    float64
	averageLatency float64
	minimum        float64
	maximum        float64
}

// NewConcurrencyLimit returns a limit that stays between a minimum and a maximum.
func NewConcurrencyLimit(start, minimum, maximum int) ConcurrencyLimit {
	return ConcurrencyLimit{
		limit:   float64(start),
		minimum: float64(minimum),
		maximum: float64(maximum),
	}
}

// Limit returns how many requests may be in flight.
func (concurrencyLimit *ConcurrencyLimit) Limit() int {
	if concurrencyLimit.limit == 0 {
		return defaultLimit
	}
	return int(concurrencyLimit.limit)
}

func (concurrencyLimit *ConcurrencyLimit) applyDefaults() {
	if concurrencyLimit.limit == 0 {
		concurrencyLimit.limit = defaultLimit
	}
	if concurrencyLimit.minimum == 0 {
		concurrencyLimit.minimum = defaultMinimum
	}
	if concurrencyLimit.maximum == 0 {
		concurrencyLimit.maximum = defaultMaximum
	}
}

// Observe adjusts the limit to the latency of a request and the number of requests in flight.
func (concurrencyLimit *ConcurrencyLimit) Observe(latency time.Duration, inFlight int) {
	concurrencyLimit.applyDefaults()
	seconds := latency.Seconds()
	if concurrencyLimit.averageLatency == 0 {
		concurrencyLimit.averageLatency = seconds
		concurrencyLimit.baseLatency = seconds
	}
	concurrencyLimit.averageLatency += latencySmoothing * (seconds - concurrencyLimit.averageLatency)
	if seconds < concurrencyLimit.baseLatency {
		concurrencyLimit.baseLatency = seconds
	} else {
		concurrencyLimit.baseLatency += baseLatencyDrift * (seconds - concurrencyLimit.baseLatency)
	}
	gradient := 1.0
	if concurrencyLimit.averageLatency > 0 {
		gradient = math.Max(minGradient, math.Min(1, latencyTolerance*concurrencyLimit.baseLatency/concurrencyLimit.averageLatency))
	}
	if gradient == 1 && float64(inFlight) < concurrencyLimit.limit/2 {
		return
	}
	target := concurrencyLimit.limit*gradient + math.Sqrt(concurrencyLimit.limit)
	concurrencyLimit.limit += limitSmoothing * (target - concurrencyLimit.limit)
	concurrencyLimit.clamp()
}

// Decrease lowers the limit after a request timed out or was refused by the backend server.
func (concurrencyLimit *ConcurrencyLimit) Decrease() {
	concurrencyLimit.applyDefaults()
	concurrencyLimit.limit *= 1 - limitSmoothing
	concurrencyLimit.clamp()
}

func (concurrencyLimit *ConcurrencyLimit) clamp() {
	concurrencyLimit.limit = math.Max(concurrencyLimit.minimum, math.Min(concurrencyLimit.maximum, concurrencyLimit.limit))
}
