package forwarder

import (
	"math"
	"time"
)

const (
	// controllerLoadLag is the mean age of a controller's loads when they are used: half its reporting interval plus the transmission delays.
	controllerLoadLag = 150 * time.Millisecond
	// initialDuration is the duration assumed for a request until this entry has seen one end.
	initialDuration = time.Second
	// durationWeight is the weight of a new duration in the moving average.
	durationWeight = 0.05
)

// candidate is a backend server that may be chosen, with the cost of sending one more request to it.
type candidate struct {
	state *serverState
	cost  float64
	// reported is whether the controller has recently reported its load.
	reported bool
	// closed is whether no idle connection to it is open, as far as that was asked.
	closed bool
}

// choose returns the backend server with the lowest cost, or, where the controller's loads lag behind, a random one of those with low costs,
// so that entries that see the same loads do not all choose the same backend server. With reuse, one of those that cost hardly more is
// preferred if an idle connection to it is open.
func (servers *servers) choose(candidates []candidate, service string, reuse bool) *serverState {
	var idle func(candidate *candidate) bool
	if reuse && servers.random.Float64() >= exploreShare && servers.hasIdle != nil {
		idle = func(candidate *candidate) bool { return servers.hasIdle(candidate.state.server().Address) }
	}
	return candidates[draw(candidates, servers.unreportedArrivals(candidates, service), servers.random, idle)].state
}

// unreportedArrivals estimates by Little's law how many requests of all entries the controller's loads do not include yet; it returns zero
// unless the controller has recently reported the loads of more than half of the candidates.
func (servers *servers) unreportedArrivals(candidates []candidate, service string) float64 {
	if !reported(candidates) {
		return 0
	}
	total := 0
	for i := range candidates {
		total += candidates[i].state.inFlight + candidates[i].state.peerInFlight
	}
	duration := servers.durations[service]
	if duration == 0 {
		duration = initialDuration
	}
	return float64(total) * float64(controllerLoadLag) / float64(duration)
}

// fillLevel returns the cost that the cheapest candidates reach when the arrivals, more than none, are spread over them by water-filling: below it are those that get
// some. It approaches the level from above by that of fewer and fewer candidates, so that they need not be sorted.
func fillLevel(candidates []candidate, arrivals float64) (level float64) {
	for level, before := math.Inf(1), -1; ; {
		sum, filled := arrivals, 0
		for i := range candidates {
			if candidates[i].cost < level {
				sum += candidates[i].cost
				filled++
			}
		}
		if before >= 0 && filled >= before {
			return level
		}
		level, before = sum/float64(filled), filled
	}
}

// recordDuration updates the moving average of the durations of a service's requests.
func (servers *servers) recordDuration(service string, duration time.Duration) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if servers.durations == nil {
		servers.durations = map[string]time.Duration{}
	}
	before := servers.durations[service]
	if before == 0 {
		before = duration
	}
	servers.durations[service] = before + time.Duration(durationWeight*float64(duration-before))
}

// slotLimit returns the highest number of requests that a backend server should have in flight.
func (serverState *serverState) slotLimit() int {
	if serverState.limit > 0 {
		return min(serverState.limit, serverState.server().Slots)
	}
	return serverState.server().Slots
}
