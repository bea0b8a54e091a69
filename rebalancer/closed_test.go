package rebalancer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log"
)

// reportedGroup is a group of ranks with given observations, which counts the orders that it gets.
type reportedGroup struct {
	Group
	RankClient
	observations []Observation
	// later replaces the observations at a time, unless it is nil.
	later   []Observation
	laterAt time.Time
	mutex   sync.Mutex
	orders  []cranberryward.RankOrderKind
}

func (reportedGroup *reportedGroup) record(kind cranberryward.RankOrderKind) {
	reportedGroup.mutex.Lock()
	defer reportedGroup.mutex.Unlock()
	reportedGroup.orders = append(reportedGroup.orders, kind)
}

func (reportedGroup *reportedGroup) current() []Observation {
	if reportedGroup.later != nil && !time.Now().Before(reportedGroup.laterAt) {
		return reportedGroup.later
	}
	return reportedGroup.observations
}

func (*reportedGroup) Name() string { return "group" }

func (*reportedGroup) Engine() *cranberryward.EngineCostModel {
	return &cranberryward.EngineCostModel{
		Sets:    1,
		Experts: 3,
	}
}

func (reportedGroup *reportedGroup) Surveyor() Surveyor { return reportedSurveyor{reportedGroup} }

// Members returns the ranks.
func (reportedGroup *reportedGroup) Members() (members []Member) {
	for i := range reportedGroup.observations {
		members = append(members, Member{
			ID:     fmt.Sprint("rank-", i),
			Client: reportedGroup,
		})
	}
	return members
}

func (*reportedGroup) HandleReports(map[string]cranberryward.RankReport, time.Duration) {}

func (reportedGroup *reportedGroup) Order(_ context.Context, _ string, _ uint64, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error) {
	reportedGroup.record(order.Kind)
	return cranberryward.OrderAccepted, nil
}

func (reportedGroup *reportedGroup) Observe(context.Context, Query) (Observation, error) {
	return reportedGroup.current()[0], nil
}

type reportedSurveyor struct{ *reportedGroup }

// Survey returns the observations of the members.
func (reportedSurveyor reportedSurveyor) Survey(_ context.Context, members []Member, _ Query) Survey {
	survey := Survey{Failures: make([]error, len(members))}
	for _, member := range members {
		var index int
		_, _ = fmt.Sscanf(member.ID, "rank-%d", &index) // all IDs have this form
		survey.Observations = append(survey.Observations, reportedSurveyor.current()[index])
	}
	return survey
}

func (reportedSurveyor reportedSurveyor) OrderAll(_ context.Context, members []Member, _ []uint64, _ string, _ uint64, order cranberryward.RankOrder) []OrderResult {
	results := make([]OrderResult, len(members))
	for i := range members {
		reportedSurveyor.record(order.Kind)
		results[i].Outcome = cranberryward.OrderAccepted
	}
	return results
}

// observation returns that of a rank with the given maps armed and held; the rank holds one expert.
func observation(rank int, armed, held uint64, fresh bool) Observation {
	return Observation{
		Report: cranberryward.RankReport{
			Group: "group",
			Epoch: 1,
			Rank:  rank,
			Open:  true,
			Size:  3,
			Map:   10,
			Armed: armed,
			Held:  held,
		},
		Placement:        [][]int{{rank}},
		PlacementVersion: 10,
		Fresh:            fresh,
	}
}

