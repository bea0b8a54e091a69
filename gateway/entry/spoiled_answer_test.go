package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// span is a part of a raw response: of its body, or of its head and the framing of its body.
type span struct {
	text string
	body bool
}

// rawResponse is a response as a backend server writes it, in which ID stands for the ID of the request.
type rawResponse []span

func (rawResponse rawResponse) text() string {
	var text strings.Builder
	for _, span := range rawResponse {
		text.WriteString(span.text)
	}
	return text.String()
}

// body returns the body; if a byte of it is replaced, the body has the replacement.
func (rawResponse rawResponse) body(place int, value byte) string {
	var body strings.Builder
	begin := 0
	for _, span := range rawResponse {
		text := span.text
		if place >= begin && place < begin+len(text) {
			text = replaceByte(text, place-begin, value)
		}
		if span.body {
			body.WriteString(text)
		}
		begin += len(span.text)
	}
	return body.String()
}

func replaceByte(text string, place int, value byte) string {
	return text[:place] + string([]byte{value}) + text[place+1:]
}

// chunkedResponse returns a response whose body is sent in the given chunks.
func chunkedResponse(contentType string, chunks ...string) rawResponse {
	raw := rawResponse{{text: scriptserver.ResponseHead("ID", http.StatusOK, "Transfer-Encoding: chunked", "Content-Type: "+contentType)}}
	for _, chunk := range chunks {
		raw = append(raw, span{text: fmt.Sprintf("%x\r\n", len(chunk))}, span{
			text: chunk,
			body: true,
		}, span{text: "\r\n"})
	}
	return append(raw, span{text: "0\r\n\r\n"})
}

// sizedResponse returns a response with a Content-Length, which stands before or after another header.
func sizedResponse(contentType, body string, lengthLast bool) rawResponse {
	headers := []string{fmt.Sprintf("Content-Length: %d", len(body)), "Content-Type: " + contentType}
	if lengthLast {
		headers[0], headers[1] = headers[1], headers[0]
	}
	return rawResponse{{text: scriptserver.ResponseHead("ID", http.StatusOK, headers...)}, {
		text: body,
		body: true,
	}}
}

// responseKinds are the responses that the tests spoil or cut, with the path of the request that each answers.
var responseKinds = map[string]struct {
	path string
	raw  rawResponse
}{
	"a booking, with a length":               {"/book/", sizedResponse("text/plain", "booked at ten\n", false)},
	"a booking, with a length last":          {"/book/", sizedResponse("text/plain", "booked at ten\n", true)},
	"a booking, chunked":                     {"/book/", chunkedResponse("text/plain", "booked: at ten\n", "\n")},
	"a lookup, with a length":                {"/look/", sizedResponse("text/plain", "found\n", false)},
	"a stream, chunked":                      {"/once/", chunkedResponse("text/event-stream", ": begun\n\n", events(0, 1), events(1, 2), "\n", events(2, 4))},
	"a stream, with a length":                {"/once/", sizedResponse("text/event-stream", "\n"+events(0, 2), true)},
	"a stream that may be resumed, chunked":  {"/stream/", chunkedResponse("text/event-stream", events(0, 1), events(1, 2), events(2, 4))},
	"a stream that may be resumed, in parts": {"/stream/", chunkedResponse("text/event-stream", "id: 1\n", "data: piece 1\n\nid: 2\ndata:", " piece 2\n", "\n")},
}

// wrongBytes are what the bytes of responses are replaced by, one at a time; zero stands for the byte with its lowest bit inverted.
var wrongBytes = []byte{0, '0', '9', '\n', ':', 'x'}

// TestResponseWithAWrongByte guards against a complete success that is not the body of one run: events that are left out because of a wrong digit in an ID, comments
// and blank lines that are dropped, a body that ends early because of a wrong length, a wrong size of a chunk or a head that ends too soon.
func TestResponseWithAWrongByte(t *testing.T) {
	for name, test := range responseKinds {
		for _, value := range wrongBytes {
			t.Run(fmt.Sprintf("%s, %q", name, value), func(t *testing.T) {
				t.Parallel()
				var raw string
				spoiled := func(exchange *scriptserver.Exchange) bool {
					// Writing fails once the entry has closed the connection because of the wrong byte.
					_, _ = io.WriteString(exchange, strings.ReplaceAll(raw, "ID", exchange.Request.Header.Get("X-Attempt-Id")))
					return false
				}
				fixture := newFixture(t, spoiled, resumes(4))
				text := test.raw.text()
				for place := range text {
					value := value
					if value == 0 {
						value = text[place] ^ 1
					}
					fixture.forget()
					raw = replaceByte(text, place, value)
					status, body := fixture.send(fixture.request(http.MethodPost, test.path, fmt.Sprint("question ", place)))
					if status < 200 || status >= 300 {
						continue
					}
					if body != test.raw.body(-1, 0) && body != test.raw.body(place, value) && body != events(0, 4) {
						t.Errorf("%q in place of %q at byte %d, after %q: status %d, body %q", value, text[place], place, text[max(place-12, 0):place], status, body)
					}
				}
			})
		}
	}
}

// TestResponseThatEndsEarly guards against a success with a shorter body, framed as whole, when a backend server closes its connection at any byte of a response's
// head or body.
func TestResponseThatEndsEarly(t *testing.T) {
	for name, test := range responseKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var raw string
			cut := func(exchange *scriptserver.Exchange) bool {
				// Writing fails if the entry has closed the connection.
				_, _ = io.WriteString(exchange, strings.ReplaceAll(raw, "ID", exchange.Request.Header.Get("X-Attempt-Id")))
				return false
			}
			fixture := newFixture(t, cut, resumes(4))
			text := test.raw.text()
			for length := range len(text) {
				fixture.forget()
				raw = text[:length]
				status, body := fixture.send(fixture.request(http.MethodPost, test.path, fmt.Sprint("question ", length)))
				if status >= 200 && status < 300 && body != test.raw.body(-1, 0) && body != events(0, 4) {
					t.Errorf("%d of %d bytes: status %d, body %q", length, len(text), status, body)
				}
			}
		})
	}
}

// TestEmptyStreamThatMayNotBeWholeIsSentAgain guards against beginning the answer to a caller with a stream whose first chunk got the size zero by a wrong byte.
func TestEmptyStreamThatMayNotBeWholeIsSentAgain(t *testing.T) {
	fixture := newFixture(t, sendsRaw(func(id string) string {
		return scriptserver.ResponseHead(id, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + "0\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n"
	}, false), resumes(4))
	if status, body := fixture.send(fixture.request(http.MethodPost, "/stream/", "question")); status != 200 || body != events(0, 4) {
		t.Errorf("response %d %q, expected %q", status, body, events(0, 4))
	}
}
