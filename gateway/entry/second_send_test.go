package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/forwarder"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

const (
	// secondSendAfter is half the objective, after which a request of a route that is not known yet is late.
	secondSendAfter = 100 * time.Millisecond
	whole           = "the whole answer of the second"
)

// silent writes a text, and then nothing until the connection ends, which it tells the test.
func silent(text func(id string) string, ended chan<- time.Time) script {
	return func(exchange *scriptserver.Exchange) bool {
		io.WriteString(exchange, text(exchange.Request.Header.Get("X-Attempt-Id")))
		_, err := exchange.Read(make([]byte, 1))
		if err != nil {
			ended <- time.Now()
		}
		return false
	}
}

// after responds after a delay.
func after(delay time.Duration, script script) script {
	return func(exchange *scriptserver.Exchange) bool {
		time.Sleep(delay)
		return script(exchange)
	}
}

func nothing(string) string { return "" }

// half is the head of an answer and a part of its body.
func half(id string) string {
	return scriptserver.ResponseHead(id, 200, "Content-Length: 30") + "the whole answer"
}

// newSecondSendFixture returns a fixture whose forwarder may send a share of the requests twice, the first one included.
func newSecondSendFixture(t *testing.T, share float64, attempts int, scripts ...script) *fixture {
	fixture := newFixture(t, scripts...)
	fixture.allowSecondSends(share, attempts)
	return fixture
}

// allowSecondSends replaces the forwarder by one that may send a share of the requests twice.
func (fixture *fixture) allowSecondSends(share float64, attempts int) {
	options := fixtureOptions
	options.SecondSendShare = share
	fixture.use(forwarder.New(options))
	for i := range fixture.view.Deployment.Routes {
		fixture.view.Deployment.Routes[i].Objective = 2 * secondSendAfter
		fixture.view.Deployment.Routes[i].AttemptLimit = attempts
	}
	fixture.forwarder.Configure(fixture.view)
}

func TestSecondSend(t *testing.T) {
	ended := make(chan time.Time, 4)
	for name, test := range map[string]struct {
		path    string
		share   float64
		scripts []script
		status  int
		body    string
		runs    int
		// reset is whether the first backend server sees its connection end soon.
		reset bool
		limit int
	}{
		"off":                      {"/look/", 0, []script{after(2*secondSendAfter, responds(200, "first")), responds(200, whole)}, 200, "first", 1, false, 2},
		"answered in time":         {"/look/", 0.5, []script{responds(200, "first"), responds(200, whole)}, 200, "first", 1, false, 2},
		"a slow answer":            {"/look/", 0.5, []script{silent(nothing, ended), responds(200, whole)}, 200, whole, 2, true, 2},
		"a stall in the middle":    {"/look/", 0.5, []script{silent(half, ended), responds(200, whole)}, 200, whole, 2, true, 2},
		"may run once at most":     {"/book/", 0.5, []script{after(2*secondSendAfter, responds(200, "first")), responds(200, whole)}, 200, "first", 1, false, 2},
		"no stream that resumes":   {"/once/", 0.5, []script{after(2*secondSendAfter, streams(0, 2, true)), streams(0, 3, true)}, 200, events(0, 2), 1, false, 2},
		"one attempt allowed":      {"/look/", 0.5, []script{after(2*secondSendAfter, responds(200, "first")), responds(200, whole)}, 200, "first", 1, false, 1},
		"a stream that is silent":  {"/stream/", 0.5, []script{silent(nothing, ended), streams(0, 3, true)}, 200, events(0, 3), 2, true, 2},
		"an early head, no event":  {"/stream/", 0.5, []script{silent(streamHead, ended), streams(0, 3, true)}, 200, events(0, 3), 2, true, 2},
		"no event, broken off":     {"/stream/", 0.5, []script{after(2*secondSendAfter, sendsRaw(streamHead, false)), after(2*secondSendAfter, streams(0, 3, true))}, 200, events(0, 3), 2, false, 2},
		"the first fails late":     {"/look/", 0.5, []script{after(2*secondSendAfter, responds(500, "broken")), after(2*secondSendAfter, responds(200, whole))}, 200, whole, 2, false, 2},
		"the second fails":         {"/look/", 0.5, []script{after(3*secondSendAfter, responds(200, "first")), responds(500, "broken")}, 200, "first", 2, false, 2},
		"the second breaks off":    {"/look/", 0.5, []script{after(3*secondSendAfter, responds(200, "first")), sendsRaw(half, true)}, 200, "first", 2, false, 2},
		"both fail":                {"/look/", 0.5, []script{after(2*secondSendAfter, responds(500, "one")), responds(500, "two")}, 500, "one", 2, false, 2},
		"neither runs it":          {"/look/", 0.5, []script{after(2*secondSendAfter, responds(503, "", "X-Not-Executed: 1")), responds(503, "", "X-Not-Executed: 1")}, 503, "", 4, false, 2},
		"the only server is slow":  {"/look/", 0.5, []script{after(2*secondSendAfter, responds(200, "first"))}, 200, "first", 1, false, 2},
		"the second refuses":       {"/look/", 0.5, []script{after(3*secondSendAfter, responds(200, "first")), responds(503, "", "X-Not-Executed: 1")}, 200, "first", 2, false, 2},
		"the second is slower yet": {"/look/", 0.5, []script{after(3*secondSendAfter, responds(200, "first")), silent(nothing, ended)}, 200, "first", 2, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newSecondSendFixture(t, test.share, test.limit, test.scripts...)
			status, body := fixture.send(fixture.request(http.MethodPost, test.path, ""))
			answeredAt := time.Now()
			if status != test.status || body != test.body {
				t.Errorf("response %d %q, expected %d %q", status, body, test.status, test.body)
			}
			if runs := fixture.runs(); runs != test.runs {
				t.Errorf("%d requests reached backend servers, expected %d", runs, test.runs)
			}
			if test.reset {
				select {
				case at := <-ended:
					if at.Sub(answeredAt) > 100*time.Millisecond {
						t.Errorf("the other send ended %v after the answer", at.Sub(answeredAt))
					}
				case <-time.After(time.Second):
					t.Error("the other send did not end")
				}
			}
		})
	}
}

