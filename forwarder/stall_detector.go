package forwarder

import (
	"sync"
	"time"
)

const (
	// stallPauses is the number of pause objectives without an event after which a group counts as stalled; the longest pass of a working
	// group takes little more than one.
	stallPauses = 2.5
	// minStallStreams is the number of streams of this entry that a stall needs, because a single stream may be slow by itself.
	minStallStreams = 3
)

// stallDetector detects that the group of a service executes no passes; all ranks execute each pass together, so either all streams of the
// group deliver events or none does.
type stallDetector struct {
	mutex     sync.Mutex
	streams   map[string]int
	lastEvent map[string]time.Time
}

// startStream counts a stream that has delivered its first event as open.
func (stallDetector *stallDetector) startStream(service string) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if stallDetector.streams == nil {
		stallDetector.streams, stallDetector.lastEvent = map[string]int{}, map[string]time.Time{}
	}
	stallDetector.streams[service]++
	stallDetector.lastEvent[service] = time.Now()
}

// recordEvent records the time of a further event of any stream of a service.
func (stallDetector *stallDetector) recordEvent(service string, now time.Time) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	stallDetector.lastEvent[service] = now
}

// endStream decrements the number of open streams.
func (stallDetector *stallDetector) endStream(service string) {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	stallDetector.streams[service]--
}

// stalled returns whether enough streams are open and none of them has delivered an event for stallPauses times the given pause.
func (stallDetector *stallDetector) stalled(service string, pause time.Duration) bool {
	stallDetector.mutex.Lock()
	defer stallDetector.mutex.Unlock()
	if pause <= 0 || stallDetector.streams[service] < minStallStreams {
		return false
	}
	return time.Since(stallDetector.lastEvent[service]) > stallTime(pause)
}

// stallTime returns the time without an event after which a stream counts as stalled.
func stallTime(pause time.Duration) time.Duration { return time.Duration(stallPauses * float64(pause)) }
