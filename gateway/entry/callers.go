package entry

import (
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/acceptor"
)

const (
	// minHeaderBytes is the least limit on headers.
	minHeaderBytes = 64 << 10
	// unusedTimeout is how long a stopping process waits for a request on a connection that has brought none or part of one; callers send theirs at once.
	unusedTimeout = 700 * time.Millisecond
	// stopInterval is how often a stopping process checks whether connections are open or requests in flight.
	stopInterval = 20 * time.Millisecond
)

// callerListener serves callers' connections, each under the limits in force.
type callerListener struct {
	listener net.Listener
	acceptor *acceptor.Acceptor
	server   *http.Server
	// open is the number of open connections.
	open atomic.Int64
}

func newCallerListener(listener net.Listener, handler http.Handler, acceptor *acceptor.Acceptor) *callerListener {
	callerListener := &callerListener{
		listener: listener,
		acceptor: acceptor,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: defaultHeaderTimeout, // the acceptor applies the limits in force in place of these three
			IdleTimeout:       defaultIdleTimeout,
			MaxHeaderBytes:    math.MaxInt32,
		},
	}
	acceptor.Bound(callerListener.server)
	callerListener.server.ConnState = callerListener.countConnection
	return callerListener
}

// run serves connections until the listener is closed.
func (callerListener *callerListener) run() {
	_ = callerListener.server.Serve(callerListener.acceptor.Listen(callerListener.listener)) // returns when the listener is closed
}

// connectionLimits returns the limits on connections that follow from those in force.
func connectionLimits(limits func() cranberryward.RequestLimits) func() acceptor.Limits {
	return func() acceptor.Limits {
		limits := limits()
		return acceptor.Limits{
			HeaderBytes:   max(limits.HeaderBytes, minHeaderBytes),
			HeaderTimeout: orDefault(limits.HeaderTimeout, defaultHeaderTimeout),
			IdleTimeout:   orDefault(limits.IdleTimeout, defaultIdleTimeout),
		}
	}
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
}

// disableKeepAlives closes the idle connections, and every other one after its response.
func (callerListener *callerListener) disableKeepAlives() {
	callerListener.server.SetKeepAlivesEnabled(false)
}

// stop closes the listener and the idle connections, and the others once the requests on them are answered, at the given time at the latest; net/http's own
// shutdown would drop a request that is being read when it begins.
func (callerListener *callerListener) stop(by time.Time, inFlight func() int64) {
	_ = callerListener.listener.Close() // the process ends next
	callerListener.disableKeepAlives()
	unusedUntil := time.Now().Add(unusedTimeout)
	for callerListener.open.Load() > 0 && time.Now().Before(by) {
		if time.Now().After(unusedUntil) && inFlight() == 0 {
			break
		}
		time.Sleep(stopInterval)
	}
	_ = callerListener.server.Close() // the process ends next
}

// countConnection counts the open connections.
func (callerListener *callerListener) countConnection(connection net.Conn, state http.ConnState) {
	callerListener.acceptor.SetState(connection, state)
	switch state {
	case http.StateNew:
		callerListener.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		callerListener.open.Add(-1)
	}
}
