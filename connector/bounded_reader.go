package connector

import (
	"io"

	"github.com/cranberryward/cranberryward/reserver"
	"github.com/rotisserie/eris"
)

// maxDiscardedBytes bounds the rest of a response that is read only to keep its connection.
const maxDiscardedBytes = 256 << 10

var errTooManyBytes = eris.Errorf("the rest of a response is longer than %d bytes", maxDiscardedBytes)

// readBody reads a whole body, no more than the limit, and waits where there is no room; what it returns stays reserved.
func (response *Response) readBody(body io.Reader, length, limit int64) ([]byte, error) {
	held := int64(0)
	read, err := reserver.ReadBody(body, length, limit, func(from, to int64) error {
		err := response.Reserve(from, to)
		if err == nil {
			held = to
		}
		return err
	})
	if err != nil {
		response.Unreserve(held)
		return nil, eris.Wrap(err, "response")
	}
	return read, nil
}
