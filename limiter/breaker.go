package limiter

import "time"

const (
	breakerFailures = 3
	breakerFirst    = 500 * time.Millisecond
	breakerMaximum  = 30 * time.Second
	breakerRamp     = 5 * time.Second
)

// Breaker keeps requests away from a backend server that fails, and lets them back slowly.
type Breaker struct {
	failures int
	pause    time.Duration
	openTill time.Time
	trying   bool
	closedAt time.Time
}

// Allow returns whether a request may be sent at the instant, one at a time while the backend server is tried again.
func (breaker *Breaker) Allow(now time.Time) bool {
	if breaker.failures < breakerFailures {
		return true
	}
	return !now.Before(breaker.openTill) && !breaker.trying
}

// Begin records that a request is sent.
func (breaker *Breaker) Begin() {
	if breaker.failures >= breakerFailures {
		breaker.trying = true
	}
}

// Share returns the share of the usual load that the backend server should get, from near zero to one.
func (breaker *Breaker) Share(now time.Time) float64 {
	if breaker.closedAt.IsZero() {
		return 1
	}
	ramp := float64(now.Sub(breaker.closedAt)) / float64(breakerRamp)
	return min(1, max(0.1, ramp))
}

// Succeed records a success.
func (breaker *Breaker) Succeed(now time.Time) {
	if breaker.failures >= breakerFailures {
		breaker.closedAt = now
	}
	breaker.failures = 0
	breaker.trying = false
	if now.Sub(breaker.closedAt) > breakerRamp {
		breaker.pause = 0
	}
}

// Fail records that the backend server could not be reached, crashed or timed out.
func (breaker *Breaker) Fail(now time.Time) {
	breaker.failures++
	breaker.trying = false
	if breaker.failures < breakerFailures {
		return
	}
	breaker.pause = min(max(breaker.pause*2, breakerFirst), breakerMaximum)
	breaker.openTill = now.Add(breaker.pause)
}
