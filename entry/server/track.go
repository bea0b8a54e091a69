package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/controller"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/planner"
	"github.com/cranberryward/cranberryward/pool"
	"github.com/cranberryward/cranberryward/router"
)

const (
	syncInterval       = 500 * time.Millisecond
	maxReportAge       = 2 * time.Second
	reportTimeout      = time.Second
	candidatesPerGroup = 2
	zoneCacheTTL       = 5 * time.Second
	listTimeout        = 2 * time.Second
)

// pools holds one pool for each model and each plain service.
type pools struct {
	mutex  sync.Mutex
	byName map[string]*pool.Pool
}

func newPools() *pools {
	return &pools{
		byName: map[string]*pool.Pool{},
	}
}

func poolName(instance cranberryward.Instance) string {
	if instance.Role == cranberryward.RoleEngine {
		return modelPoolName(instance.Model)
	}
	return servicePoolName(instance.Service)
}

func modelPoolName(model string) string { return "model/" + model }

func servicePoolName(service string) string { return "service/" + service }

func (pools *pools) find(name string) (*pool.Pool, bool) {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	found, ok := pools.byName[name]
	return found, ok
}

// dropped returns how many backend servers each pool has no room for, by the name of the pool.
func (pools *pools) dropped() map[string]int {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	dropped := map[string]int{}
	for name, pool := range pools.byName {
		if count := pool.Dropped(); count > 0 {
			dropped[name] = count
		}
	}
	return dropped
}

func (pools *pools) all() []*pool.Pool {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	all := make([]*pool.Pool, 0, len(pools.byName))
	for _, pool := range pools.byName {
		all = append(all, pool)
	}
	return all
}

// sync updates each model's and each service's pool to the backend servers that this entry uses, and adds missing pools.
func (pools *pools) sync(membership cranberryward.Membership, zone, entryID string) {
	poolNames := map[string]bool{}
	for _, instance := range membership.Instances {
		if instance.Role != cranberryward.RoleEntry {
			poolNames[poolName(instance)] = true
		}
	}
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	for name := range poolNames {
		if pools.byName[name] == nil {
			pools.byName[name] = pool.New(router.LeastExpectedLatency{})
		}
	}
	for name, pool := range pools.byName {
		pool.Sync(router.Subset(membership, zone, entryID, func(instance cranberryward.Instance) bool {
			return instance.Role != cranberryward.RoleEntry && poolName(instance) == name
		}))
	}
}

// trackServers applies membership changes to the pools, and fetches the load reports that recent responses have not provided.
func (entry *entry) trackServers(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		changed := entry.localState.Changed()
		if membership := entry.localState.Membership(); membership.Version != version {
			version = membership.Version
			entry.pools.sync(membership, entry.settings.Zone, entry.settings.ID)
			entry.logDropped()
		}
		entry.fetchMissingHomes(ctx)
		for _, pool := range entry.pools.all() {
			for id, staleServer := range pool.Stale(maxReportAge) {
				go entry.fetchReport(ctx, pool, id, staleServer)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(syncInterval):
		}
	}
}

// logDropped logs the pools that have no room for all of their backend servers.
func (entry *entry) logDropped() {
	for name, dropped := range entry.pools.dropped() {
		_ = entry.logger.Log("event", "backend_servers_dropped", "pool", name, "dropped", dropped, "held", router.MaxServers)
	}
}

// fetchMissingHomes fetches the tables of key homes that are not known yet.
func (entry *entry) fetchMissingHomes(ctx context.Context) {
	for _, service := range entry.settings.Services {
		if entry.homeTables.get(service.name).Epoch == 0 {
			entry.refreshHomeTable(ctx, service.name)
		}
	}
}

func (entry *entry) fetchReport(ctx context.Context, pool *pool.Pool, id string, staleServer pool.StaleServer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report messenger.ReportReply
	err := entry.rpcClient.Call(ctx, staleServer.Instance().PeerAddress, "Agent.Report", messenger.ReportRequest{
		CacheSequence: staleServer.CacheSequence(),
	}, &report)
	if err == nil {
		pool.ApplyReport(id, report)
	}
}

