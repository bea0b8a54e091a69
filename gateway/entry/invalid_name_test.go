package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

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
	for name, raw := range answers {
		for path, expected := range map[string]struct {
			scripts []script
			status  int
			body    string
		}{
			"/book/": {[]script{responds(http.StatusOK, "again")}, http.StatusBadGateway, ""},
			"/look/": {[]script{responds(http.StatusOK, "found again")}, http.StatusOK, "found again"},
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
