package homekeeper

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

const (
	keyPrefix        = "homes/"
	retryDelay       = 200 * time.Millisecond
	callTimeout      = 2 * time.Second
	listInterval     = time.Second
	watchWaitDivisor = 4
	handOverTimeout  = 3 * time.Second
)

// Settings configure a keeper.
type Settings struct {
	Instance   cranberryward.Instance `json:"instance"`
	Lifetime   time.Duration          `json:"lifetime"`
	ListLag    time.Duration          `json:"list_lag"`
	ClockError time.Duration          `json:"clock_error"`
}

// Keeper watches the table of key homes in the key-value service, reassigns the shards of homes that are gone, and decides whether this instance may admit a
// key.
type Keeper struct {
	settings        Settings
	store           cranberryward.KeyValueStore
	instanceList    cranberryward.InstanceList
	logger          log.Logger
	mutex           sync.Mutex
	authority       deduplicator.Authority
	revision        uint64
	listedInstances []cranberryward.Instance
	missingSince    map[string]time.Time
	suspended       [deduplicator.ShardCount]bool
}

// New returns a keeper that has not read the table yet.
func New(settings Settings, store cranberryward.KeyValueStore, instanceList cranberryward.InstanceList, logger log.Logger) *Keeper {
	return &Keeper{
		settings:     settings,
		store:        store,
		instanceList: instanceList,
		logger:       logger,
		authority:    deduplicator.NewAuthority(settings.Instance.ID, settings.Instance.Incarnation, settings.Lifetime, settings.ClockError),
	}
}

func (keeper *Keeper) tableKey() string { return keyPrefix + keeper.settings.Instance.Service }

// Table returns the newest table that the keeper has read.
func (keeper *Keeper) Table() deduplicator.Table {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.authority.Table()
}

// MayAdmit returns nil when this instance may admit a key of the shard now.
func (keeper *Keeper) MayAdmit(shard int) error {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.suspended[shard] {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonHomeUnconfirmed, "the shard of the key is being handed over to another home").WithRetryAfter(time.Second)
	}
	return keeper.authority.MayAdmit(shard, time.Now())
}

// CheckKey returns whether an earlier home may have admitted a key that is not in the key store.
func (keeper *Keeper) CheckKey(key string, retention time.Duration) deduplicator.KeyStatus {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.authority.CheckKey(key, time.Now(), retention)
}

// Run watches the table and polls the instance list until the context ends.
func (keeper *Keeper) Run(ctx context.Context) {
	go keeper.pollInstances(ctx)
	for ctx.Err() == nil {
		if err := keeper.watchTable(ctx); err != nil {
			waiter.Sleep(ctx, retryDelay)
		}
	}
}

func (keeper *Keeper) watchTable(ctx context.Context) error {
	wait := keeper.settings.Lifetime / watchWaitDivisor
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	keeper.mutex.Lock()
	after := keeper.revision
	keeper.mutex.Unlock()
	sent := time.Now()
	record, err := keeper.store.Watch(ctx, keeper.tableKey(), after, wait)
	if err != nil {
		return err
	}
	return keeper.applyRecord(record, confirmedAt(sent, time.Now(), record.Revision == after, wait))
}

// confirmedAt returns a time at which the result of a watch was certainly current: the key-value service responds to a watch of an unchanged key only when
// the wait is over, so the result was still current callTimeout before the response.
func confirmedAt(sent, responded time.Time, unchanged bool, wait time.Duration) time.Time {
	if latest := responded.Add(-callTimeout); unchanged && latest.After(sent) && responded.Sub(sent) <= wait+callTimeout {
		return latest
	}
	return sent
}

func (keeper *Keeper) applyRecord(record cranberryward.Record, at time.Time) error {
	var table deduplicator.Table
	if record.Exists() {
		if err := json.Unmarshal(record.Value, &table); err != nil {
			return eris.Wrap(err, "decode table of key homes")
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if record.Revision < keeper.revision {
		return nil
	}
	keeper.revision = record.Revision
	keeper.authority.Confirm(table, at)
	return nil
}

func (keeper *Keeper) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		keeper.refreshInstances(ctx)
		waiter.Sleep(ctx, listInterval)
	}
}

func (keeper *Keeper) refreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	keeper.mutex.Lock()
	table, revision := keeper.authority.Table(), keeper.revision
	keeper.mutex.Unlock()
	membership, err := keeper.instanceList.ListService(ctx, keeper.settings.Instance.Service)
	if err != nil {
		return
	}
	keeper.recordMissing(table, membership, sent)
	keeper.mutex.Lock()
	keeper.listedInstances = membership.Instances
	if own, ok := membership.Find(keeper.settings.Instance.ID); ok && own.Incarnation == keeper.settings.Instance.Incarnation {
		keeper.authority.Extend(sent.Add(-keeper.settings.ListLag))
	}
	keeper.mutex.Unlock()
	keeper.reassign(ctx, table, revision, membership)
}

