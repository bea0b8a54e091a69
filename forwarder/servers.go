package forwarder

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log"
)

const (
	// failureBackoff is how long a backend server is avoided after a failed connection or a refusal; each further one in a row doubles it, up to maxFailureBackoff: one that
	// refuses all has the fewest requests, and each refusal takes from the budget of retries.
	failureBackoff    = 200 * time.Millisecond
	maxFailureBackoff = 2 * time.Second
	// alternativeDialTimeout is the time after which another backend server is tried if a connection has not come about; links within a region have a
	// delay of a few milliseconds.
	alternativeDialTimeout = 150 * time.Millisecond
	// outcomeWeight is the weight of a new outcome in the moving average of a backend server's failure rate.
	outcomeWeight = 0.15
	// failurePenalty is the cost of a failure rate of one, in requests in flight.
	failurePenalty = 8.0
	// otherZonePenalty is the cost of traffic between availability zones, in requests in flight: a rank of another zone is chosen when it has
	// two fewer.
	otherZonePenalty = 1.5
	// controllerLoadMaxAge is how long a load that a controller reported is used; it reports many times within this time.
	controllerLoadMaxAge = 700 * time.Millisecond
	// sparedMaxAge is how long a rank is spared after a report: a controller that awaits the pass of a map change reports nothing, and the slowest ranks make passes long.
	sparedMaxAge = 3 * time.Second
	// unreportedAge is how long the reports of a controller may leave out a backend server before it becomes a last resort; the controller itself
	// waits 0.4 s for a backend server that does not answer.
	unreportedAge = 350 * time.Millisecond
	// serverLoadMaxAge is how long a load that a backend server reported is used.
	serverLoadMaxAge = 2 * time.Second
	// triedTier is the tier of a backend server to which the same request was sent before.
	triedTier = screener.LastResort + 1
)

// serverState is what this entry knows of one backend server: its registration, the results of this entry's requests and reported loads. What each choice reads
// comes first, in few cache lines.
type serverState struct {
	// registered is the last registration, which the requests in progress read without the mutex.
	registered atomic.Pointer[cranberryward.BackendServer]
	// noted is the last reason against it that was logged.
	noted       screener.Reason
	inFlight    int
	failureRate float64
	// zonePenalty is the cost of traffic to its availability zone.
	zonePenalty float64
	// peerInFlight counts the requests of other entries, and controllerLoadAt is when a controller last reported the load that it is computed from.
	peerInFlight     int
	controllerLoadAt time.Time
	// spared is whether the controller has reported that the rank is to run no requests.
	spared atomic.Bool
	// speed is measured where answers come whole, and stays usual at the ranks of a group, which execute each pass together.
	speed speed
	// screen decides whether it may be sent to now.
	screen     screener.Server
	load       cranberryward.ServerLoad
	loadAt     time.Time
	unreadable bool
	// failures and refusals count the connections that failed, and the refusals, since a success.
	failures, refusals int
	// group is the name of the group whose controller reported that load, and limit is the limit that it set, zero for the number of slots.
	group string
	limit int
}

// server returns the last registration; it may not be changed.
func (serverState *serverState) server() *cranberryward.BackendServer {
	return serverState.registered.Load()
}

// servers holds the states of the registered backend servers.
type servers struct {
	zone string
	// entries returns how many entries share the limits that backend servers name; nil means that there is no other one.
	entries func() int
	// place returns the place of this entry among them, from 1, or zero while it is not known; nil stands for that.
	place func() int
	// drain is how long a backend server serves on after its registration has changed, or zero if that is not known.
	drain time.Duration
	// coldOvershoot and coldSlack bound the requests to a cold backend server in any second: its rate times the one plus the other.
	coldOvershoot, coldSlack float64
	// hasIdle returns whether a connection to an address is open and idle; nil means that none is.
	hasIdle func(address string) bool
	logger  log.Logger

	mutex sync.Mutex
	// used is whether a request has been sent.
	used bool
	// services holds the configured services by name.
	services map[string]*cranberryward.BackendService
	// evacuated holds the availability zones that are to be sent nothing.
	evacuated map[string]uint64
	// durations holds the moving average of the durations of each service's requests.
	durations map[string]time.Duration
	// medians holds the estimated median of the durations of each route's requests at all backend servers.
	medians  map[string]time.Duration
	states   map[string]*serverState
	departed departed
	// controllerReportAt is when the controller of each group last reported loads.
	controllerReportAt map[groupKey]time.Time
	byService          map[string][]*serverState
	// candidates is memory for those of a choice, and random draws it.
	candidates []candidate
	random     *rand.Rand
}

