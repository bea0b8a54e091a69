package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/admitter"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// reformTime is how long a group may take to open once the lost ranks are back.
	reformTime = time.Second
	// wholeTime is how long fewer ranks than before must be reached until they are all that an open group has; one that has lost a rank breaks sooner.
	wholeTime = 5 * time.Second
	// admissionLogInterval bounds the log lines on refusals to one each.
	admissionLogInterval = time.Second
	// prioritySteps is the number of priorities that a route may have, from 0.
	prioritySteps = 10
)

// admission holds the gates of the services whose backend servers form groups.
type admission struct {
	mutex sync.Mutex
	gates map[string]*admitter.Gate
	// times holds the times that the callers of each route state.
	times    map[string]*admitter.StatedTimes
	refusals map[string]int
	loggedAt time.Time
}

// admit decides whether a request gets a place in the group of its service, and counts it there until leave is called.
func (admission *admission) admit(exchange *exchange, room admitter.Room) admitter.Decision {
	fingerprint := exchange.fingerprint() // not under the lock, which all requests need: a body may be long
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	gate := admission.gate(exchange.service)
	decision := gate.Decide(time.Now(), admission.arrival(exchange, fingerprint), room)
	exchange.admitted = decision.Admitted
	return decision
}

// leave records the end of an admitted request.
func (admission *admission) leave(exchange *exchange) {
	if !exchange.admitted {
		return
	}
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	admission.gate(exchange.service).End(exchange.standing())
}

// refuseDown returns the Retry-After of a request for a group that is down since the given time.
func (admission *admission) refuseDown(exchange *exchange, since time.Time) time.Duration {
	fingerprint := exchange.fingerprint() // not under the lock, which all requests need: a body may be long
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	gate := admission.gate(exchange.service)
	return gate.RefuseDown(time.Now(), admission.arrival(exchange, fingerprint), time.Since(since))
}

func (admission *admission) gate(service string) *admitter.Gate {
	if admission.gates == nil {
		admission.gates = map[string]*admitter.Gate{}
	}
	if admission.gates[service] == nil {
		admission.gates[service] = &admitter.Gate{}
	}
	return admission.gates[service]
}

func (admission *admission) arrival(exchange *exchange, fingerprint string) admitter.Arrival {
	arrival := admitter.Arrival{
		Urgency:     exchange.standing(),
		Fingerprint: fingerprint,
		Objective:   exchange.route.Objective,
		Remaining:   time.Until(exchange.deadline),
		Attempt:     admission.attempt(exchange),
		Jitter:      rand.Float64(),
	}
	if exchange.workspace != nil {
		arrival.Workspace = exchange.workspace.Name
	}
	return arrival
}

// isReturn returns whether a caller has been refused before and has waited.
func (admission *admission) isReturn(exchange *exchange) bool {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.attempt(exchange) == admitter.AttemptReturned
}

// attempt returns which attempt of its caller an exchange is by the time that it states, which is counted once.
func (admission *admission) attempt(exchange *exchange) admitter.Attempt {
	if exchange.attemptKnown {
		return exchange.attempt
	}
	if admission.times == nil {
		admission.times = map[string]*admitter.StatedTimes{}
	}
	times := admission.times[exchange.route.Name]
	if times == nil {
		times = &admitter.StatedTimes{}
		admission.times[exchange.route.Name] = times
	}
	exchange.attempt, exchange.attemptKnown = times.Observe(exchange.metadata.Remaining, exchange.route.Timeout), true
	return exchange.attempt
}

// standing returns the order in which requests get places: by the priority of a ranked workspace, which overrides that of the route, and those of one
// workspace by the priority of their route.
func standing(workspace *cranberryward.Workspace, route *cranberryward.Route) int {
	urgency := route.Priority
	if workspace != nil && workspace.Ranked {
		urgency = workspace.Priority
	}
	return max(urgency, 0)*prioritySteps + min(max(route.Priority, 0), prioritySteps-1)
}

func (exchange *exchange) standing() int { return standing(exchange.workspace, exchange.route) }

