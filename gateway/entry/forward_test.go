package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/forwarder"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
	"github.com/go-kit/log"
)

type script = func(exchange *scriptserver.Exchange) bool

func responds(status int, body string, headers ...string) script {
	return func(exchange *scriptserver.Exchange) bool {
		exchange.Respond(status, body, headers...)
		return true
	}
}

func sendsRaw(text func(id string) string, reset bool) script {
	return func(exchange *scriptserver.Exchange) bool {
		io.WriteString(exchange, text(exchange.Request.Header.Get("X-Attempt-Id")))
		if reset {
			exchange.Reset()
		}
		return false
	}
}

// fixture is a forwarder in front of scripted backend servers.
type fixture struct {
	t         *testing.T
	forwarder *forwarder.Forwarder
	front     *httptest.Server
	// handler is the forwarder that serves the front.
	handler atomic.Pointer[forwarder.Forwarder]
	servers []*scriptserver.Server
	view    cranberryward.View
}

// fixtureOptions are the options of the forwarders under test.
var fixtureOptions = forwarder.Options{
	Zone:        "zone-a",
	RetryRatio:  10,
	RetrySlack:  100,
	RetryWindow: 10 * time.Second,
	Entries:     func() int { return 1 },
	Logger:      log.NewNopLogger(),
}

// useQuarantineStore replaces the forwarder by one that stores quarantines with the given function.
func (fixture *fixture) useQuarantineStore(save func(ctx context.Context, quarantine cranberryward.Quarantine) (cranberryward.Quarantine, error)) {
	options := fixtureOptions
	options.SaveQuarantine = save
	fixture.use(forwarder.New(options))
}

// use replaces the forwarder.
func (fixture *fixture) use(forwarder *forwarder.Forwarder) {
	fixture.forwarder = forwarder
	fixture.handler.Store(forwarder)
}

// forget replaces the forwarder by one that knows nothing of earlier requests.
func (fixture *fixture) forget() {
	fixture.use(forwarder.New(fixtureOptions))
	fixture.forwarder.Configure(fixture.view)
}

func newFixture(t *testing.T, scripts ...script) *fixture {
	return newFixtureOf(t, scriptserver.New, scripts)
}

// newFixtureOf returns a fixture whose backend servers are started by a function.
func newFixtureOf(t *testing.T, start func(script) (*scriptserver.Server, error), scripts []script) *fixture {
	fixture := &fixture{
		t: t,
		view: cranberryward.View{
			At:      2,
			Servers: map[string]cranberryward.BackendServer{},
		},
	}
	route := func(name string, kind cranberryward.RequestKind, resumable bool) cranberryward.Route {
		return cranberryward.Route{
			Name:    name,
			Host:    "front.example",
			Prefix:  "/" + name + "/",
			Kind:    kind,
			Timeout: 2 * time.Second,
			Split: []cranberryward.ServiceShare{{
				Service: "app",
				Weight:  1,
			}},
			AttemptLimit: 2,
			Resumable:    resumable,
		}
	}
	fixture.view.Deployment = &cranberryward.Deployment{
		Version:  1,
		Revision: 2,
		Routes: []cranberryward.Route{
			route("book", cranberryward.NonIdempotent, false),
			route("look", cranberryward.Idempotent, false),
			route("stream", cranberryward.Streaming, true),
			route("once", cranberryward.Streaming, false),
		},
		Services: []cranberryward.BackendService{{Name: "app"}},
		Workspaces: []cranberryward.Workspace{{
			Name: "quito",
			Keys: []string{"key-1"},
		}},
		Limits: cranberryward.RequestLimits{BodyBytes: 1 << 20},
	}
	for i, script := range scripts {
		server, err := start(script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		fixture.servers = append(fixture.servers, server)
		id := fmt.Sprintf("i-%d", i)
		// The other zone's penalty makes the first server the one that is tried first.
		fixture.view.Servers[id] = cranberryward.BackendServer{
			ID:      id,
			Service: "app",
			Address: server.Address(),
			Zone:    []string{"zone-a", "zone-b"}[min(i, 1)],
			Slots:   4,
		}
	}
	fixture.forget()
	fixture.front = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fixture.handler.Load().ServeHTTP(writer, request)
	}))
	t.Cleanup(fixture.front.Close)
	return fixture
}

