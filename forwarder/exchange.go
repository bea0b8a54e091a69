package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/quarantiner"
)

// exchange is one client attempt on its way, which only the entry that read it sends on.
type exchange struct {
	request   *http.Request
	facts     cranberryward.RequestFacts
	route     *cranberryward.Route
	workspace *cranberryward.Workspace
	service   string
	body      []byte
	arrived   time.Time
	// allowance is how long the request may take in all, and deadline the moment at which that ends.
	allowance time.Duration
	deadline  time.Time
	ctx       context.Context
	tried     map[string]bool
	sends     int
	// mayHaveRun is whether some backend server may have run the request, which forbids refusing it as not run.
	mayHaveRun bool
	// ranAt are the backend servers that may have run it, of which the route allows only so many.
	ranAt map[string]bool
	// likeness is the fingerprint of all requests like this one, computed when it is first needed.
	likeness string
}

// ticket allows one send; it comes only from exchange.ticket, so a request that may have run and must not run twice has no second one.
type ticket struct{ fresh bool }

// ticket returns the permission for one more send, and none when the request could run twice, was sent often enough or has no time left.
func (exchange *exchange) ticket() *ticket {
	if exchange.mayHaveRun && !exchange.route.Repeatable() {
		return nil
	}
	if exchange.sends >= sendLimit || time.Until(exchange.deadline) < shortestSend {
		return nil
	}
	return &ticket{fresh: !exchange.route.Repeatable()}
}

// use takes the ticket's send.
func (exchange *exchange) use(ticket *ticket) (fresh bool) {
	exchange.sends++
	return ticket.fresh
}

// learn takes over the verdict of a send to a backend server.
func (exchange *exchange) learn(server string, verdict cranberryward.Verdict) {
	if verdict == cranberryward.NotRun {
		return
	}
	exchange.mayHaveRun = true
	if exchange.ranAt == nil {
		exchange.ranAt = map[string]bool{}
	}
	exchange.ranAt[server] = true
}

// mayRunAt returns whether the route lets a backend server run the request beside those that may have.
func (exchange *exchange) mayRunAt(server string) bool {
	return exchange.ranAt[server] || len(exchange.ranAt) < max(exchange.route.AttemptLimit, 1)
}

// fingerprint returns what all requests of the workspace that are like this one have in common.
func (exchange *exchange) fingerprint() string {
	if exchange.likeness == "" {
		workspace := ""
		if exchange.workspace != nil {
			workspace = exchange.workspace.Name
		}
		exchange.likeness = quarantiner.Fingerprint(workspace, exchange.request.Method, exchange.request.Host, exchange.request.URL.RequestURI(), string(exchange.body))
	}
	return exchange.likeness
}
