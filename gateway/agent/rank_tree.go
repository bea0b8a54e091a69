package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/rotisserie/eris"
)

// Survey answers for the rank of this agent, which is the first target, and for the others, whose agents it asks.
func (rankService *rankService) Survey(request SurveyRequest, reply *SurveyReply) error {
	if len(request.Targets) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	results := rankService.survey(ctx, request.Query, request.Targets)
	reply.setResults(results, request.Query.Placement)
	if results[0].Failure.TermEnded {
		return caller.EncodeError(cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonFenced, "a later term has begun"))
	}
	if request.Query.Counts {
		reply.CountsPacked, reply.CountsUnit = rankService.counts.take()
	}
	return nil
}

// survey returns a result for each target, the first of which is the rank of this agent, and adds the counts to those that are to be passed on.
func (rankService *rankService) survey(ctx context.Context, query rebalancer.Query, targets []Target) []SurveyResult {
	var own SurveyResult
	var wait sync.WaitGroup
	wait.Go(func() {
		observation, err := rankService.observe(query)
		own.Observation, own.Life = observation, rankService.incarnation
		if err != nil {
			own.Failure = newTreeFailure(err)
		}
	})
	results, counts := rankService.tree.survey(ctx, query, targets[1:])
	wait.Wait()
	rankService.counts.addOthers(counts)
	return append([]SurveyResult{own}, results...)
}

// Command passes an order to the rank of this agent, which is the first target, and to the others through their agents.
func (rankService *rankService) Command(request CommandRequest, reply *CommandReply) error {
	if len(request.Targets) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	reply.Results = rankService.command(ctx, request)
	return nil
}

func (rankService *rankService) command(ctx context.Context, request CommandRequest) []CommandResult {
	own := request.Targets[0]
	others := request
	others.Targets = request.Targets[1:]
	var result CommandResult
	var wait sync.WaitGroup
	wait.Go(func() {
		order := request.Order
		order.Orders = own.Orders
		outcome, err := rankService.order(OrderRequest{
			Group:   request.Group,
			Term:    request.Term,
			Life:    own.Life,
			Order:   order,
			Base:    request.Base,
			Changes: request.Changes,
		})
		result.Outcome = outcome
		if err != nil {
			result.Failure = newTreeFailure(err)
		}
	})
	results := rankService.tree.command(ctx, others)
	wait.Wait()
	return append([]CommandResult{result}, results...)
}

// surveyor reaches the ranks of a group through the tree of their agents, for the controller.
type surveyor struct {
	tree *tree
	// local is the service of the rank on the controller's own instance, and localAddress is its address for others.
	local        *rankService
	localAddress string
	changes      *changesPacker
	// counts are those of the ranks if the controller has no rank of its own.
	counts countsForwarder
}

const (
	// mapTimeout bounds an order with a map to all ranks, whose differences pass a few slow links one after the other.
	mapTimeout = 700 * time.Millisecond
	// commandTimeout bounds any other order to all ranks, during which the group may be held.
	commandTimeout = 250 * time.Millisecond
)

// errUnreachable means that neither a rank nor its agent has answered lately, so that it was not asked again.
var errUnreachable = eris.New("neither the rank nor its agent answers")

// errAgentSilent means that an order was not sent because the agent has not answered; it is then sent to the rank by itself.
var errAgentSilent = eris.New("the rank's agent does not answer")

// Survey queries the members through the tree, and those that it did not reach one by one.
func (surveyor *surveyor) Survey(ctx context.Context, members []rebalancer.Member, query rebalancer.Query) rebalancer.Survey {
	survey := rebalancer.Survey{
		Observations: make([]rebalancer.Observation, len(members)),
		Failures:     make([]error, len(members)),
	}
	targets, indexes, silent := surveyor.arrange(members, nil)
	treeCtx, cancel := context.WithTimeout(ctx, timeLeft(ctx))
	defer cancel()
	single := query
	single.Counts = false
	var wait sync.WaitGroup
	for _, index := range silent {
		if members[index].Client.(*rankClient).unreachable() {
			survey.Failures[index] = errUnreachable
			continue
		}
		wait.Go(func() {
			survey.Observations[index], survey.Failures[index] = members[index].Client.Observe(ctx, single)
		})
	}
	results := surveyor.survey(treeCtx, query, targets)
	for i, result := range results {
		index := indexes[i]
		client := members[index].Client.(*rankClient)
		if result.Failure.Text == "" {
			client.setIncarnation(result.Life)
			survey.Observations[index] = result.Observation
			continue
		}
		survey.Failures[index] = result.Failure.err()
		if result.Failure.TermEnded {
			continue
		}
		wait.Go(func() { survey.Observations[index], survey.Failures[index] = client.Observe(ctx, single) })
	}
	wait.Wait()
	if query.Counts {
		survey.Counts = surveyor.takeCounts()
	}
	return survey
}