// setPeerLoads sets the requests of other entries at each backend server whose load no controller has reported recently.
func (servers *servers) setPeerLoads(others map[string]int) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	now := time.Now()
	for id, state := range servers.states {
		if now.Sub(state.controllerLoadAt) > controllerLoadMaxAge {
			state.peerInFlight = others[id]
		}
	}
}

// setGroupLoad sets the requests of other entries at each rank of a group: the reported requests less those of this entry.
func (servers *servers) setGroupLoad(load cranberryward.GroupLoad) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if servers.controllerReportAt == nil {
		servers.controllerReportAt = map[groupKey]time.Time{}
	}
	now := time.Now()
	servers.controllerReportAt[groupKey{load.Service, load.Group}] = now
	for _, state := range servers.byService[load.Service] {
		if state.controllerLoadAt.IsZero() || state.group == load.Group {
			state.limit = load.Limit
		}
	}
	for id, count := range load.Counts {
		if state := servers.states[id]; state != nil {
			state.spared.Store(load.Spared[id])
			state.peerInFlight, state.controllerLoadAt = max(count-state.inFlight, 0), now
			state.group = load.Group
		}
	}
}

// inFlightCounts returns the number of this entry's requests in flight at each backend server that has any.
func (servers *servers) inFlightCounts() map[string]int {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	counts := map[string]int{}
	for id, state := range servers.states {
		if state.inFlight > 0 {
			counts[id] = state.inFlight
		}
	}
	return counts
}

func (servers *servers) entryCount() int {
	if servers.entries == nil {
		return 1
	}
	return servers.entries()
}

// picked is the result of a choice of a backend server.
type picked struct {
	// state is nil if no backend server may be used.
	state *serverState
	// alternatives is whether there were other usable ones.
	alternatives bool
	// wait is how long it is until one may be used again, if only limits on requests exclude them now, and paced is the reason of these limits.
	wait  time.Duration
	paced screener.Reason
	// barred counts the reasons of those that may not be used, and until is when the first of these ends, if that is known.
	barred barredCounts
	until  time.Time
}

// pick chooses a backend server of a service and counts a request at it, if there is one; a nil function allows all, and a backend server that was tried
// already is a last resort; reuse is whether the request may be sent on an idle connection.
func (servers *servers) pick(service string, tried map[string]bool, allowed func(server *cranberryward.BackendServer) bool, reuse bool) picked {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	terms := servers.terms(service, entries)
	picked := servers.weigh(service, tried, allowed, reuse, terms, servers.screen)
	if picked.state == nil {
		return picked
	}
	servers.used = true
	picked.state.inFlight++
	picked.state.screen.Take(terms)
	return picked
}

// weigh chooses as pick does, and counts nothing; the caller holds the mutex.
func (servers *servers) weigh(service string, tried map[string]bool, allowed func(server *cranberryward.BackendServer) bool, reuse bool, terms screener.Terms, screen screening) picked {
	result, best := servers.list(service, tried, allowed, terms, screen)
	if len(servers.candidates) == 0 {
		return result
	}
	return picked{
		state:        servers.choose(servers.candidates, service, reuse && best == screener.Usable), // a last resort was tried or may have closed its connections
		alternatives: len(servers.candidates) > 1 && best == screener.Usable,
	}
}

