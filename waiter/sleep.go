package waiter

import (
	"context"
	"time"
)

// Sleep waits for the delay or until the context is done.
func Sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
