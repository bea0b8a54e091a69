package agent

import (
	"context"
	"sync"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
)

// rankClient reaches a rank through the agent on its instance, and directly if that agent cannot be reached.
type rankClient struct {
	client       *caller.Client
	agentAddress string
	direct       *platform.Rank
	changes      *changesPacker

	mutex       sync.Mutex
	incarnation uint64
	counts      receivedCounts
	// lastMap is the last map that the agent is known to have, and lastMapVersion is its version.
	lastMap        [][][]int
	lastMapVersion uint64
}

// Observe returns the state of the rank.
func (rankClient *rankClient) Observe(ctx context.Context, query rebalancer.Query) (rebalancer.Observation, error) {
	var reply ObserveReply
	rankClient.mutex.Lock()
	request := ObserveRequest{
		Question:    query,
		CountsAfter: rankClient.counts.numberFor(rankClient.incarnation),
	}
	rankClient.mutex.Unlock()
	err := rankClient.client.Call(ctx, rankClient.agentAddress, "Rank.Observe", request, &reply)
	if err == nil {
		return rankClient.accept(reply)
	}
	rankClient.mutex.Lock()
	rankClient.counts.reset()
	rankClient.mutex.Unlock()
	if failure := cranberryward.FailureOf(err); failure.Reason() == cranberryward.ReasonFenced {
		return rebalancer.Observation{}, rebalancer.ErrTermEnded
	} else if failure.Reason() != cranberryward.ReasonUnreachable {
		return rebalancer.Observation{}, err
	}
	// Reading counts from another instance costs the whole group a pause, so only the state is requested.
	return observe(rankClient.direct, rebalancer.Query{Placement: query.Placement})
}

// accept records the agent's incarnation and the counts of a reply, and returns the observation with the counts since the rank's start.
func (rankClient *rankClient) accept(reply ObserveReply) (rebalancer.Observation, error) {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	rankClient.incarnation = reply.Life
	var err error
	if reply.CountsNumber != 0 {
		reply.Observation.Counts, err = rankClient.counts.decode(reply)
	}
	return reply.Observation, err
}

// Order sends the rank an order; of a map, only the differences to the last one are sent, because whole maps fill slow links.
func (rankClient *rankClient) Order(ctx context.Context, group string, term uint64, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*localTimeout)
	defer cancel()
	request := rankClient.request(group, term, order)
	outcome, err := rankClient.call(ctx, request)
	if request.Base != 0 && err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonConflict {
		rankClient.forgetMap()
		outcome, err = rankClient.call(ctx, rankClient.request(group, term, order))
	}
	if err == nil {
		rankClient.rememberMap(order)
		return outcome, nil
	}
	failure := cranberryward.FailureOf(err)
	switch {
	case failure.Reason() == cranberryward.ReasonFenced:
		return cranberryward.OrderUnknown, rebalancer.ErrTermEnded
	case failure.Reason() == cranberryward.ReasonUnreachable && failure.Verdict() == cranberryward.NotRun:
		return rankClient.direct.Order(ctx, order)
	default:
		return cranberryward.OrderUnknown, err
	}
}

func (rankClient *rankClient) request(group string, term uint64, order cranberryward.RankOrder) OrderRequest {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	request := OrderRequest{
		Group: group,
		Term:  term,
		Life:  rankClient.incarnation,
		Order: order,
	}
	if order.Kind == cranberryward.RankPrepare && rankClient.lastMapVersion != 0 && len(rankClient.lastMap) == len(order.Map) {
		request.Base, request.Changes = rankClient.lastMapVersion, rankClient.changes.pack(rankClient.lastMapVersion, order.Version, rankClient.lastMap, order.Map)
		request.Order.Map = nil
	}
	return request
}

func (rankClient *rankClient) call(ctx context.Context, request OrderRequest) (cranberryward.OrderOutcome, error) {
	var reply OrderReply
	if err := rankClient.client.Call(ctx, rankClient.agentAddress, "Rank.Order", request, &reply); err != nil {
		// A reply that arrives after its call was abandoned may still be written, so it is not read here.
		return cranberryward.OrderUnknown, err
	}
	return reply.Answer, nil
}

func (rankClient *rankClient) rememberMap(order cranberryward.RankOrder) {
	if order.Kind != cranberryward.RankPrepare {
		return
	}
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	rankClient.lastMap, rankClient.lastMapVersion = order.Map, order.Version
}

func (rankClient *rankClient) forgetMap() {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	rankClient.lastMap, rankClient.lastMapVersion = nil, 0
}
