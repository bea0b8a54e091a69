package agent

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/google/go-cmp/cmp"
)

func numberedTargets(count int) []Target {
	targets := make([]Target, count)
	for i := range targets {
		targets[i] = Target{
			Agent: fmt.Sprintf("10.1.%d.%d:7340", i/250, i%250),
		}
	}
	return targets
}

// depth returns the number of levels through which a request reaches all targets, and checks that no agent asks more than treeFanout others, or flatTargets if there are no more.
func depth(t *testing.T, tree *tree, targets []Target) int {
	t.Helper()
	parts := tree.split(targets)
	if len(parts) > treeFanout && len(targets) > flatTargets {
		t.Fatalf("%d targets are split into %d parts, expected at most %d", len(targets), len(parts), treeFanout)
	}
	deepest, total := 0, 0
	for _, part := range parts {
		total += len(part.targets)
		deepest = max(deepest, depth(t, tree, part.targets[1:]))
	}
	if total != len(targets) {
		t.Fatalf("%d targets are split into parts with %d", len(targets), total)
	}
	if len(targets) == 0 {
		return 0
	}
	return deepest + 1
}

// TestTreeBoundsFanout guards against requests from one agent to all others, which fill its link in a group of 192 ranks.
func TestTreeBoundsFanout(t *testing.T) {
	for _, test := range []struct{ ranks, depth int }{
		{
			ranks: 0,
			depth: 0,
		},
		{
			ranks: flatTargets,
			depth: 1,
		},
		{
			ranks: 72,
			depth: 2,
		},
		{
			ranks: 192,
			depth: 3,
		},
		{
			ranks: 3000,
			depth: 4,
		},
	} {
		t.Run(fmt.Sprint(test.ranks), func(t *testing.T) {
			if found := depth(t, newTree(nil), numberedTargets(test.ranks)); found != test.depth {
				t.Errorf("%d levels, expected %d", found, test.depth)
			}
		})
	}
}

func TestAvoidedAgentHeadsNoPart(t *testing.T) {
	tree := newTree(nil)
	targets := numberedTargets(3 * treeFanout)
	tree.avoid(targets[0].Agent)
	first := tree.split(targets)[0]
	if last := first.targets[len(first.targets)-1]; last != targets[0] || first.indexes[len(first.indexes)-1] != 0 {
		t.Errorf("the avoided agent is not the last one of its part: %v", first.indexes)
	}
}

// TestCanceledRequestAvoidsNoAgent guards against agents that count as silent because the request that they were about to answer was canceled.
func TestCanceledRequestAvoidsNoAgent(t *testing.T) {
	for _, verdict := range []cranberryward.Verdict{cranberryward.MayHaveRun, cranberryward.NotRun} {
		for _, canceled := range []bool{true, false} {
			ctx, cancel := context.WithCancel(t.Context())
			tree := newTree(nil)
			ask := func(context.Context, part) error {
				if canceled {
					cancel()
				}
				return cranberryward.NewFailure(verdict, cranberryward.ReasonUnreachable, "no answer")
			}
			failed := 0
			tree.forEachPart(ctx, numberedTargets(1), ask, func(int, error) { failed++ })
			cancel()
			if avoided := len(tree.avoided) > 0; avoided == canceled || failed != 1 {
				t.Errorf("verdict %v, canceled %t: avoided %t, %d targets failed", verdict, canceled, avoided, failed)
			}
		}
	}
}