// TestClosedChangeIsTheOneUnderWay guards against ending a hold by disarming all ranks but that of the controller after the controller, which was only not heard, has
// gone on to a later change and armed its own rank with that: the next pass would begin with two maps.
func TestClosedChangeIsTheOneUnderWay(t *testing.T) {
	const version, later, step = 11, 12, 40
	for name, test := range map[string]struct {
		others [2]Observation
		ended  bool
	}{
		"the closed change, armed":        {[2]Observation{observation(0, version, step, true), observation(1, version, 0, true)}, true},
		"the closed change, partly armed": {[2]Observation{observation(0, 0, step, true), observation(1, version, 0, true)}, true},
		"a later change is armed":         {[2]Observation{observation(0, 0, step, true), observation(1, later, 0, true)}, false},
		"another rank is held":            {[2]Observation{observation(0, 0, step, true), observation(1, 0, step+4, true)}, false},
		"an old report":                   {[2]Observation{observation(0, 0, step, true), observation(1, 0, 0, false)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			group := &reportedGroup{observations: append(test.others[:], observation(2, 0, 0, true))}
			err := New(group, GuardTerm(Term(cranberryward.Position{Revision: 3}), 0), log.NewNopLogger()).Settle(t.Context(), ClosedChange{
				Version: version,
				Holder:  "rank-2",
			})
			if (err == nil) != test.ended || (len(group.orders) > 0) != test.ended {
				t.Errorf("orders %v, error %v, expected that the hold is ended: %t", group.orders, err, test.ended)
			}
		})
	}
}

// TestOldReportsNeitherCompleteNorUndo guards against releasing a group whose ranks all seem to be armed, by a report from before the change was undone at that rank; and against undoing
// a change that is armed on all ranks because of the age of a report, as its release may be under way (review/7).
func TestOldReportsNeitherCompleteNorUndo(t *testing.T) {
	const version, step = 11, 40
	reports := func(armed [3]uint64, held uint64, fresh bool) []Observation {
		return []Observation{observation(0, armed[0], held, true), observation(1, armed[1], 0, fresh), observation(2, armed[2], 0, true)}
	}
	all, none := [3]uint64{version, version, version}, [3]uint64{}
	for name, test := range map[string]struct {
		first, later []Observation
		// orders are the first ones.
		orders []cranberryward.RankOrderKind
		waits  bool
	}{
		"fresh":                    {reports(all, step, true), nil, []cranberryward.RankOrderKind{cranberryward.RankRelease}, false},
		"old, and still so":        {reports(all, step, false), nil, []cranberryward.RankOrderKind{cranberryward.RankRelease}, true},
		"old, fresh later":         {reports(all, step, false), reports(all, step, true), []cranberryward.RankOrderKind{cranberryward.RankRelease}, true},
		"old, undone before":       {reports(all, step, false), reports([3]uint64{version, 0, version}, step, false), []cranberryward.RankOrderKind{cranberryward.RankPrepare, cranberryward.RankDisarm}, true},
		"old, undone at held rank": {reports(all, step, false), reports([3]uint64{0, version, version}, step, false), []cranberryward.RankOrderKind{cranberryward.RankPrepare, cranberryward.RankDisarm}, true},
		"old, released meanwhile":  {reports(all, step, false), reports(none, 0, false), nil, true},
		"old, not armed":           {reports([3]uint64{version, 0, version}, step, false), nil, []cranberryward.RankOrderKind{cranberryward.RankPrepare, cranberryward.RankDisarm}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				group := &reportedGroup{
					observations: test.first,
					later:        test.later,
					laterAt:      begun.Add(staleReportDelay),
				}
				if err := New(group, Term(cranberryward.Position{Revision: 3}), log.NewNopLogger()).Settle(t.Context(), ClosedChange{}); err != nil {
					t.Fatal(err)
				}
				if orders := group.orders[:min(len(group.orders), len(test.orders))]; !slices.Equal(orders, test.orders) || test.orders == nil && len(group.orders) > 0 {
					t.Errorf("orders %v, expected %v first", group.orders, test.orders)
				}
				if waited := time.Since(begun) >= staleReportDelay; waited != test.waits {
					t.Errorf("settled after %s, expected to wait for later reports: %t", time.Since(begun), test.waits)
				}
				for i, order := range group.orders {
					if order == cranberryward.RankRelease && i < len(group.orders)-1 {
						t.Errorf("orders %v after the release", group.orders[i+1:])
					}
				}
			})
		})
	}
}
