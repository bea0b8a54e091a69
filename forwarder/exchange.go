package forwarder

import (
	"context"
	"net/http"
	"time"
	"unsafe"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/admitter"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/reserver"
)

// exchange is one client attempt and the state of its sends; only the entry that received it sends it to backend servers.
type exchange struct {
	request   *http.Request
	metadata  cranberryward.RequestMetadata
	route     *cranberryward.Route
	workspace *cranberryward.Workspace
	service   string
	body      []byte
	// bodyRead is whether the body was read to its end, and reservation accounts for what the exchange holds.
	bodyRead    bool
	reservation *reserver.Reservation
	// sendReservations account for the answers of sends that went on beside another one.
	sendReservations []*reserver.Reservation
	arrived          time.Time
	// timeout bounds the whole time of the request from its arrival, and deadline is when it ends.
	timeout  time.Duration
	deadline time.Time
	ctx      context.Context
	tried    map[string]bool
	sends    int
	// sentAt is when the last send began.
	sentAt time.Time
	// arrivals counts the sends that may have reached a backend server; each further one takes from the budget of retries.
	arrivals int
	// moved is whether the stream has left a rank that was to be spared.
	moved bool
	// stayedAt is when it was last considered whether it should.
	stayedAt time.Time
	// admitted is whether the request counts as in flight at the gate of its service.
	admitted bool
	// attempt is which attempt of its caller it is, once attemptKnown is set.
	attempt      admitter.Attempt
	attemptKnown bool
	// repeated is whether the current send is not the first to its backend server.
	repeated bool
	// alternatives is whether the backend server of the current send was not the only usable one.
	alternatives bool
	// mayHaveRun is set once a backend server may have run the request, which must then not be refused as not run.
	mayHaveRun bool
	// mayHaveRunAt holds the ids of the backend servers that may have run the request; the route limits their number.
	mayHaveRunAt map[string]bool
	// probing holds the parts whose quarantine has ended and that this request probes.
	probing map[cranberryward.PromptPart]bool
	// cachedFingerprint is computed by the first call of fingerprint.
	cachedFingerprint string
}

// permit allows one send; only exchange.permit creates permits, so that a request that may have run and must not run twice gets no further one.
type permit struct{ newConnection bool }

// permit returns a permit for one more send, or nil if the request could run twice, was sent maxSends times or has too little time left.
func (exchange *exchange) permit() *permit {
	if exchange.mayHaveRun && !exchange.route.Retryable() {
		return nil
	}
	if exchange.sends >= maxSends || time.Until(exchange.deadline) < minSendTime {
		return nil
	}
	return &permit{newConnection: !exchange.route.Retryable()}
}

// choose sets the backend server of the next send.
func (exchange *exchange) choose(picked picked) {
	id := picked.state.server().ID
	exchange.repeated, exchange.alternatives = exchange.tried[id], picked.alternatives
	exchange.tried[id] = true
}

// usePermit counts a send and returns whether it needs a new connection: on one that the request was sent on before, an answer to that send would pass for one to
// this.
func (exchange *exchange) usePermit(permit *permit) (newConnection bool) {
	exchange.sends++
	exchange.sentAt = time.Now()
	return permit.newConnection || exchange.repeated
}

// recordVerdict records whether a backend server may have run the request.
func (exchange *exchange) recordVerdict(server string, verdict cranberryward.Verdict) {
	if verdict == cranberryward.NotRun {
		return
	}
	exchange.mayHaveRun = true
	if exchange.mayHaveRunAt == nil {
		exchange.mayHaveRunAt = map[string]bool{}
	}
	exchange.mayHaveRunAt[server] = true
}

// mayRunAt returns whether the attempt limit of the route allows the request to run at a backend server.
func (exchange *exchange) mayRunAt(server string) bool {
	return exchange.mayHaveRunAt[server] || len(exchange.mayHaveRunAt) < max(exchange.route.AttemptLimit, 1)
}

// wholeRequest returns the part that this request shares with equal requests only.
func (exchange *exchange) wholeRequest() cranberryward.PromptPart {
	return cranberryward.WholeRequest(exchange.service, exchange.fingerprint())
}

// fingerprint returns a hash that equal requests of the workspace share.
func (exchange *exchange) fingerprint() string {
	if exchange.cachedFingerprint == "" {
		workspace := ""
		if exchange.workspace != nil {
			workspace = exchange.workspace.Name
		}
		exchange.cachedFingerprint = quarantiner.Fingerprint(workspace, exchange.request.Method, exchange.request.Host, exchange.request.URL.RequestURI(), unsafe.String(unsafe.SliceData(exchange.body), len(exchange.body))) // no copy: a body may be long
	}
	return exchange.cachedFingerprint
}
