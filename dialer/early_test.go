package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestServiceResponseBeforeTheBodyWasSent guards against a success with a shorter body when a plain backend server resets its connection behind a response without a
// length, while the body of the call is still being sent, and against failing a call whose whole response comes that early.
func TestServiceResponseBeforeTheBodyWasSent(t *testing.T) {
	const attempts = 6
	body := make([]byte, 8<<20)
	for name, test := range map[string]struct {
		raw     string
		inOrder bool
		whole   bool
	}{
		"no length, reset":                {"HTTP/1.1 200 OK\r\n\r\n" + wholeBody[:6], false, false},
		"no length, no body, reset":       {"HTTP/1.1 200 OK\r\n\r\n", false, false},
		"a failure, no length, reset":     {"HTTP/1.1 500 Internal Server Error\r\n\r\n" + wholeBody[:6], false, false},
		"no length, ended before it":      {"HTTP/1.1 200 OK\r\n\r\n" + wholeBody, true, true},
		"a length, reset":                 {rawResponses["with a length"], false, true},
		"chunks, reset":                   {rawResponses["chunked"], false, true},
		"chunks without their end, reset": {rawResponses["chunked"][:len(rawResponses["chunked"])-1], false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := scriptserver.NewEarly(func(exchange *scriptserver.Exchange) bool {
				// The client may have the whole response and close the connection at any moment.
				_, _ = io.CopyN(io.Discard, exchange.Request.Body, 8<<10)
				_, _ = io.WriteString(exchange, test.raw)
				if test.inOrder {
					_ = exchange.Conn.(*net.TCPConn).CloseWrite()
				}
				exchange.Reset()
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			for range attempts {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				response, err := NewService(server.Address()).Call(ctx, cranberryward.ServiceCall{
					RequestID: "one",
					Method:    http.MethodPost,
					Path:      "/book",
					Body:      body,
				})
				cancel()
				if whole := err == nil; whole != test.whole || whole && string(response.Body) != wholeBody {
					t.Errorf("status %d, body %q, error %v, expected a response: %t", response.Status, response.Body, err, test.whole)
				}
			}
		})
	}
}
