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
	// readBuffer holds several events of a stream.
	readBuffer = 4 << 10
	// unstatedIdle is how long a connection is kept whose backend server states no idle time-out.
	unstatedIdle = 2 * time.Second
	// idleShare is the part of a stated idle time-out during which a connection is used again, so that no send crosses its close.
	idleShare = 0.6
)

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	server    string
	idleSince time.Time
	idleLimit time.Duration
	used      bool
	broken    bool
}

func newConnection(conn net.Conn, server string) *connection {
	return &connection{
		Conn:      conn,
		reader:    bufio.NewReaderSize(conn, readBuffer),
		server:    server,
		idleLimit: unstatedIdle,
	}
}

// quiet returns whether nothing has arrived on an idle connection, neither its close nor bytes that belong to no request.
func (connection *connection) quiet() bool {
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
	silent := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// learn takes the idle time-out from an answer.
func (connection *connection) learn(response *http.Response) {
	if response.Close {
		connection.broken = true
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			connection.idleLimit = time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
}
