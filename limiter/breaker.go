package limiter

import "time"

const (
	breakerFailureThreshold = 3
	breakerMinOpenTime      = 500 * time.Millisecond
	breakerMaxOpenTime      = 30 * time.Second
	breakerSlowStart        = 5 * time.Second
)

// CircuitBreaker stops requests to a failing backend server and, once it has recovered, increases its share of requests gradually (slow start).
type CircuitBreaker struct {
	// generation counts how often the circuit breaker has opened or closed.
	generation          uint64
	consecutiveFailures int
	openTime            time.Duration
	openUntil           time.Time
	probing             bool
	closedAt            time.Time
}

// Allow returns whether a request may be sent at the given time; once the open time has passed, it allows one probe at a time.
func (circuitBreaker *CircuitBreaker) Allow(now time.Time) bool {
	if !circuitBreaker.open() {
		return true
	}
	return !now.Before(circuitBreaker.openUntil) && !circuitBreaker.probing
}

// SendPermit is the permission to send one request, which belongs to the state of the circuit breaker at that time.
type SendPermit struct {
	generation uint64
	probe      bool
}

// Begin records that a request is sent; while the circuit breaker is open, this request is the probe.
func (circuitBreaker *CircuitBreaker) Begin() SendPermit {
	permit := SendPermit{
		generation: circuitBreaker.generation,
		probe:      circuitBreaker.open(),
	}
	circuitBreaker.probing = circuitBreaker.probing || permit.probe
	return permit
}

func (circuitBreaker *CircuitBreaker) open() bool {
	return circuitBreaker.consecutiveFailures >= breakerFailureThreshold
}

// Share returns the share of its usual load that the backend server should get, from 0.1 at the start of a recovery to 1.
func (circuitBreaker *CircuitBreaker) Share(now time.Time) float64 {
	if circuitBreaker.closedAt.IsZero() {
		return 1
	}
	ramp := float64(now.Sub(circuitBreaker.closedAt)) / float64(breakerSlowStart)
	return min(1, max(0.1, ramp))
}

// Succeed records a success, which closes an open circuit breaker whenever the request was sent: the backend server answers now.
func (circuitBreaker *CircuitBreaker) Succeed(now time.Time) {
	if circuitBreaker.open() {
		circuitBreaker.closedAt = now
		circuitBreaker.generation++
	}
	circuitBreaker.consecutiveFailures = 0
	circuitBreaker.probing = false
	if now.Sub(circuitBreaker.closedAt) > breakerSlowStart {
		circuitBreaker.openTime = 0
	}
}

// Fail records that the backend server could not be reached, crashed or timed out; a failure of a request that was sent before the circuit breaker
// opened or closed says nothing about the state since, and is ignored.
func (circuitBreaker *CircuitBreaker) Fail(permit SendPermit, now time.Time) {
	if permit.generation != circuitBreaker.generation {
		return
	}
	circuitBreaker.consecutiveFailures++
	if !circuitBreaker.open() {
		return
	}
	circuitBreaker.probing = false
	circuitBreaker.generation++
	circuitBreaker.openTime = min(max(circuitBreaker.openTime*2, breakerMinOpenTime), breakerMaxOpenTime)
	circuitBreaker.openUntil = now.Add(circuitBreaker.openTime)
}

// Abandon records that a request ended neither as a success nor as a failure; if it was the probe, another request may probe.
func (circuitBreaker *CircuitBreaker) Abandon(permit SendPermit) {
	if permit.probe && permit.generation == circuitBreaker.generation {
		circuitBreaker.probing = false
	}
}
