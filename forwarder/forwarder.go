package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/hedger"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/stopper"
)

const (
	// maxSends bounds the sends of one client attempt, including those that backend servers refuse.
	maxSends = 4
	// minSendTime is the least time before the deadline in which a send can still deliver a response to the caller.
	minSendTime = 30 * time.Millisecond
	// maxResponseBytes bounds the body of a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// defaultTimeout applies to a request for which neither the caller nor the route sets a time-out.
	defaultTimeout = 30 * time.Second
	// maxWaitShare is the share of a route's latency objective that a request may wait for a slot; the rest is left for the prefill of its prompt.
	maxWaitShare = 0.5
	// stopRetryAfter is short because a caller that returns is served by another entry, and longer than what the admission there takes for a caller that has not waited.
	stopRetryAfter = 160 * time.Millisecond
	// startRetryAfter is the Retry-After of an entry without a configuration; the platform probes such an entry once a second.
	startRetryAfter = 500 * time.Millisecond
)

// Forwarder is an HTTP handler that forwards callers' requests to backend servers.
type Forwarder struct {
	options       Options
	table         atomic.Pointer[table]
	servers       servers
	connector     connector.Connector
	budget        budget
	hedger        hedger.Hedger
	groups        groups
	admission     admission
	stallDetector stallDetector
	parts         quarantiner.PartTracker
	requests      quarantiner.RequestTracker
	crashChecks   crashChecks
	abandoned     abandonedSends
	stopper       stopper.Stopper
	// stopCtx ends, by cancelRequests, when the requests in flight of a stopping process have to be answered.
	stopCtx        context.Context
	cancelRequests context.CancelFunc
	stopMutex      sync.Mutex
	// answerTimer ends stopCtx.
	answerTimer *time.Timer
	inFlight    atomic.Int64
	// regions holds the region of each availability zone.
	regions    atomic.Pointer[map[string]string]
	requestLog requestLog
}

// New returns a forwarder that refuses all requests until Configure gives it a configuration.
func New(options Options) *Forwarder {
	if options.Memory == nil {
		options.Memory = &reserver.Reserver{}
	}
	forwarder := &Forwarder{
		options: options,
		servers: servers{
			zone:    options.Zone,
			entries: options.Entries,
			place:   options.Place,
			logger:  options.Logger,
		},
		budget: budget{
			ratio:   options.RetryRatio,
			slack:   options.RetrySlack,
			window:  options.RetryWindow,
			entries: options.Entries,
		},
		requestLog: requestLog{logger: options.Logger},
	}
	forwarder.SetScreening(options.Regions, options.Drain, options.ColdOvershoot, options.ColdSlack)
	forwarder.hedger.SetShare(options.SecondSendShare)
	forwarder.servers.hasIdle = forwarder.connector.HasIdle
	forwarder.stopCtx, forwarder.cancelRequests = context.WithCancel(context.Background())
	return forwarder
}

// Configure applies a view: its configuration if that supersedes the current one, its registered backend servers and its quarantines.
func (forwarder *Forwarder) Configure(view cranberryward.View) {
	forwarder.ConfigureRead(view, time.Time{}, time.Time{})
}

// ConfigureRead applies a view that the store held at a time and not yet at the time before, either of which is zero if it is not known.
func (forwarder *Forwarder) ConfigureRead(view cranberryward.View, before, at time.Time) {
	if current := forwarder.table.Load(); view.Deployment != nil && (current == nil || view.Deployment.Supersedes(current.deployment)) {
		table := newTable(view.Deployment)
		forwarder.table.Store(table)
		forwarder.servers.setServices(table.services)
		forwarder.keepRoutes(view.Deployment)
	}
	forwarder.servers.updateRead(view, reading{
		before: before,
		at:     at,
	})
	forwarder.mergeStored(view)
}

// Configured returns whether the forwarder has a configuration to route requests by.
func (forwarder *Forwarder) Configured() bool { return forwarder.table.Load() != nil }

// InFlightByServer returns the number of this entry's requests in flight at each backend server that has any, by its id.
func (forwarder *Forwarder) InFlightByServer() map[string]int {
	return forwarder.servers.inFlightCounts()
}

