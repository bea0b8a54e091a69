package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward/reserver"
	"github.com/rotisserie/eris"
)

const (
	// freeHeadBytes is the part of a head that the memory of its connection includes.
	freeHeadBytes = 4 << 10
	// headCost is the memory of a byte of a head: as it is read, and as it is kept.
	headCost = 2
	// freeHeadLines is the number of lines of a head that the memory of its connection includes.
	freeHeadLines = 64
	// lineCost is the memory of a line beyond its bytes: the name and the list of values of a field, and its place in a map that may be half empty.
	lineCost = 128
	// writePart is how much is written at once, so that a slow reader is told from one that takes nothing.
	writePart = 16 << 10
	// writeTimeoutSteps is the number of parts of the write timeout after which it is set again.
	writeTimeoutSteps = 4
	// headerAllowance is added to the configured limit for headers: the request line, and what net/http reads at once past the end of a head.
	headerAllowance = 8 << 10
	// refusalTime and refusalBytes bound what is read after the response to a head that is too long; a reset would take that response from its caller.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 1 << 20
	// headTooLong is the response to a head that is too long.
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

var (
	// errNoHeadMemory means that a head was not read because the memory for requests is taken.
	errNoHeadMemory = eris.New("no memory is left for the head of a request")
	// errHeadTooLong means that a head was not read because it exceeds the limit.
	errHeadTooLong = eris.New("the head of a request is too long")
)

// connection is the connection of a caller. It takes memory for long heads, and applies the limits in force to heads, to the time that they take, and to the
// time for which its caller sends or takes nothing: net/http takes its own limits from a server that it shares among connections and that cannot change.
type connection struct {
	*net.TCPConn
	acceptor *Acceptor
	address  string
	// writeDeadline is the deadline for writes that is set; only one goroutine writes at a time.
	writeDeadline time.Time
	// reading is whether a head is awaited or read, headBytes and headLines are how much of it was read, with what of the body came at once with its end, and headSince is
	// when its time began, or zero while a kept connection is idle; the goroutine that serves the connection uses them only then.
	reading     atomic.Bool
	headBytes   int
	headLines   int
	headSince   time.Time
	headRefusal error // why the head is not read on, which net/http may ask for although a read has failed
	idleSet     bool  // whether net/http has set its deadline for idle time since the last request
	reservation *reserver.Reservation

	// The mutex of the acceptor guards these: whether a request is handled, since when none is, and whether the connection has given way.
	handling bool
	since    time.Time
	gone     bool
}

func newConnection(acceptor *Acceptor, tcp *net.TCPConn) *connection {
	host, _, err := net.SplitHostPort(tcp.RemoteAddr().String())
	if err != nil {
		host = tcp.RemoteAddr().String()
	}
	now := time.Now()
	connection := &connection{
		TCPConn:     tcp,
		acceptor:    acceptor,
		address:     host,
		headSince:   now,
		reservation: acceptor.memory.Reserve(),
		since:       now,
	}
	connection.reading.Store(true)
	connection.extendReading()
	return connection
}

// Read reads from the caller, and fails where a head finds no memory, is too long or takes too long.
func (connection *connection) Read(data []byte) (int, error) {
	if !connection.reading.Load() {
		return connection.TCPConn.Read(data)
	}
	if connection.headRefusal != nil {
		return 0, connection.headRefusal
	}
	left := connection.acceptor.limits().HeaderBytes + headerAllowance - connection.headBytes
	if left <= 0 {
		connection.refuseHead()
		connection.headRefusal = headError(errHeadTooLong)
		return 0, connection.headRefusal
	}
	n, err := connection.TCPConn.Read(data[:min(len(data), left)])
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && connection.extendReading() {
		n, err = connection.TCPConn.Read(data[:min(len(data), left)])
	}
	if n == 0 {
		return n, err
	}
	before := headMemory(connection.headBytes, connection.headLines)
	connection.headBytes += n
	connection.headLines += bytes.Count(data[:n], []byte{'\n'})
	if connection.headSince.IsZero() {
		connection.headSince = time.Now()
		connection.extendReading()
	}
	if more := headMemory(connection.headBytes, connection.headLines) - before; more > 0 && !connection.reservation.TakeForRequest(more) {
		connection.acceptor.refusals.record("no_memory", connection.address)
		connection.headRefusal = headError(errNoHeadMemory)
		return 0, connection.headRefusal
	}
	return n, err
}

// resetOnClose lets net/http, which closes the connection of a handler that has panicked, reset it: for a caller of HTTP/1.0, which gets no chunks, an orderly close would
// end the response as complete.
func (connection *connection) resetOnClose() {
	_ = connection.SetLinger(0) // fails if the connection is closed
}

// headMemory returns how many bytes a head takes beyond what the memory of its connection includes.
func headMemory(bytes, lines int) int64 {
	return int64(headCost*max(bytes-freeHeadBytes, 0) + lineCost*max(lines-freeHeadLines, 0))
}

// headError returns an error of a read; at any other one, net/http answers that the request is wrong.
func headError(err error) error {
	return &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: err,
	}
}