func (fixture *fixture) runs() int {
	runs := 0
	for _, server := range fixture.servers {
		runs += len(server.Requests())
	}
	return runs
}

var attempts atomic.Int64

func (fixture *fixture) request(method, path, body string, headers ...string) *http.Request {
	request, err := http.NewRequest(method, fixture.front.URL+path, strings.NewReader(body))
	if err != nil {
		fixture.t.Fatal(err)
	}
	request.Host = "front.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("attempt-%d", attempts.Add(1)))
	request.Header.Set("X-Deadline-Remaining-Ms", "1500")
	request.Header.Set("Authorization", "Token key-1")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	return request
}

// send returns the status and body of a response, and status 0 if the connection ended before a complete one.
func (fixture *fixture) send(request *http.Request) (int, string) {
	fixture.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body)
	}
	return response.StatusCode, string(body)
}

func TestForwardedResponses(t *testing.T) {
	unsigned := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 2\r\n\r\nno"
	}
	foreign := func(id string) string {
		return scriptserver.ResponseHead("another", 200, "Content-Length: 5") + "other" + scriptserver.ResponseHead(id, 200, "Content-Length: 4") + "mine"
	}
	foreignStatus := func(id string) string {
		return strings.Replace(foreign(id), "200", "000", 1)
	}
	cut := func(id string) string { return scriptserver.ResponseHead(id, 200, "Content-Length: 100") + "half" }
	garbage := func(string) string { return "these bytes are no answer\r\n\r\n" }
	bare503 := func(id string) string { return scriptserver.ResponseHead(id, 503, "Content-Length: 0") }
	unframed := func(id string) string { return scriptserver.ResponseHead(id, 200) + "part" }
	for name, test := range map[string]struct {
		path    string
		scripts []script
		status  int
		body    string
		runs    int
	}{
		"a complete response is delivered":                            {"/book/", []script{responds(200, "booked")}, 200, "booked", 1},
		"a backend server's failure is delivered unchanged":           {"/book/", []script{responds(500, "broken")}, 500, "broken", 1},
		"an unsigned success is not delivered":                        {"/book/", []script{sendsRaw(unsigned, false)}, 502, "", 1},
		"an unsigned success of an idempotent request is retried":     {"/look/", []script{sendsRaw(unsigned, false), responds(200, "found")}, 200, "found", 2},
		"a response to another request is skipped":                    {"/book/", []script{sendsRaw(foreign, false)}, 200, "mine", 1},
		"a response to another request with status 000 is skipped":    {"/book/", []script{sendsRaw(foreignStatus, false)}, 200, "mine", 1},
		"a truncated response is not delivered":                       {"/book/", []script{sendsRaw(cut, true)}, 502, "", 1},
		"a truncated response to an idempotent request is retried":    {"/look/", []script{sendsRaw(cut, true), responds(200, "found")}, 200, "found", 2},
		"bytes that are no response are not forwarded":                {"/book/", []script{sendsRaw(garbage, false)}, 502, "", 1},
		"an encoded body, which no backend server sends, is rejected": {"/book/", []script{responds(200, "xx", "Content-Encoding: gzip")}, 502, "", 1},
		"a response without length that is reset is incomplete":       {"/book/", []script{sendsRaw(unframed, true)}, 502, "", 1},
		"a response without length that is closed is complete":        {"/book/", []script{sendsRaw(unframed, false)}, 200, "part", 1},
		"a booking is not retried after a reset":                      {"/book/", []script{sendsRaw(func(string) string { return "" }, true), responds(200, "again")}, 502, "", 1},
		"503 without the not-executed header is not retried":          {"/book/", []script{sendsRaw(bare503, false), responds(200, "again")}, 502, "", 1},
		"a request that was not executed is sent elsewhere":           {"/book/", []script{responds(503, "", "X-Not-Executed: 1"), responds(200, "booked")}, 200, "booked", 2},
		"a request that no server executes is refused":                {"/book/", []script{responds(503, "", "X-Not-Executed: 1")}, 503, "", 4},
		"a misdirected request is sent elsewhere":                     {"/book/", []script{responds(421, "", "X-Instance-Id: i-9"), responds(200, "booked")}, 200, "booked", 2},
		"a failure of an idempotent request is retried":               {"/look/", []script{responds(500, "broken"), responds(200, "found")}, 200, "found", 2},
		"a second failure of an idempotent request is delivered":      {"/look/", []script{responds(500, "one"), responds(500, "two"), responds(500, "two")}, 500, "two", 2},
		"the route limits the backend servers that are tried":         {"/look/", []script{sendsRaw(cut, true), sendsRaw(cut, true), sendsRaw(cut, true)}, 502, "", 2},
		"a stream is forwarded whole":                                 {"/stream/", []script{streams(0, 3, true)}, 200, events(0, 3), 1},
		"a stream cut within an event resumes elsewhere":              {"/stream/", []script{streams(0, 2, false), resumes(5)}, 200, events(0, 5), 2},
		"a stream whose body ends within an event resumes elsewhere":  {"/stream/", []script{endsWithinEvent(2), resumes(5)}, 200, events(0, 5), 2},
		"a cut stream that may not be resumed fails":                  {"/once/", []script{streams(0, 2, false), resumes(5)}, 0, events(0, 2), 1},
		"a stream cut before its first event is sent again":           {"/stream/", []script{streams(0, 0, false), resumes(4)}, 200, events(0, 4), 2},
		"a cut stream that no server resumes fails":                   {"/stream/", []script{streams(0, 2, false), responds(503, "", "X-Not-Executed: 1")}, 0, events(0, 2), 3},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, test.scripts...)
			status, body := fixture.send(fixture.request(http.MethodPost, test.path, "question"))
			if status != test.status || body != test.body {
				t.Errorf("response %d %q, expected %d %q", status, body, test.status, test.body)
			}
			if runs := fixture.runs(); runs != test.runs {
				t.Errorf("%d requests reached backend servers, expected %d", runs, test.runs)
			}
		})
	}
}