// arrange returns the targets with that on the controller's own instance first, the index of the member of each, and the indexes of the members whose
// agents are silent, which the tree leaves out.
func (surveyor *surveyor) arrange(members []rebalancer.Member, orders []uint64) (targets []Target, indexes, silent []int) {
	for index, member := range members {
		if member.Client.(*rankClient).silent() {
			silent = append(silent, index)
			continue
		}
		count := uint64(0)
		if orders != nil {
			count = orders[index]
		}
		targets, indexes = append(targets, member.Client.(*rankClient).target(count)), append(indexes, index)
		if last := len(targets) - 1; surveyor.local != nil && targets[last].Agent == surveyor.localAddress {
			own := targets[last]
			copy(targets[1:], targets[:last])
			copy(indexes[1:], indexes[:last])
			targets[0], indexes[0] = own, index
		}
	}
	return targets, indexes, silent
}

// isLocal returns whether the first target is the rank on the controller's own instance.
func (surveyor *surveyor) isLocal(targets []Target) bool {
	return surveyor.local != nil && len(targets) > 0 && targets[0].Agent == surveyor.localAddress
}

func (surveyor *surveyor) survey(ctx context.Context, query rebalancer.Query, targets []Target) []SurveyResult {
	if surveyor.isLocal(targets) {
		return surveyor.local.survey(ctx, query, targets)
	}
	results, counts := surveyor.tree.survey(ctx, query, targets)
	surveyor.counts.addOthers(counts)
	return results
}

// takeCounts returns the counts of all ranks since the last call.
func (surveyor *surveyor) takeCounts() []int64 {
	counts := surveyor.counts.takeAll()
	if surveyor.local != nil {
		counts = addCounts(counts, surveyor.local.counts.takeAll())
	}
	return counts
}

// OrderAll sends the members an order through the tree; of a map, only the differences to the last one are sent if all of them have that.
func (surveyor *surveyor) OrderAll(ctx context.Context, members []rebalancer.Member, orders []uint64, group string, term uint64, order cranberryward.RankOrder) []rebalancer.OrderResult {
	if len(members) == 0 {
		return nil
	}
	timeout := commandTimeout
	if order.Kind == cranberryward.RankPrepare {
		timeout = mapTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	targets, indexes, silent := surveyor.arrange(members, orders)
	request := CommandRequest{
		Group:   group,
		Term:    term,
		Order:   order,
		Targets: targets,
		Timeout: timeout,
	}
	if order.Kind == cranberryward.RankPrepare {
		surveyor.packMap(&request, members)
	}
	var results []CommandResult
	if surveyor.isLocal(targets) {
		results = surveyor.local.command(ctx, request)
	} else {
		results = surveyor.tree.command(ctx, request)
	}
	outcomes := make([]rebalancer.OrderResult, len(members))
	for _, index := range silent {
		outcomes[index].Err = errAgentSilent
	}
	for i, result := range results {
		outcomes[indexes[i]] = rebalancer.OrderResult{
			Outcome: result.Outcome,
			Err:     result.Failure.err(),
		}
		if result.Failure.Text == "" {
			members[indexes[i]].Client.(*rankClient).rememberMap(order)
		}
	}
	return outcomes
}

// packMap replaces the map of a request by its differences to the last map, or by the packed whole map if a member does not have the last one.
func (surveyor *surveyor) packMap(request *CommandRequest, members []rebalancer.Member) {
	next := request.Order.Map
	request.Order.Map = nil
	last, base := members[0].Client.(*rankClient).knownMap()
	for _, member := range members {
		if _, version := member.Client.(*rankClient).knownMap(); version != base {
			base = 0
		}
	}
	if base != 0 && len(last) == len(next) {
		request.Base, request.Changes = base, surveyor.changes.pack(base, request.Order.Version, last, next)
		return
	}
	request.Base, request.Changes = wholeMap, packChanges(wholeMapChanges(next))
}
