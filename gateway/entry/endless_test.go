package entry

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestEndlessResponses lets a backend server send bytes without end at each place of a response, until its connection is closed. The entry must bound its
// memory, close the connection at the bound or the deadline, whichever comes first, and tell its caller that the request may have run.
func TestEndlessResponses(t *testing.T) {
	const (
		// maxGrowth bounds the heap in use beyond that before the requests; the bound on one body is the largest of the bounds.
		maxGrowth = 48 << 20
		// answered is the time within which the caller has a response: its deadline of 1.5 s and what the entry allows a late one.
		answered = 3 * time.Second
	)
	chunk := strings.Repeat("x", 32<<10)
	lines := strings.Repeat("data: x\n", 4<<10)
	stream := func(id string) string {
		return scriptserver.ResponseHead(id, http.StatusOK, "Content-Type: text/event-stream", "Connection: close")
	}
	for _, test := range []struct {
		name, path string
		begin      func(id string) string
		repeat     string
	}{
		{"status line", "/book/", func(string) string { return "HTTP/1.1 200 " }, chunk},
		{"header name", "/book/", func(string) string { return "HTTP/1.1 200 OK\r\n" }, chunk},
		{"headers", "/book/", func(string) string { return "HTTP/1.1 200 OK\r\n" }, strings.Repeat("X-More: value\r\n", 2<<10)},
		{"informational responses", "/book/", func(string) string { return "" }, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		{"body without a length", "/book/", func(id string) string { return scriptserver.ResponseHead(id, http.StatusOK, "Connection: close") }, chunk},
		{"body of a response to another request", "/book/", func(string) string {
			return scriptserver.ResponseHead("another", http.StatusOK, "Connection: close")
		}, chunk},
		{"chunk header", "/book/", func(id string) string {
			return scriptserver.ResponseHead(id, http.StatusOK, "Transfer-Encoding: chunked") + "8;"
		}, chunk},
		{"trailer", "/book/", func(id string) string {
			return scriptserver.ResponseHead(id, http.StatusOK, "Transfer-Encoding: chunked") + "0\r\n"
		}, strings.Repeat("X-More: value\r\n", 2<<10)},
		{"line of a stream", "/once/", func(id string) string { return stream(id) + "data: " }, chunk},
		{"event of a stream", "/once/", stream, lines},
		{"refusal", "/book/", func(id string) string {
			return scriptserver.ResponseHead(id, http.StatusServiceUnavailable, "X-Not-Executed: 1", "Connection: close")
		}, chunk},
	} {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{}, 8)
			fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
				defer func() { closed <- struct{}{} }()
				if _, err := io.WriteString(exchange, test.begin(exchange.Request.Header.Get("X-Attempt-Id"))); err != nil {
					return false
				}
				for {
					n, err := io.WriteString(exchange, test.repeat)
					sent.Add(int64(n))
					if err != nil {
						return false
					}
				}
			})
			before := heapInUse()
			begun := time.Now()
			peak := watchHeap(t)
			status, body := fixture.send(fixture.request(http.MethodPost, test.path, "question"))
			if status >= 200 && status < 300 && test.path == "/book/" {
				t.Errorf("the caller got status %d with %d bytes", status, len(body))
			}
			if took := time.Since(begun); took > answered {
				t.Errorf("the caller waited %s, expected at most %s", took, answered)
			}
			select {
			case <-closed:
			case <-time.After(answered):
				t.Error("the connection is still open")
			}
			if growth := int64(peak()) - int64(before); growth > maxGrowth {
				t.Errorf("the heap grew by %d bytes while %d were sent, expected at most %d", growth, sent.Load(), maxGrowth)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// watchHeap samples the heap in use until the returned function is called, which returns the largest sample.
func watchHeap(t *testing.T) (peak func() uint64) {
	t.Helper()
	stop, result := make(chan struct{}), make(chan uint64, 1)
	go func() {
		largest := uint64(0)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest = max(largest, stats.HeapInuse)
			select {
			case <-stop:
				result <- largest
				return
			case <-ticker.C:
			}
		}
	}()
	return func() uint64 {
		close(stop)
		return <-result
	}
}
