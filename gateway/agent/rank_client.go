package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/rotisserie/eris"
)

const (
	// silentTime is how long an agent that did not answer in time is not asked for its rank.
	silentTime = time.Second
	// unreachableTime is how long a rank that did not answer either is left out of surveys, which would all take as long as their time-out.
	unreachableTime = 250 * time.Millisecond
)

// rankClient reaches a rank through the agent on its instance, and directly if that agent cannot be reached.
type rankClient struct {
	client       *caller.Client
	agentAddress string
	direct       *platform.Rank
	changes      *changesPacker

	mutex       sync.Mutex
	incarnation uint64
	// silentUntil is until when the agent is not asked, because it did not answer in time; its rank may work nevertheless.
	silentUntil time.Time
	// unreachableUntil is until when surveys leave the rank out, because it did not answer in time either.
	unreachableUntil time.Time
	// lastMap is the last map that the agent is known to have, and lastMapVersion is its version.
	lastMap        [][][]int
	lastMapVersion uint64
}

// Observe returns the state of the rank.
func (rankClient *rankClient) Observe(ctx context.Context, query rebalancer.Query) (rebalancer.Observation, error) {
	if !rankClient.silent() {
		observation, err := rankClient.observeThroughAgent(ctx, query)
		if err == nil || !rankClient.mayAskDirectly(ctx, err) {
			return observation, err
		}
	}
	// Reading counts from another instance costs the whole group a pause, so only the state is requested.
	observation, _, err := observe(rankClient.direct, rebalancer.Query{Placement: query.Placement})
	if err != nil {
		rankClient.mutex.Lock()
		defer rankClient.mutex.Unlock()
		rankClient.unreachableUntil = time.Now().Add(unreachableTime)
	}
	return observation, err
}

// unreachable returns whether neither the agent nor the rank answered a short while ago.
func (rankClient *rankClient) unreachable() bool {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	return time.Now().Before(rankClient.silentUntil) && time.Now().Before(rankClient.unreachableUntil)
}

// observeThroughAgent returns the state of the rank as its agent sees it.
func (rankClient *rankClient) observeThroughAgent(ctx context.Context, query rebalancer.Query) (rebalancer.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var reply ObserveReply
	err := rankClient.client.Call(ctx, rankClient.agentAddress, "Rank.Observe", ObserveRequest{Question: query}, &reply)
	if err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonFenced {
		return rebalancer.Observation{}, rebalancer.ErrTermEnded
	}
	if err == nil {
		rankClient.setIncarnation(reply.Life)
	}
	return reply.Observation, err
}

// mayAskDirectly returns whether an agent failed in a way that says nothing about its rank: it cannot be reached or did not answer in time, after which it
// counts as silent for a while. A query that was canceled says nothing about the agent either.
func (rankClient *rankClient) mayAskDirectly(ctx context.Context, err error) bool {
	if eris.Is(ctx.Err(), context.Canceled) {
		return false
	}
	switch cranberryward.FailureOf(err).Reason() {
	case cranberryward.ReasonUnreachable, cranberryward.ReasonDeadline:
		rankClient.mutex.Lock()
		defer rankClient.mutex.Unlock()
		rankClient.silentUntil = time.Now().Add(silentTime)
		return true
	default:
		return false
	}
}

// silent returns whether the agent did not answer in time a short while ago.
func (rankClient *rankClient) silent() bool {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	return time.Now().Before(rankClient.silentUntil)
}

// setIncarnation records the incarnation in which the agent learned the term.
func (rankClient *rankClient) setIncarnation(incarnation uint64) {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	rankClient.incarnation = incarnation
}

// target returns the rank as a target of a request through the tree.
func (rankClient *rankClient) target(orders uint64) Target {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	return Target{
		Agent:  rankClient.agentAddress,
		Life:   rankClient.incarnation,
		Orders: orders,
	}
}

// knownMap returns the last map that the agent is known to have, with its version, or nil and zero.
func (rankClient *rankClient) knownMap() ([][][]int, uint64) {
	rankClient.mutex.Lock()
	defer rankClient.mutex.Unlock()
	return rankClient.lastMap, rankClient.lastMapVersion
}

// Order sends the rank an order; of a map, only the differences to the last one are sent, because whole maps fill slow links.
func (rankClient *rankClient) Order(ctx context.Context, group string, term uint64, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*localTimeout)
	defer cancel()
	if rankClient.silent() {
		// What the agent may still do with an earlier order depends on the rank's number of orders, which this one changes.
		return rankClient.direct.Order(ctx, order)
	}
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

// OrderDirectly sends the rank an order past its agent.
func (rankClient *rankClient) OrderDirectly(ctx context.Context, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return rankClient.direct.Order(ctx, order)
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