// list lists the candidates of the lowest tier, which it returns, and why there are none; the caller holds the mutex.
func (servers *servers) list(service string, tried map[string]bool, allowed func(server *cranberryward.BackendServer) bool, terms screener.Terms, screen screening) (result picked, best screener.Tier) {
	if servers.random == nil {
		servers.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	candidates := servers.candidates[:0]
	for _, state := range servers.byService[service] {
		if allowed != nil && !allowed(state.server()) {
			continue
		}
		var verdict screener.Verdict
		if !state.settled() {
			verdict = screen(state, terms)
		}
		tier := state.tier(verdict.Tier, tried)
		age := state.reportAge(terms.Now)
		if tier == screener.Usable && (state.spared.Load() || age > unreportedAge) && servers.avoidance(state, terms.Now) != screener.Free {
			tier = screener.Avoided
		}
		if tier == screener.Barred || verdict.Wait > 0 {
			result.exclude(verdict)
			continue
		}
		if len(candidates) > 0 && tier > best {
			continue
		}
		if len(candidates) > 0 && tier < best {
			candidates = candidates[:0]
		}
		best = tier
		candidates = append(candidates, candidate{
			state:    state,
			cost:     state.cost(terms.Now, age, servers.random),
			reported: age <= controllerLoadMaxAge,
		})
	}
	servers.candidates = candidates
	return result, best
}

// groupsByID returns the group of each backend server of a service whose load a controller has reported.
func (servers *servers) groupsByID(service string) map[string]string {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	byID := map[string]string{}
	for _, state := range servers.byService[service] {
		if state.group != "" {
			byID[state.server().ID] = state.group
		}
	}
	return byID
}

// avoidance returns why the reports of a group's controller speak against one of its ranks, or Free: it no longer reports the load of this one, which may
// have stalled, or asks that it be spared.
func (servers *servers) avoidance(state *serverState, now time.Time) screener.Reason {
	if state.controllerLoadAt.IsZero() {
		return screener.Free
	}
	if state.sparedAt(now) {
		return screener.Slow
	}
	reportAt := servers.controllerReportAt[groupKey{state.server().Service, state.group}]
	if now.Sub(reportAt) < controllerLoadMaxAge && reportAt.Sub(state.controllerLoadAt) > unreportedAge {
		return screener.Unreported
	}
	return screener.Free
}

// sparedAt returns whether the last report of the controller asked that the rank run no requests, and holds still.
func (serverState *serverState) sparedAt(now time.Time) bool {
	return serverState.spared.Load() && now.Sub(serverState.controllerLoadAt) < sparedMaxAge
}

// tier returns the tier of a backend server for one request, for which those that were tried already come last.
func (serverState *serverState) tier(tier screener.Tier, tried map[string]bool) screener.Tier {
	if tier != screener.Barred && len(tried) > 0 && tried[serverState.server().ID] {
		return triedTier
	}
	return tier
}

// settled returns whether the backend server may be sent to until a further event, and nothing is left to log.
func (serverState *serverState) settled() bool {
	return serverState.screen.Settled() && serverState.noted == screener.Free
}

// reportAge returns the age of the load that a controller reported.
func (serverState *serverState) reportAge(now time.Time) time.Duration {
	if serverState.controllerLoadAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(serverState.controllerLoadAt)
}

// cost returns the cost of sending one more request to the backend server, in requests in flight at one of usual speed, where
// the load that a controller reported has an age; a random part breaks ties.
func (serverState *serverState) cost(now time.Time, age time.Duration, random *rand.Rand) float64 {
	busy := float64(serverState.inFlight + serverState.peerInFlight)
	if age >= controllerLoadMaxAge && serverState.load.Known && now.Sub(serverState.loadAt) < serverLoadMaxAge {
		busy = max(busy, float64(serverState.load.Running+serverState.load.Waiting-1))
	}
	return (busy+1)*serverState.speed.slowness(now) - 1 + failurePenalty*serverState.failureRate + random.Float64()*0.3 + serverState.zonePenalty
}

// outcome is how a send to a backend server ended.
type outcome int

const (
	outcomeSucceeded outcome = iota
	// outcomeFailed is a response that reports a failure, or one that cannot be used.
	outcomeFailed
	// outcomeUnreachable is a connection that could not be made or broke off.
	outcomeUnreachable
	// outcomeRefused is a response in which the backend server says that it did not run the request.
	outcomeRefused
	// outcomeAbandoned is an end that says nothing about the backend server, as when the caller left or the request was not sent.
	outcomeAbandoned
)

// done records the outcome of a send that pick counted, and decrements the number of requests in flight at the backend server.
func (servers *servers) done(state *serverState, outcome outcome) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	state.inFlight--
	now := time.Now()
	switch outcome {
	case outcomeSucceeded:
		state.failureRate *= 1 - outcomeWeight
		state.failures, state.refusals = 0, 0
	case outcomeFailed:
		state.failureRate += outcomeWeight * (1 - state.failureRate)
	case outcomeUnreachable:
		state.failureRate += outcomeWeight * (1 - state.failureRate)
		state.failures++
		state.screen.Pause(now.Add(min(failureBackoff<<min(state.failures-1, 8), maxFailureBackoff)))
	case outcomeRefused:
		state.refusals++
		state.screen.Pause(now.Add(min(failureBackoff<<min(state.refusals-1, 8), maxFailureBackoff)))
	case outcomeAbandoned:
	}
}

// recordLoad records the load that a backend server reported.
func (servers *servers) recordLoad(state *serverState, load cranberryward.ServerLoad) {
	if !load.Known {
		return
	}
	servers.mutex.Lock()
	state.load, state.loadAt = load, time.Now()
	servers.mutex.Unlock()
}
