package caller

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Server serves the calls of peers that know the shared key.
type Server struct {
	key         string
	listener    net.Listener
	rpc         *rpc.Server
	mutex       sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	received    atomic.Int64
	sent        atomic.Int64
}

// NewServer returns a server that listens on the address.
func NewServer(address, key string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Server{
		key:         key,
		listener:    listener,
		rpc:         rpc.NewServer(),
		connections: map[net.Conn]bool{},
	}, nil
}

// Register adds the methods of a receiver under a name.
func (server *Server) Register(name string, receiver any) error {
	return eris.Wrapf(server.rpc.RegisterName(name, receiver), "register %s", name)
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Traffic returns the bytes received and sent since the start.
func (server *Server) Traffic() (received, sent int64) {
	return server.received.Load(), server.sent.Load()
}

// Start accepts connections in the background.
func (server *Server) Start() {
	go func() {
		for {
			connection, err := server.listener.Accept()
			if err != nil {
				return
			}
			go server.serve(connection)
		}
	}()
}

func (server *Server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if !server.track(connection) {
		return
	}
	defer server.untrack(connection)
	if serverHandshake(connection, server.key) != nil {
		return
	}
	server.rpc.ServeCodec(newCodec(&countingConn{
		Conn:     connection,
		received: &server.received,
		sent:     &server.sent,
	}))
}

func (server *Server) track(connection net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		return false
	}
	server.connections[connection] = true
	return true
}

func (server *Server) untrack(connection net.Conn) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, connection)
}

// Stop closes the listener and every connection; it does nothing for a server that could not be created.
func (server *Server) Stop() {
	if server == nil {
		return
	}
	_ = server.listener.Close()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.closed = true
	for connection := range server.connections {
		_ = connection.Close()
	}
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
	sent     *atomic.Int64
}

func (countingConn *countingConn) Read(data []byte) (int, error) {
	n, err := countingConn.Conn.Read(data)
	countingConn.received.Add(int64(n))
	return n, err
}

func (countingConn *countingConn) Write(data []byte) (int, error) {
	n, err := countingConn.Conn.Write(data)
	countingConn.sent.Add(int64(n))
	return n, err
}
