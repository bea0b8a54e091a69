package acceptor

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/reserver"
	"github.com/go-kit/log"
)

// TestAbortedResponseIsIncomplete guards against a response that breaks off and looks complete to a caller of HTTP/1.0, for which the end of the connection is the end
// of the body.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	for name, test := range map[string]struct {
		version string
		aborted bool
	}{
		"HTTP/1.0, aborted": {"HTTP/1.0", true},
		"HTTP/1.0, whole":   {"HTTP/1.0", false},
		"HTTP/1.1, aborted": {"HTTP/1.1", true},
		"HTTP/1.1, whole":   {"HTTP/1.1", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "part")
				if err := http.NewResponseController(writer).Flush(); err != nil {
					t.Error(err)
				}
				if test.aborted {
					panic(http.ErrAbortHandler)
				}
			}))
			acceptor := New(reserver.New(32<<20), 1000, limits, func(string) {}, log.NewNopLogger())
			acceptor.Bound(server.Config)
			server.Listener = acceptor.Listen(server.Listener)
			server.Start()
			t.Cleanup(server.Close)
			caller, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { caller.Close() })
			if err := caller.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(caller, "GET / "+test.version+"\r\nHost: front.example\r\nConnection: close\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(caller)
			complete := err == nil && (test.version == "HTTP/1.0" || strings.HasSuffix(string(text), "0\r\n\r\n"))
			if complete == test.aborted {
				t.Errorf("%q, error %v, expected a complete response: %t", text, err, !test.aborted)
			}
		})
	}
}
