package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestRefusalWrittenOnceMore guards against taking an earlier refusal, which a backend server writes once more on a kept connection, for the answer to what is sent
// there next: the caller would be told that its request has not run while the backend server runs it.
func TestRefusalWrittenOnceMore(t *testing.T) {
	for _, path := range []string{"/book/", "/look/", "/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			var refused, ran atomic.Int64
			fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
				refuse := func() { exchange.Respond(503, "", "X-Not-Executed: 1") }
				if refused.Add(1) == 1 {
					refuse()
					return true
				}
				if exchange.Number > 0 {
					refuse()
				}
				ran.Add(1)
				if strings.HasPrefix(path, "/book/") || strings.HasPrefix(path, "/look/") {
					exchange.Respond(200, "done")
				} else {
					writeEvents(exchange, 0, 2)
					io.WriteString(exchange, "0\r\n\r\n")
				}
				return true
			})
			status, _ := fixture.send(fixture.request(http.MethodPost, path, "question"))
			if status != 200 || ran.Load() != 1 {
				t.Errorf("status %d, the request ran %d times, expected 200 and once", status, ran.Load())
			}
		})
	}
}

// TestRefusalBeforeAnotherRequest guards against the same between two requests on one connection.
func TestRefusalBeforeAnotherRequest(t *testing.T) {
	var last atomic.Value
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		if earlier, _ := last.Load().(string); earlier != "" && exchange.Number > 0 {
			io.WriteString(exchange, scriptserver.ResponseHead(earlier, 503, "X-Not-Executed: 1", "Content-Length: 0"))
		}
		last.Store(exchange.Request.Header.Get("X-Attempt-Id"))
		exchange.Respond(200, "found")
		return true
	})
	for number := range 5 {
		if status, body := fixture.send(fixture.request(http.MethodPost, "/look/", fmt.Sprint("question ", number))); status != 200 || body != "found" {
			t.Errorf("status %d, body %q", status, body)
		}
	}
	if runs := fixture.runs(); runs != 5 {
		t.Errorf("%d runs of five requests", runs)
	}
}
