package dialer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
)

// TestEndlessFrames guards against keeping bytes of a faulty backend server that are no frame, without end, in memory until the caller's deadline.
func TestEndlessFrames(t *testing.T) {
	const (
		maxGrowth = 32 << 20
		// answered is half of the caller's deadline: the connection is given up at the bound, not at the deadline.
		deadline = 4 * time.Second
		answered = deadline / 2
	)
	for name, test := range map[string]struct {
		begin, repeat string
		status        int
	}{
		"a text":       {`{"request_id":"one","text":"`, strings.Repeat("x", 32<<10), http.StatusOK},
		"a name":       {`{"`, strings.Repeat("x", 32<<10), http.StatusOK},
		"nested lists": {``, strings.Repeat("[", 32<<10), http.StatusOK},
		"an error":     {`{"error":{"message":"`, strings.Repeat("x", 32<<10), http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				if _, err := io.WriteString(writer, test.begin); err != nil {
					return
				}
				for {
					if _, err := io.WriteString(writer, test.repeat); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			before := allocated()
			begun := time.Now()
			err := NewEngine(strings.TrimPrefix(server.URL, "http://")).Generate(ctx, cranberryward.GenerateRequest{RequestID: "one"}, func(cranberryward.Frame) error { return nil })
			if err == nil || cranberryward.VerdictOf(err) != cranberryward.MayHaveRun {
				t.Errorf("error %v, expected one that says that the request may have run", err)
			}
			if took := time.Since(begun); took > answered {
				t.Errorf("the failure took %s, expected at most %s", took, answered)
			}
			if growth := allocated() - before; growth > maxGrowth {
				t.Errorf("%d bytes were allocated, expected at most %d", growth, maxGrowth)
			}
		})
	}
}

// allocated returns the number of bytes that were ever allocated.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
