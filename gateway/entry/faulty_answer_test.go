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

// unsignedStream sends a stream without a signature.
func unsignedStream(exchange *scriptserver.Exchange) bool {
	id := exchange.Request.Header.Get("X-Attempt-Id")
	text := "id: 3\ndata: foreign\n\n"
	fmt.Fprintf(exchange, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	return true
}

// breaksOffWithHead sends events without a stated length and then, on the same connection, the head and text of an error.
func breaksOffWithHead(exchange *scriptserver.Exchange) bool {
	id := exchange.Request.Header.Get("X-Attempt-Id")
	io.WriteString(exchange, scriptserver.ResponseHead(id, 200, "Content-Type: text/event-stream", "Connection: close")+events(0, 2))
	io.WriteString(exchange, scriptserver.ResponseHead(id, 500, "Content-Type: text/plain", "Content-Length: 6")+"failed\n\n")
	return false
}

// TestErrorAnswerIsNoPartOfAStream guards against an error's text or head in the middle of a stream, and against ending the stream as complete, when a stream has
// begun and broke off and the next backend server answers its resumption with an error.
func TestErrorAnswerIsNoPartOfAStream(t *testing.T) {
	const text = "data: failed\n\n"
	for name, test := range map[string]struct {
		scripts []script
	}{
		"500":                            {[]script{streams(0, 2, false), responds(500, text)}},
		"500 as a stream":                {[]script{streams(0, 2, false), responds(500, "id: 3\n"+text, "Content-Type: text/event-stream")}},
		"404":                            {[]script{streams(0, 2, false), responds(404, text)}},
		"503 that did not run":           {[]script{streams(0, 2, false), responds(503, text, "X-Not-Executed: 1")}},
		"204":                            {[]script{streams(0, 2, false), responds(204, "")}},
		"200 without a signature":        {[]script{streams(0, 2, false), unsignedStream}},
		"200 with a text":                {[]script{streams(0, 2, false), responds(200, text, "Content-Type: text/plain")}},
		"200 with JSON that looks whole": {[]script{streams(0, 2, false), responds(200, "{\"error\":\"failed\"}\n\n", "Content-Type: application/json")}},
		"200 with an empty body":         {[]script{streams(0, 2, false), responds(200, "", "Content-Type: text/plain")}},
		"a stream whose event has no ID": {[]script{streams(0, 2, false), responds(200, text, "Content-Type: text/event-stream")}},
		"a head within the stream":       {[]script{breaksOffWithHead, responds(500, text)}},
		"a body within the stream": {[]script{sendsRaw(func(id string) string {
			return scriptserver.ResponseHead(id, 200, "Content-Type: text/event-stream", "Connection: close") + events(0, 2) + "failed\n\n"
		}, false), responds(500, text)}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, test.scripts...)
			status, body := fixture.send(fixture.request(http.MethodPost, "/stream/", "question"))
			if status != 0 || body != events(0, 2) {
				t.Errorf("response %d %q, expected %q and a broken connection", status, body, events(0, 2))
			}
		})
	}
}

// TestCommentsOfAStreamAreForwarded guards against taking a comment, which has no ID, for a foreign part of a stream.
func TestCommentsOfAStreamAreForwarded(t *testing.T) {
	const text = "id: 1\ndata: one\n\n: still here\n\n\nid: 2\ndata: two\n\n"
	fixture := newFixture(t, responds(200, text, "Content-Type: text/event-stream"))
	if status, body := fixture.send(fixture.request(http.MethodPost, "/stream/", "question")); status != 200 || body != text {
		t.Errorf("response %d %q, expected %q", status, body, text)
	}
}

// sendsEvents sends a stream of the given events as chunks, and ends it or breaks it off.
func sendsEvents(whole bool, events ...string) script {
	return func(exchange *scriptserver.Exchange) bool {
		io.WriteString(exchange, scriptserver.ResponseHead(exchange.Request.Header.Get("X-Attempt-Id"), 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for _, event := range events {
			fmt.Fprintf(exchange, "%x\r\n%s\r\n", len(event), event)
		}
		if whole {
			io.WriteString(exchange, "0\r\n\r\n")
		}
		return whole
	}
}

// TestStreamWithAWrongID guards against a complete stream in which events are missing: of one run all events are forwarded, in which a wrong digit of an ID makes none
// look like a repetition; at a wrong ID a stream is not resumed; and a run that resumes a stream is joined to it at the right place only.
func TestStreamWithAWrongID(t *testing.T) {
	wrong := func(id, number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, number) }
	for name, test := range map[string]struct {
		path    string
		scripts []script
		status  int
		body    string
	}{
		"too high, once":         {"/once/", []script{sendsEvents(true, events(0, 2), wrong(9, 3), events(3, 12))}, 200, events(0, 2) + wrong(9, 3) + events(3, 12)},
		"too high, resumable":    {"/stream/", []script{sendsEvents(true, events(0, 2), wrong(9, 3), events(3, 12))}, 200, events(0, 2) + wrong(9, 3) + events(3, 12)},
		"higher than all others": {"/stream/", []script{sendsEvents(true, events(0, 2), wrong(99, 3), events(3, 12))}, 200, events(0, 2) + wrong(99, 3) + events(3, 12)},
		"too low":                {"/stream/", []script{sendsEvents(true, events(0, 2), wrong(1, 3), events(3, 12))}, 200, events(0, 2) + wrong(1, 3) + events(3, 12)},
		"the last event":         {"/stream/", []script{sendsEvents(true, events(0, 2), wrong(2, 3))}, 200, events(0, 2) + wrong(2, 3)},
		"a comment and a blank line at the begin": {"/stream/", []script{sendsEvents(true, ": begun\n\n", "\n", events(0, 2))}, 200, ": begun\n\n\n" + events(0, 2)},
		"a comment alone":                         {"/once/", []script{sendsEvents(true, ": begun\n\n")}, 200, ": begun\n\n"},
		"a break behind it":                       {"/stream/", []script{sendsEvents(false, events(0, 2), wrong(9, 3)), resumes(12)}, 0, events(0, 2) + wrong(9, 3)},
		"a break later":                           {"/stream/", []script{sendsEvents(false, events(0, 2), wrong(9, 3), events(3, 5)), resumes(12)}, 0, events(0, 2) + wrong(9, 3) + events(3, 5)},
		"no IDs, and a break":                     {"/stream/", []script{sendsEvents(false, "data: one\n\n"), sendsEvents(true, "data: one\n\n", "data: two\n\n")}, 0, "data: one\n\n"},
		"where the stream is resumed":             {"/stream/", []script{sendsEvents(false, events(0, 2)), sendsEvents(true, wrong(1, 3), events(3, 4))}, 0, events(0, 2)},
		"after the stream was resumed":            {"/stream/", []script{sendsEvents(false, events(0, 2)), sendsEvents(true, events(2, 3), wrong(2, 4), events(4, 6))}, 0, events(0, 3)},
		"a repetition before the next event":      {"/stream/", []script{sendsEvents(false, events(0, 2)), sendsEvents(true, events(1, 4))}, 200, events(0, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t, test.scripts...)
			status, body := fixture.send(fixture.request(http.MethodPost, test.path, "question"))
			if status != test.status || body != test.body {
				t.Errorf("response %d %q, expected %d %q", status, body, test.status, test.body)
			}
		})
	}
}
