package forwarder

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log/level"
)

// maxSecondSendLoad is the share of the slots of a service that may be taken for second sends: above it, they would take the place of first ones.
const maxSecondSendLoad = 0.75

// SetSecondSendShare sets the share of requests that may be sent to a second backend server while the first answer is late; zero allows none.
func (forwarder *Forwarder) SetSecondSendShare(share float64) { forwarder.hedger.SetShare(share) }

// keepRoutes forgets what the hedger knows of routes that the deployment no longer has.
func (forwarder *Forwarder) keepRoutes(deployment *cranberryward.Deployment) {
	routes := map[string]bool{}
	for _, route := range deployment.Routes {
		routes[route.Name] = true
	}
	forwarder.hedger.Keep(routes)
}

// pendingSend is a send whose answer is awaited while another one may be.
type pendingSend struct {
	exchange *exchange
	state    *serverState
	begun    time.Time
	cancel   func()
	answered chan answer
}

// begin sends the request on a copy of the exchange, which the send changes without any other one.
func (forwarder *Forwarder) begin(original *exchange, state *serverState, newConnection bool) *pendingSend {
	copied := *original
	ctx, cancel := context.WithCancel(original.ctx)
	callerCtx, cancelCaller := context.WithCancel(original.request.Context())
	copied.ctx, copied.request = ctx, original.request.WithContext(callerCtx)
	copied.arrivals, copied.mayHaveRun, copied.mayHaveRunAt = 0, false, nil
	copied.reservation = forwarder.options.Memory.Reserve() // one is used by one send at a time
	pending := &pendingSend{
		exchange: &copied,
		state:    state,
		begun:    time.Now(),
		cancel: func() {
			cancelCaller() // first, as the end of the send is then no fault of the backend server
			cancel()
		},
		answered: make(chan answer, 1),
	}
	go func() { pending.answered <- forwarder.receiveBeside(&copied, state, newConnection) }()
	return pending
}

// receiveBeside is receive for a send that another one may go on beside: a stream is an answer once a part of its body has arrived, and a panic ends this send only.
func (forwarder *Forwarder) receiveBeside(exchange *exchange, state *serverState, newConnection bool) (received answer) {
	defer func() {
		if cause := recover(); cause != nil {
			_ = level.Error(forwarder.options.Logger).Log("event", "send_panicked", "request", exchange.metadata.ID, "service", exchange.service, "error", fmt.Sprint(cause),
				"stack", string(debug.Stack())) // there is nowhere to report a log line that cannot be written
			exchange.arrivals++
			exchange.recordVerdict(state.server().ID, cranberryward.MayHaveRun)
			received = answer{reason: "internal_error"}
		}
	}()
	received = forwarder.receive(exchange, state, newConnection)
	if received.stream == nil {
		return received
	}
	err := received.stream.AwaitBody()
	if err == nil {
		return received
	}
	received.stream.Abort()
	forwarder.requestLog.recordBreak(exchange, *state.server(), 0, err)
	forwarder.servers.done(state, forwarder.failureOutcome(exchange))
	forwarder.recordBreak(exchange, *state.server(), sendBreak{
		err:      err,
		progress: answerBegun,
	})
	return answer{reason: "stream_broken"}
}

// join adds to an exchange what an ended send of it has shown.
func (exchange *exchange) join(pending *pendingSend) {
	exchange.arrivals += pending.exchange.arrivals
	exchange.sendReservations = append(exchange.sendReservations, pending.exchange.reservation)
	exchange.sentAt = pending.exchange.sentAt
	exchange.mayHaveRun = exchange.mayHaveRun || pending.exchange.mayHaveRun
	if len(pending.exchange.mayHaveRunAt) > 0 && exchange.mayHaveRunAt == nil {
		exchange.mayHaveRunAt = map[string]bool{}
	}
	maps.Copy(exchange.mayHaveRunAt, pending.exchange.mayHaveRunAt)
}

// giveUp ends a send whose answer is not needed: its connection is reset, at which its backend server stops.
func (forwarder *Forwarder) giveUp(exchange *exchange, pending *pendingSend) {
	pending.cancel()
	if exchange.route.Kind == cranberryward.Idempotent {
		forwarder.servers.recordSpeed(pending.state, exchange.route.Name, time.Since(pending.begun)) // it takes at least as long
	}
	exchange.arrivals++
	exchange.recordVerdict(pending.state.server().ID, cranberryward.MayHaveRun)
	go func() {
		if answer := <-pending.answered; answer.stream != nil {
			answer.stream.Abort()
			forwarder.servers.done(answer.state, outcomeAbandoned)
		}
		pending.exchange.reservation.Close()
	}()
}

