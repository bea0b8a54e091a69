package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// stateMemory is how long a rank's word on its group holds; agents repeat it twice a second.
	stateMemory = 1500 * time.Millisecond
	// closedRetryAfter is when a caller may return whose group is broken: a lost rank is away for seconds.
	closedRetryAfter = 2600 * time.Millisecond
	// closedSpread keeps the callers that were refused together from returning together.
	closedSpread = 300 * time.Millisecond
)

// untilOpen returns when a caller may return whose group is broken or stands still.
func untilOpen() time.Duration { return closedRetryAfter + rand.N(closedSpread) }

// groups are the states of the groups that serve services, as the agents beside their ranks tell them.
type groups struct {
	mutex sync.Mutex
	seen  map[string]map[string]groupWord
	// opened is closed and replaced whenever a rank's word changes.
	opened chan struct{}
}

type groupWord struct {
	epoch uint64
	open  bool
	at    time.Time
}

// hear takes in a rank's word on its group.
func (groups *groups) hear(service, from string, epoch uint64, open bool) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if groups.seen == nil {
		groups.seen = map[string]map[string]groupWord{}
	}
	if groups.seen[service] == nil {
		groups.seen[service] = map[string]groupWord{}
	}
	before := groups.seen[service][from]
	groups.seen[service][from] = groupWord{
		epoch: epoch,
		open:  open,
		at:    time.Now(),
	}
	if open != before.open && groups.opened != nil {
		close(groups.opened)
		groups.opened = nil
	}
}

// closed returns whether a rank of the latest epoch says that the group is broken.
func (groups *groups) closed(service string) bool {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	return groups.isClosed(service)
}

func (groups *groups) isClosed(service string) bool {
	latest, closed := uint64(0), false
	now := time.Now()
	for from, word := range groups.seen[service] {
		if now.Sub(word.at) > stateMemory {
			delete(groups.seen[service], from)
			continue
		}
		switch {
		case word.epoch > latest:
			latest, closed = word.epoch, !word.open
		case word.epoch == latest:
			closed = closed || !word.open
		}
	}
	return closed
}

// awaitOpen waits until the group of a service is not known to be broken, and returns whether that came to be.
func (groups *groups) awaitOpen(ctx context.Context, service string, patience time.Duration) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		groups.mutex.Lock()
		if !groups.isClosed(service) {
			groups.mutex.Unlock()
			return true
		}
		if groups.opened == nil {
			groups.opened = make(chan struct{})
		}
		opened := groups.opened
		groups.mutex.Unlock()
		select {
		case <-opened:
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		}
	}
}
