package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/go-kit/log"
)

const (
	eventAcquire    = charter.Event("acquire")
	eventGranted    = charter.Event("granted")
	eventDenied     = charter.Event("denied")
	eventRenewed    = charter.Event("renewed")
	eventUnanswered = charter.Event("unanswered")
	eventLapse      = charter.Event("lapse")
	eventRelease    = charter.Event("release")

	renewalsPerTTL      = 3
	safetyMarginDivisor = 4
)

var chart = charter.MustLoad("lease", eventAcquire, eventGranted, eventDenied, eventRenewed, eventUnanswered, eventLapse, eventRelease)

// Lease is an exclusive lease on one key, whose expiry is checked against the local clock.
type Lease struct {
	store     cranberryward.KeyValueStore
	key       string
	holder    string
	ttl       time.Duration
	logger    log.Logger
	mutex     sync.Mutex
	machine   charter.Machine
	id        cranberryward.LeaseID
	fencing   uint64
	expiresAt time.Time
}

// New returns a lease on a key, which is not acquired yet.
func New(store cranberryward.KeyValueStore, key, holder string, ttl time.Duration, logger log.Logger) *Lease {
	return &Lease{
		store:   store,
		key:     key,
		holder:  holder,
		ttl:     ttl,
		logger:  logger,
		machine: chart.Start(),
	}
}

// Held returns the fencing number while the lease is certain to be held, and false from a safety margin before its expiry, so that orders under way can
// complete.
func (lease *Lease) Held() (fencing uint64, held bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.fencing == 0 || time.Until(lease.expiresAt) < lease.ttl/safetyMarginDivisor {
		return 0, false
	}
	return lease.fencing, true
}

// Run acquires and renews the lease until the context ends, then revokes it.
func (lease *Lease) Run(ctx context.Context) {
	ticker := time.NewTicker(lease.ttl / renewalsPerTTL)
	defer ticker.Stop()
	for {
		lease.AcquireOrRenew(ctx)
		select {
		case <-ctx.Done():
			lease.release()
			return
		case <-ticker.C:
		}
	}
}

// AcquireOrRenew renews the lease if it is held and otherwise tries once to acquire it.
func (lease *Lease) AcquireOrRenew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.ttl/renewalsPerTTL)
	defer cancel()
	lease.mutex.Lock()
	if lease.fencing != 0 && time.Until(lease.expiresAt) <= 0 {
		lease.fire(eventLapse)
		lease.fire(eventRelease)
		lease.fencing = 0
	}
	held, id := lease.fencing != 0, lease.id
	lease.mutex.Unlock()
	if held {
		lease.renew(ctx, id)
		return
	}
	lease.acquire(ctx)
}

func (lease *Lease) fire(event charter.Event) {
	if err := lease.machine.Fire(event); err != nil {
		_ = lease.logger.Log("event", "state_fault", "error", err)
	}
}

func (lease *Lease) renew(ctx context.Context, id cranberryward.LeaseID) {
	sent := time.Now()
	err := lease.store.KeepAlive(ctx, id)
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	switch {
	case err == nil:
		lease.fire(eventRenewed)
		lease.expiresAt = sent.Add(lease.ttl)
	case cranberryward.FailureOf(err).Reason() == cranberryward.ReasonNotFound:
		lease.fire(eventLapse)
		lease.fire(eventRelease)
		lease.fencing = 0
		_ = lease.logger.Log("event", "lease_lost", "lease", lease.key)
	default:
		lease.fire(eventUnanswered)
	}
}

func (lease *Lease) acquire(ctx context.Context) {
	current, err := lease.store.Get(ctx, lease.key)
	if err != nil || current.Exists() {
		return
	}
	lease.mutex.Lock()
	lease.fire(eventAcquire)
	lease.mutex.Unlock()
	sent := time.Now()
	id, err := lease.store.GrantLease(ctx, lease.ttl)
	var record cranberryward.Record
	if err == nil {
		record, err = lease.store.CompareAndSwap(ctx, lease.key, []byte(lease.holder), 0, id)
	}
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if err != nil {
		// If only the response was lost, the lease is granted but expires by itself, because it is not kept alive.
		lease.fire(eventDenied)
		return
	}
	lease.fire(eventGranted)
	lease.id = id
	lease.fencing = record.Revision
	lease.expiresAt = sent.Add(lease.ttl)
	_ = lease.logger.Log("event", "lease_acquired", "lease", lease.key, "fencing", lease.fencing)
}

func (lease *Lease) release() {
	ctx, cancel := context.WithTimeout(context.Background(), lease.ttl/renewalsPerTTL)
	defer cancel()
	lease.mutex.Lock()
	id, held := lease.id, lease.fencing != 0
	lease.fencing = 0
	if held {
		lease.fire(eventRelease)
	}
	lease.mutex.Unlock()
	if !held {
		return
	}
	if err := lease.store.RevokeLease(ctx, id); err != nil {
		_ = lease.logger.Log("event", "lease_not_revoked", "lease", lease.key, "ttl", lease.ttl, "error", err)
	}
}