// SetPeerLoads sets the number of requests that the other entries together have in flight at each backend server.
func (forwarder *Forwarder) SetPeerLoads(others map[string]int) {
	forwarder.servers.setPeerLoads(others)
}

// SetGroupLoad sets the number of requests of all entries at each rank of a group, which for controllerLoadMaxAge takes precedence over
// SetPeerLoads, and the limit for each rank, where zero means the number of its slots.
func (forwarder *Forwarder) SetGroupLoad(load cranberryward.GroupLoad) {
	forwarder.servers.setGroupLoad(load)
	forwarder.groups.recordRanks(load)
}

// InFlight returns the number of callers' requests that are being served.
func (forwarder *Forwarder) InFlight() int64 { return forwarder.inFlight.Load() }

// Stop begins a shutdown that ends at the given time: responses ask callers to close their connections, requests that may outlast it are refused, except early in a
// long one, and shortly before the end those in flight are answered. A later call moves the end.
func (forwarder *Forwarder) Stop(by time.Time) {
	forwarder.stopper.Begin(by)
	answerAt := time.Until(stopper.AnswerAt(by))
	forwarder.stopMutex.Lock()
	defer forwarder.stopMutex.Unlock()
	if forwarder.answerTimer == nil {
		forwarder.answerTimer = time.AfterFunc(answerAt, forwarder.cancelRequests)
		return
	}
	forwarder.answerTimer.Reset(answerAt)
}

// SetRetryBudget sets the retries that operators allow all entries together within each window.
func (forwarder *Forwarder) SetRetryBudget(ratio, slack float64, window time.Duration) {
	forwarder.budget.configure(ratio, slack, window)
}

// SetScreening replaces the settings that decide which backend servers may be sent to, as Options describes them; a backend server that has vanished before is kept for
// the time that held then.
func (forwarder *Forwarder) SetScreening(regions map[string]string, drain time.Duration, coldOvershoot, coldSlack float64) {
	forwarder.regions.Store(&regions)
	forwarder.servers.setBounds(drain, coldOvershoot, coldSlack)
}

// region returns the region of an availability zone, or nothing if it is not known.
func (forwarder *Forwarder) region(zone string) string { return (*forwarder.regions.Load())[zone] }

// SetGroupState records what the agent at an address reports on the group of its rank.
func (forwarder *Forwarder) SetGroupState(from string, state cranberryward.GroupState) {
	forwarder.groups.record(from, state)
}

// RecordZone records that a process of an availability zone has sent a notice.
func (forwarder *Forwarder) RecordZone(zone string) { forwarder.groups.hearZone(zone) }

// CloseExpired closes the connections to backend servers that have been idle for too long to be used again.
func (forwarder *Forwarder) CloseExpired() { forwarder.connector.CloseExpired() }

// ServeHTTP forwards one request to a backend server, or refuses it.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	forwarder.inFlight.Add(1)
	defer forwarder.inFlight.Add(-1)
	if forwarder.stopper.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	exchange := &exchange{
		request:  request,
		metadata: platform.ReadRequest(request),
		arrived:  time.Now(),
		tried:    map[string]bool{},
	}
	defer forwarder.reserve(exchange)()
	if !forwarder.resolve(writer, exchange) || !forwarder.readBody(writer, exchange) {
		return
	}
	if retryAfter, reason := forwarder.checkServable(exchange); reason != "" {
		forwarder.refuse(writer, exchange, http.StatusServiceUnavailable, reason, retryAfter)
		return
	}
	defer forwarder.admission.leave(exchange)
	ctx, cancel := context.WithDeadline(request.Context(), exchange.deadline)
	defer cancel()
	defer context.AfterFunc(forwarder.stopCtx, cancel)()
	exchange.ctx = ctx
	forwarder.budget.recordRequest(exchange.service)
	forwarder.serve(writer, exchange)
}

// checkServable returns the reason for which a request cannot be served now and its Retry-After, or an empty reason.
func (forwarder *Forwarder) checkServable(exchange *exchange) (retryAfter time.Duration, reason string) {
	refusal := forwarder.decide(exchange, forwarder.liveBelief())
	if refusal.forRoom {
		forwarder.recordRefusal(exchange.service, refusal.reason, refusal.room)
	}
	return refusal.retryAfter, refusal.reason
}

