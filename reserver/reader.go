package reserver

import (
	"io"

	"github.com/rotisserie/eris"
)

// firstCapacity is the room in which the read of a body of unknown length begins.
const firstCapacity = 2 << 10

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = eris.New("body is longer than allowed")

// Grow changes the bytes that are held for a body from one capacity to another, or returns why it must not; the larger one is held beside the smaller until it is copied.
type Grow func(from, to int64) error

// ReadBody reads a body whose length was announced, or is negative, in room that grows with what has arrived, and returns ErrTooLong if it is longer than the limit.
func ReadBody(body io.Reader, length, limit int64, grow Grow) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = min(most, length)
	}
	var read []byte
	for {
		if len(read) == cap(read) && int64(cap(read)) < most {
			grown, err := enlarge(read, length, most, grow)
			if err != nil {
				return nil, err
			}
			read = grown
		}
		room := read[len(read):cap(read)]
		if len(room) == 0 {
			room = make([]byte, 1) // only the end may follow
		}
		n, err := body.Read(room)
		if int64(len(read)+n) > min(limit, most) {
			return nil, eris.Wrapf(ErrTooLong, "%d bytes are allowed", limit)
		}
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "body cut off after %d bytes", len(read))
		}
	}
}

// enlarge returns the bytes with twice the capacity, the most at most; a short body of a known length gets its room at once.
func enlarge(read []byte, length, most int64, grow Grow) ([]byte, error) {
	from := int64(cap(read))
	to := max(2*from, firstCapacity)
	if from == 0 && length >= 0 {
		to = SmallBytes
	}
	to = min(to, most)
	if err := grow(from, to); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, to), read...), nil
}
