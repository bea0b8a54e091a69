package distributor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/configurer"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/go-kit/log"
)

const (
	watchWait                = time.Second
	pullTimeoutMargin        = time.Second
	retryDelay               = 100 * time.Millisecond
	maxFreshAge              = 3 * time.Second
	membershipInterval       = 500 * time.Millisecond
	membershipResyncInterval = 10 * time.Second
	listTimeout              = 2 * time.Second
	confirmTimeout           = time.Second
	confirmInterval          = time.Second
)

// Follower keeps a local state up to date from the platform or from parents in the tree.
type Follower struct {
	id          string
	zone        string
	isEntry     bool
	localState  *LocalState
	service     *Service
	log         *configurer.Log
	list        cranberryward.InstanceList
	client      *caller.Client
	logger      log.Logger
	listedAt    time.Time
	parent      atomic.Pointer[cranberryward.Instance]
	confirmedTo string
}

// FollowerSettings configure a follower.
type FollowerSettings struct {
	ID         string                      `json:"id"`
	Zone       string                      `json:"zone"`
	Entry      bool                        `json:"entry"`
	LocalState *LocalState                 `json:"-"`
	Service    *Service                    `json:"-"`
	Store      cranberryward.KeyValueStore `json:"-"`
	List       cranberryward.InstanceList  `json:"-"`
	Client     *caller.Client              `json:"-"`
	Logger     log.Logger                  `json:"-"`
}

// NewFollower returns a follower for an entry, which may watch the platform, or for an agent, which never does.
func NewFollower(settings FollowerSettings) *Follower {
	return &Follower{
		id:         settings.ID,
		zone:       settings.Zone,
		isEntry:    settings.Entry,
		localState: settings.LocalState,
		service:    settings.Service,
		log:        configurer.NewLog(settings.Store),
		list:       settings.List,
		client:     settings.Client,
		logger:     settings.Logger,
	}
}

// Run keeps the local state up to date until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	go follower.runMembership(ctx)
	if follower.service != nil {
		go follower.runConfirmations(ctx)
	}
	for ctx.Err() == nil {
		if !follower.syncOnce(ctx) {
			waiter.Sleep(ctx, retryDelay)
		}
	}
}

func (follower *Follower) syncOnce(ctx context.Context) (advanced bool) {
	membership := follower.localState.Membership()
	root := follower.isEntry && IsRoot(membership, follower.zone, follower.id)
	if root && follower.watch(ctx, watchWait) {
		return true
	}
	parents := Parents(membership, follower.zone, follower.id)
	if root {
		// During an outage of the platform, another entry of the zone may have a newer configuration.
		parents = EntryInstances(membership, follower.zone)
	}
	for _, parent := range parents {
		if parent.ID == follower.id {
			continue
		}
		fresh, err := follower.pull(ctx, parent)
		if err == nil && fresh {
			follower.parent.Store(&parent)
			return true
		}
	}
	if follower.isEntry && !root {
		return follower.watch(ctx, watchWait)
	}
	return false
}

func (follower *Follower) watch(ctx context.Context, wait time.Duration) bool {
	started := time.Now()
	current := follower.localState.Configuration()
	update, err := follower.log.Follow(ctx, current, follower.cursor(), wait)
	if err != nil {
		return false
	}
	follower.parent.Store(nil)
	follower.applyUpdate(update)
	follower.localState.Confirm(started)
	return true
}

func (follower *Follower) cursor() uint64 {
	follower.localState.mutex.Lock()
	defer follower.localState.mutex.Unlock()
	return follower.localState.cursor
}

func (follower *Follower) applyUpdate(update configurer.Update) {
	before := follower.localState.Revision()
	follower.localState.UpdateConfiguration(update.Configuration(), update.Entries())
	follower.localState.mutex.Lock()
	follower.localState.cursor = update.Cursor()
	follower.localState.mutex.Unlock()
	if after := follower.localState.Revision(); after != before {
		_ = follower.logger.Log("event", "configuration_advanced", "revision", after, "from", before, "source", "platform")
	}
}