// events returns the events of a stream as its caller reads them.
func events(from, to int) string {
	var text strings.Builder
	for id := from + 1; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

func writeEvents(exchange *scriptserver.Exchange, from, to int) {
	io.WriteString(exchange, scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
	for id := from + 1; id <= to; id++ {
		io.WriteString(exchange, scriptserver.EventChunk(id, fmt.Sprintf("piece %d", id)))
	}
}

// streams sends some events, and then either the stream's end or a part of the next event and an early close.
func streams(from, to int, whole bool) script {
	return func(exchange *scriptserver.Exchange) bool {
		writeEvents(exchange, from, to)
		if whole {
			io.WriteString(exchange, "0\r\n\r\n")
			return true
		}
		io.WriteString(exchange, "6\r\nid: 99\r\n")
		// After a reset, the peer may lose bytes that have not arrived, so the connection is closed in order but early.
		return false
	}
}

// endsWithinEvent sends some events and a part of the next, and ends the body in order.
func endsWithinEvent(events int) script {
	return func(exchange *scriptserver.Exchange) bool {
		writeEvents(exchange, 0, events)
		io.WriteString(exchange, "6\r\nid: 99\r\n0\r\n\r\n")
		return true
	}
}

// resumes sends the events after the one that the request names.
func resumes(to int) script {
	return func(exchange *scriptserver.Exchange) bool {
		from := 0
		fmt.Sscan(exchange.Request.Header.Get("Last-Event-Id"), &from)
		writeEvents(exchange, from, to)
		io.WriteString(exchange, "0\r\n\r\n")
		return true
	}
}

func TestForwardedRequestHead(t *testing.T) {
	fixture := newFixture(t, responds(200, "booked"))
	request := fixture.request(http.MethodPost, "/book/a%2Fb?x=1;2", "question",
		"X-Tenant-Name: forged", "X-Expected-Instance: forged", "X-Request-Priority: 0", "X-Other: kept", "X-Token-Counts: 10,20")
	if status, _ := fixture.send(request); status != 200 {
		t.Fatalf("status %d", status)
	}
	received := fixture.servers[0].Requests()[0]
	for name, expected := range map[string]string{
		"X-Tenant-Name":       "quito",
		"X-Expected-Instance": "i-0",
		"X-Attempt-Id":        request.Header.Get("X-Attempt-Id"),
		"X-Other":             "kept",
		"X-Token-Counts":      "10,20",
		"Authorization":       "",
		"Connection":          "",
	} {
		if values := strings.Join(received.Header.Values(name), "|"); values != expected {
			t.Errorf("%s: %q, expected %q", name, values, expected)
		}
	}
	if received.RequestURI != "/book/a%2Fb?x=1;2" || received.Host != "front.example" {
		t.Errorf("path %q at %q", received.RequestURI, received.Host)
	}
	var remaining int
	fmt.Sscan(received.Header.Get("X-Deadline-Remaining-Ms"), &remaining)
	if remaining <= 0 || remaining > 1500 {
		t.Errorf("%d ms remain of 1500", remaining)
	}
}

func TestLocalResponses(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		headers []string
		prepare func(fixture *fixture)
		status  int
	}{
		"a path without a route":             {"/none/", nil, func(*fixture) {}, 404},
		"an unknown key":                     {"/book/", []string{"Authorization: Token other"}, func(*fixture) {}, 401},
		"no key":                             {"/book/", []string{"Authorization: "}, func(*fixture) {}, 401},
		"a removed key":                      {"/book/", nil, func(fixture *fixture) { fixture.configure(3, "other-key") }, 401},
		"an older configuration":             {"/book/", nil, func(fixture *fixture) { fixture.configure(1, "other-key") }, 200},
		"a leaving backend server":           {"/book/", nil, func(fixture *fixture) { fixture.drainServer() }, 503},
		"a group that is broken":             {"/book/", nil, func(fixture *fixture) { fixture.forwarder.SetGroupState("agent", groupState(1, false)) }, 503},
		"a group that has reopened":          {"/book/", nil, (*fixture).reopenGroup, 200},
		"a body longer than the limit":       {"/long/", nil, func(*fixture) {}, 413},
		"a stop that leaves too little time": {"/book/", nil, func(fixture *fixture) { fixture.forwarder.Stop(time.Now().Add(time.Second)) }, 503},
		"a stop that leaves enough time":     {"/book/", nil, func(fixture *fixture) { fixture.forwarder.Stop(time.Now().Add(time.Minute)) }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, responds(200, "booked"))
			test.prepare(fixture)
			body := "question"
			path := test.path
			if path == "/long/" {
				path, body = "/book/", strings.Repeat("x", 1<<20+1)
			}
			if status, _ := fixture.send(fixture.request(http.MethodPost, path, body, test.headers...)); status != test.status {
				t.Errorf("status %d, expected %d", status, test.status)
			}
			if runs := fixture.runs(); (runs > 0) != (test.status == 200) {
				t.Errorf("%d requests reached the backend server", runs)
			}
		})
	}
	t.Run("no configuration yet", func(t *testing.T) {
		front := httptest.NewServer(forwarder.New(forwarder.Options{Logger: log.NewNopLogger()}))
		defer front.Close()
		response, err := http.Get(front.URL + "/book/")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
		}
	})
}

