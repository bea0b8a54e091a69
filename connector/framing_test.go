package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// TestBodiesThatMayNotBeWholeAreRejected guards against taking a response for complete although what follows its body, or its own head, contradicts where the body
// ends.
func TestBodiesThatMayNotBeWholeAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		raw  string
		body string
		err  error
	}{
		"a length":                         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"chunks":                           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", nil},
		"neither":                          {"HTTP/1.1 200 OK\r\n\r\nbody", "body", nil},
		"HTTP/1.0":                         {"HTTP/1.0 200 OK\r\n\r\nbody", "body", nil},
		"no body":                          {"HTTP/1.1 204 No Content\r\n\r\n", "", nil},
		"no body, and its length":          {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "", nil},
		"an announced trailer":             {"HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body", nil},
		"another response behind":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "body", nil},
		"a head before it":                 {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"a length that is too short":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody", "", errBytesAfterBody},
		"a chunk whose size became zero":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nid: 1\r\n\r\n0\r\n\r\n", "", errUnexpectedTrailer},
		"a blank line in its place":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nbody\r\n0\r\n\r\n", "", errBytesAfterBody},
		"chunks without their header":      {"HTTP/1.1 200 OK\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", errChunksWithoutHeader},
		"chunks in HTTP/1.0":               {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "", errChunksWithoutHeader},
		"a length without a body":          {"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", "", errBodyNotAllowed},
		"a head that ends too soon":        {"HTTP/1.1 200 OK\r\nX-One: 1\n\r\nContent-Length: 4\r\n\r\nbody", "", errBareLineFeed},
		"an earlier head that does":        {"HTTP/1.1 103 Early Hints\r\nX-One: 1\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", errBareLineFeed},
		"a blank in a name":                {"HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody", "", errBlankInName},
		"a blank behind a name":            {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", "", errBlankInName},
		"a blank before a name":            {"HTTP/1.1 200 OK\r\nX-One: 1\r\n Content-Length: 4\r\n\r\nbody", "", errBlankInName},
		"a tab before a name":              {"HTTP/1.1 200 OK\r\nX-One: 1\r\n\tContent-Length: 4\r\n\r\nbody", "", errBlankInName},
		"a line of blanks":                 {"HTTP/1.1 200 OK\r\nX-One: 1\r\n \r\nContent-Length: 4\r\n\r\nbody", "", errBlankInName},
		"an earlier head with a blank":     {"HTTP/1.1 103 Early Hints\r\nX One: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", errBlankInName},
		"blanks and colons in values":      {"HTTP/1.1 200 OK\r\nX-One: \t1 : 2 \r\nX-Two:\r\nX-Three:3\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"all bytes that names may have":    {"HTTP/1.1 200 OK\r\n0aZ!#$%&'*+-.^_`|~: 1\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"a body that looks like fields":    {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n a b: c\r\n d:", " a b: c\r\n d:", nil},
		"status 000":                       {"HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", "", errInvalidStatus},
		"status 000 before a response":     {"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "", errInvalidStatus},
		"status 000 after another head":    {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", "", errInvalidStatus},
		"status 099":                       {"HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\nbody", "", errInvalidStatus},
		"status 100":                       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"status 199":                       {"HTTP/1.1 199 Soon\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", nil},
		"a line feed in the body, in both": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo\ny", "bo\ny", nil},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := scriptserver.New(func(exchange *scriptserver.Exchange) bool {
				if _, err := io.WriteString(exchange, test.raw); err != nil {
					t.Error(err)
				}
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			var connector Connector
			body, err := readOne(&connector, server.Address())
			if !errors.Is(err, test.err) || body != test.body {
				t.Errorf("body %q, error %v, expected %q, %v", body, err, test.body, test.err)
			}
		})
	}
}

// readOne sends a request and returns the body of its response.
func readOne(connector *Connector, address string) (string, error) {
	response, err := connector.Send(context.Background(), Request{
		Address: address,
		Method:  http.MethodGet,
		Head:    []byte("GET / HTTP/1.1\r\nHost: front.example\r\n\r\n"),
		Matches: func(*http.Response) bool { return true },
	})
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1 << 10)
	response.Abort()
	return string(body), err
}
