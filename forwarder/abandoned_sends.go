package forwarder

import (
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// abandonedTTL is how long after a caller has left its request may still crash the backend server that runs it.
	abandonedTTL = 2 * time.Second
	// maxAbandonedSends bounds the sends that are remembered for each backend server.
	maxAbandonedSends = 64
)

// abandonedSends remembers the sends that ended because their callers left or their time was over, as what became of them is known only if their backend server turns
// out to have crashed; its zero value is ready to use.
type abandonedSends struct {
	mutex sync.Mutex
	// sends holds the sends of each backend server in the order of their ends.
	sends map[string][]abandonedSend
}

// heldRequest is a request that a backend server holds since a time; id is the one of the caller's attempt.
type heldRequest struct {
	part   cranberryward.PromptPart
	id     string
	sentAt time.Time
}

// abandonedSend is a request that its caller no longer waits for since a time, while its backend server may still run it.
type abandonedSend struct {
	heldRequest
	leftAt time.Time
}

// record remembers a send.
func (abandonedSends *abandonedSends) record(server string, send abandonedSend) {
	abandonedSends.mutex.Lock()
	defer abandonedSends.mutex.Unlock()
	if abandonedSends.sends == nil {
		abandonedSends.sends = map[string][]abandonedSend{}
	}
	sends := append(abandonedSends.sends[server], send)
	abandonedSends.sends[server] = sends[max(len(sends)-maxAbandonedSends, 0):]
	for other, sends := range abandonedSends.sends {
		if send.leftAt.Sub(sends[len(sends)-1].leftAt) > abandonedTTL {
			delete(abandonedSends.sends, other)
		}
	}
}

// take returns the sends to a backend server that ended within abandonedTTL, once.
func (abandonedSends *abandonedSends) take(server string, now time.Time) (recent []abandonedSend) {
	abandonedSends.mutex.Lock()
	defer abandonedSends.mutex.Unlock()
	for _, send := range abandonedSends.sends[server] {
		if now.Sub(send.leftAt) <= abandonedTTL {
			recent = append(recent, send)
		}
	}
	delete(abandonedSends.sends, server)
	return recent
}
