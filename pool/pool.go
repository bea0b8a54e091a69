package pool

import (
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/router"
)

const prefixCapacity = 1 << 16

type slot struct {
	instance      cranberryward.Instance
	breaker       limiter.CircuitBreaker
	reportedAt    time.Time
	eventsAt      time.Time
	cacheSequence uint64
	draining      bool
	used          bool
}

// Pool is the set of backend servers of one model or one service.
type Pool struct {
	mutex    sync.Mutex
	policy   router.Policy
	slots    [router.MaxServers]slot
	servers  [router.MaxServers]router.Server
	count    int
	dropped  int
	index    *router.PrefixIndex
	sequence uint64
}

// New returns an empty pool that chooses backend servers by the policy.
func New(policy router.Policy) *Pool {
	return &Pool{
		policy: policy,
		index:  router.NewPrefixIndex(prefixCapacity),
	}
}

// Sync makes the pool hold exactly the given backend servers and resets the state of those whose incarnation changed.
func (pool *Pool) Sync(instances []cranberryward.Instance) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	wanted := map[string]cranberryward.Instance{}
	for _, instance := range instances {
		wanted[instance.ID] = instance
	}
	for i := range pool.slots {
		slot := &pool.slots[i]
		if !slot.used {
			continue
		}
		instance, keep := wanted[slot.instance.ID]
		switch {
		case !keep:
			pool.clearSlot(i)
		case instance.Incarnation != slot.instance.Incarnation:
			pool.clearSlot(i)
			pool.fillSlot(i, instance)
		default:
			slot.instance = instance
		}
		delete(wanted, instance.ID)
	}
	for _, instance := range instances {
		if _, missing := wanted[instance.ID]; missing {
			pool.add(instance)
		}
	}
	pool.dropped = 0
	for _, instance := range instances {
		if !pool.holds(instance.ID) {
			pool.dropped++
		}
	}
}

func (pool *Pool) holds(id string) bool {
	for i := range pool.slots {
		if pool.slots[i].used && pool.slots[i].instance.ID == id {
			return true
		}
	}
	return false
}

// Dropped returns how many backend servers of the last Sync the pool has no room for.
func (pool *Pool) Dropped() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.dropped
}

func (pool *Pool) clearSlot(i int) {
	pool.index.RemoveServer(i)
	pool.slots[i] = slot{}
	pool.servers[i] = router.Server{}
}

func (pool *Pool) fillSlot(i int, instance cranberryward.Instance) {
	pool.slots[i] = slot{
		instance: instance,
		used:     true,
	}
	pool.servers[i] = router.Server{
		Available: true,
		Share:     1,
	}
	pool.count = max(pool.count, i+1)
}

func (pool *Pool) add(instance cranberryward.Instance) {
	for i := range pool.slots {
		if !pool.slots[i].used {
			pool.fillSlot(i, instance)
			return
		}
	}
}

// Len returns how many backend servers the pool holds.
func (pool *Pool) Len() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	length := 0
	for i := range pool.slots {
		if pool.slots[i].used {
			length++
		}
	}
	return length
}

// Instances returns the backend servers of the pool.
func (pool *Pool) Instances() []cranberryward.Instance {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var instances []cranberryward.Instance
	for i := range pool.slots {
		if pool.slots[i].used {
			instances = append(instances, pool.slots[i].instance)
		}
	}
	return instances
}

// Attempt is one attempt to run a request on a backend server, which Finish ends.
type Attempt struct {
	pool     *Pool
	slot     int
	instance cranberryward.Instance
	bytes    int
	choice   router.Choice
	permit   limiter.SendPermit
}

// Instance returns the backend server that was chosen.
func (attempt *Attempt) Instance() cranberryward.Instance { return attempt.instance }

// Choice returns the routing decision.
func (attempt *Attempt) Choice() router.Choice { return attempt.choice }