// extendReading sets the deadline of reads by the limits in force, and returns whether it is to come.
func (connection *connection) extendReading() bool {
	limits := connection.acceptor.limits()
	connection.acceptor.mutex.Lock()
	defer connection.acceptor.mutex.Unlock()
	deadline := connection.headSince.Add(limits.HeaderTimeout)
	if connection.headSince.IsZero() {
		deadline = connection.since.Add(limits.IdleTimeout)
	}
	if connection.gone || !deadline.After(time.Now()) {
		return false
	}
	return connection.TCPConn.SetReadDeadline(deadline) == nil
}

// refuseHead responds to a head that is too long, and reads on for a while.
func (connection *connection) refuseHead() {
	if _, err := connection.Write([]byte(headTooLong)); err != nil {
		return // the caller is gone
	}
	if err := connection.CloseWrite(); err != nil {
		return
	}
	if err := connection.TCPConn.SetReadDeadline(time.Now().Add(refusalTime)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, connection.TCPConn, refusalBytes) // the connection ends next
}

// Write writes to the caller, which has to take each part in time.
func (connection *connection) Write(data []byte) (written int, err error) {
	defer func() {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			connection.acceptor.refusals.record("not_read", connection.address)
		}
	}()
	if connection.headRefusal != nil {
		return 0, connection.headRefusal // net/http takes what was read of the head for a wrong one
	}
	if len(data) <= writePart {
		return connection.writePart(data)
	}
	transfer := connection.acceptor.memory.Begin(func() { _ = connection.SetWriteDeadline(time.Now()) }) // ends the write
	defer func() {
		transfer.End()
		connection.writeDeadline = time.Time{} // the one that is set may be that of an interruption
	}()
	for len(data) > 0 && err == nil {
		n := 0
		n, err = connection.writePart(data[:min(len(data), writePart)])
		transfer.Add(n)
		written += n
		data = data[n:]
	}
	return written, err
}

// writePart writes one part, with a deadline that is at least three quarters of the timeout away.
func (connection *connection) writePart(data []byte) (int, error) {
	now, timeout := time.Now(), connection.acceptor.limits().IdleTimeout
	if connection.writeDeadline.Sub(now) < timeout-timeout/writeTimeoutSteps {
		connection.writeDeadline = now.Add(timeout)
		if err := connection.SetWriteDeadline(connection.writeDeadline); err != nil {
			return 0, err
		}
	}
	return connection.TCPConn.Write(data)
}

// SetReadDeadline sets the deadline of reads, unless a head is awaited or read or the connection has given way. net/http sets one for each head and removes it once
// the head is read, before it reads anything else. On a kept connection, it sets one for idle time first, and the one for the head once it holds four bytes of it.
func (connection *connection) SetReadDeadline(deadline time.Time) error {
	reading := connection.reading.Load()
	if reading && !deadline.IsZero() {
		connection.beginHeldHead()
		return nil
	}
	connection.acceptor.mutex.Lock()
	defer connection.acceptor.mutex.Unlock()
	if reading {
		connection.endHead()
	}
	return connection.TCPConn.SetReadDeadline(deadline)
}

// beginHeldHead records a deadline that net/http sets while a head is awaited or read; the second one after a request means that the head has begun, also if its first
// bytes were read with those of the request before.
func (connection *connection) beginHeldHead() {
	if connection.headSince.IsZero() && connection.idleSet {
		connection.headSince = time.Now()
		connection.extendReading()
	}
	connection.idleSet = true
}

// giveWay ends a connection without a request, unless one arrives just then; the caller holds the mutex of the acceptor.
func (connection *connection) giveWay() {
	connection.gone = true
	_ = connection.TCPConn.SetReadDeadline(time.Now()) // fails if it is closed
}

// beginHandling records that a request is handled, also where net/http has set no deadline for its head.
func (connection *connection) beginHandling() {
	connection.acceptor.mutex.Lock()
	defer connection.acceptor.mutex.Unlock()
	connection.endHead()
}

// endHead records that a head has arrived whole, also on a connection that was to give way: net/http begins to watch for the end of the connection before its
// handler is called, and would take a deadline that has passed for that end. The caller holds the mutex of the acceptor.
func (connection *connection) endHead() {
	connection.reading.Store(false)
	connection.handling = true
	if connection.gone {
		connection.gone = false
		_ = connection.TCPConn.SetReadDeadline(time.Time{}) // fails if it is closed
		connection.acceptor.insert(connection)
	}
}

// awaitRequest records that the last request was answered and the next head is awaited.
func (connection *connection) awaitRequest() {
	connection.releaseHead()
	connection.acceptor.mutex.Lock()
	connection.handling, connection.since = false, time.Now()
	connection.acceptor.mutex.Unlock()
	connection.headSince, connection.idleSet = time.Time{}, false
	connection.reading.Store(true)
	connection.extendReading()
}

// releaseHead gives back the memory of the head.
func (connection *connection) releaseHead() {
	connection.headBytes, connection.headLines = 0, 0
	connection.reservation.Close()
}