func TestSecondSendStaysWithinTheBudgets(t *testing.T) {
	for name, limit := range map[string]func(fixture *fixture){
		"no retries left": func(fixture *fixture) { fixture.forwarder.SetRetryBudget(0, 0, 10*time.Second) },
		"the service is full": func(fixture *fixture) {
			fixture.forwarder.SetPeerLoads(map[string]int{
				"i-0": 4,
				"i-1": 3,
			})
		},
		"switched off meanwhile": func(fixture *fixture) { fixture.forwarder.SetSecondSendShare(0) },
	} {
		t.Run(name, func(t *testing.T) {
			slow := after(2*secondSendAfter, responds(200, "slow"))
			fixture := newSecondSendFixture(t, 0.5, 2, slow, slow)
			limit(fixture)
			if status, body := fixture.send(fixture.request(http.MethodGet, "/look/", "")); status != 200 || body != "slow" {
				t.Errorf("response %d %q", status, body)
			}
			if runs := fixture.runs(); runs != 1 {
				t.Errorf("the request was sent %d times", runs)
			}
		})
	}
}

func TestCallerLeavesDuringSecondSend(t *testing.T) {
	ended := make(chan time.Time, 2)
	fixture := newSecondSendFixture(t, 0.5, 2, silent(nothing, ended), silent(half, ended))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(3*secondSendAfter, cancel)
	if _, err := http.DefaultTransport.RoundTrip(fixture.request(http.MethodGet, "/look/", "").WithContext(ctx)); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, expected that the caller has left", err)
	}
	left := time.Now()
	for range 2 {
		select {
		case at := <-ended:
			if at.Sub(left) > 200*time.Millisecond {
				t.Errorf("a send ended %v after its caller had left", at.Sub(left))
			}
		case <-time.After(time.Second):
			t.Fatal("a send did not end")
		}
	}
}

// TestBothAnswersAtOnce has two different long answers arrive at the same moment.
func TestBothAnswersAtOnce(t *testing.T) {
	first, second := strings.Repeat("a", 100_000), strings.Repeat("b", 100_000)
	for range 10 {
		fixture := newSecondSendFixture(t, 0.5, 2, after(2*secondSendAfter, responds(200, first)), after(secondSendAfter, responds(200, second)))
		if status, body := fixture.send(fixture.request(http.MethodGet, "/look/", "")); status != 200 || body != first && body != second {
			t.Errorf("status %d and %d bytes, which are of neither answer alone", status, len(body))
		}
		if runs := fixture.runs(); runs != 2 {
			t.Errorf("%d sends, expected 2", runs)
		}
	}
}

// TestNoSecondSendWithinAGroup has a rank of a model engine group begin its stream late.
func TestNoSecondSendWithinAGroup(t *testing.T) {
	fixture := newSecondSendFixture(t, 0.5, 2, after(2*secondSendAfter, streams(0, 3, true)), streams(0, 3, true))
	fixture.view.Deployment.Services[0].Engine = &cranberryward.EngineCostModel{Slots: 4}
	fixture.view.Deployment.Revision++
	fixture.forwarder.Configure(fixture.view)
	if status, body := fixture.send(fixture.request(http.MethodPost, "/stream/", "")); status != 200 || body != events(0, 3) {
		t.Errorf("response %d %q", status, body)
	}
	if runs := fixture.runs(); runs != 1 {
		t.Errorf("the request was sent %d times", runs)
	}
}
