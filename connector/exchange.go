package connector

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/rotisserie/eris"
)

const (
	// maxResponsesRead bounds the responses read for one request; late responses to earlier requests are skipped.
	maxResponsesRead = 3
	// maxInformational bounds the informational responses (1xx) that are skipped for one request.
	maxInformational = 16
	// maxInlineBody is the largest body, in bytes, that is sent before the response is awaited; a longer one is sent concurrently.
	maxInlineBody = 16 << 10
	// deadlineGrace is how long a response is awaited after the deadline, so that the backend server's own time-out response can still arrive.
	deadlineGrace = 150 * time.Millisecond
)

// Response is a backend server's response to one request; after reading its body, the caller must call Finish or Abort.
type Response struct {
	httpResponse  *http.Response
	connector     *Connector
	connection    *connection
	stopInterrupt func() bool
	// bodyWrite sends a long body of the request; it is nil if the body was sent with the head.
	bodyWrite *bodyWrite
	complete  bool
	// trailers is the number of trailers that the headers announced.
	trailers int
	ctx      context.Context
	// reservation accounts for the body.
	reservation *reserver.Reservation
}

// bodyWrite is the sending of a request's body while the response is awaited; err is valid once done is closed.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// ended returns whether nothing more of the body is handed to the connection.
func (bodyWrite *bodyWrite) ended() bool {
	select {
	case <-bodyWrite.done:
		return true
	default:
		return false
	}
}

// Send sends a request and returns its response once the status and headers are read, or a failure whose verdict says whether the request may
// have run.
func (connector *Connector) Send(ctx context.Context, request Request) (*Response, error) {
	connection, err := connector.acquire(ctx, request.Address, request.NewConnection, request.DialTimeout)
	if err != nil {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "no connection to "+request.Address).WithCause(err)
	}
	if request.Proceed != nil && !request.Proceed() {
		connector.putIdle(connection)
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "no more requests may be sent to "+request.Address)
	}
	if deadline, ok := ctx.Deadline(); ok {
		if err := connection.SetDeadline(deadline.Add(deadlineGrace)); err != nil {
			connector.discard(connection)
			return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "could not set the deadline of the connection to "+request.Address).WithCause(err)
		}
	}
	response := &Response{
		connector:     connector,
		connection:    connection,
		ctx:           ctx,
		reservation:   request.Reservation,
		stopInterrupt: context.AfterFunc(ctx, func() { connection.interrupt(ctx) }),
	}
	if verdict, err := response.write(request); err != nil {
		response.Abort()
		return nil, cranberryward.NewFailure(verdict, cranberryward.ReasonResponseBroken, "could not send the complete request to "+request.Address).WithCause(err)
	}
	if err := response.readHead(request); err != nil {
		response.Abort()
		return nil, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "no response from "+request.Address).WithCause(err)
	}
	return response, nil
}

// interrupt resets a connection whose caller has left; after the deadline of the context, the deadline of the connection ends it.
func (connection *connection) interrupt(ctx context.Context) {
	if !eris.Is(ctx.Err(), context.DeadlineExceeded) {
		connection.reset()
	}
}

func (response *Response) write(request Request) (cranberryward.Verdict, error) {
	if len(request.Body) > maxInlineBody {
		return response.writeConcurrently(request)
	}
	n, err := response.connection.Write(append(request.Head, request.Body...))
	if err != nil && n == 0 {
		return cranberryward.NotRun, err
	}
	return cranberryward.MayHaveRun, err
}

// writeConcurrently sends a long body while the response is awaited, because a backend server may respond before it has read the body.
func (response *Response) writeConcurrently(request Request) (cranberryward.Verdict, error) {
	n, err := response.connection.Write(request.Head)
	if err != nil {
		if n == 0 {
			return cranberryward.NotRun, err
		}
		return cranberryward.MayHaveRun, err
	}
	write := &bodyWrite{done: make(chan struct{})}
	response.bodyWrite = write
	go func() {
		_, write.err = response.connection.Write(request.Body)
		close(write.done)
	}()
	go response.connection.watchWindow(write)
	return cranberryward.MayHaveRun, nil
}

