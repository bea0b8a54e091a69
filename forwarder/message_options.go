package forwarder

import (
	"time"

	"github.com/go-kit/log"
)

// Options are the settings and dependencies of a forwarder.
type Options struct {
	Zone        string
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Entries returns how many entries share the retry budget.
	Entries func() int
	// BufferBytes bounds the memory of all responses that are being read at once; zero sets no limit.
	BufferBytes int64
	Logger      log.Logger
}