func (fixture *fixture) configure(revision uint64, key string) {
	deployment := *fixture.view.Deployment
	deployment.Revision = revision
	deployment.Workspaces = []cranberryward.Workspace{{
		Name: "quito",
		Keys: []string{key},
	}}
	view := fixture.view
	view.Deployment = &deployment
	fixture.forwarder.Configure(view)
}

func (fixture *fixture) drainServer() {
	server := fixture.view.Servers["i-0"]
	server.Leaving = true
	fixture.view.Servers = map[string]cranberryward.BackendServer{"i-0": server}
	fixture.forwarder.Configure(fixture.view)
}

func groupState(epoch uint64, open bool) cranberryward.GroupState {
	return cranberryward.GroupState{
		Service: "app",
		Name:    "g0",
		Epoch:   epoch,
		Open:    open,
	}
}

func (fixture *fixture) reopenGroup() {
	fixture.forwarder.SetGroupState("agent-1", groupState(1, false))
	fixture.forwarder.SetGroupState("agent-2", groupState(2, true))
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		exchange.Respond(200, "right")
		io.WriteString(exchange, scriptserver.ResponseHead("another", 200, "Content-Length: 5")+"extra")
		return true
	})
	for range 5 {
		if status, body := fixture.send(fixture.request(http.MethodGet, "/look/", "")); status != 200 || body != "right" {
			t.Errorf("response %d %q", status, body)
		}
	}
}

