package forwarder

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// groupReportTTL is how long a report on a group is valid; agents send one twice a second.
	groupReportTTL = 1500 * time.Millisecond
	// brokenRetryAfter is the Retry-After while a group is broken; a lost rank takes seconds to return.
	brokenRetryAfter = 2600 * time.Millisecond
)

// groupKey identifies one of the groups that serve a service.
type groupKey struct{ service, name string }

// groups holds the states of the groups that serve services, as the agents of their ranks report them.
type groups struct {
	mutex sync.Mutex
	// reports holds the last report of each agent, by service and then by the agent's host, which is that of its rank.
	reports map[string]map[string]groupReport
	// since is when all groups of a service were first seen broken.
	since map[string]time.Time
	ranks map[groupKey]*rankCounts
	// zones holds when a process of each availability zone was last heard of, and zoneReturnedAt is when one was after a silence.
	zones          map[string]time.Time
	zoneReturnedAt time.Time
	// changed is created by a waiter, and closed and cleared when a rank reports another state.
	changed chan struct{}
}

// groupReport is the last state of a group that the agent of one rank reported.
type groupReport struct {
	state cranberryward.GroupState
	at    time.Time
}

// record stores the report of a rank's agent and wakes the waiters if the state differs from that agent's last report.
func (groups *groups) record(from string, state cranberryward.GroupState) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if groups.reports == nil {
		groups.reports = map[string]map[string]groupReport{}
	}
	if groups.reports[state.Service] == nil {
		groups.reports[state.Service] = map[string]groupReport{}
	}
	host := hostOf(from)
	before := groups.reports[state.Service][host]
	groups.reports[state.Service][host] = groupReport{
		state: state,
		at:    time.Now(),
	}
	if state.Open && !groups.since[state.Service].IsZero() && !allBroken(groups.brokenByName(state.Service)) {
		delete(groups.since, state.Service)
	}
	if state.Open != before.state.Open && groups.changed != nil {
		close(groups.changed)
		groups.changed = nil
	}
}

// hostOf returns the host of an address HOST:PORT, or the whole address if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// broken returns whether no group of a service is open: of each, a rank of the latest epoch reports that it is broken.
func (groups *groups) broken(service string) bool {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	return allBroken(groups.brokenByName(service))
}

func allBroken(broken map[string]bool) bool {
	for _, one := range broken {
		if !one {
			return false
		}
	}
	return len(broken) > 0
}

// brokenByName returns for each known group of a service whether it is broken, and deletes expired reports; the caller holds the mutex.
func (groups *groups) brokenByName(service string) map[string]bool {
	latest, broken := map[string]uint64{}, map[string]bool{}
	now := time.Now()
	for host, report := range groups.reports[service] {
		if now.Sub(report.at) > groupReportTTL {
			delete(groups.reports[service], host)
			continue
		}
		name, epoch, closed := report.state.Name, report.state.Epoch, !report.state.Open
		known, seen := latest[name]
		switch {
		case !seen || epoch > known:
			latest[name], broken[name] = epoch, closed
		case epoch == known:
			broken[name] = broken[name] || closed
		}
	}
	return broken
}

// openOnly returns a function that excludes the backend servers whose group is broken while another group of the service is open. A notice of a state doesn't reach every
// entry from every agent; of a backend server without one, the group is that whose controller has reported its load, by the ID of the backend server.
func (groups *groups) openOnly(service string, groupsByID func() map[string]string) func(server *cranberryward.BackendServer) bool {
	groups.mutex.Lock()
	broken := groups.brokenByName(service)
	excluded := map[string]bool{}
	if !allBroken(broken) {
		for host, report := range groups.reports[service] {
			excluded[host] = broken[report.state.Name]
		}
	}
	groups.mutex.Unlock()
	if !slices.Contains(slices.Collect(maps.Values(excluded)), true) {
		return func(*cranberryward.BackendServer) bool { return true }
	}
	byID := groupsByID()
	return func(server *cranberryward.BackendServer) bool {
		if closed, reported := excluded[hostOf(server.Address)]; reported {
			return !closed
		}
		return !broken[byID[server.ID]]
	}
}

// awaitOpen waits until a group of a service is no longer known to be broken, and returns false if the time-out or the context ends first.
func (groups *groups) awaitOpen(ctx context.Context, service string, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		groups.mutex.Lock()
		if !allBroken(groups.brokenByName(service)) {
			groups.mutex.Unlock()
			return true
		}
		if groups.changed == nil {
			groups.changed = make(chan struct{})
		}
		changed := groups.changed
		groups.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		}
	}
}
