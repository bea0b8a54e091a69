package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// longBody is longer than the buffers of a connection, so that it is still being sent when its backend server responds.
var longBody = make([]byte, 8<<20)

const (
	closeDelimitedHead = "HTTP/1.1 200 OK\r\n\r\n"
	sizedResponse      = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	chunkedResponse    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)

// closeWrite ends what the backend server sends and leaves the other direction open.
func closeWrite(t *testing.T, exchange *scriptserver.Exchange) {
	if err := exchange.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Error(err)
	}
}

// awaitBody reads the begin of the request's body; what has arrived behind it stays unread, so that closing the connection resets it.
func awaitBody(t *testing.T, exchange *scriptserver.Exchange) {
	if _, err := io.CopyN(io.Discard, exchange.Request.Body, 8<<10); err != nil {
		t.Error(err)
	}
}

// TestResponseBeforeTheBodyWasSent guards against taking a response without a length for complete although its connection was reset while the body of the request was
// still being sent, and against refusing a complete one.
func TestResponseBeforeTheBodyWasSent(t *testing.T) {
	const attempts = 40
	for name, test := range map[string]struct {
		response string
		end      func(t *testing.T, exchange *scriptserver.Exchange)
		whole    bool
	}{
		"no length, reset": {closeDelimitedHead + "body", func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, false},
		"no length, reset later": {closeDelimitedHead + "body", func(_ *testing.T, exchange *scriptserver.Exchange) {
			time.Sleep(time.Millisecond)
			exchange.Reset()
		}, false},
		"no length, nothing of the body, reset": {closeDelimitedHead, func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, false},
		"no length, closed with unread bytes, which resets": {closeDelimitedHead + "body", func(*testing.T, *scriptserver.Exchange) {}, false},
		"no length, ended, the rest of the request is not read": {closeDelimitedHead + "body", func(t *testing.T, exchange *scriptserver.Exchange) {
			closeWrite(t, exchange)
			time.Sleep(20 * time.Millisecond)
		}, true},
		"no length, ended and then reset": {closeDelimitedHead + "body", func(t *testing.T, exchange *scriptserver.Exchange) {
			closeWrite(t, exchange)
			exchange.Reset()
		}, true},
		"no length, ended, the rest of the request is read": {closeDelimitedHead + "body", func(t *testing.T, exchange *scriptserver.Exchange) {
			closeWrite(t, exchange)
			_, _ = io.Copy(io.Discard, exchange.Request.Body) // until the connection is given up
		}, true},
		"no length, the rest of the request is read before the end": {closeDelimitedHead + "body", func(t *testing.T, exchange *scriptserver.Exchange) {
			if _, err := io.Copy(io.Discard, exchange.Request.Body); err != nil {
				t.Error(err)
			}
		}, true},
		"a length, reset": {sizedResponse, func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, true},
		"a length, closed with unread bytes": {sizedResponse, func(*testing.T, *scriptserver.Exchange) {}, true},
		"a length, not all of it, reset": {sizedResponse[:len(sizedResponse)-1], func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, false},
		"chunks, reset": {chunkedResponse, func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, true},
		"chunks, not all of them, reset": {chunkedResponse[:len(chunkedResponse)-2], func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, false},
		"a head before it, a length, reset": {"HTTP/1.1 103 Early Hints\r\n\r\n" + sizedResponse, func(_ *testing.T, exchange *scriptserver.Exchange) {
			exchange.Reset()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := scriptserver.NewEarly(func(exchange *scriptserver.Exchange) bool {
				awaitBody(t, exchange)
				if _, err := io.WriteString(exchange, test.response); err != nil {
					t.Error(err)
				}
				test.end(t, exchange)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			wrong := 0
			for range attempts {
				body, err := readEarly(server.Address())
				if complete := err == nil; complete != test.whole || complete && body != "body" {
					wrong++
					t.Logf("body %q, error %v", body, err)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses, expected complete: %v", wrong, attempts, test.whole)
			}
		})
	}
}

// readEarly sends a request with a long body and returns the body of its response.
func readEarly(address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var connector Connector
	response, err := connector.Send(ctx, Request{
		Address: address,
		Method:  http.MethodPost,
		Head:    []byte("POST / HTTP/1.1\r\nHost: front.example\r\nContent-Length: " + strconv.Itoa(len(longBody)) + "\r\n\r\n"),
		Body:    longBody,
		Matches: func(*http.Response) bool { return true },
	})
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1 << 10)
	response.Abort()
	return string(body), err
}
