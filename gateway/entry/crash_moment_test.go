package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// crashesAfter writes the beginning of an answer and then ends its backend server, in order: its kernel sends what was written.
func crashesAfter(server func() *scriptserver.Server, begin func(exchange *scriptserver.Exchange)) script {
	return func(exchange *scriptserver.Exchange) bool {
		begin(exchange)
		go server().Close()
		<-time.After(5 * time.Millisecond)
		return false
	}
}

// writes returns a function that writes a text in which ID stands for the ID of the request.
func writes(text func(id string) string) func(exchange *scriptserver.Exchange) {
	return func(exchange *scriptserver.Exchange) {
		io.WriteString(exchange, text(exchange.Request.Header.Get("X-Attempt-Id")))
	}
}

// streamHead is the head of a stream that is sent in chunks.
func streamHead(id string) string {
	return scriptserver.ResponseHead(id, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// crashMoments are the moments of an answer at which a backend server may crash, with the path of the request.
var crashMoments = map[string]struct {
	path  string
	begin func(id string) string
}{
	"before the head":      {"/book/", func(string) string { return "" }},
	"within the head":      {"/book/", func(id string) string { return scriptserver.ResponseHead(id, 200, "Content-Length: 6")[:40] }},
	"after the head":       {"/book/", func(id string) string { return scriptserver.ResponseHead(id, 200, "Content-Length: 6") }},
	"within the body":      {"/look/", func(id string) string { return scriptserver.ResponseHead(id, 200, "Content-Length: 6") + "boo" }},
	"before the last byte": {"/book/", func(id string) string { return scriptserver.ResponseHead(id, 200, "Content-Length: 6") + "booke" }},
	"before the last chunk": {"/look/", func(id string) string {
		return scriptserver.ResponseHead(id, 200, "Transfer-Encoding: chunked") + "6\r\nbooked\r\n"
	}},
	"in a body without a length":   {"/book/", func(id string) string { return scriptserver.ResponseHead(id, 200) + "boo" }},
	"within the body of a failure": {"/book/", func(id string) string { return scriptserver.ResponseHead(id, 500, "Content-Length: 6") + "boo" }},
	"before the first event":       {"/stream/", streamHead},
	"after the first event":        {"/once/", func(id string) string { return streamHead(id) + scriptserver.EventChunk(1, "one") }},
	"between events": {"/stream/", func(id string) string {
		return streamHead(id) + scriptserver.EventChunk(1, "one") + scriptserver.EventChunk(2, "two")
	}},
	"within an event":      {"/stream/", func(id string) string { return streamHead(id) + scriptserver.EventChunk(1, "one") + "9\r\nid: 2\nda" }},
	"after the last event": {"/once/", func(id string) string { return streamHead(id) + scriptserver.EventChunk(1, "one") + "0\r\n" }},
	"in a stream without a length": {"/once/", func(id string) string {
		return scriptserver.ResponseHead(id, 200, "Content-Type: text/event-stream") + events(0, 2)
	}},
}

// TestCrashIsChargedAtEveryMoment guards against a request that crashes backend servers and is never kept away, because only some moments of its answer are taken
// for those of a crash; and against a success whose backend server crashed before its end.
func TestCrashIsChargedAtEveryMoment(t *testing.T) {
	for name, test := range crashMoments {
		t.Run(name, func(t *testing.T) {
			var fixture *fixture
			crashing := func(index int) script {
				return crashesAfter(func() *scriptserver.Server { return fixture.servers[index] }, writes(test.begin))
			}
			fixture = newFixture(t, crashing(0), crashing(1))
			for range 2 {
				if status, body := fixture.send(fixture.request(http.MethodPost, test.path, "question")); status >= 200 && status < 300 {
					t.Errorf("status %d, body %q of a backend server that crashed", status, body)
				}
			}
			if runs := fixture.runs(); runs != 2 {
				t.Errorf("the request ran %d times, expected at each backend server once", runs)
			}
			if crashes := fixture.confirmedCrashes(); crashes != 2 {
				t.Errorf("%d crashes are charged to the request, expected each of the two once", crashes)
			}
			if status, _ := fixture.send(fixture.request(http.MethodPost, test.path, "question")); status != 503 {
				t.Errorf("status %d for a request that has crashed two backend servers, expected 503", status)
			}
		})
	}
}

// confirmedCrashes returns the number of crashes that speak for keeping requests or prompt parts away.
func (fixture *fixture) confirmedCrashes() (count int) {
	for _, report := range fixture.forwarder.PartReports() {
		for _, crash := range report.Crashes {
			if crash.Points > 0 {
				count++
			}
		}
	}
	return count
}

// TestCrashOnAKeptConnectionIsCharged guards against taking the crash of a backend server for the end of an idle connection.
func TestCrashOnAKeptConnectionIsCharged(t *testing.T) {
	var fixture *fixture
	fixture = newFixture(t, func(exchange *scriptserver.Exchange) bool {
		if exchange.Number == 0 {
			exchange.Respond(200, "found", "Keep-Alive: timeout=60")
			return true
		}
		return crashesAfter(func() *scriptserver.Server { return fixture.servers[0] }, writes(func(string) string { return "" }))(exchange)
	})
	fixture.send(fixture.request(http.MethodGet, "/look/one", ""))
	fixture.send(fixture.request(http.MethodGet, "/look/two", ""))
	if crashes := fixture.confirmedCrashes(); crashes != 1 {
		t.Errorf("%d crashes are charged, expected 1", crashes)
	}
}

// TestCrashAfterASilenceIsCharged guards against taking the crash of a backend server, whose stream had brought no event for a while, for that of another rank.
func TestCrashAfterASilenceIsCharged(t *testing.T) {
	var fixture *fixture
	fixture = newFixture(t, crashesAfter(func() *scriptserver.Server { return fixture.servers[0] }, func(exchange *scriptserver.Exchange) {
		writeEvents(exchange, 0, 1)
		<-time.After(200 * time.Millisecond)
	}))
	fixture.view.Deployment.Routes[3].PauseObjective = 40 * time.Millisecond
	fixture.view.Deployment.Revision++
	fixture.forwarder.Configure(fixture.view)
	fixture.send(fixture.request(http.MethodPost, "/once/", "question"))
	if crashes := fixture.confirmedCrashes(); crashes != 1 {
		t.Errorf("%d crashes are charged, expected 1", crashes)
	}
}

// TestCrashAfterItsCallerLeftIsCharged guards against a request that is never kept away because its callers leave just before it crashes backend servers: the next
// request that finds one down shows it.
func TestCrashAfterItsCallerLeftIsCharged(t *testing.T) {
	for _, path := range []string{"/book/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan struct{}, 2)
			var fixture *fixture
			crashing := func(index int) script {
				return func(exchange *scriptserver.Exchange) bool {
					if path == "/stream/" {
						writeEvents(exchange, 0, 1)
					}
					begun <- struct{}{}
					exchange.Read(make([]byte, 1)) // returns when the entry closes the connection
					go fixture.servers[index].Close()
					return false
				}
			}
			fixture = newFixture(t, crashing(0), crashing(1))
			for index := range 2 {
				ctx, leave := context.WithCancel(context.Background())
				go func() {
					<-begun
					leave()
				}()
				if response, err := http.DefaultTransport.RoundTrip(fixture.request(http.MethodPost, path, "question").WithContext(ctx)); err == nil {
					_, _ = io.Copy(io.Discard, response.Body) // ends as the caller leaves
					_ = response.Body.Close()
				}
				awaitDown(t, fixture.servers[index].Address())
				fixture.send(fixture.request(http.MethodPost, path, fmt.Sprint("another question ", index)))
			}
			if crashes := fixture.confirmedCrashes(); crashes < 2 {
				t.Errorf("%d crashes are charged, expected 2", crashes)
			}
			if status, _ := fixture.send(fixture.request(http.MethodPost, path, "question")); status != 503 {
				t.Errorf("status %d for a request that has crashed two backend servers, expected 503", status)
			}
		})
	}
}

