package scriptserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Reset closes the connection so that its peer sees a TCP reset.
func (exchange *Exchange) Reset() {
	if tcp, ok := exchange.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, the peer sees an orderly close, which the test would notice
	}
	_ = exchange.Close() // closing twice has no effect
}

// Respond writes a complete signed response.
func (exchange *Exchange) Respond(status int, body string, headers ...string) {
	exchange.Write([]byte(ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), status, append(headers, fmt.Sprintf("Content-Length: %d", len(body)))...) + body))
}

// ResponseHead returns the status line and headers of a signed response.
func ResponseHead(id string, status int, headers ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)), "X-Attempt-Id: " + id, "X-Response-Signature: signature"}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// EventChunk returns one server-sent event as a chunk of a chunked body.
func EventChunk(id int, text string) string {
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, text)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// Server is a backend server that calls its script for each request and closes the connection when the script returns false.
type Server struct {
	listener net.Listener
	script   func(exchange *Exchange) bool
	// early is whether the script is called as soon as the head of a request has arrived.
	early bool

	mutex           sync.Mutex
	requests        []*http.Request
	connectionCount int
	waitGroup       sync.WaitGroup
	connections     map[net.Conn]bool
}

// New starts a server on a loopback port.
func New(script func(exchange *Exchange) bool) (*Server, error) { return start(script, false) }

// NewEarly starts a server whose script is called before the body of a request is read, which the script may do itself.
func NewEarly(script func(exchange *Exchange) bool) (*Server, error) { return start(script, true) }

func start(script func(exchange *Exchange) bool, early bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{
		listener:    listener,
		script:      script,
		early:       early,
		connections: map[net.Conn]bool{},
	}
	server.waitGroup.Go(server.accept)
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.Addr().String() }

// Requests returns the received requests in order.
func (server *Server) Requests() []*http.Request {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]*http.Request(nil), server.requests...)
}

// Close stops the server, closes its connections and waits for its goroutines.
func (server *Server) Close() {
	_ = server.listener.Close() // no more connections are accepted, also after an error
	server.mutex.Lock()
	for conn := range server.connections {
		_ = conn.Close() // makes the script of the connection return
	}
	server.mutex.Unlock()
	server.waitGroup.Wait()
}

func (server *Server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		number := server.connectionCount
		server.connectionCount++
		server.connections[conn] = true
		server.mutex.Unlock()
		server.waitGroup.Go(func() { server.serve(conn, number) })
	}
}

func (server *Server) serve(conn net.Conn, connectionNumber int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body []byte
		if !server.early {
			if body, err = io.ReadAll(request.Body); err != nil {
				return
			}
		}
		server.mutex.Lock()
		server.requests = append(server.requests, request)
		server.mutex.Unlock()
		exchange := &Exchange{
			Request:          request,
			Body:             body,
			Conn:             conn,
			ConnectionNumber: connectionNumber,
			Number:           number,
		}
		if !server.script(exchange) {
			return
		}
	}
}