// urgency returns the priority of a ranked workspace, or else that of the route.
func (exchange *exchange) urgency() int { return exchange.standing() / prioritySteps }

// priority returns the priority that backend servers are given, from 0, the most urgent.
func (forwarder *Forwarder) priority(exchange *exchange) int {
	if priority, known := forwarder.table.Load().priorities[exchange.standing()]; known {
		return priority
	}
	return exchange.urgency()
}

// checkRoom returns why a request gets no place in the group of its service and its Retry-After, or an empty reason.
func (forwarder *Forwarder) checkRoom(exchange *exchange, belief belief) refusal {
	room := belief.room(exchange.service)
	service := forwarder.table.Load().services[exchange.service]
	if !room.Known && (service == nil || service.Engine == nil) {
		return refusal{} // no controller reports the loads of its backend servers
	}
	decision := belief.admission.admit(exchange, room)
	if decision.Admitted {
		return refusal{}
	}
	return refusal{
		denial: denial{
			reason:     decision.Reason,
			retryAfter: decision.RetryAfter,
		},
		room:    room,
		forRoom: true,
	}
}

// checkGroup returns why the group of a request's service runs nothing now and the Retry-After, or an empty reason. A caller that returns while the group
// is about to open is kept, as it has no later chance; the others would only add to the burst at the opening.
func (forwarder *Forwarder) checkGroup(exchange *exchange, belief belief) (retryAfter time.Duration, reason string) {
	if since := belief.brokenSince(exchange.service); !since.IsZero() {
		hold := forwarder.groups.untilOpen(exchange.service)
		if hold > 0 && belief.admission.isReturn(exchange) && time.Until(exchange.deadline) > hold && belief.hold(exchange, hold) {
			return 0, ""
		}
		if exchange.request.Context().Err() != nil {
			return brokenRetryAfter, "group_broken" // its caller has left and will not return
		}
		return belief.admission.refuseDown(exchange, since), "group_broken"
	}
	if forwarder.groupStalled(exchange) {
		return belief.admission.refuseDown(exchange, time.Now()), "group_still"
	}
	return 0, ""
}

// holdUntilOpen waits until a group of a request's service is open, and returns false if that takes too long.
func (forwarder *Forwarder) holdUntilOpen(exchange *exchange, hold time.Duration) bool {
	ctx, cancel := context.WithCancel(exchange.request.Context())
	defer cancel()
	defer context.AfterFunc(forwarder.stopCtx, cancel)()
	opened := forwarder.groups.awaitOpen(ctx, exchange.service, hold)
	meter.CountHeld(opened)
	return opened
}

// recordRefusal counts a refusal for want of room, and logs them by reason once a second.
func (forwarder *Forwarder) recordRefusal(service, reason string, room admitter.Room) {
	forwarder.admission.recordRefusal(forwarder.options.Logger, service, reason, room)
}

func (admission *admission) recordRefusal(logger log.Logger, service, reason string, room admitter.Room) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	if admission.refusals == nil {
		admission.refusals = map[string]int{}
	}
	admission.refusals[reason]++
	now := time.Now()
	if now.Sub(admission.loggedAt) < admissionLogInterval {
		return
	}
	admission.loggedAt = now
	counts := admission.refusals
	admission.refusals = nil
	_ = level.Info(logger).Log("event", "room_refused", "service", service, admitter.ReasonOverloaded, counts[admitter.ReasonOverloaded], admitter.ReasonReserved, counts[admitter.ReasonReserved],
		admitter.ReasonEarly, counts[admitter.ReasonEarly], "slots", room.Slots, "busy", int(room.Busy), "own", room.Own, "known", room.Known) // there is nowhere to report a log line that cannot be written
}

// room returns what this entry knows of the places of a service's group.
func (servers *servers) room(service string) admitter.Room {
	return servers.roomBy(service, servers.screen)
}

