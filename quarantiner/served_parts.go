package quarantiner

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cranberryward/cranberryward"
)

// maxServedParts bounds the parts in each of the two generations of servedParts.
const maxServedParts = 4096

// servedParts remembers when requests with each prompt part were last answered; when a generation is full, the one before it is dropped.
type servedParts struct {
	current, previous map[uint64]time.Time
}

func hashPart(part cranberryward.PromptPart) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(part.Service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(part.ID)
	return digest.Sum64()
}

func (servedParts *servedParts) record(part cranberryward.PromptPart, at time.Time) {
	if servedParts.current == nil || len(servedParts.current) >= maxServedParts {
		servedParts.previous, servedParts.current = servedParts.current, map[uint64]time.Time{}
	}
	servedParts.current[hashPart(part)] = at
}

// last returns when a request with the part was last answered, or the zero time if none is known.
func (servedParts *servedParts) last(part cranberryward.PromptPart) time.Time {
	hash := hashPart(part)
	if at, known := servedParts.current[hash]; known {
		return at
	}
	return servedParts.previous[hash]
}

func (servedParts *servedParts) len() int {
	return len(servedParts.current) + len(servedParts.previous)
}
