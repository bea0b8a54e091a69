package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	defaultQueueCapacity = 256
	serviceTimeSmoothing = 0.1
)

// Limiter admits requests to one backend server within a concurrency limit and queues the others in a FairQueue.
type Limiter struct {
	mutex            sync.Mutex
	concurrencyLimit ConcurrencyLimit
	queue            *FairQueue
	inFlight         int
	serviceTime      time.Duration
}

// New returns a limiter with a concurrency limit and a queue of the given capacity.
func New(concurrencyLimit ConcurrencyLimit, capacity int) *Limiter {
	return &Limiter{
		concurrencyLimit: concurrencyLimit,
		queue:            NewFairQueue(capacity),
	}
}

// Permit allows one request to run.
type Permit struct {
	limiter *Limiter
	started time.Time
	once    sync.Once
}

// Load returns the number of requests in flight, the number queued and the current limit.
func (limiter *Limiter) Load() (inFlight, queued, limit int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.queue != nil {
		queued = limiter.queue.Len()
	}
	return limiter.inFlight, queued, limiter.concurrencyLimit.Limit()
}

// Acquire waits for the request's turn; it refuses a request as NotRun if it cannot run before its deadline or the full queue evicts it.
func (limiter *Limiter) Acquire(ctx context.Context, workspace string, priority int) (*Permit, error) {
	queuedRequest, permit, err := limiter.enqueue(ctx, workspace, priority)
	if permit != nil || err != nil {
		return permit, err
	}
	select {
	case granted := <-queuedRequest.granted:
		if !granted {
			return nil, overloaded("the queue is full and the request's workspace is the furthest over its share")
		}
		return limiter.newPermit(), nil
	case <-ctx.Done():
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		if !limiter.queue.Remove(queuedRequest) && <-queuedRequest.granted {
			limiter.inFlight--
			limiter.admitQueued()
		}
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonDeadline, "the request was still queued at its deadline or when it was canceled").WithCause(ctx.Err())
	}
}

func overloaded(message string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, message).WithRetryAfter(time.Second)
}

func (limiter *Limiter) enqueue(ctx context.Context, workspace string, priority int) (*QueuedRequest, *Permit, error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.queue == nil {
		limiter.queue = NewFairQueue(defaultQueueCapacity)
	}
	if limiter.inFlight < limiter.concurrencyLimit.Limit() && limiter.queue.Len() == 0 {
		limiter.inFlight++
		return nil, limiter.newPermit(), nil
	}
	if deadline, ok := ctx.Deadline(); ok && limiter.expectedWait() > time.Until(deadline) {
		return nil, nil, overloaded("the expected wait in the queue exceeds the time left until the request's deadline")
	}
	return limiter.queue.Push(workspace, PriorityWeight(priority)), nil, nil
}

func (limiter *Limiter) expectedWait() time.Duration {
	return limiter.serviceTime * time.Duration(limiter.queue.Len()) / time.Duration(max(limiter.concurrencyLimit.Limit(), 1))
}

func (limiter *Limiter) newPermit() *Permit {
	return &Permit{
		limiter: limiter,
		started: time.Now(),
	}
}

func (limiter *Limiter) admitQueued() {
	for limiter.queue != nil && limiter.inFlight < limiter.concurrencyLimit.Limit() {
		queuedRequest := limiter.queue.Pop()
		if queuedRequest == nil {
			return
		}
		limiter.inFlight++
		queuedRequest.granted <- true
	}
}

// ObserveLatency adjusts the limit to the time since the permit was granted; it is called at the first frame of a stream or after a complete response.
func (permit *Permit) ObserveLatency() {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	permit.limiter.concurrencyLimit.Observe(time.Since(permit.started), permit.limiter.inFlight)
}

// ObserveRefusal lowers the limit after the backend server refused the request or timed out.
func (permit *Permit) ObserveRefusal() {
	permit.limiter.mutex.Lock()
	defer permit.limiter.mutex.Unlock()
	permit.limiter.concurrencyLimit.Decrease()
}

// Release ends the request and admits queued ones; further calls have no effect.
func (permit *Permit) Release() {
	permit.once.Do(func() {
		limiter := permit.limiter
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.inFlight--
		limiter.serviceTime += time.Duration(serviceTimeSmoothing * float64(time.Since(permit.started)-limiter.serviceTime))
		limiter.admitQueued()
	})
}
