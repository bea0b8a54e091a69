package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// expectBroken lets the first of two backend servers send each of the answers, in which ID stands for the ID of the request, and checks that it is not delivered, and that
// a request that may run again gets the answer of the second one.
func expectBroken(t *testing.T, answers map[string]string) {
	for name, answer := range answers {
		for path, test := range map[string]struct {
			second script
			status int
			body   string
		}{
			"/book/":   {responds(http.StatusOK, "again"), http.StatusBadGateway, ""},
			"/look/":   {responds(http.StatusOK, "found again"), http.StatusOK, "found again"},
			"/once/":   {resumes(4), http.StatusBadGateway, ""},
			"/stream/": {resumes(4), http.StatusOK, events(0, 4)},
		} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				fixture := newFixture(t, sendsRaw(func(id string) string { return strings.ReplaceAll(answer, "ID", id) }, false), test.second)
				status, body := fixture.send(fixture.request(http.MethodPost, path, "question"))
				if status != test.status || body != test.body {
					t.Errorf("response %d %q, expected %d %q", status, body, test.status, test.body)
				}
			})
		}
	}
}

// TestAnswerWithAnInvalidStatus guards against delivering an answer whose status is 000, or another below 100, and against taking it for an informational one, so that
// its body is read as the answer.
func TestAnswerWithAnInvalidStatus(t *testing.T) {
	head := func(status string, headers ...string) string {
		return strings.Replace(scriptserver.ResponseHead("ID", http.StatusOK, headers...), "200 OK", status, 1)
	}
	stream := "Content-Type: text/event-stream"
	whole := scriptserver.ResponseHead("ID", http.StatusOK, "Content-Length: 5") + "found"
	wholeStream := scriptserver.ResponseHead("ID", http.StatusOK, stream, "Connection: close") + events(0, 2)
	expectBroken(t, map[string]string{
		"000":                              head("000 Trouble", "Content-Length: 5") + "found",
		"000 without a reason":             head("000", "Content-Length: 5") + "found",
		"000 without a length":             head("000 Trouble") + "found",
		"000 without a body":               head("000 Trouble", "Content-Length: 0"),
		"000 with a stream":                head("000 Trouble", stream) + events(0, 2),
		"000 in front of an answer":        head("000 Trouble") + whole,
		"000 in front of a stream":         head("000 Trouble") + wholeStream,
		"000 that did not run":             head("000 Trouble", "X-Not-Executed: 1", "Content-Length: 0"),
		"000 behind an informational head": "HTTP/1.1 103 Early Hints\r\n\r\n" + head("000 Trouble", "Content-Length: 5") + "found",
		"000 of another request":           strings.ReplaceAll(head("000 Trouble"), "ID", "another") + whole,
		"001":                              head("001 Trouble") + whole,
		"099":                              head("099 Trouble") + whole,
		"+20":                              head("+20 OK") + whole,
		"-00":                              head("-00 OK") + whole,
	})
}

// TestAnswerWithAnInvalidFieldName guards against delivering an answer in whose head the name of a field holds a blank or a control byte: the field may have been the one
// that says where the body ends or how it is encoded.
func TestAnswerWithAnInvalidFieldName(t *testing.T) {
	const (
		length  = "Content-Length: 5"
		chunked = "Transfer-Encoding: chunked"
		body    = "found"
	)
	head := func(headers ...string) string { return scriptserver.ResponseHead("ID", http.StatusOK, headers...) }
	answers := map[string]string{
		"a length with a blank behind its name":    head("Content-Length : 5") + body + "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"a length with a blank in its name":        head("Content Length: 5") + body,
		"a length with a blank before its name":    head("X-Other: 1", " Content-Length: 5") + body,
		"a length with a tab before its name":      head("X-Other: 1", "\tContent-Length: 5") + body,
		"a stream":                                 head("Content-Type: text/event-stream", "X Other: 1") + events(0, 2),
		"a stream in chunks":                       strings.Replace(chunkedResponse("text/event-stream", events(0, 2)).text(), "Content-Type", "X Other: 1\r\nContent-Type", 1),
		"a second length":                          head(length, "Content-Length : 9") + body,
		"chunks with a blank behind the name":      head("Transfer-Encoding : chunked") + "5\r\n" + body + "\r\n0\r\n\r\n",
		"chunks and a length, blank behind a name": head("Transfer-Encoding : chunked", "Content-Length: 15") + "5\r\n" + body + "\r\n0\r\n\r\n",
		"an encoding with a blank behind its name": head(length, "Content-Encoding : gzip") + body,
		"a failure":                              strings.Replace(head(length, "X Other: 1"), "200 OK", "500 Internal Server Error", 1) + body,
		"a refusal":                              strings.Replace(head("Content-Length: 0", "X-Not-Executed : 1"), "200 OK", "503 Service Unavailable", 1),
		"an informational head":                  "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n" + head(length) + body,
		"the first field":                        strings.Replace(head(length), "\r\n", "\r\nX Other: 1\r\n", 1) + body,
		"the first field, a blank before it":     strings.Replace(head(length), "\r\n", "\r\n X-Other: 1\r\n", 1) + body,
		"chunks, a trailer":                      head(chunked, "Trailer: X-Sum") + "5\r\n" + body + "\r\n0\r\nX Sum: 1\r\n\r\n",
		"chunks, a trailer beside the announced": head(chunked, "Trailer: X-Sum") + "5\r\n" + body + "\r\n0\r\nX-Sum: 1\r\nX Other: 1\r\n\r\n",
	}
	for _, value := range []byte("\x00\x01\t\v\f\r\x1b\x1f \x7f") {
		answers[fmt.Sprintf("%q within a name", value)] = head(length, "X-"+string(rune(value))+"Other: 1") + body
		answers[fmt.Sprintf("%q behind a name", value)] = head(length, "X-Other"+string(rune(value))+": 1") + body
		answers[fmt.Sprintf("%q before a name", value)] = head(length, string(rune(value))+"X-Other: 1") + body
	}
	expectBroken(t, answers)
}