func (follower *Follower) pull(ctx context.Context, parent cranberryward.Instance) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxPullWait+pullTimeoutMargin)
	defer cancel()
	sent := time.Now()
	before := follower.localState.Configuration()
	request := PullRequest{
		From:              follower.id,
		Zone:              follower.zone,
		Revision:          before.Revision,
		MembershipVersion: follower.localState.Membership().Version,
		WaitMillis:        maxPullWait.Milliseconds(),
	}
	var reply PullReply
	if err := follower.client.Call(ctx, parent.PeerAddress, "Distributor.Pull", request, &reply); err != nil {
		return false, err
	}
	follower.applyReply(before, reply)
	if reply.Membership != nil {
		follower.localState.UpdateMembership(*reply.Membership)
	}
	if !reply.Confirmed || follower.localState.Revision() < reply.Revision {
		return false, nil
	}
	// How much of the transfer time passed after the reply was made is unknown, so all of it counts towards the age.
	transfer := time.Since(sent) - time.Duration(reply.WaitedMillis)*time.Millisecond
	age := time.Duration(reply.AgeMillis)*time.Millisecond + max(transfer, 0)
	follower.localState.Confirm(time.Now().Add(-age))
	return age < maxFreshAge, nil
}

func (follower *Follower) applyReply(before cranberryward.Configuration, reply PullReply) {
	next := before
	if reply.Snapshot != nil && reply.Snapshot.Revision > next.Revision {
		next = *reply.Snapshot
	}
	for _, entry := range reply.Entries {
		next = configurer.Apply(next, entry)
	}
	if next.Revision > before.Revision {
		follower.localState.UpdateConfiguration(next, reply.Entries)
		_ = follower.logger.Log("event", "configuration_advanced", "revision", next.Revision, "from", before.Revision, "source", "parent")
	}
}

func (follower *Follower) runMembership(ctx context.Context) {
	for ctx.Err() == nil {
		follower.refreshMembership(ctx)
		waiter.Sleep(ctx, membershipInterval)
	}
}

// refreshMembership reads the instance list at each call on a root, and elsewhere only at the start, every membershipResyncInterval, and while no parent
// supplies a fresh configuration.
func (follower *Follower) refreshMembership(ctx context.Context) {
	membership := follower.localState.Membership()
	age, confirmed := follower.localState.Age()
	root := follower.isEntry && IsRoot(membership, follower.zone, follower.id)
	stale := !confirmed || age > maxFreshAge
	if !root && !stale && membership.Version > 0 && time.Since(follower.listedAt) < membershipResyncInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listed, err := follower.list.List(ctx, follower.zone, membership.Version)
	if err != nil {
		return
	}
	follower.listedAt = time.Now()
	follower.localState.UpdateMembership(listed)
}

func (follower *Follower) runConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		childrenChanged, changed := follower.service.ChildrenChanged(), follower.localState.Changed()
		revision, processes := follower.service.InForce()
		follower.confirmToParent(ctx, revision, processes)
		select {
		case <-ctx.Done():
		case <-childrenChanged:
		case <-changed:
		case <-time.After(confirmInterval):
		}
	}
}

// confirmToParent confirms to the parent that the configuration came from, and has an earlier parent remove this process from its children.
func (follower *Follower) confirmToParent(ctx context.Context, revision uint64, processes int) {
	address := ""
	if parent := follower.parent.Load(); parent != nil {
		address = parent.PeerAddress
	}
	if follower.confirmedTo != "" && follower.confirmedTo != address {
		follower.sendConfirmation(ctx, follower.confirmedTo, 0, 0)
	}
	follower.confirmedTo = address
	if address != "" {
		follower.sendConfirmation(ctx, address, revision, processes)
	}
}

func (follower *Follower) sendConfirmation(ctx context.Context, address string, revision uint64, processes int) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply ConfirmReply
	_ = follower.client.Call(ctx, address, "Distributor.Confirm", ConfirmRequest{
		From:      follower.id,
		InForce:   revision,
		Processes: processes,
	}, &reply)
}