// Choose returns an attempt at the backend server that the policy chose among those that are neither leaving nor excluded.
func (pool *Pool) Choose(request router.Request, excluded func(instance string) bool) (*Attempt, bool) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for i := range pool.count {
		slot, server := &pool.slots[i], &pool.servers[i]
		server.Available = slot.used && !slot.draining && !slot.instance.Leaving && slot.breaker.Allow(now) && !excluded(slot.instance.ID)
		server.Share = slot.breaker.Share(now)
		server.ReportAge = now.Sub(slot.reportedAt)
		server.EventAge = now.Sub(slot.eventsAt)
	}
	pool.sequence++
	choice := pool.policy.Choose(request.WithSequence(pool.sequence), pool.servers[:pool.count], pool.index)
	if choice.Server() < 0 {
		return nil, false
	}
	i := choice.Server()
	permit := pool.slots[i].breaker.Begin()
	pool.servers[i].SentRequests++
	pool.servers[i].SentBytes += request.PromptBytes()
	pool.servers[i].Outstanding++
	pool.index.Store(i, request.Blocks())
	return &Attempt{
		pool:     pool,
		slot:     i,
		instance: pool.slots[i].instance,
		bytes:    request.PromptBytes(),
		choice:   choice,
		permit:   permit,
	}, true
}

// Finish records the outcome of the attempt and the load that was reported with the response.
func (attempt *Attempt) Finish(err error, load messenger.Load, reported bool) {
	now := time.Now()
	pool := attempt.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	slot, server := &pool.slots[attempt.slot], &pool.servers[attempt.slot]
	if slot.instance.ID != attempt.instance.ID || slot.instance.Incarnation != attempt.instance.Incarnation {
		return
	}
	server.Outstanding--
	if reported {
		pool.applyLoad(attempt.slot, load, now)
	}
	switch failure := cranberryward.FailureOf(failureOrRan(err)); {
	case err == nil:
		slot.breaker.Succeed(now)
	case failure.Reason() == cranberryward.ReasonLeaving, failure.Reason() == cranberryward.ReasonStopping:
		slot.draining = true
		slot.breaker.Abandon(attempt.permit)
	case failure.Reason() == cranberryward.ReasonUnreachable, failure.Reason() == cranberryward.ReasonCrashed, failure.Reason() == cranberryward.ReasonResponseBroken:
		slot.breaker.Fail(attempt.permit, now)
	default:
		slot.breaker.Abandon(attempt.permit)
	}
}

// failureOrRan returns a failure with the verdict Ran for a nil error, as FailureOf needs an error.
func failureOrRan(err error) error {
	if err == nil {
		return cranberryward.NewFailure(cranberryward.Ran, "", "")
	}
	return err
}

func (pool *Pool) applyLoad(i int, load messenger.Load, at time.Time) {
	server := &pool.servers[i]
	server.Running = load.InFlight
	server.Queued = load.Queued
	server.Limit = load.Limit
	server.PrefillBytes = load.PrefillBytes
	server.SentRequests = 0
	server.SentBytes = 0
	pool.slots[i].reportedAt = at
}

// Stale returns the backend servers whose last load report is at least the given age old.
func (pool *Pool) Stale(age time.Duration) map[string]StaleServer {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	stale := map[string]StaleServer{}
	for i := range pool.slots {
		slot := &pool.slots[i]
		if slot.used && now.Sub(slot.reportedAt) >= age {
			stale[slot.instance.ID] = StaleServer{
				instance:      slot.instance,
				cacheSequence: slot.cacheSequence,
			}
		}
	}
	return stale
}

// StaleServer is a backend server whose load report is due, with the position reached in its cache events.
type StaleServer struct {
	instance      cranberryward.Instance
	cacheSequence uint64
}

// Instance returns the backend server.
func (staleServer StaleServer) Instance() cranberryward.Instance { return staleServer.instance }

// CacheSequence returns the sequence number of the last cache event that was applied.
func (staleServer StaleServer) CacheSequence() uint64 { return staleServer.cacheSequence }

// ApplyReport updates the state of a backend server from its report.
func (pool *Pool) ApplyReport(id string, report messenger.ReportReply) {
	now := time.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for i := range pool.slots {
		slot := &pool.slots[i]
		if !slot.used || slot.instance.ID != id {
			continue
		}
		pool.applyLoad(i, report.Load, now)
		slot.draining = report.Draining
		if report.Engine.StepMicros > 0 {
			pool.servers[i].StepMicros = float64(report.Engine.StepMicros)
		}
		pool.applyEvents(i, report.Events, now)
	}
}

func (pool *Pool) applyEvents(i int, events cranberryward.CacheEvents, now time.Time) {
	slot := &pool.slots[i]
	if events.Resync {
		pool.index.RemoveServer(i)
		pool.index.Store(i, events.Blocks)
	}
	for _, event := range events.Events {
		pool.index.Store(i, event.Stored)
		pool.index.Remove(i, event.Removed)
	}
	if events.Sequence > 0 || events.Resync {
		slot.cacheSequence = events.Sequence
	}
	slot.eventsAt = now
}
