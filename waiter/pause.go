package waiter

import (
	"context"
	"time"
)

// Pause waits for the delay or until the context ends.
func Pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
