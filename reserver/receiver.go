package reserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// LingerTime is how long the rest of a body that is not needed is still read, so that a reset does not overtake the answer.
	LingerTime = 500 * time.Millisecond
	// maxKeptRest is the longest announced body whose rest is read to keep the connection.
	maxKeptRest = 64 << 10
	// RetryAfter is the Retry-After of a request for which there is no memory; its caller reaches another entry.
	RetryAfter = 200 * time.Millisecond
)

var (
	// ErrTooSlow means that a body was ended because room is short and it kept no pace.
	ErrTooSlow = eris.New("body comes too slowly while memory or connections are short")
	// ErrTooLate means that a body was not whole at the deadline of its request.
	ErrTooLate = eris.New("body was not whole at the deadline of its request")
)

// Receive reads the body of a request, up to a limit in bytes and a deadline, into room that the reservation holds; it returns ErrTooLong, ErrNoRoom, ErrTooSlow or
// ErrTooLate, or another error if the caller has left.
func (reserver *Reserver) Receive(writer http.ResponseWriter, request *http.Request, reservation *Reservation, limit int64, deadline time.Time) ([]byte, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return nil, nil
	}
	if request.ContentLength > limit {
		return nil, eris.Wrapf(ErrTooLong, "%d bytes are allowed", limit)
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(deadline)                                          // an error means that the connection has none, as in a test
	transfer := reserver.Begin(func() { _ = controller.SetReadDeadline(time.Now()) }) // ends the read
	body, err := ReadBody(progressReader{transfer, request.Body}, request.ContentLength, limit, func(from, to int64) error {
		if !reservation.TakeForRequest(to) {
			return ErrNoRoom
		}
		reservation.ReleaseForRequest(from)
		return nil
	})
	transfer.End() // before its deadline is cleared, as the next request on the connection must not get one
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{}) // as above
		return body, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline):
		return nil, eris.Wrap(ErrTooSlow, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, eris.Wrap(ErrTooLate, err.Error())
	}
	return nil, err
}

// Refused bounds what is still read of a body that was not read to its end, before the answer that refuses its request; only behind a short one the connection is kept.
func Refused(writer http.ResponseWriter, request *http.Request) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(LingerTime)) // an error means that the connection has none, as in a test
	if length := request.ContentLength; length < 0 || length > maxKeptRest {
		writer.Header().Set("Connection", "close")
	}
}

// progressReader reads a body and records the progress.
type progressReader struct {
	transfer *Transfer
	body     io.Reader
}

// Read reads from the body.
func (progressReader progressReader) Read(data []byte) (int, error) {
	n, err := progressReader.body.Read(data)
	progressReader.transfer.Add(n)
	return n, err
}