func TestNonIdempotentRequestsUseNewConnections(t *testing.T) {
	connections := make(chan int, 8)
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		connections <- exchange.ConnectionNumber
		exchange.Respond(200, "booked")
		return true
	})
	for expected := range 4 {
		fixture.send(fixture.request(http.MethodPost, "/book/", "question"))
		if connection := <-connections; connection != expected {
			t.Errorf("request %d came on connection %d", expected, connection)
		}
	}
}

func TestCallerDisconnectResetsBackendConnection(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan error, 1)
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		close(begun)
		one := make([]byte, 1)
		_, err := exchange.Read(one) // returns when the entry closes the connection
		ended <- err
		return false
	})
	// The request's time-out is one minute, so that only the caller's disconnect can end it while the test waits.
	fixture.view.Deployment.Routes[2].Timeout = time.Minute
	fixture.view.Deployment.Revision++
	fixture.forwarder.Configure(fixture.view)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		response, err := http.DefaultTransport.RoundTrip(fixture.request(http.MethodPost, "/stream/", "question", "X-Deadline-Remaining-Ms: 60000").WithContext(ctx))
		if err == nil {
			response.Body.Close()
		}
	}()
	<-begun
	disconnect()
	select {
	case err := <-ended:
		// Only a reset discards the bytes that are queued for a stalled backend server.
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, expected a reset", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the backend server still runs the request of a caller that has disconnected")
	}
}

func TestRequestDeadlineIsAnswered(t *testing.T) {
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		one := make([]byte, 1)
		exchange.Read(one)
		return false
	})
	status, _ := fixture.send(fixture.request(http.MethodPost, "/book/", "question", "X-Deadline-Remaining-Ms: 200"))
	if status != 504 {
		t.Errorf("status %d, expected 504 because the request may have run", status)
	}
}

