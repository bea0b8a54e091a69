package distributor

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	registerPeriod   = 500 * time.Millisecond
	registerTimeout  = 2 * time.Second
	deregisterWithin = time.Second
)

// Register adds a life of an instance to the platform's list, trying until the list answers.
func Register(ctx context.Context, list cranberryward.InstanceList, instance cranberryward.Instance) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, registerTimeout)
		err := list.Register(attempt, instance)
		cancel()
		if err == nil {
			return
		}
		waiter.Pause(ctx, registerPeriod)
	}
}

// Deregister takes an instance off the platform's list, once, also when the context has ended.
func Deregister(ctx context.Context, list cranberryward.InstanceList, instance cranberryward.Instance) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterWithin)
	defer cancel()
	_ = list.Deregister(ctx, instance.ID)
}
