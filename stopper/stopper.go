package stopper

import (
	"sync/atomic"
	"time"
)

const (
	// Reserve is the time before the end of a stop in which requests that may outlast it are refused.
	Reserve = 5 * time.Second
	// Acceptance is how long after the begin of a stop such requests are accepted at most; until then a load balancer may send new callers.
	Acceptance = 2500 * time.Millisecond
	// AnswerTime is the time before the end of a stop that is left for the answers to the requests that it ends.
	AnswerTime = 150 * time.Millisecond
)

// Stopper knows whether a process stops and when it ends; its zero value is one that does not stop.
type Stopper struct {
	stopping atomic.Bool
	// begun is when the stop began, answerAt is when it ends the requests in flight, and acceptUntil is until when it accepts requests that may outlast that, in Unix
	// nanoseconds.
	begun       atomic.Int64
	answerAt    atomic.Int64
	acceptUntil atomic.Int64
}

// AnswerAt returns when the requests that are still in flight in a stop with the given end are ended and answered.
func AnswerAt(end time.Time) time.Time { return end.Add(-AnswerTime) }

// Begin begins a stop that ends at the given time, or moves the end of one that has begun.
func (stopper *Stopper) Begin(by time.Time) {
	stopper.begun.CompareAndSwap(0, time.Now().UnixNano())
	acceptUntil := time.Unix(0, stopper.begun.Load()).Add(Acceptance)
	if reserve := by.Add(-Reserve); reserve.Before(acceptUntil) {
		acceptUntil = reserve
	}
	stopper.answerAt.Store(AnswerAt(by).UnixNano())
	stopper.acceptUntil.Store(acceptUntil.UnixNano())
	stopper.stopping.Store(true)
}

// Stopping returns whether the process stops.
func (stopper *Stopper) Stopping() bool { return stopper.stopping.Load() }

// Accepts returns whether a request with a deadline may be accepted now: it would be cut off if it lasted longer than until the process answers what is in flight.
func (stopper *Stopper) Accepts(deadline time.Time) bool {
	if !stopper.Stopping() || deadline.UnixNano() <= stopper.answerAt.Load() {
		return true
	}
	return time.Now().UnixNano() <= stopper.acceptUntil.Load()
}
