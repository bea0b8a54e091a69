package forwarder

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new duration in the moving average of a backend server's slowness: one or two requests show that it is several times as slow
	// as the others.
	slownessWeight = 0.5
	// maxSlowness bounds what a single request counts, so that one that was stuck does not keep a backend server away for long.
	maxSlowness = 10.0
	// slownessHalfLife is the time without a request in which half of what is known of a backend server's slowness is forgotten, so that one that is avoided is tried
	// again.
	slownessHalfLife = 10 * time.Second
	// speedNoise is added to all durations that are compared: differences well below it come from links and scheduling, and no caller notices them.
	speedNoise = 10 * time.Millisecond
	// medianStep is the share by which a longer or shorter duration moves the estimated median.
	medianStep = 0.04
)

// speed is how long this entry's requests last at one backend server, against the median of their routes at all of them; its zero value is a usual speed.
type speed struct {
	// excess is the moving average of the ratio to the median, less one, at the time of the last request.
	excess float64
	at     time.Time
}

// slowness returns by what factor requests last longer at the backend server than at the others.
func (speed *speed) slowness(now time.Time) float64 {
	if speed.excess == 0 {
		return 1
	}
	return 1 + speed.excess*math.Exp2(-float64(now.Sub(speed.at))/float64(slownessHalfLife))
}

// record records the ratio of a request's duration to the median of its route.
func (speed *speed) record(ratio float64, now time.Time) {
	before := speed.slowness(now)
	speed.excess, speed.at = before+slownessWeight*(min(ratio, maxSlowness)-before)-1, now
}

// recordSpeed records how long a request of a route lasted at a backend server that answered it whole.
func (servers *servers) recordSpeed(state *serverState, route string, duration time.Duration) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if servers.medians == nil {
		servers.medians = map[string]time.Duration{}
	}
	median := servers.medians[route]
	switch {
	case median == 0:
		median = duration
	case duration > median:
		median += time.Duration(medianStep * float64(median))
	default:
		median -= time.Duration(medianStep * float64(median))
	}
	servers.medians[route] = median
	state.speed.record(float64(duration+speedNoise)/float64(servers.medians[route]+speedNoise), time.Now())
}
