package connector

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// tokenBytes are the bytes that names of fields may have, besides letters and digits.
const tokenBytes = "!#$%&'*+-.^_`|~"

// isToken returns whether a text may be the name of a field.
func isToken(text string) bool {
	for _, one := range []byte(text) {
		letterOrDigit := one >= '0' && one <= '9' || one >= 'a' && one <= 'z' || one >= 'A' && one <= 'Z'
		if !letterOrDigit && strings.IndexByte(tokenBytes, one) < 0 {
			return false
		}
	}
	return text != ""
}

// FuzzHead reads any bytes as the head of a response, and accepts one only if each of its lines is a field whose name is a token.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX-One: 1 \t: 2\r\nx-one:3\r\nX-Two:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX One: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-One : 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-One: 1\r\n X-Two: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-One: 1\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-\x01: 1\r\n\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, text string) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			_, _ = server.Write([]byte(text)) // fails once the head was read
			_ = server.Close()
		}()
		response, err := newConnection(client, "").readResponse(&http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		fields := strings.Split(head, "\r\n")[1:]
		for _, field := range fields {
			if name, _, found := strings.Cut(field, ":"); !found || !isToken(name) {
				t.Errorf("the field %q of %q was accepted, as %v", field, text, response.Header)
			}
		}
	})
}
