package connector

import (
	"errors"
	"strings"
	"testing"
)

// TestSmallBodiesFindRoomBesideLargeOnes guards against breaking off small responses because large ones, as of backend servers that send bytes without end, take all of the
// memory for bodies.
func TestSmallBodiesFindRoomBesideLargeOnes(t *testing.T) {
	const (
		limit = 64 * readChunk
		small = "a small body"
	)
	budget := &bufferBudget{limit: limit}
	held := int64(0)
	for budget.take(readChunk, held == 0) { // one body that is longer than there is room
		held += readChunk
	}
	body, err := readBody(strings.NewReader(small), limit, budget)
	if err != nil || string(body) != small {
		t.Errorf("body %q, error %v, expected %q", body, err, small)
	}
	if _, err := readBody(strings.NewReader(strings.Repeat("x", 2*readChunk)), limit, budget); !errors.Is(err, errBuffersFull) {
		t.Errorf("another large body ended with error %v, expected %v", err, errBuffersFull)
	}
	if used := budget.used.Load(); used != held {
		t.Errorf("%d bytes are taken, expected %d", used, held)
	}
}