// gobBytes returns how many bytes a value takes after another one of its type on the same connection, which has sent the description of the type.
func gobBytes(t *testing.T, value any) int {
	t.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	before := 0
	for range 2 {
		before = buffer.Len()
		if err := encoder.Encode(value); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Len() - before
}

// TestControllerLinkLoad answers the pattern "192 ranks of 10 sets of 384 experts, each instance with a link of 6 Mbit/s": a controller that queried every
// rank and sent each a map filled its link for seconds. Surveys may take a third of the link, and a whole map must leave it within a fifth of a second.
func TestControllerLinkLoad(t *testing.T) {
	const (
		ranks, sets, experts, places = 192, 10, 384, 3
		linkBytesPerSecond           = 6_000_000 / 8
		// surveysPerSecond is the rate of surveys in a group of this size.
		surveysPerSecond = 11
	)
	surveyBytes, commandBytes := 0, 0
	for _, part := range newTree(nil).split(numberedTargets(ranks - 1)) {
		counts := make([]int64, sets*experts)
		for i := range counts {
			counts[i] = rand.Int64N(40)
		}
		var reply SurveyReply
		results := make([]SurveyResult, len(part.targets))
		reply.CountsPacked, reply.CountsUnit, _ = packCounts(counts)
		for i := range results {
			results[i] = SurveyResult{
				Observation: rebalancer.Observation{
					Report: cranberryward.RankReport{
						Group:    "g0-1",
						Epoch:    2,
						Rank:     i,
						Open:     true,
						Size:     ranks,
						Orders:   400,
						Step:     800,
						Map:      2555905,
						Prepared: 2555906,
						Running:  3,
						Pace:     1.02,
						Born:     1770000000000,
					},
					Fresh: true,
				},
				Life: rand.Uint64(),
			}
		}
		reply.setResults(results, false)
		surveyBytes += gobBytes(t, SurveyRequest{Targets: part.targets}) + gobBytes(t, reply)
		placement := make([][][]int, sets)
		for set := range placement {
			placement[set] = make([][]int, ranks)
			for rank := range placement[set] {
				for range places {
					placement[set][rank] = append(placement[set][rank], rand.IntN(experts))
				}
			}
		}
		commandBytes += gobBytes(t, CommandRequest{
			Changes: packChanges(wholeMapChanges(placement)),
			Targets: part.targets,
		})
	}
	if perSecond := surveyBytes * surveysPerSecond; perSecond > linkBytesPerSecond/3 {
		t.Errorf("surveys take %d bytes a second of a link of %d", perSecond, linkBytesPerSecond)
	}
	if commandBytes > linkBytesPerSecond/5 {
		t.Errorf("a whole map takes %d bytes, more than leave a link of %d bytes a second in a fifth of a second", commandBytes, linkBytesPerSecond)
	}
	t.Logf("a survey takes %d bytes, a whole map %d", surveyBytes, commandBytes)
}

// TestCountsArePassedOnOnce checks that what an agent passes on adds up to the choices of its ranks, except for what was added before the term and what a
// lost reply held, also after restarts of its rank.
func TestCountsArePassedOnOnce(t *testing.T) {
	var forwarder countsForwarder
	passed := make([]int64, 2)
	take := func() {
		t.Helper()
		packed, unit := forwarder.take()
		counts, err := unpackReplyCounts(SurveyReply{
			CountsPacked: packed,
			CountsUnit:   unit,
		})
		if err != nil {
			t.Fatal(err)
		}
		passed = addCounts(passed, counts)
	}
	forwarder.add([]int64{50, 70}, 1)
	take()
	if !slices.Equal(passed, []int64{0, 0}) {
		t.Errorf("the first counts only set a base, but %v was passed on", passed)
	}
	forwarder.add([]int64{53, 71}, 1)
	forwarder.addOthers([]int64{100, 1})
	forwarder.add([]int64{2, 2}, 2) // the rank has restarted
	forwarder.add([]int64{4, 2}, 2)
	for range 20 {
		take()
	}
	if !slices.Equal(passed, []int64{105, 2}) {
		t.Errorf("%v was passed on, expected [105 2]", passed)
	}
	forwarder.addOthers([]int64{7, 7})
	forwarder.reset()
	take()
	if !slices.Equal(passed, []int64{105, 2}) {
		t.Errorf("counts of an earlier term were passed on: %v", passed)
	}
}

// TestSurveyReachesRanksWhoseAgentsAreGone closes the agent that heads a part of the ranks, and checks that the others of the part are reached through the
// tree and its own rank directly.
func TestSurveyReachesRanksWhoseAgentsAreGone(t *testing.T) {
	testGroup := newTestGroup(t)
	gone := testGroup.members[2].Client.(*rankClient)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.agentAddress = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	query := rebalancer.Query{
		Group: testGroup.name,
		Term:  1,
	}
	survey := testGroup.surveyor.Survey(ctx, testGroup.members, query)
	for i, failure := range survey.Failures {
		if failure != nil || survey.Observations[i].Report.Rank != i {
			t.Errorf("rank %d: %v, rank %d answered", i, failure, survey.Observations[i].Report.Rank)
		}
	}
	if survey.Observations[2].Fresh || !survey.Observations[3].Fresh {
		t.Error("the rank without an agent was not reached directly, or another one was")
	}
}

// TestTreeReportsLaterTerm checks that a controller learns through the tree that a later term has begun.
func TestTreeReportsLaterTerm(t *testing.T) {
	testGroup := newTestGroup(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	query := rebalancer.Query{
		Group: testGroup.name,
		Term:  5,
	}
	testGroup.surveyor.Survey(ctx, testGroup.members, query)
	query.Term = 4
	for i, failure := range testGroup.surveyor.Survey(ctx, testGroup.members, query).Failures {
		if failure != rebalancer.ErrTermEnded {
			t.Errorf("rank %d: %v, expected that the term has ended", i, failure)
		}
	}
	if caller.EncodeError(nil) != nil {
		t.Error("no error is encoded as one")
	}
}

// FuzzResults checks that results survive packing and that no bytes make the decoder fail otherwise than with an error.
func FuzzResults(f *testing.F) {
	failed := SurveyResult{
		Failure: TreeFailure{
			Text:   "no connection",
			NotRun: true,
		},
	}
	observed := SurveyResult{
		Observation: rebalancer.Observation{
			Report: cranberryward.RankReport{
				Group: "g0",
				Epoch: 3,
				Rank:  1,
				Open:  true,
				Map:   1 << 40,
				Pace:  1.5,
				Born:  1770000000000,
			},
			Fresh: true,
		},
		Life: 77,
	}
	other := observed
	other.Observation.Report.Rank, other.Observation.Report.Group, other.Observation.Report.Open = 0, "g1", false
	f.Add(packResults([]SurveyResult{observed, failed, other, observed}))
	f.Add([]byte{})
	f.Add([]byte{200, 1, 2, 3})
	f.Fuzz(func(t *testing.T, packed []byte) {
		results, err := unpackResults(packed)
		if err != nil {
			return
		}
		again, err := unpackResults(packResults(results))
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(results, again); difference != "" && !hasLargeNumbers(results) {
			t.Errorf("results changed by packing (-before +after):\n%s", difference)
		}
	})
}

// hasLargeNumbers returns whether a pace does not survive its conversion, which no rank reports.
func hasLargeNumbers(results []SurveyResult) bool {
	return slices.ContainsFunc(results, func(result SurveyResult) bool { return math.Abs(result.Observation.Report.Pace) > 1e9 })
}

// TestSilentAgentDoesNotStopChanges lets one agent accept connections and answer nothing, as a frozen process does, and checks that the controller reaches
// its rank directly: a call without a bound would hold the group for as long as the agent is silent.
func TestSilentAgentDoesNotStopChanges(t *testing.T) {
	testGroup := newTestGroup(t)
	testGroup.drift.Store(driftPasses)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	testGroup.members[3].Client.(*rankClient).agentAddress = listener.Addr().String()
	end := testGroup.runController(1)
	defer end()
	testGroup.awaitSwitches(2)
	testGroup.requireOneMap()
}
