package server

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/switcher"
)

const peerCallTimeout = 2 * time.Second

// PeerService is the RPC service for calls from other processes of the deployment.
type PeerService struct {
	agent *agent
}

func (peerService *PeerService) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(peerService.agent.background, peerCallTimeout)
}

func (peerService *PeerService) requireEngine() error {
	if peerService.agent.engine == nil {
		return caller.EncodeError(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "the backend server is not a model engine"))
	}
	return nil
}

// Report returns the load of the agent and of its engine, and the prefix cache events since the given sequence number.
func (peerService *PeerService) Report(request messenger.ReportRequest, reply *messenger.ReportReply) error {
	reply.Load = peerService.agent.load()
	reply.Revision = peerService.agent.localState.Revision()
	reply.Draining = peerService.agent.drain.isDraining() || peerService.agent.announcements.isLeaving()
	if peerService.agent.engine == nil {
		return nil
	}
	ctx, cancel := peerService.callContext()
	defer cancel()
	load, err := peerService.agent.engine.Load(ctx)
	if err != nil {
		return caller.EncodeError(err)
	}
	reply.Engine = load
	if !request.ExpertLoads {
		reply.Engine.ExpertLoads = nil
	}
	reply.Events, err = peerService.agent.engine.CacheEvents(ctx, request.CacheSequence)
	return caller.EncodeError(err)
}

func (drain *drain) isDraining() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.machine.State() != "serving"
}

// State returns the state of the rank.
func (peerService *PeerService) State(_ messenger.StateRequest, reply *cranberryward.RankState) error {
	if err := peerService.requireEngine(); err != nil {
		return err
	}
	ctx, cancel := peerService.callContext()
	defer cancel()
	state, err := peerService.agent.guard.State(ctx)
	*reply = state
	return caller.EncodeError(err)
}

// Map returns an expert map that the rank holds.
func (peerService *PeerService) Map(request messenger.MapRequest, reply *cranberryward.ExpertMap) error {
	if err := peerService.requireEngine(); err != nil {
		return err
	}
	ctx, cancel := peerService.callContext()
	defer cancel()
	expertMap, err := peerService.agent.engine.Map(ctx, request.Version)
	*reply = expertMap
	return caller.EncodeError(err)
}

// Order sends an order to the rank if the guard allows it.
func (peerService *PeerService) Order(orderRequest switcher.OrderRequest, _ *messenger.OrderReply) error {
	if err := peerService.requireEngine(); err != nil {
		return err
	}
	ctx, cancel := peerService.callContext()
	defer cancel()
	return caller.EncodeError(peerService.agent.guard.Order(ctx, orderRequest))
}

// Change switches the group to another version of its expert map; it is called on the agent of the group's first rank.
func (peerService *PeerService) Change(change switcher.Change, reply *switcher.Outcome) error {
	if err := peerService.requireEngine(); err != nil {
		return err
	}
	agent := peerService.agent
	change.HoldMillis = agent.settings.HoldBound.Milliseconds()
	mayStart := func() error {
		if change.Revision > agent.localState.Revision() {
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonStale, "the change is based on a newer configuration than this agent has")
		}
		return agent.guard.MayDisrupt()
	}
	outcome, err := agent.switcher.Execute(agent.background, change, mayStart)
	*reply = outcome
	_ = agent.logger.Log("event", "expert_map_change", "group", change.Group, "from", change.FromVersion, "to", change.ToVersion,
		"fencing", change.Fencing, "state", outcome.State, "step", outcome.Step, "held_ms", outcome.HeldMillis, "error", err)
	return caller.EncodeError(err)
}

// Homes returns the newest known table of key homes, which is empty for an engine.
func (peerService *PeerService) Homes(_ messenger.HomesRequest, reply *deduplicator.Table) error {
	if peerService.agent.keeper != nil {
		*reply = peerService.agent.keeper.Table()
	}
	return nil
}

// Adopt stores the idempotency keys of shards that another home hands over, with their outcomes.
func (peerService *PeerService) Adopt(request messenger.AdoptRequest, reply *messenger.AdoptReply) error {
	peerService.agent.keyStore.Import(request.Entries)
	reply.Instance = peerService.agent.instance
	return nil
}
