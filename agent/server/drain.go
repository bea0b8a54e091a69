package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/go-kit/log"
)

const (
	eventLeave     = charter.Event("leave")
	eventReturn    = charter.Event("return")
	eventStop      = charter.Event("stop")
	eventEmpty     = charter.Event("empty")
	eventTimeLimit = charter.Event("time_limit")

	leavingPollInterval = 500 * time.Millisecond
	handOverTimeout     = 2 * time.Second
	balanceInterval     = 2 * time.Second
	idlePollInterval    = 10 * time.Millisecond
)

var drainChart = charter.MustLoad("drain", eventLeave, eventReturn, eventStop, eventEmpty, eventTimeLimit)

// drain counts the requests in progress and refuses new ones while the instance is leaving or the agent is stopping.
type drain struct {
	logger   log.Logger
	mutex    sync.Mutex
	machine  charter.Machine
	inFlight int
	stopping bool
	refusing chan struct{}
	empty    chan struct{}
}

func newDrain(logger log.Logger) *drain {
	return &drain{
		logger:   logger,
		machine:  drainChart.Start(),
		refusing: make(chan struct{}),
		empty:    make(chan struct{}),
	}
}

func (drain *drain) fire(event charter.Event) {
	if err := drain.machine.Fire(event); err != nil {
		_ = drain.logger.Log("event", "state_fault", "error", err)
		return
	}
	_ = drain.logger.Log("event", "drain", "cause", event, "state", drain.machine.State(), "in_flight", drain.inFlight)
}

// begin counts a request as in progress or refuses it as NotRun; the channel is closed when the drain starts to refuse requests.
func (drain *drain) begin() (refusing <-chan struct{}, err error) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.machine.State() != "serving" {
		return nil, drain.refusalLocked()
	}
	drain.inFlight++
	return drain.refusing, nil
}

// refusalLocked returns the refusal of a request; the caller must hold the mutex.
func (drain *drain) refusalLocked() error {
	reason := cranberryward.ReasonLeaving
	if drain.stopping {
		reason = cranberryward.ReasonStopping
	}
	return cranberryward.NewFailure(cranberryward.NotRun, reason, "the backend server accepts no new requests")
}

func (drain *drain) end() {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.inFlight--
	if drain.stopping && drain.inFlight == 0 {
		close(drain.empty)
	}
}

func (drain *drain) setLeaving(leaving bool) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	serving := drain.machine.State() == "serving"
	switch {
	case leaving && serving:
		drain.fire(eventLeave)
		close(drain.refusing)
	case !leaving && !serving && !drain.stopping:
		drain.fire(eventReturn)
		drain.refusing = make(chan struct{})
	}
}

// stop refuses new requests and waits until those in progress have ended or the context ends.
func (drain *drain) stop(ctx context.Context) {
	drain.mutex.Lock()
	if drain.machine.State() == "serving" {
		close(drain.refusing)
	}
	drain.stopping = true
	drain.fire(eventStop)
	idle := drain.inFlight == 0
	drain.mutex.Unlock()
	event := eventEmpty
	if !idle {
		select {
		case <-drain.empty:
		case <-ctx.Done():
			event = eventTimeLimit
		}
	}
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.fire(event)
}

// watchLeaving drains the instance while the sheet, a correction or the instance list says that it is leaving.
func (agent *agent) watchLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		changed := agent.localState.Changed()
		listed, _ := agent.localState.Membership().Find(agent.instance.ID)
		agent.drain.setLeaving(agent.localState.EffectiveConfiguration().Leaving(agent.instance.ID) || listed.Leaving)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(leavingPollInterval):
		}
	}
}

func (agent *agent) stop(ctx context.Context) {
	agent.drain.stop(ctx)
	if agent.keeper != nil {
		agent.handOver(ctx, agent.keeper.OwnedShards())
	}
	distributor.Deregister(ctx, agent.instanceList, agent.instance)
	waiter.Sleep(ctx, agent.settings.StopGrace)
	_ = agent.requestServer.Stop(ctx)
	agent.peerServer.Stop()
	_ = agent.logger.Log("event", "stopped")
}

// balanceHomes hands over the shards beyond this instance's fair share to the instance that has the fewest.
func (agent *agent) balanceHomes(ctx context.Context) {
	for ctx.Err() == nil {
		if excess := agent.keeper.ExcessShards(); len(excess) > 0 && !agent.drain.isDraining() {
			agent.handOver(ctx, excess)
		}
		waiter.Sleep(ctx, balanceInterval)
	}
}

// handOver copies the keys of shards to the successor and then makes it their home.
func (agent *agent) handOver(ctx context.Context, shards []int) {
	if len(shards) == 0 {
		return
	}
	searchCtx, cancelSearch := context.WithTimeout(ctx, handOverTimeout)
	defer cancelSearch()
	successor, found := agent.keeper.AwaitSuccessor(searchCtx)
	if !found {
		_ = agent.logger.Log("event", "no_key_successor", "shards", len(shards))
		return
	}
	defer agent.keeper.Suspend(shards)()
	isMoved := func(shard int) bool { return slices.Contains(shards, shard) }
	if !agent.awaitShardsIdle(ctx, isMoved) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	var reply messenger.AdoptReply
	err := agent.rpcClient.Call(ctx, successor.PeerAddress, "Agent.Adopt", messenger.AdoptRequest{
		Entries: agent.keyStore.Export(isMoved),
	}, &reply)
	if err == nil {
		err = agent.keeper.HandOver(ctx, reply.Instance, shards)
	}
	_ = agent.logger.Log("event", "keys_handed_over", "to", successor.ID, "shards", len(shards), "error", err)
}

// awaitShardsIdle waits until no request with a key in the shards is running, and returns false after handOverTimeout or when the context ends.
func (agent *agent) awaitShardsIdle(ctx context.Context, shards func(shard int) bool) bool {
	deadline := time.Now().Add(handOverTimeout)
	for agent.keyStore.PendingCount(shards) > 0 {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		waiter.Sleep(ctx, idlePollInterval)
	}
	return true
}
