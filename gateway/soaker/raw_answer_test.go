package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"testing"
)

const (
	// rawPath is the folder of the paths of requests that backend servers answer with the raw answer of that name.
	rawPath = "/raw/"
	// rawAttempts is the number of requests of a kind for each raw answer.
	rawAttempts = 6
	// rawBodyLimit is the longest body of a request where raw answers are given.
	rawBodyLimit = 16 << 20
	// rawBegin is how much of a request a backend server reads before it answers.
	rawBegin = 8 << 10
)

// longQuestion is longer than the buffers of a connection, so that it is still being sent when a backend server answers early.
var longQuestion = strings.Repeat("question", 1<<20)

// rawAnswer is an answer that a backend server writes before it has read the request, and after which it resets the connection.
type rawAnswer struct {
	// text is what it writes, in which ID stands for the id of the request and HEAD for the head of a signed success.
	text string
	// inOrder is whether it ends the answer in order before the reset.
	inOrder bool
	// body is what the caller gets, or nothing if the answer may not be delivered.
	body string
}

// trouble is the head of an answer with the status 000.
const trouble = "HTTP/1.1 000 Trouble\r\nX-Attempt-Id: ID\r\nX-Response-Signature: signature\r\n"

const twoEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

var plainAnswers = map[string]rawAnswer{
	"whole-sized":    {"HEADContent-Length: 5\r\n\r\nwhole", false, "whole"},
	"whole-chunked":  {"HEADTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false, "whole"},
	"whole-unframed": {"HEAD\r\nwhole", true, "whole"},
	"reset-unframed": {"HEAD\r\npart", false, ""},
	"reset-empty":    {"HEAD\r\n", false, ""},
	"reset-sized":    {"HEADContent-Length: 5\r\n\r\npart", false, ""},
	"reset-chunked":  {"HEADTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, ""},
	"status":         {trouble + "Content-Length: 4\r\n\r\npart", true, ""},
	"status-before":  {trouble + "\r\nHEADContent-Length: 4\r\n\r\npart", true, ""},
	"name-blank":     {"HEADContent-Length : 4\r\n\r\npart of this", true, ""},
	"name-folded":    {"HEADX-Other: 1\r\n Content-Length: 4\r\n\r\npart", true, ""},
	"name-control":   {"HEADX-\x01Other: 1\r\nContent-Length: 4\r\n\r\npart", true, ""},
}

var streamAnswers = map[string]rawAnswer{
	"whole-stream":  {"HEADContent-Type: text/event-stream\r\n\r\n" + twoEvents, true, twoEvents},
	"reset-stream":  {"HEADContent-Type: text/event-stream\r\n\r\n" + twoEvents, false, ""},
	"status":        {trouble + "Content-Type: text/event-stream\r\n\r\n" + twoEvents, true, ""},
	"status-before": {trouble + "\r\nHEADContent-Type: text/event-stream\r\n\r\n" + twoEvents, true, ""},
	"name-blank":    {"HEADContent-Type: text/event-stream\r\nX Other: 1\r\n\r\n" + twoEvents, true, ""},
	"name-control":  {"HEADContent-Type: text/event-stream\r\nX\x7fOther: 1\r\n\r\n" + twoEvents, true, ""},
}

// write writes the answer to a request and ends its connection.
func (rawAnswer rawAnswer) write(connection *net.TCPConn, id string) {
	text := strings.ReplaceAll(rawAnswer.text, "HEAD", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Signature: signature\r\n")
	_, _ = io.WriteString(connection, strings.ReplaceAll(text, "ID", id)) // fails if the entry has given the request up
	if rawAnswer.inOrder {
		_ = connection.CloseWrite()
	}
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// answerRaw answers a request for a raw answer, and returns whether it is one.
func (deployment *deployment) answerRaw(writer http.ResponseWriter, request *http.Request, answers map[string]rawAnswer) bool {
	if !strings.Contains(request.URL.Path, rawPath) {
		return false
	}
	id := request.Header.Get("X-Attempt-Id")
	deployment.checker.recordRun(id)
	_, _ = io.CopyN(io.Discard, request.Body, rawBegin) // fails if the entry has given the request up
	deployment.writeRaw(writer, answers[path.Base(request.URL.Path)], id)
	return true
}

// answerBroken answers a request with one of the raw answers that may not be delivered.
func (deployment *deployment) answerBroken(writer http.ResponseWriter, id string) {
	for _, answer := range plainAnswers { // in random order
		if answer.body == "" {
			deployment.writeRaw(writer, answer, id)
			return
		}
	}
}

func (deployment *deployment) writeRaw(writer http.ResponseWriter, answer rawAnswer, id string) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		deployment.checker.report("%s: %v", id, err)
		return
	}
	answer.write(connection.(*net.TCPConn), id)
}

// TestRawAnswers guards against delivering an answer that is broken, and against not delivering a whole one that comes before the request was read.
func TestRawAnswers(t *testing.T) {
	deployment := newDeployment(t, 2, 2, 2)
	deployment.bodyLimit = rawBodyLimit
	deployment.awaitInForce(deployment.configure())
	deployment.awaitAllServing()
	for _, whole := range []bool{true, false} { // a broken answer makes entries avoid its backend server for a while
		for kind, answers := range map[kind]map[string]rawAnswer{
			booking: plainAnswers,
			lookup:  plainAnswers,
			stream:  streamAnswers,
		} {
			for name, answer := range answers {
				if whole == (answer.body != "") {
					deployment.expectRawAnswer(kind, name, answer.body)
				}
			}
		}
	}
	deployment.stopAndCheck()
}

// expectRawAnswer sends requests for a raw answer, which must be delivered with the given body, or not at all if that is empty.
func (deployment *deployment) expectRawAnswer(kind kind, name, expected string) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for number := range rawAttempts {
		id := fmt.Sprintf("%s-%s-%d", kind, name, number)
		status, body := deployment.sendRaw(transport, number%len(deployment.entries), kind, name, id)
		delivered := status >= 200 && status < 300
		switch {
		case delivered != (expected != ""):
			deployment.t.Errorf("%s: status %d, body %q, expected an answer: %t", id, status, body, expected != "")
		case delivered && body != expected:
			deployment.t.Errorf("%s: body %q, expected %q", id, body, expected)
		}
	}
}

// sendRaw sends a request for a raw answer and returns the status and body of its response, or status 0 if there is no complete one.
func (deployment *deployment) sendRaw(transport *http.Transport, entry int, kind kind, name, id string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	response, err := deployment.sendContent(ctx, transport, entry, kind, rawPath+name, longQuestion, id, deployment.currentKey())
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		deployment.checker.recordRefused(id)
	}
	return response.StatusCode, string(body)
}
