package limiter

import (
	"math/rand/v2"
	"time"
)

const (
	// permitTTL bounds how long a permit of a Pacer stays valid, so that many idle ones do not all hold one at the same time.
	permitTTL = time.Second
	// pacerJitter is the largest share by which an interval between permits is lengthened or shortened, so that pacers do not stay in step.
	pacerJitter = 0.1
	// maxInterval bounds the time between permits, as longer ones do not fit into a duration.
	maxInterval = time.Hour
)

// uniform draws a random number from 0 to 1; tests replace it by a seeded one.
var uniform = rand.Float64

// Pacer gives permits at a rate, in events a second, without saving any up: one permit an interval, which is lost if it is not used. Its first one comes at
// a random time within the first interval, so that the permits of many pacers are spread. Its zero value is ready to use.
type Pacer struct {
	rate float64
	next time.Time
	// begun is when the first interval of an aligned pacer began, and phase the share of an interval after which its permits come.
	begun time.Time
	phase float64
}

// Align makes a pacer that has given no permit yet one of several that share a rate: its permits come when the given share, from 0 to 1, of each interval since the
// given time has passed, also after one that was used late. Random times would come together now and then.
func (pacer *Pacer) Align(begun time.Time, phase float64) {
	if pacer.rate == 0 {
		pacer.begun, pacer.phase = begun, phase
	}
}

// interval returns the time between permits, at least a nanosecond, since a rate far above all that is sent stands for no limit.
func interval(rate float64) time.Duration {
	return time.Duration(min(max(float64(time.Second)/rate, 1), float64(maxInterval)))
}

// Wait returns how long it is until the next permit at the given rate, which must be positive, and zero if there is one now.
func (pacer *Pacer) Wait(now time.Time, rate float64) time.Duration {
	switch {
	case pacer.rate == 0 && !pacer.begun.IsZero():
		pacer.next = pacer.begun.Add(time.Duration(pacer.phase * float64(interval(rate))))
	case pacer.rate == 0:
		pacer.next = now.Add(time.Duration(uniform() * float64(interval(rate))))
	case pacer.rate != rate:
		// The rest of the current interval changes with the rate; beginning another one each time would change the mean rate.
		pacer.next = now.Add(time.Duration(min(float64(pacer.next.Sub(now))*pacer.rate/rate, float64(maxInterval))))
	}
	pacer.rate = rate
	if lost := now.Sub(pacer.next) - min(interval(rate), permitTTL); lost > 0 {
		pacer.next = pacer.next.Add((lost/interval(rate) + 1) * interval(rate))
	}
	return max(pacer.next.Sub(now), 0)
}

// Take uses a permit and returns whether there is one.
func (pacer *Pacer) Take(now time.Time, rate float64) bool {
	if pacer.Wait(now, rate) > 0 {
		return false
	}
	if !pacer.begun.IsZero() {
		pacer.next = pacer.next.Add(interval(rate))
		return true
	}
	jitter := 1 + pacerJitter*(2*uniform()-1)
	pacer.next = now.Add(time.Duration(jitter * float64(interval(rate))))
	return true
}

// Reset makes the next call begin anew.
func (pacer *Pacer) Reset() { *pacer = Pacer{} }