// receiveFirst sends the request and, if its answer is late and a second send is allowed, to another backend server as well; the first usable answer is returned,
// and the other send is given up.
func (forwarder *Forwarder) receiveFirst(exchange *exchange, state *serverState, permit *permit) answer {
	newConnection := exchange.usePermit(permit)
	if exchange.sends > 1 || !forwarder.mayBeSentTwice(exchange) {
		return forwarder.receive(exchange, state, newConnection)
	}
	route, size := exchange.route, exchange.size()
	delay, allowed := forwarder.hedger.Begin(route.Name, size, route.Objective)
	if !allowed {
		return forwarder.receive(exchange, state, newConnection)
	}
	begun := time.Now()
	first := forwarder.begin(exchange, state, newConnection)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case answer := <-first.answered:
		exchange.join(first)
		if answer.usable() {
			forwarder.hedger.Record(route.Name, size, time.Since(begun), false)
		}
		return answer
	case <-timer.C:
	}
	second, denial := forwarder.beginSecond(exchange)
	if second == nil {
		meter.CountSecondSendDenied(denial)
	}
	answer := forwarder.awaitEither(exchange, first, second)
	if answer.usable() {
		forwarder.hedger.Record(route.Name, size, time.Since(begun), true)
	}
	return answer
}

// mayBeSentTwice returns whether a second send of a request is sound and can help. The ranks of a group execute each pass together: a late first event is one of its
// group, and a rank of another group would read the whole prompt again.
func (forwarder *Forwarder) mayBeSentTwice(exchange *exchange) bool {
	service := forwarder.table.Load().services[exchange.service]
	grouped := service != nil && service.Engine != nil
	return !grouped && exchange.route.Retryable() && exchange.route.AttemptLimit > 1 && len(exchange.probing) == 0
}

// size returns the size of a request that its duration depends on: the tokens of its prompt, or the bytes of its body.
func (exchange *exchange) size() int {
	if exchange.metadata.PromptTokens > 0 {
		return exchange.metadata.PromptTokens
	}
	return len(exchange.body)
}

// usable returns whether the answer goes to the caller.
func (answer answer) usable() bool { return answer.final || answer.stream != nil }

// awaitEither returns the first usable answer of one or two sends and gives the other one up, or the last answer if none is usable.
func (forwarder *Forwarder) awaitEither(exchange *exchange, first, second *pendingSend) answer {
	if second == nil {
		answer := <-first.answered
		exchange.join(first)
		return answer
	}
	var got answer
	won, lost := first, second
	select {
	case got = <-first.answered:
	case got = <-second.answered:
		won, lost = second, first
	}
	exchange.join(won)
	if got.usable() {
		forwarder.giveUp(exchange, lost)
		forwarder.recordSecondSend(exchange, won == second, won.state.server().ID)
		return got
	}
	other := <-lost.answered
	exchange.join(lost)
	if other.complete == nil && !other.usable() {
		other.complete = got.complete
	}
	forwarder.recordSecondSend(exchange, lost == second && other.usable(), lost.state.server().ID)
	return other
}

// recordSecondSend records which of two sends was answered.
func (forwarder *Forwarder) recordSecondSend(exchange *exchange, secondWon bool, server string) {
	meter.CountSecondSend(secondWon)
	_ = level.Info(forwarder.options.Logger).Log("event", "second_send", "request", exchange.metadata.ID, "route", exchange.route.Name, "second_won", secondWon,
		"backend_server", server, "service", exchange.service, "ms", time.Since(exchange.arrived).Milliseconds()) // there is nowhere to report a log line that cannot be written
}

// beginSecond sends the request to a second backend server, or returns why it may not.
func (forwarder *Forwarder) beginSecond(exchange *exchange) (second *pendingSend, denial string) {
	if denial := forwarder.hedger.Late(); denial != "" {
		return nil, denial
	}
	defer func() {
		if second == nil {
			forwarder.hedger.GiveBack()
		}
	}()
	permit := exchange.permit()
	if permit == nil || exchange.ctx.Err() != nil {
		return nil, "no_time_left"
	}
	if forwarder.groups.broken(exchange.service) || len(forwarder.quarantines(exchange)) > 0 {
		return nil, "refused" // a probe is for a request that is sent alone
	}
	spare := forwarder.servers.spare(exchange.service, exchange.tried, maxSecondSendLoad)
	permitted := forwarder.permitted(exchange)
	picked := forwarder.servers.pick(exchange.service, exchange.tried, func(server *cranberryward.BackendServer) bool {
		return spare[server.ID] && permitted(server)
	}, true)
	if picked.state == nil {
		return nil, "no_room"
	}
	if denied := forwarder.denyRetry(exchange); denied != "" {
		forwarder.servers.done(picked.state, outcomeAbandoned)
		return nil, denied
	}
	exchange.choose(picked)
	return forwarder.begin(exchange, picked.state, exchange.usePermit(permit)), ""
}

// spare returns the IDs of the backend servers that may take a further send of a request: usable ones that were not tried and have a free slot, or none if more than the
// given share of the service's slots are taken.
func (servers *servers) spare(service string, tried map[string]bool, maxLoad float64) map[string]bool {
	entries := servers.entryCount()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	terms := servers.terms(service, entries)
	busy, slots := 0, 0
	spare := map[string]bool{}
	for _, state := range servers.byService[service] {
		if verdict := servers.screen(state, terms); verdict.Tier != screener.Usable || verdict.Reason != screener.Free || servers.avoidance(state, terms.Now) != screener.Free {
			continue
		}
		inFlight := state.inFlight + state.peerInFlight
		busy, slots = busy+inFlight, slots+state.slotLimit()
		if !tried[state.server().ID] && inFlight < state.slotLimit() {
			spare[state.server().ID] = true
		}
	}
	if float64(busy) > maxLoad*float64(slots) {
		return nil
	}
	return spare
}
