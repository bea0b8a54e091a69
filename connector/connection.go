package connector

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBufferSize is enough for several events of a stream.
	readBufferSize = 4 << 10
	// defaultIdleLimit is how long an idle connection is kept if its backend server states no idle time-out.
	defaultIdleLimit = 2 * time.Second
	// idleLimitShare is the share of a stated idle time-out within which a connection is reused, so that no request is sent while the backend
	// server closes it.
	idleLimitShare = 0.6
)

// errNoInput means that an open connection has received no bytes that were not read.
var errNoInput = eris.New("no bytes have arrived")

// connection is one connection to a backend server, which must not be reused once it is marked as broken.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	head      *headReader
	address   string
	idleSince time.Time
	idleLimit time.Duration
	used      bool
	broken    bool
}

func newConnection(conn net.Conn, address string) *connection {
	head := &headReader{source: conn}
	return &connection{
		Conn:      conn,
		head:      head,
		reader:    bufio.NewReaderSize(head, readBufferSize),
		address:   address,
		idleLimit: defaultIdleLimit,
	}
}

// hasNoInput returns whether an idle connection was not closed by the backend server and has received no bytes, which would belong to no request.
func (connection *connection) hasNoInput() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	_, err := connection.peekSocket(1)
	return eris.Is(err, errNoInput)
}

// peekBuffered returns the bytes that were read from the socket and not consumed.
func (connection *connection) peekBuffered() []byte {
	data, _ := connection.reader.Peek(connection.reader.Buffered()) // what is buffered is returned without an error
	return data
}

// peek returns up to max bytes that have arrived and were not read, without waiting for any.
func (connection *connection) peek(max int) []byte {
	if buffered := connection.peekBuffered(); len(buffered) > 0 {
		return buffered[:min(len(buffered), max)]
	}
	data, err := connection.peekSocket(max)
	if err != nil {
		return nil // nothing has arrived, or the connection is closed, which its next use finds
	}
	return data
}

// peekSocket returns up to max bytes that have arrived at the socket and leaves them there; it returns errNoInput if the connection is open and has none.
func (connection *connection) peekSocket(max int) ([]byte, error) {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoInput
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil, err
	}
	data := make([]byte, max)
	n := 0
	var peekErr error
	err = control.Read(func(descriptor uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(descriptor), data, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return nil, err
	case peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK:
		return nil, errNoInput
	case peekErr != nil:
		return nil, peekErr
	}
	return data[:n], nil
}

// readKeepAlive reads from a response whether and for how long the connection may be kept.
func (connection *connection) readKeepAlive(response *http.Response) {
	if response.Close {
		connection.broken = true
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			connection.idleLimit = time.Duration(float64(seconds) * idleLimitShare * float64(time.Second))
		}
	}
}
