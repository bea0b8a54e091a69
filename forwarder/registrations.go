package forwarder

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/screener"
)

// reading is when the store was read for a view, and when for the one before it, zero if that is not known.
type reading struct{ before, at time.Time }

// update replaces the registered backend servers by those of a view.
func (servers *servers) update(view cranberryward.View) { servers.updateRead(view, reading{}) }

// updateRead replaces the registered backend servers by those of a view that was read at the given times; one that is missing is kept for its time as a last resort and
// until its requests have ended.
func (servers *servers) updateRead(view cranberryward.View, reading reading) {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	now := time.Now()
	if servers.states == nil {
		servers.states = map[string]*serverState{}
	}
	servers.evacuated = view.Evacuated
	servers.departed.beginView(view, now)
	for id, server := range view.Servers {
		state := servers.states[id]
		started := false
		if state == nil || !state.sameStart(server) { // one that started before the first request is registered as cold if it still is
			started = servers.used
			state = &serverState{}
			state.registered.Store(&server)
			servers.states[id] = state
		}
		servers.register(state, server, started, servers.terms(server.Service, entries))
	}
	for id, state := range servers.states {
		if _, ok := view.Servers[id]; ok {
			continue
		}
		if !state.screen.Missing() {
			servers.departed.record(*state.server(), state.screen.Leaving(), now)
			state.screen.Miss(screener.MissingUntil(reading.before, reading.at, now, servers.drain))
		}
		if state.screen.Barred(now) && state.inFlight == 0 {
			delete(servers.states, id)
		}
	}
	servers.byService = map[string][]*serverState{}
	for _, state := range servers.states {
		_, evacuated := servers.evacuated[state.server().Zone]
		terms := servers.terms(state.server().Service, entries)
		state.screen.Evacuate(evacuated, terms)
		servers.note(state, state.screen.Screen(terms))
		servers.byService[state.server().Service] = append(servers.byService[state.server().Service], state)
	}
}

// sameStart returns whether a registration is of the process that the state is of.
func (serverState *serverState) sameStart(server cranberryward.BackendServer) bool {
	return serverState.server().Address == server.Address && !differ(serverState.server().Born, server.Born)
}

// register applies a registration; started is whether it is of a process that this entry has not seen before, although it was in operation.
func (servers *servers) register(state *serverState, server cranberryward.BackendServer, started bool, terms screener.Terms) {
	known, announced := servers.departed.known(server)
	if announced {
		state.screen.Leave()
	}
	if server.Born == 0 {
		server.Born = state.server().Born
	}
	state.registered.Store(&server)
	state.zonePenalty = 0
	if server.Zone != servers.zone {
		state.zonePenalty = otherZonePenalty
	}
	var staleUntil time.Time
	if server.Leaving {
		servers.departed.record(server, announced || state.screen.Leaving(), terms.Now)
	} else {
		staleUntil = servers.departed.staleUntil(server)
	}
	// A registration that returns after an outage of the store is of a process that has run all the while.
	state.screen.Register(server, started && !known, staleUntil, terms)
}

// terms returns what applies to the backend servers of a service now; the caller holds the mutex.
func (servers *servers) terms(service string, entries int) screener.Terms {
	terms := screener.Terms{
		Now:     time.Now(),
		Entries: entries,
	}
	if servers.place != nil {
		terms.Place = servers.place()
	}
	if configured := servers.services[service]; configured != nil {
		terms.ColdRate = screener.ColdRate(configured.ColdRate, servers.coldOvershoot, servers.coldSlack)
		terms.ColdTime = configured.ColdTime
	}
	return terms
}

// setServices replaces the configured services.
func (servers *servers) setServices(services map[string]*cranberryward.BackendService) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.services = services
}

// setBounds replaces the time for which backend servers serve on, and the bounds on the requests to cold ones.
func (servers *servers) setBounds(drain time.Duration, coldOvershoot, coldSlack float64) {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.drain, servers.coldOvershoot, servers.coldSlack = drain, coldOvershoot, coldSlack
}
