package relayer

import (
	"testing"
	"time"
)

// TestRetryPause expects that processes which hear each other share the reads of a failing store, and that one alone tries again soon.
func TestRetryPause(t *testing.T) {
	for name, test := range map[string]struct {
		retry    time.Duration
		peers    int
		expected time.Duration
	}{
		"alone":                          {shortestRetry, 0, shortestRetry},
		"alone for long":                 {longestRetry, 0, longestRetry},
		"few peers":                      {shortestRetry, 5, shortestRetry},
		"a hundred processes":            {shortestRetry, 99, 2500 * time.Millisecond},
		"thousands that may not be left": {shortestRetry, 3099, farthestRetry},
	} {
		t.Run(name, func(t *testing.T) {
			if pause := retryPause(test.retry, test.peers); pause != test.expected {
				t.Errorf("a pause of %s, expected %s", pause, test.expected)
			}
		})
	}
}
