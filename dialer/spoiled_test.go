package dialer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// wholeBody is the body of the responses in rawResponses, which are as a plain backend server writes them.
const wholeBody = "booked at ten."

var rawResponses = map[string]string{
	"with a length":      "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nContent-Type: text/plain\r\n\r\n" + wholeBody,
	"with a length last": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\n" + wholeBody,
	"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "e\r\n" + wholeBody + "\r\n0\r\n\r\n",
}

// callOnce calls a plain backend server that writes the given text and closes its connection.
func callOnce(t *testing.T, text func() string) func() (string, error) {
	server, err := scriptserver.New(func(exchange *scriptserver.Exchange) bool {
		// Writing fails if the connection has been closed because of the text.
		_, _ = io.WriteString(exchange, text())
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	service := NewService(server.Address())
	return func() (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		response, err := service.Call(ctx, cranberryward.ServiceCall{
			RequestID: "one",
			Method:    http.MethodPost,
			Path:      "/book",
		})
		if err == nil && response.Status >= 300 {
			return "", fmt.Errorf("status %d", response.Status)
		}
		return string(response.Body), err
	}
}

// TestServiceResponseWithAWrongByte guards against a success whose body is not the one that the backend server wrote, because of a wrong byte in its head or framing.
func TestServiceResponseWithAWrongByte(t *testing.T) {
	for name, raw := range rawResponses {
		for _, value := range []byte{0, '0', '9', '\n', ':', 'x'} {
			t.Run(fmt.Sprintf("%s, %q", name, value), func(t *testing.T) {
				t.Parallel()
				text := ""
				call := callOnce(t, func() string { return text })
				for place := range raw {
					value := value
					if value == 0 {
						value = raw[place] ^ 1
					}
					text = raw[:place] + string([]byte{value}) + raw[place+1:]
					body, err := call()
					begin := strings.Index(raw, wholeBody)
					spoiledBody := text[begin : begin+len(wholeBody)]
					if err != nil || body == wholeBody || body == spoiledBody {
						continue
					}
					t.Errorf("%q in place of %q at byte %d: a success with the body %q", value, raw[place], place, body)
				}
			})
		}
	}
}

// TestServiceResponseThatEndsEarly guards against a success with a shorter body when a backend server closes its connection at any byte of a response.
func TestServiceResponseThatEndsEarly(t *testing.T) {
	for name, raw := range rawResponses {
		t.Run(name, func(t *testing.T) {
			text := ""
			call := callOnce(t, func() string { return text })
			for length := range len(raw) {
				text = raw[:length]
				if body, err := call(); err == nil {
					t.Errorf("%d of %d bytes: a success with the body %q", length, len(raw), body)
				}
			}
		})
	}
}

// TestServiceResponseWithAnInvalidFieldName guards against a success in whose head the name of a field holds a blank or a control byte, at any place.
func TestServiceResponseWithAnInvalidFieldName(t *testing.T) {
	for name, raw := range rawResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := ""
			call := callOnce(t, func() string { return text })
			head, _, _ := strings.Cut(raw, "\r\n\r\n")
			begin := strings.Index(head, "\r\n") + len("\r\n")
			for field := range strings.SplitSeq(head[begin:], "\r\n") {
				for place := range strings.Index(field, ":") + 1 {
					for _, value := range []byte{' ', '\t', 0, '\x1f', '\x7f'} {
						text = raw[:begin+place] + string([]byte{value}) + raw[begin+place:]
						if body, err := call(); err == nil {
							t.Errorf("%q in the name of %q at byte %d: a success with the body %q", value, field, place, body)
						}
					}
				}
				begin += len(field) + len("\r\n")
			}
		})
	}
}
