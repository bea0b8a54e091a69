package agent

import (
	"context"
	"sync"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/steward"
)

// hands reach a rank through the agent on its instance, and directly where that agent cannot be reached.
type hands struct {
	calls   *caller.Client
	agent   string
	direct  *platform.Rank
	changes *changesPacker

	mutex sync.Mutex
	life  uint64
	heard heardCounts
	// sent is the last map that the agent is known to have, under its version.
	sent        [][][]int
	sentVersion uint64
}

// Observe returns the state of the rank.
func (hands *hands) Observe(ctx context.Context, question steward.Question) (steward.Observation, error) {
	var reply ObserveReply
	hands.mutex.Lock()
	request := ObserveRequest{
		Question:    question,
		CountsAfter: hands.heard.after(hands.life),
	}
	hands.mutex.Unlock()
	err := hands.calls.Call(ctx, hands.agent, "Rank.Observe", request, &reply)
	if err == nil {
		return hands.hear(reply)
	}
	hands.mutex.Lock()
	hands.heard.forget()
	hands.mutex.Unlock()
	if failure := cranberryward.FailureOf(err); failure.Reason() == cranberryward.ReasonFenced {
		return steward.Observation{}, steward.ErrTermEnded
	} else if failure.Reason() != cranberryward.ReasonUnreachable {
		return steward.Observation{}, err
	}
	// From another instance counts cost the whole group a pause, so only the state is asked for.
	return observe(hands.direct, steward.Question{Placement: question.Placement})
}

// hear takes over the life of the agent and the counts, and returns the observation with the counts since the rank's start.
func (hands *hands) hear(reply ObserveReply) (steward.Observation, error) {
	hands.mutex.Lock()
	defer hands.mutex.Unlock()
	hands.life = reply.Life
	var err error
	if reply.CountsNumber != 0 {
		reply.Observation.Counts, err = hands.heard.hear(reply)
	}
	return reply.Observation, err
}

// Order gives the rank an order; of a map only what differs from the last one is sent, as whole maps fill thin links.
func (hands *hands) Order(ctx context.Context, term uint64, order cranberryward.RankOrder) (cranberryward.OrderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*localTimeout)
	defer cancel()
	request := hands.request(term, order)
	answer, err := hands.give(ctx, request)
	if request.Base != 0 && err != nil && cranberryward.FailureOf(err).Reason() == cranberryward.ReasonConflict {
		hands.forget()
		answer, err = hands.give(ctx, hands.request(term, order))
	}
	if err == nil {
		hands.remember(order)
		return answer, nil
	}
	failure := cranberryward.FailureOf(err)
	switch {
	case failure.Reason() == cranberryward.ReasonFenced:
		return cranberryward.OrderUnknown, steward.ErrTermEnded
	case failure.Reason() == cranberryward.ReasonUnreachable && failure.Verdict() == cranberryward.NotRun:
		return hands.direct.Order(ctx, order)
	default:
		return cranberryward.OrderUnknown, err
	}
}

func (hands *hands) request(term uint64, order cranberryward.RankOrder) OrderRequest {
	hands.mutex.Lock()
	defer hands.mutex.Unlock()
	request := OrderRequest{
		Term:  term,
		Life:  hands.life,
		Order: order,
	}
	if order.Kind == cranberryward.RankPrepare && hands.sentVersion != 0 && len(hands.sent) == len(order.Map) {
		request.Base, request.Changes = hands.sentVersion, hands.changes.pack(hands.sentVersion, order.Version, hands.sent, order.Map)
		request.Order.Map = nil
	}
	return request
}

func (hands *hands) give(ctx context.Context, request OrderRequest) (cranberryward.OrderAnswer, error) {
	var reply OrderReply
	if err := hands.calls.Call(ctx, hands.agent, "Rank.Order", request, &reply); err != nil {
		// A reply that comes after its call was given up may still be written.
		return cranberryward.OrderUnknown, err
	}
	return reply.Answer, nil
}

func (hands *hands) remember(order cranberryward.RankOrder) {
	if order.Kind != cranberryward.RankPrepare {
		return
	}
	hands.mutex.Lock()
	defer hands.mutex.Unlock()
	hands.sent, hands.sentVersion = order.Map, order.Version
}

func (hands *hands) forget() {
	hands.mutex.Lock()
	defer hands.mutex.Unlock()
	hands.sent, hands.sentVersion = nil, 0
}
