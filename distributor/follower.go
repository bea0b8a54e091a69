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
	followWait       = time.Second
	pullSlack        = time.Second
	retryDelay       = 100 * time.Millisecond
	staleAge         = 3 * time.Second
	membershipEvery  = 500 * time.Millisecond
	membershipResync = 10 * time.Second
	listTimeout      = 2 * time.Second
	confirmTimeout   = time.Second
	confirmHeartbeat = time.Second
)

// Follower keeps a holder up to date from the platform or from the parents in the tree.
type Follower struct {
	id       string
	zone     string
	entry    bool
	holder   *Holder
	service  *Service
	log      *configurer.Log
	list     cranberryward.InstanceList
	client   *caller.Client
	logger   log.Logger
	listedAt time.Time
	parent   atomic.Pointer[cranberryward.Instance]
	reported string
}

// FollowerSettings say who follows and by which means.
type FollowerSettings struct {
	ID      string                      `json:"id"`
	Zone    string                      `json:"zone"`
	Entry   bool                        `json:"entry"`
	Holder  *Holder                     `json:"-"`
	Service *Service                    `json:"-"`
	Store   cranberryward.KeyValueStore `json:"-"`
	List    cranberryward.InstanceList  `json:"-"`
	Client  *caller.Client              `json:"-"`
	Logger  log.Logger                  `json:"-"`
}

// NewFollower returns a follower for an entry, which may watch the platform, or for an agent, which never does.
func NewFollower(settings FollowerSettings) *Follower {
	return &Follower{
		id:      settings.ID,
		zone:    settings.Zone,
		entry:   settings.Entry,
		holder:  settings.Holder,
		service: settings.Service,
		log:     configurer.NewLog(settings.Store),
		list:    settings.List,
		client:  settings.Client,
		logger:  settings.Logger,
	}
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	go follower.runMembership(ctx)
	if follower.service != nil {
		go follower.runConfirm(ctx)
	}
	for ctx.Err() == nil {
		if !follower.round(ctx) {
			waiter.Pause(ctx, retryDelay)
		}
	}
}

func (follower *Follower) round(ctx context.Context) (advanced bool) {
	membership := follower.holder.Membership()
	root := follower.entry && IsRoot(membership, follower.zone, follower.id)
	if root && follower.watch(ctx, followWait) {
		return true
	}
	parents := Parents(membership, follower.zone, follower.id)
	if root {
		// What the platform cannot tell during its outage, another entry of the zone may know.
		parents = Entries(membership, follower.zone)
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
	if follower.entry && !root {
		return follower.watch(ctx, followWait)
	}
	return false
}

func (follower *Follower) watch(ctx context.Context, wait time.Duration) bool {
	started := time.Now()
	present := follower.holder.Configuration()
	update, err := follower.log.Follow(ctx, present, follower.cursorOf(), wait)
	if err != nil {
		return false
	}
	follower.parent.Store(nil)
	follower.advance(update)
	follower.holder.Confirm(started)
	return true
}

func (follower *Follower) cursorOf() uint64 {
	follower.holder.mutex.Lock()
	defer follower.holder.mutex.Unlock()
	return follower.holder.cursor
}

func (follower *Follower) advance(update configurer.Update) {
	before := follower.holder.Revision()
	follower.holder.Advance(update.Configuration(), update.Entries())
	follower.holder.mutex.Lock()
	follower.holder.cursor = update.Cursor()
	follower.holder.mutex.Unlock()
	if after := follower.holder.Revision(); after != before {
		_ = follower.logger.Log("event", "configuration_advanced", "revision", after, "from", before, "source", "platform")
	}
}

func (follower *Follower) pull(ctx context.Context, parent cranberryward.Instance) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxPullWait+pullSlack)
	defer cancel()
	sent := time.Now()
	before := follower.holder.Configuration()
	request := PullRequest{
		From:              follower.id,
		Zone:              follower.zone,
		Revision:          before.Revision,
		MembershipVersion: follower.holder.Membership().Version,
		WaitMillis:        maxPullWait.Milliseconds(),
	}
	var reply PullReply
	if err := follower.client.Call(ctx, parent.PeerAddress, "Distributor.Pull", request, &reply); err != nil {
		return false, err
	}
	follower.take(before, reply)
	if reply.Membership != nil {
		follower.holder.Enroll(*reply.Membership)
	}
	if !reply.Confirmed || follower.holder.Revision() < reply.Revision {
		return false, nil
	}
	// The reply may have been made right after the request was sent, so its age counts from then.
	transfer := time.Since(sent) - time.Duration(reply.WaitedMillis)*time.Millisecond
	age := time.Duration(reply.AgeMillis)*time.Millisecond + max(transfer, 0)
	follower.holder.Confirm(time.Now().Add(-age))
	return age < staleAge, nil
}

func (follower *Follower) take(before cranberryward.Configuration, reply PullReply) {
	next := before
	if reply.Snapshot != nil && reply.Snapshot.Revision > next.Revision {
		next = *reply.Snapshot
	}
	for _, entry := range reply.Entries {
		next = configurer.Apply(next, entry)
	}
	if next.Revision > before.Revision {
		follower.holder.Advance(next, reply.Entries)
		_ = follower.logger.Log("event", "configuration_advanced", "revision", next.Revision, "from", before.Revision, "source", "parent")
	}
}

func (follower *Follower) runMembership(ctx context.Context) {
	for ctx.Err() == nil {
		follower.refreshMembership(ctx)
		waiter.Pause(ctx, membershipEvery)
	}
}

// refreshMembership reads the instance list as a root, and else only at the start, now and then, and when no parent answers.
func (follower *Follower) refreshMembership(ctx context.Context) {
	membership := follower.holder.Membership()
	age, confirmed := follower.holder.Age()
	root := follower.entry && IsRoot(membership, follower.zone, follower.id)
	lost := !confirmed || age > staleAge
	if !root && !lost && membership.Version > 0 && time.Since(follower.listedAt) < membershipResync {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listed, err := follower.list.List(ctx, follower.zone, membership.Version)
	if err != nil {
		return
	}
	follower.listedAt = time.Now()
	follower.holder.Enroll(listed)
}

func (follower *Follower) runConfirm(ctx context.Context) {
	for ctx.Err() == nil {
		below, changed := follower.service.ChangedBelow(), follower.holder.Changed()
		revision, processes := follower.service.InForce()
		follower.confirm(ctx, revision, processes)
		select {
		case <-ctx.Done():
		case <-below:
		case <-changed:
		case <-time.After(confirmHeartbeat):
		}
	}
}

// confirm reports to the parent that the configuration came from, and takes itself off an earlier parent's list.
func (follower *Follower) confirm(ctx context.Context, revision uint64, processes int) {
	address := ""
	if parent := follower.parent.Load(); parent != nil {
		address = parent.PeerAddress
	}
	if follower.reported != "" && follower.reported != address {
		follower.report(ctx, follower.reported, 0, 0)
	}
	follower.reported = address
	if address != "" {
		follower.report(ctx, address, revision, processes)
	}
}

func (follower *Follower) report(ctx context.Context, address string, revision uint64, processes int) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var reply ConfirmReply
	_ = follower.client.Call(ctx, address, "Distributor.Confirm", ConfirmRequest{
		From:      follower.id,
		InForce:   revision,
		Processes: processes,
	}, &reply)
}