// decide returns why a request cannot be served now in view of what is believed, or a refusal without a reason.
func (forwarder *Forwarder) decide(exchange *exchange, belief belief) refusal {
	if !forwarder.stopper.Accepts(exchange.deadline) {
		return refusal{
			denial: denial{
				reason:     "stopping",
				retryAfter: stopRetryAfter,
			},
		}
	}
	for _, verdict := range forwarder.quarantines(exchange) {
		if !verdict.ProbeDue() {
			return refusal{
				denial: denial{
					reason:     quarantineReason(verdict),
					retryAfter: verdict.Remaining(),
				},
			}
		}
	}
	if retryAfter, reason := forwarder.checkGroup(exchange, belief); reason != "" {
		return refusal{
			denial: denial{
				reason:     reason,
				retryAfter: retryAfter,
			},
		}
	}
	return forwarder.checkRoom(exchange, belief)
}

// groupStalled returns whether the group that would serve a request executes no passes; the request would only wait there, perhaps at a rank
// that resumes after its caller has left.
func (forwarder *Forwarder) groupStalled(exchange *exchange) bool {
	service := forwarder.table.Load().services[exchange.service]
	return service != nil && service.Engine != nil && forwarder.stallDetector.stalled(exchange.service, exchange.route.PauseObjective)
}

// resolve sets the route, workspace, service and deadline of a request, or refuses it and returns false.
func (forwarder *Forwarder) resolve(writer http.ResponseWriter, exchange *exchange) bool {
	status, denied := forwarder.find(exchange)
	if denied.reason != "" {
		forwarder.refuse(writer, exchange, status, denied.reason, denied.retryAfter)
		return false
	}
	return true
}

// find sets the route, workspace, service and deadline of a request, or returns why there are none and the status that says so.
func (forwarder *Forwarder) find(exchange *exchange) (status int, denied denial) {
	table := forwarder.table.Load()
	if table == nil {
		return http.StatusServiceUnavailable, denial{
			reason:     "no_configuration",
			retryAfter: startRetryAfter,
		}
	}
	exchange.route = table.route(exchange.request.Host, exchange.request.URL.EscapedPath())
	if exchange.route == nil {
		return http.StatusNotFound, denial{reason: "no_route"}
	}
	workspace, admitted := table.authorize(exchange.route, exchange.metadata.Key)
	if !admitted {
		return http.StatusUnauthorized, denial{reason: "unknown_key"}
	}
	exchange.workspace = workspace
	exchange.service = drawService(exchange.route)
	exchange.timeout = exchange.metadata.Remaining
	if timeout := exchange.route.Timeout; timeout > 0 && (exchange.timeout <= 0 || timeout < exchange.timeout) {
		exchange.timeout = timeout
	}
	if exchange.timeout <= 0 {
		exchange.timeout = defaultTimeout
	}
	exchange.deadline = exchange.arrived.Add(exchange.timeout)
	return 0, denial{}
}

// refuse responds to a request with an empty response of the entry itself.
func (forwarder *Forwarder) refuse(writer http.ResponseWriter, exchange *exchange, status int, reason string, retryAfter time.Duration) {
	exchange.giveUpBody(writer)
	platform.SetLocalResponseHeaders(writer.Header(), exchange.metadata.ID, retryAfter)
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(status)
	forwarder.requestLog.recordEnd(exchange, status, reason)
}

// fail responds to a request that got no complete response from a backend server; the status is 503, with a Retry-After, only if the request
// certainly did not run.
func (forwarder *Forwarder) fail(writer http.ResponseWriter, exchange *exchange, reason string, retryAfter time.Duration) {
	status := http.StatusServiceUnavailable
	switch {
	case exchange.ctx.Err() != nil && exchange.request.Context().Err() != nil:
		forwarder.requestLog.recordEnd(exchange, 0, "caller_left")
		panic(http.ErrAbortHandler)
	case exchange.mayHaveRun && time.Until(exchange.deadline) < minSendTime:
		status, retryAfter = http.StatusGatewayTimeout, 0
	case exchange.mayHaveRun:
		status, retryAfter = http.StatusBadGateway, 0
	}
	forwarder.refuse(writer, exchange, status, reason, retryAfter)
}
