package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errCrashed ends the connection of the request that crashed its backend server.
var errCrashed = eris.New("the backend server has crashed")

// Server is a backend server (a runner on the users' pages): it runs each request that names it, and refuses others with status 421.
type Server struct {
	ID, Service string
	// Slots is the number of requests that run at once, and queueLength that of those which wait; others are rejected as not run.
	Slots int
	// Answer runs a request and writes its answer; an error ends the connection.
	Answer func(run *Run) error

	record  *Record
	address string

	mutex       sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
	runs        int
	ran         map[string]bool
	down        bool
	born        int64
	waiting     int
	slots       chan struct{}
}

// queueLength is that of the sheets' services.
const queueLength = 24

// Run is one request that a backend server runs.
type Run struct {
	net.Conn
	Request *http.Request
	Body    []byte
	ID      string
	// Number counts the runs of this backend server, from 1.
	Number int
}

// Address returns the address that the backend server listens on.
func (server *Server) Address() string { return server.address }

// start listens at an address, on any port if its port is zero.
func (server *Server) start(record *Record, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen as a backend server")
	}
	server.mutex.Lock()
	server.record, server.address, server.listener, server.connections = record, listener.Addr().String(), listener, map[net.Conn]bool{}
	server.down, server.born, server.waiting, server.slots = false, time.Now().UnixMilli(), 0, make(chan struct{}, server.Slots)
	server.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // it is closed
			}
			go server.serve(conn)
		}
	}()
	return nil
}

func (server *Server) stop() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.down = true
	_ = server.listener.Close() // nothing is accepted any more, also after an error
	for conn := range server.connections {
		_ = conn.Close() // its requests end
	}
}

// HasRun returns whether the backend server has run a request.
func (server *Server) HasRun(id string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.ran[id]
}

func (server *Server) isDown() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.down
}

func (server *Server) bornAt() int64 {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.born
}

// Crash ends the backend server as a process ends that crashes: nothing listens at its address and its connections end. It starts again after a time, with the same
// ID.
func (server *Server) Crash(down time.Duration) error {
	server.stop()
	time.AfterFunc(down, func() {
		if err := server.start(server.record, server.address); err != nil {
			server.record.Add("%s does not start again: %v", server.ID, err)
		}
	})
	return errCrashed
}

func (server *Server) serve(conn net.Conn) {
	server.mutex.Lock()
	server.connections[conn] = true
	server.mutex.Unlock()
	defer func() {
		_ = conn.Close() // it may be closed already
		server.mutex.Lock()
		delete(server.connections, conn)
		server.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		run := &Run{
			Conn:    conn,
			Request: request,
			Body:    body,
			ID:      request.Header.Get("X-Attempt-Id"),
		}
		if err := server.answer(run); err != nil {
			server.record.Add("%s ends the connection of %s: %v", server.ID, run.ID, err)
			return
		}
	}
}

// answer runs a request in a slot, or rejects it as the pages tell.
func (server *Server) answer(run *Run) error {
	if run.Request.URL.Path == "/health" {
		return run.write(http.StatusOK, "X-Instance-Id: "+server.ID+"\r\n", nil)
	}
	if run.ID == "" {
		return run.write(http.StatusBadRequest, notExecuted, nil)
	}
	if expected := run.Request.Header.Get("X-Expected-Instance"); expected != "" && expected != server.ID {
		return run.write(http.StatusMisdirectedRequest, notExecuted, nil)
	}
	release := server.acquireSlot(run)
	if release == nil {
		return run.write(http.StatusServiceUnavailable, notExecuted, nil)
	}
	defer release()
	server.mutex.Lock()
	server.runs++
	run.Number = server.runs
	if server.ran == nil {
		server.ran = map[string]bool{}
	}
	server.ran[run.ID] = true
	server.mutex.Unlock()
	server.record.Add("%s runs %s", server.ID, run.ID)
	return server.Answer(run)
}

// acquireSlot waits for a slot and returns a function that frees it, or nil if too many requests wait or the request's deadline passes.
func (server *Server) acquireSlot(run *Run) (release func()) {
	server.mutex.Lock()
	slots := server.slots
	if server.waiting >= queueLength {
		server.mutex.Unlock()
		return nil
	}
	server.waiting++
	server.mutex.Unlock()
	defer func() {
		server.mutex.Lock()
		server.waiting--
		server.mutex.Unlock()
	}()
	milliseconds, err := strconv.Atoi(run.Request.Header.Get("X-Deadline-Remaining-Ms"))
	if err != nil {
		milliseconds = int(time.Hour / time.Millisecond)
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		return nil
	}
}

// notExecuted is the statement that a request did not run.
const notExecuted = "X-Not-Executed: 1\r\n"

// Respond writes a complete, signed answer.
func (run *Run) Respond(body []byte) error {
	return run.write(http.StatusOK, run.signature(), body)
}

func (run *Run) signature() string { return "X-Response-Signature: signed-" + run.ID + "\r\n" }

func (run *Run) write(status int, headers string, body []byte) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), run.ID, headers, len(body))
	_, err := run.Write(append([]byte(head), body...))
	return err
}

// BeginStream writes the head of a signed stream of events.
func (run *Run) BeginStream() error {
	_, err := fmt.Fprintf(run, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", run.ID, run.signature())
	return err
}

// WriteChunk writes a part of the stream.
func (run *Run) WriteChunk(text string) error {
	_, err := fmt.Fprintf(run, "%x\r\n%s\r\n", len(text), text)
	return err
}

// EndStream writes the end of the stream.
func (run *Run) EndStream() error {
	_, err := io.WriteString(run, "0\r\n\r\n")
	return err
}