func (servers *servers) roomBy(service string, screen screening) admitter.Room {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	candidates := servers.candidates[:0]
	slots, busy, own := 0, 0, 0
	entries := servers.entryCount()
	terms := servers.terms(service, entries)
	for _, state := range servers.byService[service] {
		var verdict screener.Verdict
		if !state.settled() {
			verdict = screen(state, terms)
		}
		if verdict.Tier != screener.Usable || state.server().Slots <= 0 || verdict.Wait > 0 || state.sparedAt(terms.Now) {
			continue // a backend server at its limit on requests has slots that may not be used, as has a rank that is spared
		}
		slots += state.slotLimit()
		busy += state.inFlight + state.peerInFlight
		own += state.inFlight
		candidates = append(candidates, candidate{
			state:    state,
			reported: state.reportAge(terms.Now) <= controllerLoadMaxAge,
		})
	}
	servers.candidates = candidates
	room := admitter.Room{
		Slots:    slots,
		Own:      own,
		Entries:  entries,
		Duration: servers.durations[service],
	}
	if room.Duration == 0 {
		room.Duration = initialDuration
	}
	if len(candidates) > 0 {
		room.RankSlots = slots / len(candidates)
	}
	unreported := servers.unreportedArrivals(candidates, service)
	room.Busy, room.Known = float64(busy)+unreported, reported(candidates)
	return room
}

// reported returns whether the controller has recently reported the loads of more than half of the candidates.
func reported(candidates []candidate) bool {
	count := 0
	for i := range candidates {
		if candidates[i].reported {
			count++
		}
	}
	return 2*count > len(candidates)
}

// brokenSince returns since when no group of a service is open, or the zero time if one is.
func (groups *groups) brokenSince(service string) time.Time {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	since := groups.seenBroken(service)
	if since.IsZero() {
		delete(groups.since, service)
		return since
	}
	if groups.since == nil {
		groups.since = map[string]time.Time{}
	}
	groups.since[service] = since
	return since
}

// seenBroken returns what brokenSince does, and records nothing; the caller holds the mutex.
func (groups *groups) seenBroken(service string) time.Time {
	if !allBroken(groups.brokenByName(service)) {
		return time.Time{}
	}
	if since := groups.since[service]; !since.IsZero() {
		return since
	}
	return time.Now()
}

// rankCounts is how many ranks of a group a controller reaches.
type rankCounts struct {
	// whole is their number while the group was open, last seen at wholeAt, and lost is whether fewer are reached.
	whole   int
	wholeAt time.Time
	lost    bool
	// returnedAt is when all were reached again.
	returnedAt time.Time
}

// recordRanks records how many ranks of a group its controller reaches: the group opens soon after the lost ones have returned.
func (groups *groups) recordRanks(load cranberryward.GroupLoad) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if groups.ranks == nil {
		groups.ranks = map[groupKey]*rankCounts{}
	}
	key := groupKey{load.Service, load.Group}
	counts := groups.ranks[key]
	if counts == nil {
		counts = &rankCounts{}
		groups.ranks[key] = counts
	}
	reached, now := len(load.Counts), time.Now()
	open := !groups.brokenByName(load.Service)[load.Group]
	switch {
	case open && (reached >= counts.whole || now.Sub(counts.wholeAt) > wholeTime):
		*counts = rankCounts{
			whole:   reached,
			wholeAt: now,
		}
	case reached < counts.whole:
		counts.lost, counts.returnedAt = true, time.Time{}
	case counts.lost && counts.returnedAt.IsZero():
		counts.returnedAt = now
	}
}

// hearZone records that a process of an availability zone is heard of; the groups that the loss of a silent one broke open soon after it has returned.
func (groups *groups) hearZone(zone string) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	if groups.zones == nil {
		groups.zones = map[string]time.Time{}
	}
	now := time.Now()
	if before := groups.zones[zone]; !before.IsZero() && now.Sub(before) > groupReportTTL {
		groups.zoneReturnedAt = now
	}
	groups.zones[zone] = now
}

// untilOpen returns how long a request may wait for a group that is about to open, or zero if there is no sign of that.
func (groups *groups) untilOpen(service string) (hold time.Duration) {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	hold = max(reformTime-time.Since(groups.zoneReturnedAt), 0)
	for key, counts := range groups.ranks {
		if key.service == service {
			hold = max(hold, reformTime-time.Since(counts.returnedAt))
		}
	}
	return hold
}
