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

const (
	// treeFanout is the number of agents that one agent sends a request to, each of which passes it on to its part of the targets; so what an agent sends
	// does not grow with the size of the group.
	treeFanout = 8
	// flatTargets is the largest number of targets that an agent sends a request to itself, because one more level would take longer.
	flatTargets = 16
	// childTimeShare is the share of its time-out that an agent gives those that it passes a request on to, so that it can still answer for the others.
	childTimeShare = 0.8
	// avoidTime is how long an agent that did not answer in time is given no targets besides its own.
	avoidTime = 3 * time.Second
)

// tree passes requests on to many agents. The agent of the first target of each part answers for the whole part.
type tree struct {
	client *caller.Client
	// fanout and flat are treeFanout and flatTargets.
	fanout, flat int

	mutex sync.Mutex
	// avoided holds until when agents that did not answer are given no other targets, by address.
	avoided map[string]time.Time
}

func newTree(client *caller.Client) *tree {
	return &tree{
		client:  client,
		fanout:  treeFanout,
		flat:    flatTargets,
		avoided: map[string]time.Time{},
	}
}

// part is the range of the targets that one agent answers for.
type part struct {
	targets []Target
	// indexes holds the position of each target in the request.
	indexes []int
}

// split divides targets into parts of almost equal size, with neighbors in one part. An agent that is avoided heads a part only if
// there is no other.
func (tree *tree) split(targets []Target) []part {
	count := min(tree.fanout, len(targets))
	if len(targets) <= tree.flat {
		count = len(targets)
	}
	parts := make([]part, 0, count)
	for i := range count {
		from, to := i*len(targets)/count, (i+1)*len(targets)/count
		parts = append(parts, tree.newPart(targets, from, to))
	}
	return parts
}

func (tree *tree) newPart(targets []Target, from, to int) part {
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	now := time.Now()
	part := part{}
	var avoided []int
	for index := from; index < to; index++ {
		if now.Before(tree.avoided[targets[index].Agent]) {
			avoided = append(avoided, index)
			continue
		}
		part.indexes = append(part.indexes, index)
	}
	part.indexes = append(part.indexes, avoided...)
	for _, index := range part.indexes {
		part.targets = append(part.targets, targets[index])
	}
	return part
}

// avoid gives an agent no targets besides its own for a while.
func (tree *tree) avoid(address string) {
	tree.mutex.Lock()
	defer tree.mutex.Unlock()
	now := time.Now()
	for other, until := range tree.avoided {
		if now.After(until) {
			delete(tree.avoided, other)
		}
	}
	tree.avoided[address] = now.Add(avoidTime)
}

// forEachPart calls ask for each part of the targets at once. If the agent of a part's first target certainly was not reached, ask is called again with the
// rest of the part; fail is called for each target that no agent answered for. An agent is avoided if it did not answer, but not for a request that was canceled.
func (tree *tree) forEachPart(ctx context.Context, targets []Target, ask func(ctx context.Context, part part) error, fail func(index int, err error)) {
	var wait sync.WaitGroup
	for _, part := range tree.split(targets) {
		wait.Go(func() { tree.askPart(ctx, part, ask, fail) })
	}
	wait.Wait()
}

func (tree *tree) askPart(ctx context.Context, part part, ask func(ctx context.Context, part part) error, fail func(index int, err error)) {
	for len(part.targets) > 0 {
		err := ask(ctx, part)
		if err == nil {
			return
		}
		failure := cranberryward.FailureOf(err)
		reached := failure.Verdict() != cranberryward.NotRun // as far as is known
		if (reached || failure.Reason() == cranberryward.ReasonUnreachable) && !eris.Is(ctx.Err(), context.Canceled) {
			tree.avoid(part.targets[0].Agent)
		}
		if reached {
			for _, index := range part.indexes {
				fail(index, err)
			}
			return
		}
		fail(part.indexes[0], err)
		part.targets, part.indexes = part.targets[1:], part.indexes[1:]
	}
}