// runControllers runs the controllers of the groups for which this entry is a candidate.
func (entry *entry) runControllers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := entry.localState.Changed()
		entry.syncControllers(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(syncInterval):
		}
	}
}

func (entry *entry) syncControllers(ctx context.Context) {
	membership := entry.localState.Membership()
	wanted := map[string]bool{}
	for _, instance := range membership.Instances {
		if instance.Role == cranberryward.RoleEngine && instance.Group != "" && !wanted[instance.Group] {
			wanted[instance.Group] = entry.isCandidate(membership, instance.Group)
		}
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for group, runningController := range entry.controllers {
		if !wanted[group] {
			runningController.cancel()
		}
		if runningController.ended() {
			delete(entry.controllers, group)
		}
	}
	for group, isWanted := range wanted {
		if isWanted && entry.controllers[group] == nil {
			entry.controllers[group] = entry.startController(ctx, group)
		}
	}
}

// isCandidate returns whether this entry is among the few that compete for a group's lease.
func (entry *entry) isCandidate(membership cranberryward.Membership, group string) bool {
	entries := distributor.EntryInstances(membership, entry.settings.Zone)
	slices.SortFunc(entries, func(a, b cranberryward.Instance) int {
		if cranberryward.RendezvousWeight(group, a.ID) > cranberryward.RendezvousWeight(group, b.ID) {
			return -1
		}
		return 1
	})
	for i, candidate := range entries {
		if candidate.ID == entry.instance.ID {
			return i < candidatesPerGroup
		}
	}
	return false
}

func (entry *entry) startController(ctx context.Context, group string) *runningController {
	ctx, cancel := context.WithCancel(ctx)
	controller := controller.New(group, controller.Settings{
		Zone:           entry.settings.Zone,
		Holder:         entry.settings.ID,
		LeaseTTL:       entry.settings.LeaseTTL,
		Interval:       entry.settings.PlanInterval,
		PrepareLimit:   entry.settings.PrepareLimit,
		ChangeTime:     entry.settings.ChangeTime,
		ClockError:     entry.settings.ClockError,
		MaxAge:         entry.settings.MaxAge,
		BytesPerSecond: entry.settings.WeightRate,
		Memory: planner.Memory{
			SparePerRank: entry.settings.SpareExperts,
			ExpertBytes:  int64(entry.settings.ExpertBytes),
		},
		Weights: entry.settings.plannerWeights(),
	}, entry.store, entry.localState, entry.rpcClient, entry.logger)
	done := make(chan struct{})
	go func() {
		defer close(done)
		controller.Run(ctx)
	}()
	return &runningController{
		controller: controller,
		cancel:     cancel,
		done:       done,
	}
}

func (entry *entry) stopControllers() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for group, runningController := range entry.controllers {
		runningController.cancel()
		<-runningController.done
		delete(entry.controllers, group)
	}
}

// zoneCache caches the instance list of all zones.
type zoneCache struct {
	mutex      sync.Mutex
	membership cranberryward.Membership
	fetchedAt  time.Time
}

// listAllZones returns the instance list of all zones, from the cache if it is not older than the given age or the list cannot be read.
func (entry *entry) listAllZones(ctx context.Context, maxAge time.Duration) (cranberryward.Membership, error) {
	entry.zoneCache.mutex.Lock()
	defer entry.zoneCache.mutex.Unlock()
	if time.Since(entry.zoneCache.fetchedAt) < maxAge {
		return entry.zoneCache.membership, nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	membership, err := entry.instanceList.List(ctx, "", 0)
	if err != nil {
		if entry.zoneCache.membership.Version > 0 {
			return entry.zoneCache.membership, nil
		}
		return membership, err
	}
	entry.zoneCache.membership = membership
	entry.zoneCache.fetchedAt = time.Now()
	return membership, nil
}
