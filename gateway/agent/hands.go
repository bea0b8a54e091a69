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
	calls  *caller.Client
	agent  string
	direct *platform.Rank

	mutex sync.Mutex
	life  uint64
}

// Observe returns the state of the rank.
func (hands *hands) Observe(ctx context.Context, question steward.Question) (steward.Observation, error) {
	var reply ObserveReply
	err := hands.calls.Call(ctx, hands.agent, "Rank.Observe", ObserveRequest{Question: question}, &reply)
	if err == nil {
		hands.mutex.Lock()
		hands.life = reply.Life
		hands.mutex.Unlock()
		return reply.Observation, nil
	}
	if failure := cranberryward.FailureOf(err); failure.Reason() == cranberryward.ReasonFenced {
		return steward.Observation{}, steward.ErrTermEnded
	} else if failure.Reason() != cranberryward.ReasonUnreachable {
		return steward.Observation{}, err
	}
	// From another instance counts cost the whole group a pause, so only the state is asked for.
	return observe(hands.direct, steward.Question{Placement: question.Placement})
}

// Order gives the rank an order.
func (hands *hands) Order(ctx context.Context, term uint64, order cranberryward.RankOrder) (cranberryward.OrderAnswer, error) {
	hands.mutex.Lock()
	life := hands.life
	hands.mutex.Unlock()
	request := OrderRequest{
		Term:  term,
		Life:  life,
		Order: order,
	}
	var reply OrderReply
	ctx, cancel := context.WithTimeout(ctx, 2*localTimeout)
	defer cancel()
	err := hands.calls.Call(ctx, hands.agent, "Rank.Order", request, &reply)
	if err == nil {
		return reply.Answer, nil
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
