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

// upload is a backend server's view of one request: what it does behind the response that it has written, and what the client has seen of that.
type upload struct {
	t        *testing.T
	exchange *scriptserver.Exchange
	// headRead and answered get a value once the client has the head, or the whole of the response.
	headRead, answered <-chan struct{}
}

// closeWrite ends what the backend server sends and leaves the other direction open.
func (upload *upload) closeWrite() {
	if err := upload.exchange.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		upload.t.Error(err)
	}
}

// await waits for the client.
func (upload *upload) await(event <-chan struct{}) {
	select {
	case <-event:
	case <-time.After(5 * time.Second):
		upload.t.Error("the client got nothing")
	}
}

// awaitBody reads the begin of the request's body; what has arrived behind it stays unread, so that closing the connection resets it.
func awaitBody(t *testing.T, exchange *scriptserver.Exchange) {
	if _, err := io.CopyN(io.Discard, exchange.Request.Body, 8<<10); err != nil {
		t.Error(err)
	}
}

// TestResponseBeforeTheBodyWasSent guards against taking a response without a length for complete although its connection was reset while the body of the request was
// still being sent, and against refusing a complete one, or holding it back.
func TestResponseBeforeTheBodyWasSent(t *testing.T) {
	const attempts = 40
	reset := func(upload *upload) { upload.exchange.Reset() }
	closeUnread := func(*upload) {}
	for name, test := range map[string]struct {
		response string
		end      func(upload *upload)
		whole    bool
	}{
		"no length, reset":                                  {closeDelimitedHead + "body", reset, false},
		"no length, nothing of the body, reset":             {closeDelimitedHead, reset, false},
		"no length, closed with unread bytes, which resets": {closeDelimitedHead + "body", closeUnread, false},
		"no length, reset once the head was read": {closeDelimitedHead + "body", func(upload *upload) {
			upload.await(upload.headRead)
			upload.exchange.Reset()
		}, false},
		"no length, ended, the rest of the request is not read": {closeDelimitedHead + "body", func(upload *upload) {
			upload.closeWrite()
			upload.await(upload.answered)
		}, true},
		"no length, ended and then reset": {closeDelimitedHead + "body", func(upload *upload) {
			upload.closeWrite()
			upload.exchange.Reset()
		}, true},
		"no length, ended, the rest of the request is read": {closeDelimitedHead + "body", func(upload *upload) {
			upload.closeWrite()
			_, _ = io.Copy(io.Discard, upload.exchange.Request.Body) // until the connection is given up
		}, true},
		"no length, the rest of the request is read before the end": {closeDelimitedHead + "body", func(upload *upload) {
			if _, err := io.Copy(io.Discard, upload.exchange.Request.Body); err != nil {
				upload.t.Error(err)
			}
		}, true},
		"a length, reset":                    {sizedResponse, reset, true},
		"a length, closed with unread bytes": {sizedResponse, closeUnread, true},
		"a length, not all of it, reset":     {sizedResponse[:len(sizedResponse)-1], reset, false},
		"chunks, reset":                      {chunkedResponse, reset, true},
		"chunks, not all of them, reset":     {chunkedResponse[:len(chunkedResponse)-2], reset, false},
		"a head before it, a length, reset":  {"HTTP/1.1 103 Early Hints\r\n\r\n" + sizedResponse, reset, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			headRead, answered := make(chan struct{}, attempts), make(chan struct{}, attempts)
			server, err := scriptserver.NewEarly(func(exchange *scriptserver.Exchange) bool {
				awaitBody(t, exchange)
				if _, err := io.WriteString(exchange, test.response); err != nil {
					t.Error(err)
				}
				test.end(&upload{
					t:        t,
					exchange: exchange,
					headRead: headRead,
					answered: answered,
				})
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			wrong := 0
			for range attempts {
				body, err := readEarly(server.Address(), headRead)
				answered <- struct{}{}
				if complete := err == nil; complete != test.whole || complete && body != "body" {
					wrong++
					t.Logf("body %q, error %v", body, err)
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d responses, expected complete: %t", wrong, attempts, test.whole)
			}
		})
	}
}

// readEarly sends a request with a long body and returns the body of its response, the head of which it reports to a channel.
func readEarly(address string, headRead chan<- struct{}) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var connector Connector
	response, err := connector.Send(ctx, Request{
		Address: address,
		Method:  http.MethodPost,
		Head:    []byte("POST / HTTP/1.1\r\nHost: front.example\r\nContent-Length: " + strconv.Itoa(len(longBody)) + "\r\n\r\n"),
		Body:    longBody,
		Matches: func(*http.Response) bool {
			headRead <- struct{}{}
			return true
		},
	})
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1 << 10)
	response.Abort()
	return string(body), err
}
