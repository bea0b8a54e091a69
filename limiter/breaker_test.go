package limiter

import (
	"testing"
	"time"
)

// TestCircuitBreakerOpenTime guards against an open time that grows with the requests that were in flight when the circuit breaker opened: eight
// requests to a backend server that restarts would keep it closed to all others for sixteen seconds.
func TestCircuitBreakerOpenTime(t *testing.T) {
	start := time.Unix(1, 0)
	for _, test := range []struct {
		name     string
		inFlight int
		probes   int
		expected time.Duration
	}{
		{
			name:     "two failures",
			inFlight: 2,
		},
		{
			name:     "three failures",
			inFlight: 3,
			expected: breakerMinOpenTime,
		},
		{
			name:     "eight requests sent before it opened",
			inFlight: 8,
			expected: breakerMinOpenTime,
		},
		{
			name:     "eight requests and a failed probe",
			inFlight: 8,
			probes:   1,
			expected: 2 * breakerMinOpenTime,
		},
		{
			name:     "many failed probes",
			inFlight: 3,
			probes:   20,
			expected: breakerMaxOpenTime,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var circuitBreaker CircuitBreaker
			var permits []SendPermit
			for range test.inFlight {
				permits = append(permits, circuitBreaker.Begin())
			}
			now := start
			for _, permit := range permits {
				circuitBreaker.Fail(permit, now)
			}
			for range test.probes {
				now = circuitBreaker.openUntil
				circuitBreaker.Fail(circuitBreaker.Begin(), now)
			}
			if !circuitBreaker.Allow(now.Add(test.expected)) || test.expected > 0 && circuitBreaker.Allow(now.Add(test.expected-1)) {
				t.Errorf("open for %v, expected %v", circuitBreaker.openUntil.Sub(now), test.expected)
			}
		})
	}
}

// TestCircuitBreakerProbe guards against a probe that ends as neither a success nor a failure, such as a refusal, and keeps the circuit breaker open
// for ever, and against old requests that free the probe of the present state.
func TestCircuitBreakerProbe(t *testing.T) {
	now := time.Unix(1, 0)
	opened := func() (*CircuitBreaker, SendPermit) {
		circuitBreaker := &CircuitBreaker{}
		old := circuitBreaker.Begin()
		for range breakerFailureThreshold {
			circuitBreaker.Fail(circuitBreaker.Begin(), now)
		}
		return circuitBreaker, old
	}
	later := now.Add(breakerMinOpenTime)
	for _, test := range []struct {
		name   string
		end    func(circuitBreaker *CircuitBreaker, old, probe SendPermit)
		allows bool
	}{
		{
			name: "probe in flight",
			end:  func(*CircuitBreaker, SendPermit, SendPermit) {},
		},
		{
			name:   "probe abandoned",
			end:    func(circuitBreaker *CircuitBreaker, _, probe SendPermit) { circuitBreaker.Abandon(probe) },
			allows: true,
		},
		{
			name: "old request abandoned",
			end:  func(circuitBreaker *CircuitBreaker, old, _ SendPermit) { circuitBreaker.Abandon(old) },
		},
		{
			name: "old request failed",
			end:  func(circuitBreaker *CircuitBreaker, old, _ SendPermit) { circuitBreaker.Fail(old, later) },
		},
		{
			name:   "probe succeeded",
			end:    func(circuitBreaker *CircuitBreaker, _, _ SendPermit) { circuitBreaker.Succeed(later) },
			allows: true,
		},
		{
			name: "probe failed",
			end:  func(circuitBreaker *CircuitBreaker, _, probe SendPermit) { circuitBreaker.Fail(probe, later) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			circuitBreaker, old := opened()
			if !circuitBreaker.Allow(later) {
				t.Fatal("no probe is allowed after the open time")
			}
			test.end(circuitBreaker, old, circuitBreaker.Begin())
			if allows := circuitBreaker.Allow(later); allows != test.allows {
				t.Errorf("another request is allowed: %v, expected %v", allows, test.allows)
			}
		})
	}
}
