package forwarder

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log/level"
)

const (
	// maxRetrySpread bounds the time over which the return of callers is spread that are refused until a known time.
	maxRetrySpread = time.Second
	// evacuatedRetryAfter is the Retry-After where operators have evacuated all availability zones that could serve a request.
	evacuatedRetryAfter = 2 * time.Second
)

// barredCounts counts the backend servers that may not be used by the reasons that callers and operators are told.
type barredCounts struct{ leaving, evacuated, away int }

// exclude counts a backend server that may not be used now.
func (picked *picked) exclude(verdict screener.Verdict) {
	if verdict.Tier != screener.Barred {
		if picked.wait == 0 || verdict.Wait < picked.wait {
			picked.wait, picked.paced = verdict.Wait, verdict.Reason
		}
		return
	}
	switch verdict.Reason {
	case screener.Leaving, screener.Draining:
		picked.barred.leaving++
	case screener.Evacuated:
		picked.barred.evacuated++
	case screener.Away:
		picked.barred.away++
		if picked.until.IsZero() || verdict.Until.Before(picked.until) {
			picked.until = verdict.Until
		}
	}
}

// denial returns why no backend server was chosen, and when one is expected to be usable.
func (picked picked) denial() denial {
	switch {
	case picked.wait > 0 && picked.paced == screener.Limit:
		return denial{
			reason:     "server_limit",
			retryAfter: limitRetryAfter(picked.wait),
		}
	case picked.wait > 0:
		return denial{
			reason:     "servers_cold",
			retryAfter: limitRetryAfter(picked.wait),
		}
	case picked.barred.away > 0:
		wait := max(time.Until(picked.until), time.Millisecond)
		return denial{
			reason:     "servers_away",
			retryAfter: wait + rand.N(min(wait, maxRetrySpread)+time.Millisecond),
		}
	case picked.barred.evacuated > 0:
		return denial{
			reason:     "zone_evacuated",
			retryAfter: evacuatedRetryAfter + rand.N(maxRetrySpread),
		}
	case picked.barred.leaving > 0:
		return newDenial("servers_leaving")
	default:
		return newDenial("no_backend_server")
	}
}

// permitted returns a function that excludes the backend servers to which a request must not go, whatever their state is.
func (forwarder *Forwarder) permitted(exchange *exchange) func(server *cranberryward.BackendServer) bool {
	open := forwarder.groups.openOnly(exchange.service, func() map[string]string { return forwarder.servers.groupsByID(exchange.service) })
	homes := homesOf(exchange.route, exchange.workspace)
	anywhere := homes.Anywhere()
	return func(server *cranberryward.BackendServer) bool {
		return (anywhere || homes.Permit(forwarder.region(server.Zone))) && open(server)
	}
}

// homesOf returns the home regions of a route and a workspace, which may be nil.
func homesOf(route *cranberryward.Route, workspace *cranberryward.Workspace) (homes screener.Homes) {
	if route != nil {
		homes[0] = route.Homes
	}
	if workspace != nil {
		homes[1] = workspace.Homes
	}
	return homes
}

// screening returns whether a backend server may be sent to.
type screening func(state *serverState, terms screener.Terms) screener.Verdict

// peek returns what screen would, and changes nothing.
func peek(state *serverState, terms screener.Terms) screener.Verdict {
	screen := state.screen // a copy, as an answer draws the time of a first permit
	return screen.Screen(terms)
}

// screen returns whether a backend server may be sent to, and logs it if a lasting reason has begun or ended; the caller holds the mutex.
func (servers *servers) screen(state *serverState, terms screener.Terms) screener.Verdict {
	verdict := state.screen.Screen(terms)
	servers.note(state, verdict)
	return verdict
}

// note logs once that a lasting reason against a backend server has begun or ended.
func (servers *servers) note(state *serverState, verdict screener.Verdict) {
	reason := verdict.Reason
	if !reason.Lasting() {
		reason = screener.Free
	}
	if reason == state.noted {
		return
	}
	before := state.noted
	state.noted = reason
	meter.CountScreening(string(reason))
	if servers.logger == nil {
		return
	}
	details := []any{"event", "server_usable_again", "backend_server", state.server().ID, "service", state.server().Service, "zone", state.server().Zone, "before", before}
	if reason != screener.Free {
		details[1] = "server_excluded"
		details = append(details, "reason", reason)
	}
	if !verdict.Until.IsZero() {
		details = append(details, "remaining_ms", time.Until(verdict.Until).Milliseconds())
	}
	_ = level.Info(servers.logger).Log(details...)
}

// mayProceed returns whether a backend server that was chosen may still be sent to, as the connection to it may have taken a while.
func (servers *servers) mayProceed(state *serverState) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return !state.screen.Barred(time.Now())
}

