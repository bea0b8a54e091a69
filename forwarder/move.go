package forwarder

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// moveInterval is the least time after which a stream that has stayed at a rank to be spared is considered again.
const moveInterval = 200 * time.Millisecond

// errMoved means that a stream goes on at another rank.
var errMoved = eris.New("the stream goes on at another rank")

// move is the rank at which a stream goes on.
type move struct {
	state  *serverState
	permit *permit
}

// nextRank returns the rank at which a stream goes on whose own is to be spared, or nil if it stays: each request at a spared rank holds up the streams of all others.
// It stays if it may not be resumed, has moved before, no other rank has room or few retries are left; else it could be lost for the sake of others.
func (forwarder *Forwarder) nextRank(exchange *exchange, relay *relay, state *serverState) *move {
	if !exchange.route.Resumable || exchange.moved || !relay.headerSent || !relay.sequence.resumable() || !forwarder.servers.isSpared(state) {
		return nil
	}
	now := time.Now()
	if now.Sub(exchange.stayedAt) < moveInterval {
		return nil
	}
	exchange.stayedAt = now
	permit := exchange.permit()
	if permit == nil || len(exchange.probing) > 0 || len(forwarder.quarantines(exchange)) > 0 || forwarder.groups.broken(exchange.service) ||
		!forwarder.budget.isAmple(exchange.service) {
		return nil
	}
	spare, permitted := forwarder.servers.spare(exchange.service, exchange.tried, 1), forwarder.permitted(exchange)
	picked := forwarder.servers.pick(exchange.service, exchange.tried, func(server *cranberryward.BackendServer) bool {
		return spare[server.ID] && exchange.mayRunAt(server.ID) && permitted(server)
	}, exchange.route.Retryable())
	if picked.state == nil {
		return nil
	}
	if denied := forwarder.denyRetry(exchange); denied != "" {
		forwarder.servers.done(picked.state, outcomeAbandoned)
		return nil
	}
	exchange.moved = true
	exchange.choose(picked)
	return &move{
		state:  picked.state,
		permit: permit,
	}
}

// moveStream ends a stream at its rank, which stops as its connection is reset, and has the next rank continue it, or any other one if that does not.
func (forwarder *Forwarder) moveStream(exchange *exchange, relay *relay, state *serverState, response *connector.Response, next *move) (
	*serverState, *connector.Response) {
	response.Abort()
	forwarder.servers.done(state, outcomeAbandoned)
	forwarder.recordBreak(exchange, *state.server(), relay.breakOf(exchange, errMoved))
	meter.CountMovedStream()
	_ = level.Info(forwarder.options.Logger).Log("event", "stream_moved", "request", exchange.metadata.ID, "service", exchange.service,
		"from", state.server().ID, "to", next.state.server().ID, "events", relay.events) // there is nowhere to report a log line that cannot be written
	if resumed := forwarder.resumeAt(exchange, relay, next.state, next.permit); resumed != nil {
		return next.state, resumed
	}
	return forwarder.resume(exchange, relay, time.Now())
}

// isSpared returns whether a rank is to be spared.
func (servers *servers) isSpared(state *serverState) bool {
	if !state.spared.Load() { // asked for each event
		return false
	}
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return state.sparedAt(time.Now())
}
