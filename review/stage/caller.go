package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Caller sends requests on one connection, which it keeps open, as the clients on the users' pages do.
type Caller struct {
	record *Record
	conn   net.Conn
	reader *bufio.Reader
	closed bool
}

// Request is one client attempt.
type Request struct {
	Method, Path, ID string
	Deadline         time.Duration
	Headers          string
	Body             []byte
}

// Answer is what a caller got; it is complete if the connection did not end within it.
type Answer struct {
	Status   int
	Signed   bool
	Body     []byte
	Complete bool
	Err      error
}

// NewCaller connects to an entry.
func NewCaller(record *Record, address string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, eris.Wrap(err, "connect to an entry")
	}
	return &Caller{
		record: record,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// Send sends a request and waits for its answer until its deadline and a second more.
func (caller *Caller) Send(request Request) Answer {
	caller.record.Add("caller sends %s %s %s", request.ID, request.Method, request.Path)
	answer := caller.exchange(request)
	caller.record.Add("caller of %s got status %d, %d bytes, complete %t, signed %t, error %v", request.ID, answer.Status, len(answer.Body), answer.Complete, answer.Signed, answer.Err)
	return answer
}

func (caller *Caller) exchange(request Request) (answer Answer) {
	if answer.Err = caller.conn.SetDeadline(time.Now().Add(request.Deadline + time.Second)); answer.Err != nil {
		return answer
	}
	length := ""
	if request.Method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(request.Body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\nAuthorization: Token %s\r\n%s%s\r\n",
		request.Method, request.Path, Host, request.ID, request.Deadline.Milliseconds(), Key, request.Headers, length)
	if _, answer.Err = caller.conn.Write(append([]byte(head), request.Body...)); answer.Err != nil {
		return answer
	}
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Status, answer.Signed = response.StatusCode, response.Header.Get("X-Response-Signature") != ""
	caller.closed = response.Close
	answer.Body, answer.Err = io.ReadAll(response.Body)
	answer.Complete = answer.Err == nil
	return answer
}

// Closed returns whether the last answer asked the caller not to use the connection again.
func (caller *Caller) Closed() bool { return caller.closed }

// Close closes the connection.
func (caller *Caller) Close() { _ = caller.conn.Close() }