// survey asks the agents of the targets for the states of their ranks, and returns a result for each and the sum of the new counts.
func (tree *tree) survey(ctx context.Context, query rebalancer.Query, targets []Target) (results []SurveyResult, counts []int64) {
	results = make([]SurveyResult, len(targets))
	var mutex sync.Mutex
	ask := func(ctx context.Context, part part) error {
		request := SurveyRequest{
			Query:   query,
			Targets: part.targets,
			Timeout: timeLeft(ctx),
		}
		var reply SurveyReply
		if err := tree.client.Call(ctx, part.targets[0].Agent, "Rank.Survey", request, &reply); err != nil {
			return err
		}
		added, err := unpackReplyCounts(reply)
		if err != nil {
			return err
		}
		answered, err := reply.results(len(part.targets))
		if err != nil {
			return err
		}
		mutex.Lock()
		defer mutex.Unlock()
		counts = addCounts(counts, added)
		for i, index := range part.indexes {
			results[index] = answered[i]
		}
		return nil
	}
	tree.forEachPart(ctx, targets, ask, func(index int, err error) {
		mutex.Lock()
		defer mutex.Unlock()
		results[index] = SurveyResult{Failure: newTreeFailure(err)}
	})
	return results, counts
}

// command asks the agents of the targets to pass an order to their ranks, and returns a result for each.
func (tree *tree) command(ctx context.Context, request CommandRequest) []CommandResult {
	results := make([]CommandResult, len(request.Targets))
	var mutex sync.Mutex
	ask := func(ctx context.Context, part part) error {
		passed := request
		passed.Targets, passed.Timeout = part.targets, timeLeft(ctx)
		var reply CommandReply
		if err := tree.client.Call(ctx, part.targets[0].Agent, "Rank.Command", passed, &reply); err != nil {
			return err
		}
		if len(reply.Results) != len(part.targets) {
			return eris.Errorf("agent answered for %d of %d targets", len(reply.Results), len(part.targets))
		}
		mutex.Lock()
		defer mutex.Unlock()
		for i, index := range part.indexes {
			results[index] = reply.Results[i]
		}
		return nil
	}
	tree.forEachPart(ctx, request.Targets, ask, func(index int, err error) {
		mutex.Lock()
		defer mutex.Unlock()
		results[index] = CommandResult{Failure: newTreeFailure(err)}
	})
	return results
}

// timeLeft returns how long whom a request is passed on to may take.
func timeLeft(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return localTimeout
	}
	return time.Duration(childTimeShare * float64(time.Until(deadline)))
}

func newTreeFailure(err error) TreeFailure {
	failure := cranberryward.FailureOf(err)
	return TreeFailure{
		Text:      err.Error(),
		TermEnded: failure.Reason() == cranberryward.ReasonFenced,
		NotRun:    failure.Verdict() == cranberryward.NotRun,
	}
}

// err returns the failure as an error, or nil if there is none.
func (treeFailure TreeFailure) err() error {
	switch {
	case treeFailure.TermEnded:
		return rebalancer.ErrTermEnded
	case treeFailure.Text != "":
		return eris.New(treeFailure.Text)
	default:
		return nil
	}
}

// addCounts returns the sum of two lists of counts, either of which may be empty; lists of different lengths belong to different cost models, and the
// longer one is kept.
func addCounts(sum, added []int64) []int64 {
	if len(sum) < len(added) {
		sum, added = added, sum
	}
	if len(sum) != len(added) {
		return sum
	}
	for i, count := range added {
		sum[i] += count
	}
	return sum
}

func unpackReplyCounts(reply SurveyReply) ([]int64, error) {
	if len(reply.CountsPacked) == 0 {
		return nil, nil
	}
	return unpackCounts(reply.CountsPacked, reply.CountsUnit)
}

// setResults packs the results, with the placements if they were requested.
func (surveyReply *SurveyReply) setResults(results []SurveyResult, placements bool) {
	surveyReply.Results = packResults(results)
	if !placements {
		return
	}
	for _, result := range results {
		surveyReply.Placements = append(surveyReply.Placements, TargetPlacement{
			Version: result.Observation.PlacementVersion,
			Experts: result.Observation.Placement,
		})
	}
}

// results unpacks the results, whose number must be that of the targets.
func (surveyReply *SurveyReply) results(targets int) ([]SurveyResult, error) {
	results, err := unpackResults(surveyReply.Results)
	if err != nil {
		return nil, err
	}
	placements := len(surveyReply.Placements)
	if len(results) != targets || placements > 0 && placements != targets {
		return nil, eris.Errorf("agent answered for %d of %d targets with %d placements", len(results), targets, placements)
	}
	for i, placement := range surveyReply.Placements {
		results[i].Observation.Placement, results[i].Observation.PlacementVersion = placement.Experts, placement.Version
	}
	return results, nil
}
