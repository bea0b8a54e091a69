package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cranberryward/cranberryward/acceptor"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/stopper"
	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Limits returns the limits on the connections of a server.
func Limits() acceptor.Limits {
	return acceptor.Limits{
		HeaderBytes:   maxHeaderBytes,
		HeaderTimeout: readHeaderTimeout,
		IdleTimeout:   idleTimeout,
	}
}

// Server is an HTTP server on one address.
type Server struct {
	server   *http.Server
	listener net.Listener
	// cancel ends the contexts of the requests in progress.
	cancel context.CancelFunc
}

// NewBounded returns a server that listens on the address and bounds its connections; a body that its handler does not begin to read at once ends the connection.
func NewBounded(address string, handler http.Handler, acceptor *acceptor.Acceptor) (*Server, error) {
	server, err := New(address, boundUnreadBodies(handler))
	if err != nil {
		return nil, err
	}
	acceptor.Bound(server.server)
	server.listener = acceptor.Listen(server.listener)
	return server, nil
}

// boundUnreadBodies bounds the time for which net/http reads a body that the handler leaves unread; a handler that reads it sets a deadline of its own.
func boundUnreadBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Body != nil && request.Body != http.NoBody {
			_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(reserver.LingerTime)) // an error means that the connection has none, as in a test
		}
		handler.ServeHTTP(writer, request)
	})
}

// New returns a server that listens on the address.
func New(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener: listener,
		cancel:   cancel,
		server: &http.Server{
			Handler:           handler,
			BaseContext:       func(net.Listener) context.Context { return ctx },
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Start serves requests in the background.
func (server *Server) Start() {
	go func() { _ = server.server.Serve(server.listener) }()
}

// Stop closes the listener and waits for requests in progress until the context ends, shortly before which it ends their contexts, so that they are answered; it does
// nothing for a server that could not be created.
func (server *Server) Stop(ctx context.Context) error {
	if server == nil {
		return nil
	}
	defer func() { _ = server.listener.Close() }() // open still if the server was not started
	defer server.cancel()
	if end, limited := ctx.Deadline(); limited {
		defer time.AfterFunc(time.Until(stopper.AnswerAt(end)), server.cancel).Stop()
	}
	err := server.server.Shutdown(ctx)
	if err != nil {
		_ = server.server.Close()
	}
	return err
}

// Kill closes the listener and all connections immediately; it does nothing for a server that could not be created.
func (server *Server) Kill() {
	if server == nil {
		return
	}
	server.cancel()
	_ = server.server.Close()
	_ = server.listener.Close() // open still if the server was not started
}
