package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log/level"
)

// maxLimitReports bounds the limits in one report.
const maxLimitReports = 64

// recordRequestLimit records the limit that a backend server names in an answer to a request sent at the given time, negative for none.
func (forwarder *Forwarder) recordRequestLimit(state *serverState, limit float64, sentAt time.Time) {
	before, changed := forwarder.servers.recordRequestLimit(state, limit, sentAt)
	if changed {
		_ = level.Info(forwarder.options.Logger).Log("event", "server_limit_changed", "backend_server", state.server().ID, "service", state.server().Service, "before", before, "limit", limit)
	}
}

func (servers *servers) recordRequestLimit(state *serverState, limit float64, sentAt time.Time) (before float64, changed bool) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return state.screen.Limit.Record(limit, sentAt, time.Now())
}

// LimitReports returns what this entry has to report to the others on the limits of backend servers: those that changed lately, and periodically those in
// force, for entries that have started since.
func (forwarder *Forwarder) LimitReports() []cranberryward.LimitReport {
	return forwarder.servers.limitReports()
}

func (servers *servers) limitReports() (reports []cranberryward.LimitReport) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	now := time.Now()
	for id, state := range servers.states {
		if len(reports) == maxLimitReports {
			break
		}
		if report, due := state.screen.Limit.Report(id, now); due {
			reports = append(reports, report)
		}
	}
	return reports
}

// MergeLimits merges what another entry reports on the limits of backend servers.
func (forwarder *Forwarder) MergeLimits(reports []cranberryward.LimitReport) {
	forwarder.servers.mergeLimits(reports)
}

func (servers *servers) mergeLimits(reports []cranberryward.LimitReport) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	now := time.Now()
	for _, report := range reports {
		if state := servers.states[report.Server]; state != nil {
			state.screen.Limit.Merge(report, now)
		}
	}
}

// pickWithinLimits chooses a backend server, and waits for a permit of one if that takes no more of the objective than a wait for a slot may.
func (forwarder *Forwarder) pickWithinLimits(exchange *exchange) picked {
	waitUntil := time.Now().Add(exchange.permitPatience())
	for {
		picked := forwarder.servers.pick(exchange.service, exchange.tried, forwarder.permitted(exchange), exchange.route.Retryable())
		if picked.state != nil || picked.wait == 0 || time.Now().Add(picked.wait).After(waitUntil) {
			return picked
		}
		select {
		case <-exchange.ctx.Done():
			return picked
		case <-time.After(picked.wait):
		}
	}
}

// permitPatience returns how long a request may wait for a permit.
func (exchange *exchange) permitPatience() time.Duration {
	return time.Duration(maxWaitShare * float64(exchange.route.Objective))
}

// limitRetryAfter returns the Retry-After of a request for which no backend server has a permit for the given time, spread so that the callers do not all return
// at once.
func limitRetryAfter(wait time.Duration) time.Duration { return wait + rand.N(wait+time.Millisecond) }
