package connector

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds the status and headers of a response.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes bounds the rest of a response that is read only to keep its connection.
	maxDiscardedBytes = 256 << 10
	// readChunk is the step in which a body is read and counted.
	readChunk = 32 << 10
)

var (
	errHeadTooLong  = eris.Errorf("status and headers of a response are longer than %d bytes", maxHeadBytes)
	errBuffersFull  = eris.New("the bodies that are being read take more memory than they may")
	errBodyTooLong  = eris.New("response body is longer than allowed")
	errTooManyBytes = eris.Errorf("the rest of a response is longer than %d bytes", maxDiscardedBytes)
)

// headReader reads from a connection and fails once a head is longer than maxHeadBytes.
type headReader struct {
	source io.Reader
	left   int64
}

// beginHead bounds what is read until endHead.
func (headReader *headReader) beginHead() { headReader.left = maxHeadBytes }

// endHead lifts the bound, as for a body, which has bounds of its own.
func (headReader *headReader) endHead() { headReader.left = math.MaxInt64 }

// Read reads no more than the bound allows.
func (headReader *headReader) Read(data []byte) (int, error) {
	if headReader.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := headReader.source.Read(data[:min(int64(len(data)), headReader.left)])
	headReader.left -= int64(n)
	return n, err
}

// bufferBudget bounds the memory of all bodies that are being read; its zero value is unlimited.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// take returns whether so many bytes more may be used.
func (bufferBudget *bufferBudget) take(bytes int64) bool {
	if used := bufferBudget.used.Add(bytes); bufferBudget.limit > 0 && used > bufferBudget.limit {
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
		if !budget.take(readChunk) {
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
