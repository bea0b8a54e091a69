package forwarder

import (
	"sync"
	"time"
)

const (
	// stillPauses is for how many of the longest pauses that are still on time a group whose streams bring no event counts as standing still:
	// the longest pass of a working one takes little more than one of them.
	stillPauses = 2.5
	// stillStreams is how many streams of this entry must be without events, as a single one may be slow by itself.
	stillStreams = 3
)

// pulse tells whether the group of a service goes on: all of its ranks execute each pass together, so events come from all or from none.
type pulse struct {
	mutex   sync.Mutex
	streams map[string]int
	last    map[string]time.Time
}

// begin counts a stream that brought its first event.
func (pulse *pulse) begin(service string) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	if pulse.streams == nil {
		pulse.streams, pulse.last = map[string]int{}, map[string]time.Time{}
	}
	pulse.streams[service]++
	pulse.last[service] = time.Now()
}

// beat takes in that a stream brought a further event.
func (pulse *pulse) beat(service string, now time.Time) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	pulse.last[service] = now
}

// end forgets a stream.
func (pulse *pulse) end(service string) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	pulse.streams[service]--
}

// still returns whether streams are under way and none of them has brought an event for a few of the given pauses.
func (pulse *pulse) still(service string, pause time.Duration) bool {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	if pause <= 0 || pulse.streams[service] < stillStreams {
		return false
	}
	return time.Since(pulse.last[service]) > stillTime(pause)
}

// stillTime is after which time without an event a stream counts as standing still.
func stillTime(pause time.Duration) time.Duration { return time.Duration(stillPauses * float64(pause)) }
