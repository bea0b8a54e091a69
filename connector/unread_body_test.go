package connector

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
	"golang.org/x/sys/unix"
)

// TestResponseWhileTheBodyIsNotRead guards against giving up a backend server that does not read the rest of a long request for longer than a connection may go
// without an acknowledgement, before or while it responds.
func TestResponseWhileTheBodyIsNotRead(t *testing.T) {
	const pause = 2 * userTimeout
	for name, test := range map[string]struct {
		first, second string
		// readsOn is whether it reads the rest of the request after the pause.
		readsOn bool
	}{
		"a length":              {sizedResponse[:len(sizedResponse)-2], "dy", false},
		"chunks":                {chunkedResponse[:len(chunkedResponse)-8], chunkedResponse[len(chunkedResponse)-8:], false},
		"no length":             {closeDelimitedHead + "bo", "dy", false},
		"nothing before":        {"", sizedResponse, false},
		"nothing before, reads": {"", sizedResponse, true},
		"a length, reads":       {sizedResponse[:len(sizedResponse)-2], "dy", true},
		"no length, reads":      {closeDelimitedHead + "bo", "dy", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := scriptserver.NewEarly(func(exchange *scriptserver.Exchange) bool {
				awaitBody(t, exchange)
				// Errors mean that the connection has been given up, which the client reports.
				_, _ = io.WriteString(exchange, test.first)
				time.Sleep(pause)
				if test.readsOn {
					_, _ = io.Copy(io.Discard, exchange.Request.Body)
				}
				_, _ = io.WriteString(exchange, test.second)
				_ = exchange.Conn.(*net.TCPConn).CloseWrite()
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			if body, err := readEarly(server.Address(), make(chan struct{}, 1)); err != nil || body != "body" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// TestWindowIsClosed guards against waiting for a backend server that acknowledges nothing as for one that only does not read.
func TestWindowIsClosed(t *testing.T) {
	for name, test := range map[string]struct {
		info   unix.TCPInfo
		closed bool
	}{
		"nothing to send":  {unix.TCPInfo{}, false},
		"all acknowledged": {unix.TCPInfo{Notsent_bytes: 1}, true},
		"a probe sent just now": {unix.TCPInfo{
			Notsent_bytes: 1,
			Probes:        1,
		}, true},
		"unanswered probes": {unix.TCPInfo{
			Notsent_bytes: 1,
			Probes:        2,
		}, false},
		"sent and not acknowledged": {unix.TCPInfo{
			Notsent_bytes: 1,
			Unacked:       1,
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if closed := windowIsClosed(&test.info); closed != test.closed {
				t.Errorf("closed: %t, expected %t", closed, test.closed)
			}
		})
	}
}
