package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// longQuestion is longer than the buffers of a connection, so that it is still being sent when a backend server answers early.
var longQuestion = strings.Repeat("question", 1<<20)

// readsBegin reads the begin of a request's body; an error means that the entry has given the request up.
func readsBegin(exchange *scriptserver.Exchange) {
	_, _ = io.CopyN(io.Discard, exchange.Request.Body, 8<<10)
}

// answersAndResets writes an answer, in which ID stands for the ID of the request, while the request's body is being sent, and resets the connection.
func answersAndResets(text string) script {
	return func(exchange *scriptserver.Exchange) bool {
		readsBegin(exchange)
		sendsRaw(func(id string) string { return strings.ReplaceAll(text, "ID", id) }, true)(exchange)
		return false
	}
}

// answersAndCloses does the same, but ends the answer in order, and reads on until the connection is given up.
func answersAndCloses(text string) script {
	return func(exchange *scriptserver.Exchange) bool {
		readsBegin(exchange)
		sendsRaw(func(id string) string { return strings.ReplaceAll(text, "ID", id) }, false)(exchange)
		_ = exchange.Conn.(*net.TCPConn).CloseWrite() // fails if the entry has closed the connection
		_, _ = io.Copy(io.Discard, exchange)
		return false
	}
}

// afterBody reads the body of the request before the script is called.
func afterBody(script script) script {
	return func(exchange *scriptserver.Exchange) bool {
		_, _ = io.Copy(io.Discard, exchange.Request.Body) // an error means that the entry has given the request up
		return script(exchange)
	}
}

// TestAnswerBeforeTheBodyWasSent guards against delivering an answer without a length as complete whose connection was reset while the entry was still sending the body
// of the request, and against failing a request because its whole answer came that early.
func TestAnswerBeforeTheBodyWasSent(t *testing.T) {
	const (
		attempts  = 12
		eventHead = "Content-Type: text/event-stream"
	)
	unframed := scriptserver.ResponseHead("ID", http.StatusOK) + "part"
	failure := scriptserver.ResponseHead("ID", http.StatusInternalServerError) + "part"
	unframedStream := scriptserver.ResponseHead("ID", http.StatusOK, eventHead) + events(0, 2)
	refusal := scriptserver.ResponseHead("ID", http.StatusServiceUnavailable, "X-Not-Executed: 1", "Content-Length: 0")
	rejection := scriptserver.ResponseHead("ID", http.StatusRequestEntityTooLarge, "Content-Length: 4") + "long"
	sized, chunked := sizedResponse("text/plain", "booked", false).text(), chunkedResponse("text/plain", "booked").text()
	chunkedStream := chunkedResponse("text/event-stream", events(0, 2), events(2, 4)).text()
	type delivered struct {
		status int
		body   string
	}
	failed := delivered{status: http.StatusBadGateway}
	for name, test := range map[string]struct {
		path     string
		scripts  []script
		expected delivered
	}{
		"a booking":                     {"/book/", []script{answersAndResets(unframed)}, failed},
		"a booking, a failure":          {"/book/", []script{answersAndResets(failure)}, failed},
		"a lookup":                      {"/look/", []script{answersAndResets(unframed), answersAndResets(unframed)}, failed},
		"a lookup that is sent again":   {"/look/", []script{answersAndResets(unframed), afterBody(responds(http.StatusOK, "found"))}, delivered{http.StatusOK, "found"}},
		"a stream":                      {"/once/", []script{answersAndResets(unframedStream)}, delivered{0, events(0, 2)}},
		"a stream that is resumed":      {"/stream/", []script{answersAndResets(unframedStream), afterBody(resumes(4))}, delivered{http.StatusOK, events(0, 4)}},
		"an empty stream":               {"/once/", []script{answersAndResets(scriptserver.ResponseHead("ID", http.StatusOK, eventHead))}, failed},
		"a refusal":                     {"/book/", []script{answersAndResets(refusal), afterBody(responds(http.StatusOK, "booked"))}, delivered{http.StatusOK, "booked"}},
		"a rejection":                   {"/book/", []script{answersAndResets(rejection)}, delivered{http.StatusRequestEntityTooLarge, "long"}},
		"a whole booking":               {"/book/", []script{answersAndCloses(unframed)}, delivered{http.StatusOK, "part"}},
		"a whole failure":               {"/book/", []script{answersAndCloses(failure)}, delivered{http.StatusInternalServerError, "part"}},
		"a whole stream":                {"/once/", []script{answersAndCloses(unframedStream)}, delivered{http.StatusOK, events(0, 2)}},
		"a whole booking with a length": {"/book/", []script{answersAndResets(sized)}, delivered{http.StatusOK, "booked"}},
		"a whole booking in chunks":     {"/book/", []script{answersAndResets(chunked)}, delivered{http.StatusOK, "booked"}},
		"a whole stream in chunks":      {"/once/", []script{answersAndResets(chunkedStream)}, delivered{http.StatusOK, events(0, 4)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixtureOf(t, scriptserver.NewEarly, test.scripts)
			fixture.view.Deployment.Limits.BodyBytes = 2 * int64(len(longQuestion))
			for range attempts {
				fixture.forget()
				status, body := fixture.send(fixture.request(http.MethodPost, test.path, longQuestion))
				if got := (delivered{status, body}); got != test.expected {
					t.Errorf("delivered %v, expected %v", got, test.expected)
				}
			}
		})
	}
}

// TestResetStreamDoesNotEndTheOtherSend guards against taking a stream without a length that was reset before its first event for the first answer of two sends, and
// giving up the other one.
func TestResetStreamDoesNotEndTheOtherSend(t *testing.T) {
	reset := answersAndResets(scriptserver.ResponseHead("ID", http.StatusOK, "Content-Type: text/event-stream"))
	fixture := newFixtureOf(t, scriptserver.NewEarly, []script{after(2*secondSendAfter, reset), afterBody(after(3*secondSendAfter, streams(0, 3, true)))})
	fixture.view.Deployment.Limits.BodyBytes = 2 * int64(len(longQuestion))
	fixture.allowSecondSends(0.5, 2)
	status, body := fixture.send(fixture.request(http.MethodPost, "/stream/", longQuestion))
	if status != http.StatusOK || body != events(0, 3) {
		t.Errorf("response %d %q, expected %q", status, body, events(0, 3))
	}
	if runs := fixture.runs(); runs != 2 {
		t.Errorf("%d requests reached backend servers, expected 2", runs)
	}
}
