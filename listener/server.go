package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Server is an HTTP server on one address.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// New returns a server that listens on the address.
func New(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Server{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
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

// Stop closes the listener, waits for requests in progress until the context ends, and then closes the remaining connections; it does nothing for a server that could
// not be created.
func (server *Server) Stop(ctx context.Context) error {
	if server == nil {
		return nil
	}
	defer func() { _ = server.listener.Close() }() // open still if the server was not started
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
	_ = server.server.Close()
	_ = server.listener.Close() // open still if the server was not started
}