// TestCrashInAFailedResumptionIsCharged guards against leaving out a backend server that crashes within its failure to resume a stream.
func TestCrashInAFailedResumptionIsCharged(t *testing.T) {
	var fixture *fixture
	fixture = newFixture(t, streams(0, 2, false), crashesAfter(func() *scriptserver.Server { return fixture.servers[1] }, writes(func(id string) string {
		return scriptserver.ResponseHead(id, 500, "Content-Length: 6") + "boo"
	})))
	fixture.send(fixture.request(http.MethodPost, "/stream/", "question"))
	if crashes := fixture.confirmedCrashes(); crashes != 1 {
		t.Errorf("%d crashes are charged, expected 1", crashes)
	}
}

// TestBrokenStreamsOfARunningServerAreNoCrashes guards against keeping requests away whose streams break off while their backend servers go on running.
func TestBrokenStreamsOfARunningServerAreNoCrashes(t *testing.T) {
	const streams = 32
	var begun atomic.Int64
	release := make(chan struct{})
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		begun.Add(1)
		writeEvents(exchange, 0, 2)
		<-release
		return false
	})
	ended := make(chan struct{}, streams)
	for number := range streams {
		go func() {
			fixture.send(fixture.request(http.MethodPost, "/once/", fmt.Sprint("question ", number)))
			ended <- struct{}{}
		}()
	}
	for begun.Load() < streams {
		<-time.After(time.Millisecond)
	}
	close(release)
	for range streams {
		<-ended
	}
	if crashes := fixture.confirmedCrashes(); crashes != 0 {
		t.Errorf("%d crashes are charged, expected none", crashes)
	}
}