// recordMissing records since when each home of the table has been missing from the instance list.
func (keeper *Keeper) recordMissing(table deduplicator.Table, membership cranberryward.Membership, now time.Time) {
	missing := map[string]time.Time{}
	for _, home := range table.Homes {
		if _, listed := membership.Find(home.Instance); listed || home.Instance == keeper.settings.Instance.ID {
			continue
		}
		missing[home.Instance] = now
		if since, known := keeper.missingSince[home.Instance]; known {
			missing[home.Instance] = since
		}
	}
	keeper.missingSince = missing
}

// reassign assigns shards whose home has been missing from the instance list for longer than the lag of the list to instances that are listed.
func (keeper *Keeper) reassign(ctx context.Context, table deduplicator.Table, revision uint64, membership cranberryward.Membership) {
	isMissing := func(id string) bool {
		since, missing := keeper.missingSince[id]
		return missing && time.Since(since) >= keeper.settings.ListLag
	}
	next, changed := deduplicator.Assign(table, membership.Instances, isMissing, time.Now(), keeper.settings.Lifetime+keeper.settings.ClockError)
	if !changed {
		return
	}
	next.Service = keeper.settings.Instance.Service
	if err := keeper.compareAndSwap(ctx, next, revision); err == nil {
		_ = keeper.logger.Log("event", "key_homes_assigned", "service", next.Service, "epoch", next.Epoch)
	}
}

func (keeper *Keeper) compareAndSwap(ctx context.Context, table deduplicator.Table, revision uint64) error {
	value, err := json.Marshal(table)
	if err != nil {
		return eris.Wrap(err, "encode table of key homes")
	}
	sent := time.Now()
	record, err := keeper.store.CompareAndSwap(ctx, keeper.tableKey(), value, revision, "")
	if err != nil {
		return err
	}
	return keeper.applyRecord(record, sent)
}

// AwaitSuccessor polls the instance list until it contains an instance that can take over this instance's shards, or the context ends.
func (keeper *Keeper) AwaitSuccessor(ctx context.Context) (cranberryward.Instance, bool) {
	for {
		if membership, err := keeper.instanceList.ListService(ctx, keeper.settings.Instance.Service); err == nil {
			keeper.mutex.Lock()
			keeper.listedInstances = membership.Instances
			keeper.mutex.Unlock()
		}
		if successor, found := keeper.successor(); found || ctx.Err() != nil {
			return successor, found
		}
		waiter.Sleep(ctx, retryDelay)
	}
}

// successor returns the listed instance, not leaving and other than this one, that has the fewest shards.
func (keeper *Keeper) successor() (cranberryward.Instance, bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	counts := map[string]int{}
	for _, home := range keeper.authority.Table().Homes {
		counts[home.Instance]++
	}
	var best cranberryward.Instance
	found := false
	for _, instance := range keeper.listedInstances {
		if instance.ID == keeper.settings.Instance.ID || instance.Leaving {
			continue
		}
		if !found || counts[instance.ID] < counts[best.ID] {
			best, found = instance, true
		}
	}
	return best, found
}

// Suspend stops the admission of keys in the shards and returns a function that resumes it.
func (keeper *Keeper) Suspend(shards []int) (resume func()) {
	set := func(suspended bool) {
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		for _, shard := range shards {
			keeper.suspended[shard] = suspended
		}
	}
	set(true)
	return func() { set(false) }
}

// OwnedShards returns the shards whose home this instance is.
func (keeper *Keeper) OwnedShards() []int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	var own []int
	for shard := range deduplicator.ShardCount {
		if keeper.authority.Owns(shard) {
			own = append(own, shard)
		}
	}
	return own
}

// ExcessShards returns the shards that this instance has beyond its fair share.
func (keeper *Keeper) ExcessShards() []int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return deduplicator.ExcessShards(keeper.authority.Table(), keeper.settings.Instance.ID, keeper.listedInstances)
}

func (keeper *Keeper) waitElapsed(shard int) bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.authority.WaitElapsed(shard, time.Now())
}

// HandOver makes the successor, which must have the keys of the shards already, the home of the shards.
func (keeper *Keeper) HandOver(ctx context.Context, successor cranberryward.Instance, shards []int) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for {
		keeper.mutex.Lock()
		table, revision := keeper.authority.Table(), keeper.revision
		keeper.mutex.Unlock()
		next, changed := deduplicator.HandOver(table, keeper.settings.Instance.ID, successor, shardIn(shards), keeper.waitElapsed)
		if !changed {
			return nil
		}
		err := keeper.compareAndSwap(ctx, next, revision)
		if err == nil || ctx.Err() != nil {
			return err
		}
		waiter.Sleep(ctx, retryDelay)
		_ = keeper.watchTable(ctx)
	}
}

func shardIn(shards []int) func(shard int) bool {
	return func(shard int) bool { return slices.Contains(shards, shard) }
}
