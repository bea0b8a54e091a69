package acceptor

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// lineInterval is the least time between two lines about connections that were closed for the same reason.
const lineInterval = time.Second

// refusals counts and logs the connections that were closed for the sake of others.
type refusals struct {
	count  func(reason string)
	logger log.Logger

	mutex    sync.Mutex
	loggedAt map[string]time.Time
	unlogged map[string]int
}

// record records a connection that was closed.
func (refusals *refusals) record(reason, address string) {
	refusals.count(reason)
	now := time.Now()
	refusals.mutex.Lock()
	if now.Sub(refusals.loggedAt[reason]) < lineInterval {
		refusals.unlogged[reason]++
		refusals.mutex.Unlock()
		return
	}
	unlogged := refusals.unlogged[reason]
	refusals.loggedAt[reason], refusals.unlogged[reason] = now, 0
	refusals.mutex.Unlock()
	_ = level.Info(refusals.logger).Log("event", "connection_refused", "reason", reason, "address", address, "unlogged", unlogged)
}