// readHead reads the status and headers of the response to the request, and skips late responses to earlier requests.
func (response *Response) readHead(request Request) error {
	httpRequest := &http.Request{Method: request.Method}
	for range maxResponsesRead {
		httpResponse, err := response.readFinalHead(httpRequest)
		if err != nil {
			return err
		}
		if request.Matches(httpResponse) {
			if httpResponse.StatusCode < http.StatusContinue {
				return errInvalidStatus
			}
			response.httpResponse, response.trailers = httpResponse, len(httpResponse.Trailer)
			response.connection.readKeepAlive(httpResponse)
			return nil
		}
		response.connection.broken = true
		if err := discard(httpResponse.Body); err != nil {
			return err
		}
	}
	return eris.Errorf("no response to this request among the first %d", maxResponsesRead)
}

// readFinalHead reads the status and headers of the next response that is not informational.
func (response *Response) readFinalHead(httpRequest *http.Request) (*http.Response, error) {
	for range maxInformational {
		httpResponse, err := response.connection.readResponse(httpRequest)
		if err != nil || !isInformational(httpResponse.StatusCode) {
			return httpResponse, err
		}
	}
	return nil, eris.Errorf("more than %d informational responses", maxInformational)
}

// isInformational returns whether a status announces a further response; net/http also reads statuses below 100, which do not.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// readResponse reads the status and headers of the next response.
func (connection *connection) readResponse(httpRequest *http.Request) (*http.Response, error) {
	connection.head.beginHead(connection.peekBuffered())
	httpResponse, err := http.ReadResponse(connection.reader, httpRequest)
	lineErr := connection.head.endHead()
	if err != nil {
		return nil, err
	}
	if lineErr != nil {
		return nil, lineErr
	}
	return httpResponse, checkHead(httpResponse)
}

// HTTP returns the underlying HTTP response, whose body the caller may read.
func (response *Response) HTTP() *http.Response { return response.httpResponse }

// ReadAll returns the whole body, or an error if it is longer than the limit in bytes or may not be whole.
func (response *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := response.readBody(response.httpResponse.Body, response.httpResponse.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	if response.CloseDelimited() && isChunked(body) {
		return nil, errChunksWithoutHeader
	}
	if err := response.MarkComplete(); err != nil {
		return nil, err
	}
	return body, nil
}

// AwaitBody waits until a part of the body has arrived, or its end, and returns an error if the response breaks off before.
func (response *Response) AwaitBody() error {
	if response.httpResponse.ContentLength == 0 || response.httpResponse.Body == http.NoBody {
		return nil
	}
	_, err := response.connection.reader.Peek(1)
	if err == io.EOF && response.CloseDelimited() {
		return response.checkClose()
	}
	return err
}

// Reserve changes what is held of the body from one capacity to another, and waits for room until the context of the request ends.
func (response *Response) Reserve(from, to int64) error {
	if err := response.reservation.AwaitForAnswer(response.ctx, to); err != nil {
		return err
	}
	response.reservation.ReleaseForAnswer(from)
	return nil
}

// Unreserve gives back what Reserve has taken.
func (response *Response) Unreserve(held int64) { response.reservation.ReleaseForAnswer(held) }

// Discard reads the rest of the body without keeping it, and returns an error if it is long.
func (response *Response) Discard() error {
	err := discard(response.httpResponse.Body)
	response.complete = err == nil
	return err
}

func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errTooManyBytes
	}
	return eris.Wrapf(err, "discard the rest of a response after %d bytes", n)
}

// MarkComplete records that the body was read to its end, which Finish requires to keep the connection; it returns an error if the body may not be whole.
func (response *Response) MarkComplete() error {
	if err := response.checkEnd(); err != nil {
		return err
	}
	response.complete = true
	return nil
}

// CloseDelimited returns whether the body has no stated length and ends where the connection is closed.
func (response *Response) CloseDelimited() bool {
	return response.httpResponse.ContentLength < 0 && len(response.httpResponse.TransferEncoding) == 0 && response.httpResponse.Body != http.NoBody
}

// Finish keeps the connection for later requests if both bodies were transferred completely, and closes it otherwise.
func (response *Response) Finish() {
	if !response.stopInterrupt() || !response.complete || response.CloseDelimited() || !response.bodySent() {
		response.connector.discard(response.connection)
		return
	}
	response.connector.putIdle(response.connection)
}

// bodySent returns whether the body of the request was sent completely.
func (response *Response) bodySent() bool {
	write := response.bodyWrite
	return write == nil || write.ended() && write.err == nil
}

// Abort resets the connection, which also tells the backend server to stop running the request.
func (response *Response) Abort() {
	response.stopInterrupt()
	response.connection.reset()
	response.connector.release(response.connection.address)
}
