package connector

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxDiscardedBytes bounds the rest of a response that is read only to keep its connection.
	maxDiscardedBytes = 256 << 10
	// readChunk is the step in which a body is read and counted.
	readChunk = 32 << 10
	// smallBodyDivisor is the divisor of the memory for bodies that gives the part in which only the first chunk of each body finds room.
	smallBodyDivisor = 8
)

var (
	errBuffersFull  = eris.New("the bodies that are being read take more memory than they may")
	errBodyTooLong  = eris.New("response body is longer than allowed")
	errTooManyBytes = eris.Errorf("the rest of a response is longer than %d bytes", maxDiscardedBytes)
)

// bufferBudget bounds the memory of all bodies that are being read; its zero value is unlimited.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// take returns whether so many bytes more may be used; first is whether they are the first of a body.
func (bufferBudget *bufferBudget) take(bytes int64, first bool) bool {
	limit := bufferBudget.limit
	if !first {
		limit -= limit / smallBodyDivisor
	}
	if used := bufferBudget.used.Add(bytes); limit > 0 && used > limit {
		bufferBudget.used.Add(-bytes)
		return false
	}
	return true
}

func (bufferBudget *bufferBudget) release(bytes int64) { bufferBudget.used.Add(-bytes) }

// readBody reads a whole body, no more than the limit and no more than the budget allows.
func readBody(body io.Reader, limit int64, budget *bufferBudget) ([]byte, error) {
	var read []byte
	taken := int64(0)
	defer func() { budget.release(taken) }()
	for {
		if int64(len(read)) > limit {
			return nil, eris.Wrapf(errBodyTooLong, "%d bytes are allowed", limit)
		}
		if !budget.take(readChunk, len(read) == 0) {
			return nil, eris.Wrapf(errBuffersFull, "after %d bytes", len(read))
		}
		taken += readChunk
		before := len(read)
		chunk, err := io.ReadAll(io.LimitReader(body, readChunk))
		read = append(read, chunk...)
		if err != nil {
			return nil, eris.Wrapf(err, "response body cut off after %d bytes", len(read))
		}
		if len(read)-before < readChunk {
			break
		}
	}
	if int64(len(read)) > limit {
		return nil, eris.Wrapf(errBodyTooLong, "%d bytes are allowed", limit)
	}
	return read, nil
}