// TestSmuggledRequests sends raw bytes whose parts disagree on where a request ends.
func TestSmuggledRequests(t *testing.T) {
	inner := "POST /book/ HTTP/1.1\r\nHost: front.example\r\nX-Attempt-Id: smuggled\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n"
	head := "POST /look/ HTTP/1.1\r\nHost: front.example\r\nX-Attempt-Id: outer\r\nAuthorization: Token key-1\r\nX-Deadline-Remaining-Ms: 800\r\n"
	for name, text := range map[string]string{
		"two lengths":               head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(inner)) + inner,
		"a length beside chunks":    head + fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		"an unknown coding":         head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
		"a folded header":           head + "X-Long: a\r\n b\r\nContent-Length: " + fmt.Sprint(len(inner)) + "\r\n\r\n" + inner,
		"a space before the colon":  head + "Content-Length : 0\r\n\r\n",
		"a head that asks to close": head + "Connection: close, X-Attempt-Id\r\nContent-Length: " + fmt.Sprint(len(inner)) + "\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, responds(200, "found"))
			conn, err := net.Dial("tcp", strings.TrimPrefix(fixture.front.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, text)
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Logf("no response: %v", err)
			}
			for _, request := range fixture.servers[0].Requests() {
				if id := request.Header.Get("X-Attempt-Id"); id != "outer" {
					t.Errorf("a request with id %q ran", id)
				}
			}
		})
	}
}

func TestRankWithoutLoadReportIsAvoided(t *testing.T) {
	fixture := newFixture(t, responds(200, "first"), responds(200, "second"))
	loads := map[string]int{
		"i-0": 0,
		"i-1": 3,
	}
	fixture.forwarder.SetGroupLoad(cranberryward.GroupLoad{
		Service: "app",
		Counts:  loads,
	})
	delete(loads, "i-0")
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		fixture.forwarder.SetGroupLoad(cranberryward.GroupLoad{
			Service: "app",
			Counts:  loads,
		})
		if _, body := fixture.send(fixture.request(http.MethodPost, "/book/", "question")); body == "second" {
			return
		}
		select {
		case <-deadline:
			t.Fatal("requests are still sent to a rank without load reports")
		case <-ticker.C:
		}
	}
}

const (
	// waitTimeout bounds the waits for events that take less than a second.
	waitTimeout = 20 * time.Second
	// loadInterval is how often a controller announces loads.
	loadInterval = 75 * time.Millisecond
)

// TestStalledGroupGetsNoNewRequests starts streams and then sends nothing at all, as when ranks of their group stall.
func TestStalledGroupGetsNoNewRequests(t *testing.T) {
	const streams = 3
	release := make(chan struct{})
	var asked atomic.Int64
	fixture := newFixture(t, func(exchange *scriptserver.Exchange) bool {
		head := scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		if asked.Add(1) > streams {
			<-release // a first event would show that the group is not stalled
			return false
		}
		io.WriteString(exchange, head+scriptserver.EventChunk(1, "first"))
		<-release
		return false
	})
	fixture.view.Deployment.Routes[2].PauseObjective = 10 * time.Millisecond
	fixture.view.Deployment.Routes[2].Timeout = time.Minute
	fixture.view.Deployment.Services[0].Engine = &cranberryward.EngineCostModel{}
	fixture.view.Deployment.Revision++
	server := fixture.view.Servers["i-0"]
	server.Slots = 1 << 20 // so that only the stall causes refusals
	fixture.view.Servers["i-0"] = server
	fixture.forwarder.Configure(fixture.view)
	ctx, disconnect := context.WithCancel(context.Background())
	ask := func() *http.Response {
		request := fixture.request(http.MethodPost, "/stream/", "question", "X-Deadline-Remaining-Ms: 60000")
		response, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
		if err != nil {
			return nil
		}
		return response
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	defer disconnect()
	defer close(release)
	for range streams {
		response := ask()
		if response == nil {
			t.Fatal("a stream of a working group did not start")
		}
		defer response.Body.Close()
		if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	// Further requests are still sent until the pauses are long enough; then one is refused.
	refused := make(chan struct{}, 1)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(waitTimeout)
	for {
		select {
		case <-refused:
			return
		case <-deadline:
			t.Fatal("requests are still sent to a stalled group")
		case <-ticker.C:
		}
		callers.Go(func() {
			response := ask()
			if response == nil {
				return
			}
			defer response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
				select {
				case refused <- struct{}{}:
				default:
				}
			}
		})
	}
}
