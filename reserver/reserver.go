package reserver

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Class is what memory is taken for: each class may fill more of the total than the one before, so that what is large or comes from callers leaves room for the rest.
type Class int

const (
	// Requests is for all but the first SmallBytes of a request.
	Requests Class = iota
	// Answers is for all but the first SmallBytes of an answer or of an event of a stream: the request has run, and only a lack of time ends its wait.
	Answers
	// SmallRequests is for the first SmallBytes of a request.
	SmallRequests
	// SmallAnswers is for the first SmallBytes of an answer.
	SmallAnswers
)

const (
	// SmallBytes is the part of each request and answer that has room of its own; most are no larger.
	SmallBytes = 16 << 10
	// smallPeak is what a body of SmallBytes takes as it grows to that.
	smallPeak = SmallBytes + SmallBytes/2
	// fixedBytes is the memory of a process that holds nothing for others: its program and what it knows of the deployment.
	fixedBytes = 24 << 20
	// heldShare is the share of the rest that may be held; garbage that is not collected yet takes as much again.
	heldShare = 0.4
	// minShare is the least share of the whole memory that may be held.
	minShare = 0.125
	// collectorShare is the share of the memory up to which the collector lets the heap and the rest of the runtime grow.
	collectorShare = 0.6
	// retryInterval bounds how long an answer waits until it looks for room again.
	retryInterval = 50 * time.Millisecond
)

// shares are the shares of the total that the classes may fill.
var shares = [...]float64{
	Requests:      0.5,
	Answers:       0.7,
	SmallRequests: 0.85,
	SmallAnswers:  1,
}

// ErrNoRoom means that there was no room in time.
var ErrNoRoom = eris.New("no memory is left for what is held for others")

// Reserver is the only owner of the memory that is held for others; its zero value sets no limit.
type Reserver struct {
	limit int64

	mutex sync.Mutex
	used  int64
	// elder is the one reservation of an answer that may exceed the limit, so that answers which wait for each other's room go on, one after the other.
	elder *Reservation
	// freed is closed when room has become free, and nil if nobody waits.
	freed     chan struct{}
	transfers map[*Transfer]struct{}
	shedAt    time.Time
}

// New returns a reserver for a process on a machine with so many bytes of memory.
func New(memory int64) *Reserver {
	return &Reserver{limit: max(int64(heldShare*float64(memory-fixedBytes)), int64(minShare*float64(memory)))}
}

// LimitCollector sets the soft limit of the garbage collector for a process on a machine with so many bytes of memory.
func LimitCollector(memory int64) {
	debug.SetMemoryLimit(int64(collectorShare * float64(memory)))
}

// Limit returns how many bytes may be held, and zero if there is no limit.
func (reserver *Reserver) Limit() int64 { return reserver.limit }

// Used returns how many bytes are held.
func (reserver *Reserver) Used() int64 {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	return reserver.used
}

// take returns whether a reservation got so many bytes for a class.
func (reserver *Reserver) take(reservation *Reservation, class Class, bytes int64) bool {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	limit := int64(shares[class] * float64(reserver.limit))
	if reserver.limit > 0 && reserver.used+bytes > limit && reserver.elder != reservation {
		return false
	}
	reserver.used += bytes
	return true
}

// release gives bytes back and wakes those that wait for room.
func (reserver *Reserver) release(bytes int64) {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	reserver.used -= bytes
	reserver.wake()
}

// wake wakes those that wait for room; the caller holds the mutex.
func (reserver *Reserver) wake() {
	if reserver.freed != nil {
		close(reserver.freed)
		reserver.freed = nil
	}
}

// awaitFreed returns a channel that is closed when room has become free, after it has made the reservation the elder if there is none.
func (reserver *Reserver) awaitFreed(reservation *Reservation) <-chan struct{} {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	if reserver.elder == nil {
		reserver.elder = reservation
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if reserver.freed == nil {
		reserver.freed = make(chan struct{})
	}
	return reserver.freed
}

// Reservation is the memory of one request with its answers; it is used by one goroutine at a time.
type Reservation struct {
	reserver *Reserver
	held     int64
	// requests and answers are the parts of it that were taken for each.
	requests, answers int64
}

// Reserve returns a reservation that holds nothing yet, for which Close must be called.
func (reserver *Reserver) Reserve() *Reservation { return &Reservation{reserver: reserver} }

// TakeForRequest returns whether so many bytes more may be held for a request; what keeps no pace is ended if not.
func (reservation *Reservation) TakeForRequest(bytes int64) bool {
	if reservation == nil {
		return true
	}
	class := SmallRequests
	if reservation.requests+bytes > smallPeak {
		class = Requests
	}
	if !reservation.reserver.take(reservation, class, bytes) {
		reservation.reserver.Shed()
		return false
	}
	reservation.held += bytes
	reservation.requests += bytes
	return true
}

// AwaitForAnswer waits until so many bytes more may be held for an answer, which must not be thrown away for lack of room, or until the context ends.
func (reservation *Reservation) AwaitForAnswer(ctx context.Context, bytes int64) error {
	if reservation == nil {
		return nil
	}
	class := SmallAnswers
	if reservation.answers+bytes > smallPeak {
		class = Answers
	}
	for !reservation.reserver.take(reservation, class, bytes) {
		reservation.reserver.Shed()
		select {
		case <-reservation.reserver.awaitFreed(reservation):
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return eris.Wrapf(ErrNoRoom, "%d bytes more", bytes)
		}
	}
	reservation.held += bytes
	reservation.answers += bytes
	return nil
}

// ReleaseForRequest gives back bytes of a request.
func (reservation *Reservation) ReleaseForRequest(bytes int64) {
	if reservation == nil {
		return
	}
	reservation.held -= bytes
	reservation.requests -= bytes
	reservation.reserver.release(bytes)
}

// ReleaseForAnswer gives back bytes of an answer.
func (reservation *Reservation) ReleaseForAnswer(bytes int64) {
	if reservation == nil {
		return
	}
	reservation.held -= bytes
	reservation.answers -= bytes
	reservation.reserver.release(bytes)
}

// Close gives everything back.
func (reservation *Reservation) Close() {
	if reservation == nil {
		return
	}
	reserver := reservation.reserver
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	reserver.used -= reservation.held
	reservation.held, reservation.requests, reservation.answers = 0, 0, 0
	if reserver.elder == reservation {
		reserver.elder = nil
	}
	reserver.wake()
}
