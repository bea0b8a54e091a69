package rebalancer

import (
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
)

// pausingGroup has a pause objective; its other methods are not called.
type pausingGroup struct {
	Group
	objective time.Duration
}

// PauseObjective returns the objective.
func (pausingGroup pausingGroup) PauseObjective() time.Duration { return pausingGroup.objective }

// TestCalmGroupCopiesLittle answers the pattern "passes take a third of the pause that callers accept, and the demand for experts varies by itself": copies
// are charged and shorten no pause that anyone notices, so a change must save much. Once passes approach the objective, small savings count.
func TestCalmGroupCopiesLittle(t *testing.T) {
	engine := &cranberryward.EngineCostModel{
		Sets:     1,
		Experts:  8,
		Places:   3,
		Spare:    1,
		ExpertMB: 1,
		LinkMbps: 1000,
	}
	const objective = 120 * time.Millisecond
	// The ranks have loads of 13, 11, 9 and 9, so that a copy from the first to the last saves a ninth of the expert time.
	loads := []float64{8, 5, 6, 5, 5, 4, 5, 4}
	for _, test := range []struct {
		name    string
		pass    time.Duration
		changes bool
	}{
		{
			name: "calm",
			pass: 40 * time.Millisecond,
		},
		{
			name:    "passes close to the objective",
			pass:    115 * time.Millisecond,
			changes: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			rebalancer := &Rebalancer{
				group:     pausingGroup{objective: objective},
				passTime:  test.pass,
				ranks:     make([]rank, 4),
				placement: [][][]int{{{0, 1}, {2, 3}, {4, 5}, {6, 7}}},
				demand:    demand{loads: loads},
			}
			_, _, saved := rebalancer.plan(engine)
			if changes := saved >= rebalancer.minimumSaved(); changes != test.changes {
				t.Errorf("a change that saves %.3f is made: %v, expected %v", saved, changes, test.changes)
			}
		})
	}
}
