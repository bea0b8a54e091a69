package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
)

const (
	maxPullWait   = time.Second
	childLifetime = 4 * time.Second
	pollInterval  = 20 * time.Millisecond
)

type child struct {
	inForce   uint64
	processes int
	lastSeen  time.Time
}

// Service is the RPC service that child processes pull from and confirm to.
type Service struct {
	zone       string
	localState *LocalState
	mutex      sync.Mutex
	children   map[string]child
	changed    chan struct{}
}

// NewService returns a service that serves the local state to child processes.
func NewService(zone string, localState *LocalState) *Service {
	return &Service{
		zone:       zone,
		localState: localState,
		children:   map[string]child{},
		changed:    make(chan struct{}),
	}
}

// Pull replies as soon as there is something newer than the child has, and otherwise after the wait.
func (service *Service) Pull(request PullRequest, reply *PullReply) error {
	started := time.Now()
	service.refreshChild(request)
	deadline := time.NewTimer(min(time.Duration(request.WaitMillis)*time.Millisecond, maxPullWait))
	defer deadline.Stop()
	for {
		changed := service.localState.Changed()
		var newer bool
		if reply.Revision, newer = service.fillReply(request, reply); newer {
			break
		}
		expired := false
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		}
		if expired {
			break
		}
	}
	age, confirmed := service.localState.Age()
	reply.Confirmed = confirmed
	reply.AgeMillis = age.Milliseconds() + 1
	reply.WaitedMillis = time.Since(started).Milliseconds()
	return nil
}

// fillReply adds what is newer than the child has, and returns the revision that the child has with it.
func (service *Service) fillReply(request PullRequest, reply *PullReply) (revision uint64, newer bool) {
	if membership := service.localState.Membership(); membership.Version > request.MembershipVersion {
		reply.Membership = &membership
		newer = true
	}
	configuration, entries, complete := service.localState.since(request.Revision)
	if configuration.Revision <= request.Revision {
		return configuration.Revision, newer
	}
	if complete {
		reply.Entries = entries
	} else {
		reply.Snapshot = &configuration
	}
	return configuration.Revision, true
}

func (service *Service) refreshChild(request PullRequest) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	known, confirmed := service.children[request.From]
	if !confirmed {
		// A child that has not confirmed to this parent confirms to another one and is counted there.
		return
	}
	known.lastSeen = time.Now()
	if known.inForce > request.Revision {
		known.inForce = request.Revision
	}
	service.children[request.From] = known
}

// Confirm records the revision in force on a child and the processes below it.
func (service *Service) Confirm(request ConfirmRequest, _ *ConfirmReply) error {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if request.Processes == 0 {
		delete(service.children, request.From)
	} else {
		service.children[request.From] = child{
			inForce:   request.InForce,
			processes: request.Processes,
			lastSeen:  time.Now(),
		}
	}
	close(service.changed)
	service.changed = make(chan struct{})
	return nil
}

// InForce returns the lowest revision in force on this process and all processes below it, and the number of these processes.
func (service *Service) InForce() (revision uint64, processes int) {
	revision, processes = service.localState.Revision(), 1
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for id, child := range service.children {
		if time.Since(child.lastSeen) > childLifetime {
			delete(service.children, id)
			continue
		}
		revision = min(revision, child.inForce)
		processes += child.processes
	}
	return revision, processes
}

// WaitInForce replies with the revision in force on this process and below, after waiting for the requested one.
func (service *Service) WaitInForce(request InForceRequest, reply *InForceReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(request.WaitMillis)*time.Millisecond)
	defer cancel()
	for {
		service.mutex.Lock()
		changed := service.changed
		service.mutex.Unlock()
		localStateChanged := service.localState.Changed()
		reply.Zone = service.zone
		reply.Revision, reply.Processes = service.InForce()
		if reply.Revision >= request.Revision || ctx.Err() != nil {
			break
		}
		select {
		case <-changed:
		case <-localStateChanged:
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
	reply.Listed = len(service.localState.Membership().Select(func(instance cranberryward.Instance) bool {
		return instance.Zone == service.zone
	}))
	return nil
}

// ChildrenChanged returns a channel that is closed when a child next confirms.
func (service *Service) ChildrenChanged() <-chan struct{} {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.changed
}

// QueryInForce asks the roots of a zone for the revision in force there, waiting for the given one.
func QueryInForce(ctx context.Context, client *caller.Client, membership cranberryward.Membership, zone string, revision uint64, wait time.Duration) (InForceReply, error) {
	total := InForceReply{
		Zone: zone,
	}
	var failure error
	entries := EntryInstances(membership, zone)
	for i := range min(rootCount, len(entries)) {
		var reply InForceReply
		err := client.Call(ctx, entries[i].PeerAddress, "Distributor.WaitInForce", InForceRequest{
			Revision:   revision,
			WaitMillis: wait.Milliseconds(),
		}, &reply)
		if err != nil {
			failure = err
			continue
		}
		if total.Processes == 0 || reply.Revision < total.Revision {
			total.Revision = reply.Revision
		}
		total.Processes += reply.Processes
		total.Listed = max(total.Listed, reply.Listed)
	}
	if total.Processes == 0 && failure == nil {
		failure = cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "no entry is listed in availability zone "+zone)
	}
	return total, failure
}
