package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/reserver"
	"github.com/go-kit/log"
)

const (
	// connectionBytes is the memory of a connection with a request: stacks, buffers and the request's own structures.
	connectionBytes = 24 << 10
	// connectionMemoryDivisor is the divisor of the memory limit that gives the memory for connections.
	connectionMemoryDivisor = 8
	// keptDescriptors is the number of descriptors that callers cannot take: files, the store, peers and readiness checks.
	keptDescriptors = 264
	// minConnections is the least limit on connections.
	minConnections = 16
)

// Acceptor bounds the connections of callers: where there are too many, the one that has waited longest for a request gives way, first those of the
// address with the most.
type Acceptor struct {
	memory   *reserver.Reserver
	limit    int
	limits   func() Limits
	refusals refusals

	mutex     sync.Mutex
	open      map[*connection]struct{}
	addresses map[string]int
}

// New returns an acceptor for at most so many connections, each under the limits in force, which calls count with the reason for each one that is closed for the sake
// of others: gave_way and too_many because of their number, no_memory for a head, not_read for an answer.
func New(memory *reserver.Reserver, limit int, limits func() Limits, count func(reason string), logger log.Logger) *Acceptor {
	return &Acceptor{
		memory: memory,
		limit:  limit,
		limits: limits,
		refusals: refusals{
			count:    count,
			logger:   logger,
			loggedAt: map[string]time.Time{},
			unlogged: map[string]int{},
		},
		open:      map[*connection]struct{}{},
		addresses: map[string]int{},
	}
}

// Limit returns how many connections of callers a process may have open on a machine with so many bytes of memory: each has memory, and a descriptor of its own
// and one to a backend server; without descriptors, only memory limits them.
func Limit(memory int64, descriptors int) int {
	limit := int(memory/connectionMemoryDivisor) / connectionBytes
	if descriptors > 0 {
		limit = min(limit, (descriptors-keptDescriptors)/2)
	}
	return max(limit, minConnections)
}

// Admit returns an accepted connection under the limit, or closes it and returns nil if none gives way to it.
func (acceptor *Acceptor) Admit(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		_ = accepted.Close() // no limits could be applied to it
		return nil
	}
	connection := newConnection(acceptor, tcp)
	admitted, gaveWay := acceptor.add(connection)
	if gaveWay != nil {
		acceptor.refusals.record("gave_way", gaveWay.address)
	}
	if admitted {
		return connection
	}
	acceptor.memory.Shed()
	acceptor.refusals.record("too_many", connection.address)
	_ = tcp.Close() // it has no request yet
	return nil
}

// add counts a connection, unless there are too many and none gives way, and returns the one that does.
func (acceptor *Acceptor) add(added *connection) (admitted bool, gaveWay *connection) {
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if len(acceptor.open) >= acceptor.limit {
		gaveWay = acceptor.idlest()
		if gaveWay == nil {
			return false, nil
		}
		acceptor.remove(gaveWay)
		gaveWay.giveWay()
	}
	acceptor.insert(added)
	return true, gaveWay
}

// insert and remove change the open connections; the caller holds the mutex.
func (acceptor *Acceptor) insert(connection *connection) {
	acceptor.open[connection] = struct{}{}
	acceptor.addresses[connection.address]++
}

func (acceptor *Acceptor) remove(connection *connection) {
	if _, open := acceptor.open[connection]; !open {
		return
	}
	delete(acceptor.open, connection)
	acceptor.addresses[connection.address]--
	if acceptor.addresses[connection.address] == 0 {
		delete(acceptor.addresses, connection.address)
	}
}

// idlest returns the connection that gives way first, or nil if all have requests; the caller holds the mutex.
func (acceptor *Acceptor) idlest() (idlest *connection) {
	most := 0
	for connection := range acceptor.open {
		if connection.handling {
			continue
		}
		count := acceptor.addresses[connection.address]
		if idlest == nil || count > most || count == most && connection.since.Before(idlest.since) {
			idlest, most = connection, count
		}
	}
	return idlest
}

// SetState records that a connection waits for a request, or that it is closed.
func (acceptor *Acceptor) SetState(netConnection net.Conn, state http.ConnState) {
	connection, ok := netConnection.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		connection.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		connection.releaseHead()
		acceptor.mutex.Lock()
		defer acceptor.mutex.Unlock()
		acceptor.remove(connection)
	}
}

// connectionKey is the key of a connection in the contexts of its requests.
type connectionKey struct{}

// WithConnection adds a connection to the context of its requests.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// Handle returns a handler that tells each connection when its requests begin, and when a response breaks off.
func (acceptor *Acceptor) Handle(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, ok := request.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		connection.beginHandling()
		ended := false
		defer func() {
			if !ended && !request.ProtoAtLeast(1, 1) {
				connection.resetOnClose()
			}
		}()
		handler.ServeHTTP(writer, request)
		ended = true
	})
}

// Bound lets a server, which has to listen by Listen, serve the connections under the limit.
func (acceptor *Acceptor) Bound(server *http.Server) {
	server.Handler = acceptor.Handle(server.Handler)
	server.ConnState = acceptor.SetState
	server.ConnContext = WithConnection
}

// Listen returns a listener that accepts the connections of another one under the limit.
func (acceptor *Acceptor) Listen(accepting net.Listener) net.Listener {
	return &listener{
		Listener: accepting,
		acceptor: acceptor,
	}
}

type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection that is admitted.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			time.Sleep(10 * time.Millisecond) // accept failed temporarily, for example for lack of file descriptors
			continue
		}
		if connection := listener.acceptor.Admit(accepted); connection != nil {
			return connection, nil
		}
	}
}