// observe records what a backend server says of itself in an answer to a request that was sent at the given time, also where that answer is not handed on.
func (forwarder *Forwarder) observe(state *serverState, response *connector.Response, metadata cranberryward.ResponseMetadata, sentAt time.Time) {
	forwarder.servers.recordLoad(state, metadata.Load)
	forwarder.recordRequestLimit(state, metadata.RequestLimit, sentAt)
	forwarder.servers.recordAnnouncements(state, metadata)
	if metadata.Unreadable != "" && forwarder.servers.firstUnreadable(state) {
		_ = level.Warn(forwarder.options.Logger).Log("event", "stay_away_unreadable", "backend_server", state.server().ID, "service", state.server().Service, "status", response.HTTP().StatusCode, "value", metadata.Unreadable)
	}
}

// recordAnnouncements records that a backend server will end, or that it asks for a time to stay away.
func (servers *servers) recordAnnouncements(state *serverState, metadata cranberryward.ResponseMetadata) {
	if !metadata.Leaving && metadata.StayAway <= 0 {
		return
	}
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	terms := servers.terms(state.server().Service, entries)
	if metadata.Leaving && state.screen.Leave() {
		servers.departed.announce(*state.server(), terms.Now)
	}
	state.screen.StayAway(metadata.StayAway, terms.Now)
	servers.note(state, state.screen.Screen(terms))
}

// firstUnreadable returns whether this is the first time that a header of the backend server could not be read.
func (servers *servers) firstUnreadable(state *serverState) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	first := !state.unreadable
	state.unreadable = true
	return first
}

// noteDown notes that the process of a backend server has ended, so that the one that follows is cold.
func (servers *servers) noteDown(server cranberryward.BackendServer) {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if state := servers.states[server.ID]; state != nil && state.sameStart(server) {
		state.screen.Start(servers.terms(server.Service, entries))
	}
}

// Explain returns for each backend server of a service, by ID, whether a request of a route and a workspace, both of which may be empty, could be sent there now.
func (forwarder *Forwarder) Explain(service, route, workspace string) []Candidate {
	candidates := forwarder.explain(service, forwarder.homesByName(route, workspace))
	listed := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		listed = append(listed, candidate.Candidate)
	}
	return listed
}

func (forwarder *Forwarder) explain(service string, homes screener.Homes) []explained {
	open := forwarder.groups.openOnly(service, func() map[string]string { return forwarder.servers.groupsByID(service) })
	broken := forwarder.groups.broken(service)
	candidates := forwarder.servers.explain(service)
	for i := range candidates {
		candidate := &candidates[i]
		switch {
		case !homes.Permit(forwarder.region(candidate.Zone)):
			candidate.Reason, candidate.Until = screener.Home, time.Time{}
		case candidate.Reason == screener.Free && (broken || !open(&candidate.server)):
			candidate.Reason = screener.Broken
		}
	}
	return candidates
}

// explained is a candidate with its registration.
type explained struct {
	Candidate
	server cranberryward.BackendServer
	// inFlight counts the requests of all entries, and slots is the limit on them.
	inFlight, slots int
}

// explain returns the backend servers of a service, sorted by ID; it changes nothing.
func (servers *servers) explain(service string) []explained {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	terms := servers.terms(service, entries)
	var candidates []explained
	for _, state := range servers.byService[service] {
		verdict := peek(state, terms)
		if verdict.Reason == screener.Free {
			verdict.Reason = servers.avoidance(state, terms.Now)
		}
		candidates = append(candidates, explained{
			Candidate: Candidate{
				Server: state.server().ID,
				Zone:   state.server().Zone,
				Reason: verdict.Reason,
				Until:  verdict.Until,
			},
			server:   *state.server(),
			inFlight: state.inFlight + state.peerInFlight,
			slots:    state.slotLimit(),
		})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Server < candidates[j].Server })
	return candidates
}

// homesByName returns the home regions of a route and a workspace of the current configuration.
func (forwarder *Forwarder) homesByName(route, workspace string) screener.Homes {
	table := forwarder.table.Load()
	if table == nil {
		return screener.Homes{}
	}
	var foundRoute *cranberryward.Route
	var foundWorkspace *cranberryward.Workspace
	for i := range table.deployment.Routes {
		if table.deployment.Routes[i].Name == route {
			foundRoute = &table.deployment.Routes[i]
		}
	}
	for i := range table.deployment.Workspaces {
		if table.deployment.Workspaces[i].Name == workspace {
			foundWorkspace = &table.deployment.Workspaces[i]
		}
	}
	return homesOf(foundRoute, foundWorkspace)
}

// CountScreened returns the number of backend servers that may be sent nothing, or less than their share, by reason.
func (forwarder *Forwarder) CountScreened() map[screener.Reason]int {
	return forwarder.servers.countScreened()
}

func (servers *servers) countScreened() map[screener.Reason]int {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	counts := map[screener.Reason]int{}
	for service, states := range servers.byService {
		terms := servers.terms(service, entries)
		for _, state := range states {
			counts[peek(state, terms).Reason]++
		}
	}
	return counts
}
