package server

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/controller"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	maintainInterval = 250 * time.Millisecond
	restoreTimeout   = 30 * time.Second
)

// localRankClient calls this agent's own rank.
type localRankClient struct {
	agent *agent
}

var _ switcher.RankClient = localRankClient{}

// State returns the current state of the rank.
func (localRankClient localRankClient) State(ctx context.Context) (cranberryward.RankState, error) {
	return localRankClient.agent.guard.State(ctx)
}

// Map returns an expert map that the rank holds.
func (localRankClient localRankClient) Map(ctx context.Context, version uint64) (cranberryward.ExpertMap, error) {
	return localRankClient.agent.engine.Map(ctx, version)
}

// Direct returns no client, because the rank's agent is this process.
func (localRankClient localRankClient) Direct() (switcher.RankClient, bool) { return nil, false }

// Order sends an order to the rank.
func (localRankClient localRankClient) Order(ctx context.Context, order cranberryward.Order) error {
	return localRankClient.agent.guard.Order(ctx, switcher.OrderRequest{
		Order:    order,
		Recovery: order.Kind == cranberryward.OrderPrepare,
	})
}

// engineRankClient calls a rank's engine directly, without its agent.
type engineRankClient struct {
	*dialer.Engine
}

var _ switcher.RankClient = engineRankClient{}

// State returns the current state of the rank.
func (engineRankClient engineRankClient) State(ctx context.Context) (cranberryward.RankState, error) {
	return engineRankClient.RankState(ctx)
}

// Direct returns no client, because this one already calls the engine directly.
func (engineRankClient engineRankClient) Direct() (switcher.RankClient, bool) { return nil, false }

// agentRankClient calls a rank through its agent.
type agentRankClient struct {
	client   *caller.Client
	instance cranberryward.Instance
}

var _ switcher.RankClient = agentRankClient{}

// State returns the current state of the rank.
func (agentRankClient agentRankClient) State(ctx context.Context) (state cranberryward.RankState, err error) {
	err = agentRankClient.client.Call(ctx, agentRankClient.instance.PeerAddress, "Agent.State", messenger.StateRequest{}, &state)
	return state, err
}

// Map returns an expert map that the rank holds.
func (agentRankClient agentRankClient) Map(ctx context.Context, version uint64) (expertMap cranberryward.ExpertMap, err error) {
	err = agentRankClient.client.Call(ctx, agentRankClient.instance.PeerAddress, "Agent.Map", messenger.MapRequest{Version: version}, &expertMap)
	return expertMap, err
}

// Direct returns a client that calls the engine without its agent, for when the agent does not respond.
func (agentRankClient agentRankClient) Direct() (switcher.RankClient, bool) {
	return engineRankClient{Engine: dialer.NewEngine(agentRankClient.instance.Backend)}, true
}

// Order sends an order to the rank.
func (agentRankClient agentRankClient) Order(ctx context.Context, order cranberryward.Order) error {
	var reply messenger.OrderReply
	return agentRankClient.client.Call(ctx, agentRankClient.instance.PeerAddress, "Agent.Order", switcher.OrderRequest{
		Order:       order,
		Incarnation: agentRankClient.instance.Incarnation,
		Recovery:    order.Kind == cranberryward.OrderPrepare,
	}, &reply)
}

// committedMap returns the committed map of the group's record in the key-value service, or an empty map if there is none.
func (agent *agent) committedMap(ctx context.Context) (cranberryward.ExpertMap, error) {
	record, _, err := controller.ReadRecord(ctx, agent.store, agent.instance.Group)
	if err != nil || !record.Committed() {
		return cranberryward.ExpertMap{}, err
	}
	return record.Map, nil
}

func (agent *agent) rankClients() []switcher.RankClient {
	var rankClients []switcher.RankClient
	for _, instance := range switcher.GroupRanks(agent.localState.Membership(), agent.instance.Group) {
		if instance.ID == agent.instance.ID {
			rankClients = append(rankClients, localRankClient{agent: agent})
			continue
		}
		rankClients = append(rankClients, agentRankClient{
			client:   agent.rpcClient,
			instance: instance,
		})
	}
	return rankClients
}

// maintainGroup releases a group that an earlier incarnation of this agent left held and, while the group makes no progress, loads the expert map on ranks
// that restarted without one.
func (agent *agent) maintainGroup(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := agent.switcher.Resolve(ctx); err == nil && !agent.switcher.CheckProgress(ctx) {
			restoreCtx, cancel := context.WithTimeout(ctx, restoreTimeout)
			_ = agent.switcher.RestoreRanks(restoreCtx, agent.committedMap)
			cancel()
		}
		waiter.Sleep(ctx, maintainInterval)
	}
}
