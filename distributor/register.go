package distributor

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	registerRetryDelay = 500 * time.Millisecond
	registerTimeout    = 2 * time.Second
	deregisterTimeout  = time.Second
)

// Register adds an incarnation of an instance to the platform's instance list and retries until it succeeds or the context ends.
func Register(ctx context.Context, list cranberryward.InstanceList, instance cranberryward.Instance) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, registerTimeout)
		err := list.Register(attempt, instance)
		cancel()
		if err == nil {
			return
		}
		waiter.Sleep(ctx, registerRetryDelay)
	}
}

// Deregister tries once to remove an instance from the platform's instance list, even if the context has ended.
func Deregister(ctx context.Context, list cranberryward.InstanceList, instance cranberryward.Instance) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	_ = list.Deregister(ctx, instance.ID)
}
