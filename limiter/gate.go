package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	defaultQueueCapacity = 256
	serviceSmoothing     = 0.1
)

// Gate admits requests to one backend server within its concurrency limit and queues the rest fairly.
type Gate struct {
	mutex       sync.Mutex
	concurrency Concurrency
	queue       *FairQueue
	inFlight    int
	service     time.Duration
}

// NewGate returns a gate with a concurrency limit and a queue of the given capacity.
func NewGate(concurrency Concurrency, capacity int) *Gate {
	return &Gate{
		concurrency: concurrency,
		queue:       NewFairQueue(capacity),
	}
}

// Pass is the permission to run one request.
type Pass struct {
	gate    *Gate
	started time.Time
	once    sync.Once
}

// Load returns the requests in flight, those that wait and the present limit.
func (gate *Gate) Load() (inFlight, queued, limit int) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.queue != nil {
		queued = gate.queue.Len()
	}
	return gate.inFlight, queued, gate.concurrency.Limit()
}

// Enter waits for the request's turn and refuses it as not run when it cannot be served before its deadline.
func (gate *Gate) Enter(ctx context.Context, workspace string, priority int) (*Pass, error) {
	ticket, pass, err := gate.join(ctx, workspace, priority)
	if pass != nil || err != nil {
		return pass, err
	}
	select {
	case granted := <-ticket.granted:
		if !granted {
			return nil, overloaded("another workspace has the greater claim to the queue")
		}
		return gate.pass(), nil
	case <-ctx.Done():
		gate.mutex.Lock()
		defer gate.mutex.Unlock()
		if !gate.queue.Remove(ticket) && <-ticket.granted {
			gate.inFlight--
			gate.grant()
		}
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonDeadline, "the request waited in the queue until its deadline").WithCause(ctx.Err())
	}
}

func overloaded(message string) error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, message).WithRetryAfter(time.Second)
}

func (gate *Gate) join(ctx context.Context, workspace string, priority int) (*Ticket, *Pass, error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.queue == nil {
		gate.queue = NewFairQueue(defaultQueueCapacity)
	}
	if gate.inFlight < gate.concurrency.Limit() && gate.queue.Len() == 0 {
		gate.inFlight++
		return nil, gate.pass(), nil
	}
	if deadline, ok := ctx.Deadline(); ok && gate.expectedWait() > time.Until(deadline) {
		return nil, nil, overloaded("the queue is longer than the request's deadline allows")
	}
	return gate.queue.Push(workspace, WeightOf(priority)), nil, nil
}

func (gate *Gate) expectedWait() time.Duration {
	return gate.service * time.Duration(gate.queue.Len()) / time.Duration(max(gate.concurrency.Limit(), 1))
}

func (gate *Gate) pass() *Pass {
	return &Pass{
		gate:    gate,
		started: time.Now(),
	}
}

func (gate *Gate) grant() {
	for gate.queue != nil && gate.inFlight < gate.concurrency.Limit() {
		ticket := gate.queue.Pop()
		if ticket == nil {
			return
		}
		gate.inFlight++
		ticket.granted <- true
	}
}

// FirstAnswer takes in how long the backend server took until its first answer.
func (pass *Pass) FirstAnswer() {
	pass.gate.mutex.Lock()
	defer pass.gate.mutex.Unlock()
	pass.gate.concurrency.Observe(time.Since(pass.started), pass.gate.inFlight)
}

// Refused takes in that the backend server refused the request or timed out.
func (pass *Pass) Refused() {
	pass.gate.mutex.Lock()
	defer pass.gate.mutex.Unlock()
	pass.gate.concurrency.Drop()
}

// Leave gives the permission back, once.
func (pass *Pass) Leave() {
	pass.once.Do(func() {
		gate := pass.gate
		gate.mutex.Lock()
		defer gate.mutex.Unlock()
		gate.inFlight--
		gate.service += time.Duration(serviceSmoothing * float64(time.Since(pass.started)-gate.service))
		gate.grant()
	})
}
