package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// crashes answers requests, and after the head of the response closes everything, as a crash does, if their prompt has the crashing part.
func crashes(server func() *scriptserver.Server) script {
	return func(exchange *scriptserver.Exchange) bool {
		if parts := exchange.Request.Header.Get("X-Prompt-Prefix"); len(parts) < 6 || parts[3:6] != "bad" {
			exchange.Respond(200, "sound")
			return true
		}
		exchange.Write([]byte(scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Length: 5")))
		go server().Close()
		<-time.After(50 * time.Millisecond)
		return false
	}
}

// TestCrashIsChargedToPromptParts sends a request that crashes its backend server and then others with the same part, which must be refused as not run, and sound
// ones with the same first part, which must be served by the other backend server.
func TestCrashIsChargedToPromptParts(t *testing.T) {
	var fixture *fixture
	fixture = newFixture(t, crashes(func() *scriptserver.Server { return fixture.servers[0] }), responds(200, "sound"))
	for i := range 20 {
		if status, _ := fixture.send(fixture.request(http.MethodPost, "/book/", "question", fmt.Sprintf("X-Prompt-Prefix: a1:40,%x:600", 0xe000+i))); status != 200 {
			t.Fatalf("status %d before the crash", status)
		}
	}
	if status, _ := fixture.send(fixture.request(http.MethodPost, "/book/", "question", "X-Prompt-Prefix: a1,bad:30,f1:600")); status != 502 {
		t.Errorf("status %d for the request that crashed the backend server, expected 502", status)
	}
	before := fixture.runs()
	for i := range 5 {
		response, err := http.DefaultTransport.RoundTrip(fixture.request(http.MethodPost, "/book/", "question", fmt.Sprintf("X-Prompt-Prefix: c%d,bad:30,d%d:600", i, i)))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close() // only the status is needed
		if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q for a request with the crashing part", response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
	if runs := fixture.runs() - before; runs != 0 {
		t.Errorf("%d requests with the crashing part were sent", runs)
	}
	if status, body := fixture.send(fixture.request(http.MethodPost, "/book/", "question", "X-Prompt-Prefix: a1:40,f2:600")); status != 200 || body != "sound" {
		t.Errorf("status %d for a sound request with the same first part", status)
	}
}

// TestBrokenConnectionsAreNoCrashes guards against quarantining parts because answers break off at a backend server that goes on running.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	const broken = 5
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		if !strings.Contains(exchange.Request.Header.Get("X-Prompt-Prefix"), "b2") {
			exchange.Respond(200, "sound")
			return true
		}
		exchange.Write([]byte(scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Length: 5")))
		return false
	})
	for i := range 20 {
		fixture.send(fixture.request(http.MethodPost, "/book/", "question", fmt.Sprintf("X-Prompt-Prefix: a1:40,%x:600", 0xe000+i)))
	}
	before := fixture.runs()
	for i := range broken {
		fixture.send(fixture.request(http.MethodPost, "/book/", "question", fmt.Sprintf("X-Prompt-Prefix: a1:40,b2:30,%x:600", 0xf000+i)))
	}
	if count, sent := fixture.forwarder.QuarantinedParts(), fixture.runs()-before; count != 0 || sent != broken {
		t.Errorf("%d parts are quarantined, %d requests were sent, expected 0 and %d", count, sent, broken)
	}
}

// TestOneRequestProbesAPart lets several requests arrive when a stored quarantine has ended: only the one whose entry extends it in the store may be sent.
func TestOneRequestProbesAPart(t *testing.T) {
	for name, test := range map[string]struct {
		save     error
		expected int
	}{
		"this entry extends the quarantine":   {nil, 200},
		"another entry has extended it":       {cranberryward.ErrQuarantineChanged, 503},
		"the store does not serve this entry": {cranberryward.ErrStoreUnavailable, 503},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, responds(200, "sound"))
			var writes atomic.Int64
			fixture.useQuarantineStore(func(_ context.Context, quarantine cranberryward.Quarantine) (cranberryward.Quarantine, error) {
				writes.Add(1)
				quarantine.Revision = 9
				return quarantine, test.save
			})
			part := cranberryward.PromptPart{
				Service: "app",
				ID:      "bad",
			}
			fixture.view.Quarantines = map[string]cranberryward.Quarantine{"key": {
				PromptPart: part,
				Level:      1,
				Until:      time.Now().Add(-time.Second),
				CrashedAt:  time.Now().Add(-time.Minute),
				Revision:   5,
			}}
			fixture.forwarder.Configure(fixture.view)
			if status, _ := fixture.send(fixture.request(http.MethodPost, "/book/", "question", "X-Prompt-Prefix: a1:40,bad:30,f1:600")); status != test.expected {
				t.Errorf("status %d, expected %d", status, test.expected)
			}
			if count := writes.Load(); count != 1 {
				t.Errorf("%d writes to the store, expected 1", count)
			}
		})
	}
}

// TestProbeIsSentOnce guards against sending a request again that probes a quarantine, here of the request as a whole, and has crashed its backend server.
func TestProbeIsSentOnce(t *testing.T) {
	var fixture *fixture
	server := func(index int) func() *scriptserver.Server {
		return func() *scriptserver.Server { return fixture.servers[index] }
	}
	fixture = newFixture(t, crashesHost(server(0)), crashesHost(server(1)))
	fixture.useQuarantineStore(func(_ context.Context, quarantine cranberryward.Quarantine) (cranberryward.Quarantine, error) {
		quarantine.Revision = 9
		return quarantine, nil
	})
	fixture.view.Quarantines = map[string]cranberryward.Quarantine{"key": {
		PromptPart: cranberryward.WholeRequest("app", quarantiner.Fingerprint("quito", http.MethodPost, "front.example", "/look/", "question")),
		Level:      1,
		Until:      time.Now().Add(-time.Second),
		CrashedAt:  time.Now().Add(-time.Minute),
		Revision:   5,
	}}
	fixture.forwarder.Configure(fixture.view)
	fixture.send(fixture.request(http.MethodPost, "/look/", "question"))
	if runs := fixture.runs(); runs != 1 {
		t.Errorf("the probe was sent %d times, expected once", runs)
	}
}
