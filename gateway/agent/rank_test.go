package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/cranberryward/cranberryward/standin/rankserver"
)

// TestBrokenGroupIsWatchedClosely answers the pattern "callers wait for a group that forms again, and its controller is gone".
func TestBrokenGroupIsWatchedClosely(t *testing.T) {
	group := rankserver.NewGroup(rankSettings)
	const wanted = 16
	var queries atomic.Int64
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if queries.Add(1) == wanted {
			close(done)
		}
		group.Rank(0).ServeHTTP(writer, request)
	}))
	t.Cleanup(server.Close)
	group.Break()
	service := newRankService(strings.TrimPrefix(server.URL, "http://"), newTree(caller.NewClient("")), func(cranberryward.RankReport) {})
	begun := time.Now()
	go service.watch(t.Context())
	<-done
	if took := time.Since(begun); took > wanted*watchInterval/2 {
		t.Errorf("%d queries of a broken group took %s", wanted, took)
	}
}

// TestUnreachableRankDoesNotDelaySurveys answers the pattern "one instance stands still with its rank": the loads of the others are announced as often as
// before, and not after a time-out each.
func TestUnreachableRankDoesNotDelaySurveys(t *testing.T) {
	testGroup := newTestGroup(t)
	healed := make(chan struct{})
	defer close(healed)
	testGroup.frozen.Store(&healed)
	query := rebalancer.Query{
		Group: testGroup.name,
		Term:  testTerm(1),
	}
	const surveys, timeout = 8, 400 * time.Millisecond
	begun := time.Now()
	for range surveys {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		survey := testGroup.surveyor.Survey(ctx, testGroup.members, query)
		cancel()
		for index, failure := range survey.Failures {
			if (failure != nil) != (index == 0) {
				t.Fatalf("rank %d: %v", index, failure)
			}
		}
	}
	if took := time.Since(begun); took > surveys*timeout/2 {
		t.Errorf("%d surveys took %s", surveys, took)
	}
}

func TestEarlierTermIsFenced(t *testing.T) {
	group := rankserver.NewGroup(rankSettings)
	server := httptest.NewServer(group.Rank(0))
	t.Cleanup(server.Close)
	service := newRankService(strings.TrimPrefix(server.URL, "http://"), newTree(caller.NewClient("")), func(cranberryward.RankReport) {})
	query := rebalancer.Query{
		Group: rankSettings.Name,
		Term:  7,
	}
	var observed ObserveReply
	if err := service.Observe(ObserveRequest{Question: query}, &observed); err != nil {
		t.Fatal(err)
	}
	hold := OrderRequest{
		Group: rankSettings.Name,
		Term:  6,
		Life:  observed.Life,
		Order: cranberryward.RankOrder{
			Kind:  cranberryward.RankHold,
			Epoch: observed.Observation.Report.Epoch,
			Step:  100,
		},
	}
	var reply OrderReply
	if err := service.Order(hold, &reply); err == nil {
		t.Error("an order of an earlier term was accepted")
	}
	if err := service.Observe(ObserveRequest{Question: query}, &observed); err != nil || observed.Observation.Report.Held != 0 {
		t.Errorf("the rank is held at step %d by an earlier term, error %v", observed.Observation.Report.Held, err)
	}
	hold.Term = 7
	if err := service.Order(hold, &reply); err != nil || reply.Answer != cranberryward.OrderAccepted {
		t.Errorf("an order of the current term: %v, %v", reply.Answer, err)
	}
}

// TestOtherGroupIsFenced checks that the controller of another group of the service neither ends the term of the rank's own controller nor orders
// the rank, though its term is later.
func TestOtherGroupIsFenced(t *testing.T) {
	group := rankserver.NewGroup(rankSettings)
	server := httptest.NewServer(group.Rank(0))
	t.Cleanup(server.Close)
	service := newRankService(strings.TrimPrefix(server.URL, "http://"), newTree(caller.NewClient("")), func(cranberryward.RankReport) {})
	own := rebalancer.Query{
		Group: rankSettings.Name,
		Term:  7,
	}
	var observed ObserveReply
	if err := service.Observe(ObserveRequest{Question: own}, &observed); err != nil {
		t.Fatal(err)
	}
	other := rebalancer.Query{
		Group: "g9",
		Term:  8,
	}
	if err := service.Observe(ObserveRequest{Question: other}, &observed); err != nil || observed.Observation.Report.Group != rankSettings.Name {
		t.Fatalf("the other controller learned group %q, error %v", observed.Observation.Report.Group, err)
	}
	hold := OrderRequest{
		Group: other.Group,
		Term:  other.Term,
		Life:  observed.Life,
		Order: cranberryward.RankOrder{
			Kind:  cranberryward.RankHold,
			Epoch: observed.Observation.Report.Epoch,
			Step:  100,
		},
	}
	var reply OrderReply
	if err := service.Order(hold, &reply); err == nil {
		t.Error("an order of another group's controller was accepted")
	}
	if err := service.Observe(ObserveRequest{Question: own}, &observed); err != nil || observed.Observation.Report.Held != 0 {
		t.Errorf("the own controller is answered with %v, the rank is held at step %d", err, observed.Observation.Report.Held)
	}
}

// silentAgent is an agent that answers nothing until it is healed.
type silentAgent struct{ healed chan struct{} }

func (silentAgent *silentAgent) Observe(ObserveRequest, *ObserveReply) error {
	<-silentAgent.healed
	return nil
}

// TestCanceledQueryIsNoSilence guards against a controller that takes the end of its own context for the silence of an agent: it would get the rank's report in place of an
// answer that nobody awaits and, for a while, send its orders past the agent, which refuses those of an ended term.
func TestCanceledQueryIsNoSilence(t *testing.T) {
	for name, test := range map[string]struct {
		patience time.Duration
		canceled bool
	}{
		"canceled before":      {0, true},
		"canceled meanwhile":   {localTimeout / 5, true},
		"not answered in time": {20 * localTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			testGroup := newTestGroup(t)
			agent := &silentAgent{healed: make(chan struct{})}
			server, err := caller.NewServer("127.0.0.1:0", "")
			if err != nil {
				t.Fatal(err)
			}
			if err := server.Register("Rank", agent); err != nil {
				t.Fatal(err)
			}
			server.Start()
			t.Cleanup(server.Stop)
			defer close(agent.healed)
			client := testGroup.members[1].Client.(*rankClient)
			client.agentAddress = server.Address()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			defer time.AfterFunc(test.patience, cancel).Stop()
			if test.patience == 0 {
				cancel()
			}
			observation, err := client.Observe(ctx, rebalancer.Query{
				Group: testGroup.name,
				Term:  testTerm(1),
			})
			if (err != nil) != test.canceled || observation.Fresh {
				t.Errorf("observation %+v, error %v", observation, err)
			}
			if client.silent() == test.canceled {
				t.Errorf("the agent counts as silent: %t", client.silent())
			}
		})
	}
}
