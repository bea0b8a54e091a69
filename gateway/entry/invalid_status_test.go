package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestAnswerWithAnInvalidStatus guards against delivering an answer whose status is 000, or another below 100, and against taking it for an informational one, so that
// its body is read as the answer.
func TestAnswerWithAnInvalidStatus(t *testing.T) {
	head := func(status string, headers ...string) string {
		return strings.Replace(scriptserver.ResponseHead("ID", http.StatusOK, headers...), "200 OK", status, 1)
	}
	stream := "Content-Type: text/event-stream"
	whole := scriptserver.ResponseHead("ID", http.StatusOK, "Content-Length: 5") + "found"
	wholeStream := scriptserver.ResponseHead("ID", http.StatusOK, stream, "Connection: close") + events(0, 2)
	for name, raw := range map[string]string{
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
	} {
		for path, expected := range map[string]struct {
			scripts []script
			status  int
			body    string
		}{
			"/book/":   {[]script{responds(http.StatusOK, "again")}, http.StatusBadGateway, ""},
			"/look/":   {[]script{responds(http.StatusOK, "found again")}, http.StatusOK, "found again"},
			"/once/":   {[]script{resumes(4)}, http.StatusBadGateway, ""},
			"/stream/": {[]script{resumes(4)}, http.StatusOK, events(0, 4)},
		} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				broken := sendsRaw(func(id string) string { return strings.ReplaceAll(raw, "ID", id) }, false)
				fixture := newFixture(t, append([]script{broken}, expected.scripts...)...)
				status, body := fixture.send(fixture.request(http.MethodPost, path, "question"))
				if status != expected.status || body != expected.body {
					t.Errorf("response %d %q, expected %d %q", status, body, expected.status, expected.body)
				}
			})
		}
	}
}
