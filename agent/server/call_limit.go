package server

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
)

const (
	// maxCallWait is how long a call waits for its turn under the limit that its backend server names; the entry tries another one sooner than that.
	maxCallWait = 100 * time.Millisecond
	// minCallLimit is the limit that is assumed for a backend server that names a lower one, in calls a second: only a response shows that it has ended.
	minCallLimit = 0.25
)

// callLimit keeps to the number of calls a second that the backend server names in its responses; its zero value sets no limit.
type callLimit struct {
	mutex    sync.Mutex
	limit    float64
	statedAt time.Time
	pacer    limiter.Pacer
}

// acquire waits for a call's turn, and refuses it as NotRun if that takes longer than maxCallWait.
func (callLimit *callLimit) acquire(ctx context.Context) error {
	waitUntil := time.Now().Add(maxCallWait)
	for {
		wait := callLimit.take()
		if wait == 0 {
			return nil
		}
		if time.Now().Add(wait).After(waitUntil) {
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the backend server has named a limit on calls, which is reached").WithRetryAfter(wait)
		}
		select {
		case <-ctx.Done():
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonDeadline, "the call's turn did not come before its deadline").WithCause(ctx.Err())
		case <-time.After(wait):
		}
	}
}

// take uses a permit and returns zero, or returns how long it is until there is one.
func (callLimit *callLimit) take() time.Duration {
	callLimit.mutex.Lock()
	defer callLimit.mutex.Unlock()
	now := time.Now()
	if callLimit.limit == 0 || callLimit.pacer.Take(now, callLimit.limit) {
		return 0
	}
	return callLimit.pacer.Wait(now, callLimit.limit)
}

// record takes over the limit in a response to a call sent at the given time; a response without one ends the limit, unless the call was sent before it was named.
func (callLimit *callLimit) record(response cranberryward.ServiceResponse, sentAt time.Time) {
	callLimit.mutex.Lock()
	defer callLimit.mutex.Unlock()
	limit, named := readCallLimit(response)
	switch {
	case named:
		callLimit.limit, callLimit.statedAt = max(limit, minCallLimit), time.Now()
	case !sentAt.Before(callLimit.statedAt):
		callLimit.limit = 0
		callLimit.pacer.Reset()
	}
}

// readCallLimit returns the limit that a response names, and false if it names none that is a number.
func readCallLimit(response cranberryward.ServiceResponse) (limit float64, named bool) {
	for _, text := range response.Header[cranberryward.HeaderLimit] {
		if limit, err := strconv.ParseFloat(text, 64); err == nil && limit >= 0 {
			return limit, true
		}
	}
	return 0, false
}
