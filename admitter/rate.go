package admitter

import (
	"math"
	"time"
)

// rate is an exponentially decaying estimate of how often something happens, in events a second; its zero value is ready to use.
type rate struct {
	value float64
	at    time.Time
}

// add counts one event; the estimate forgets over the given time.
func (rate *rate) add(now time.Time, memory time.Duration) {
	rate.value = rate.current(now, memory) + 1/memory.Seconds()
	rate.at = now
}

// current returns the estimate as it has decayed since the last event.
func (rate *rate) current(now time.Time, memory time.Duration) float64 {
	if rate.value == 0 {
		return 0
	}
	return rate.value * math.Exp(-max(now.Sub(rate.at).Seconds(), 0)/memory.Seconds())
}
