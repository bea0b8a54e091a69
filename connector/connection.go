package connector

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
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
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
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
