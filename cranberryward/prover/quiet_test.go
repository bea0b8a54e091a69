package prover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/keyvalueserver"
	"github.com/cranberryward/cranberryward/standin/weightserver"
)

// drift moves the popularity of a zone's experts, so that a change of its map pays.
func (fleet *fleet) drift(zone int, phase float64) {
	fleet.t.Helper()
	engine := fleet.engines[zone*len(fleet.engines)/len(fleet.zones)]
	response, err := prompt.Post(fmt.Sprintf("http://%s/phase/%v", engine.backend, phase), "application/json", nil)
	if err != nil {
		fleet.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func (fleet *fleet) awaitVersion(zone int, beyond uint64) uint64 {
	fleet.t.Helper()
	last := uint64(0)
	await(fleet.t, fmt.Sprintf("zone %d runs a version beyond %d", zone, beyond), func() bool {
		last = checkSteps(fleet.t, fleet.steps(zone))
		return last > beyond
	})
	return last
}

func (fleet *fleet) openWindow(entry *member, zone string, lasting time.Duration) {
	fleet.t.Helper()
	id := newKey()
	now := time.Now().UTC()
	fleet.mustSubmit(entry, cranberryward.Submission{
		ID:   id,
		Kind: cranberryward.SubmitCorrection,
		Correction: &cranberryward.Correction{
			ID:    id,
			Kind:  cranberryward.CorrectOpenWindow,
			Name:  "flood",
			Zone:  zone,
			From:  now,
			Until: now.Add(lasting),
		},
	})
}

var quickChanges = []string{"--change-time", "500ms", "--clock-error", "100ms", "--plan-interval", "300ms", "--lease-ttl", "1500ms"}

func TestNothingDisruptiveInAQuietWindow(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          2,
		entriesPerZone: 2,
		ranksPerZone:   3,
		entryFlags:     quickChanges,
		agentFlags:     []string{"--clock-error", "100ms", "--hold-bound", "500ms"},
	})
	fleet.drift(0, 0.3)
	fleet.drift(1, 0.3)
	fleet.awaitVersion(0, 1)
	other := fleet.awaitVersion(1, 1)
	fleet.openWindow(fleet.entries[0], "zone-a", time.Hour)
	opened := time.Now()
	quiet := checkSteps(t, fleet.steps(0))
	fleet.drift(0, 0.7)
	fleet.drift(1, 0.7)
	fleet.awaitVersion(1, other)
	await(t, "ten decisions in the window", func() bool { return time.Since(opened) > 3*time.Second })
	if last := checkSteps(t, fleet.steps(0)); last != quiet {
		t.Errorf("the map changed from version %d to %d inside a quiet window", quiet, last)
	}
}

// newChangingFleet starts one group of three ranks whose map changes soon after its demand does.
func newChangingFleet(t *testing.T, entries int) *fleet {
	return newFleet(t, fleetOptions{
		zones:          1,
		entriesPerZone: entries,
		ranksPerZone:   3,
		entryFlags:     quickChanges,
		agentFlags:     []string{"--hold-bound", "500ms", "--clock-error", "100ms"},
	})
}

func TestWindowThatOpensStopsAChangeUnderWay(t *testing.T) {
	fleet := newChangingFleet(t, 2)
	before := fleet.awaitVersion(0, 1)
	fleet.setFaults(fleet.weights, weightserver.Faults{Outage: true})
	prepared := func() (orders int) {
		for _, engine := range fleet.engines {
			orders += strings.Count(engine.log(), "kind=prepare")
		}
		return orders
	}
	marks := prepared()
	fleet.drift(0, 0.4)
	await(t, "a rank prepares", func() bool { return prepared() > marks })
	fleet.openWindow(fleet.entries[0], "", time.Hour)
	fleet.setFaults(fleet.weights, weightserver.Faults{})
	opened := time.Now()
	await(t, "ten decisions in the window", func() bool { return time.Since(opened) > 3*time.Second })
	if last := checkSteps(t, fleet.steps(0)); last != before {
		t.Errorf("the map changed from version %d to %d inside a quiet window", before, last)
	}
}

func TestZoneThatCannotConfirmItsConfigurationIsNotDisrupted(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          2,
		entriesPerZone: 1,
		ranksPerZone:   2,
		entryFlags:     append([]string{"--max-age", "1s"}, quickChanges...),
		agentFlags:     []string{"--clock-error", "100ms", "--hold-bound", "500ms", "--max-age", "1s"},
	})
	entry := fleet.entries[0]
	entry.cutPlatform(faulter.Cutoff)
	fleet.openWindow(fleet.entries[1], "zone-a", time.Hour)
	cut := time.Now()
	await(t, "the zone's confirmation has lapsed", func() bool { return time.Since(cut) > 2*time.Second })
	before := checkSteps(t, fleet.steps(0))
	fleet.drift(0, 0.5)
	answers := fleet.startStreams(8, 20, nil)()
	await(t, "five decisions", func() bool { return time.Since(cut) > 5*time.Second })
	if last := checkSteps(t, fleet.steps(0)); last != before {
		t.Errorf("the map changed from %d to %d in a zone that did not know of the window", before, last)
	}
	for i, received := range answers {
		if !received.whole {
			t.Errorf("stream %d was not served by the zone that is cut off: %+v", i, received)
		}
	}
}

func TestStepsRunOneMapThroughProcessFaults(t *testing.T) {
	fleet := newChangingFleet(t, 2)
	gate := fleet.engines[0]
	cases := []struct {
		name  string
		when  string
		fault func()
		heal  func()
	}{
		{
			name:  "the gate's agent killed at its hold",
			when:  "kind=hold",
			fault: gate.kill,
			heal:  gate.start,
		},
		{
			name:  "another rank's agent killed at its switch",
			when:  "kind=hold",
			fault: fleet.engines[2].kill,
			heal:  fleet.engines[2].start,
		},
		{
			name: "a rank restarted with nothing",
			when: "kind=prepare",
			fault: func() {
				fleet.setFaults(fleet.engines[1].backend, map[string]bool{"dead": true})
				fleet.setFaults(fleet.engines[1].backend, map[string]bool{})
			},
		},
		{
			name:  "a rank stalled",
			when:  "kind=hold",
			fault: func() { fleet.setFaults(fleet.engines[1].backend, map[string]bool{"stalled": true}) },
			heal:  func() { fleet.setFaults(fleet.engines[1].backend, map[string]bool{}) },
		},
		{
			name:  "a rank's agent cut off",
			when:  "kind=prepare",
			fault: func() { fleet.engines[2].peers.SetMode(faulter.Cutoff) },
			heal:  func() { fleet.engines[2].peers.SetMode(faulter.Pass) },
		},
		{
			name:  "answers of a rank's agent lost",
			when:  "kind=hold",
			fault: func() { fleet.engines[1].peers.SetMode(faulter.DropAnswers) },
			heal:  func() { fleet.engines[1].peers.SetMode(faulter.Cutoff); fleet.engines[1].peers.SetMode(faulter.Pass) },
		},
		{
			name: "the key-value service lost while a change is prepared",
			when: "kind=prepare",
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{Outage: true})
			},
			heal: func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) },
		},
		{
			name: "the answer to the commit lost",
			when: "kind=prepare",
			fault: func() {
				fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{
					LoseAnswers: 1,
					LosePrefix:  "groups/",
				})
			},
			heal: func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) },
		},
		{
			name: "both entries frozen past the lease",
			when: "kind=prepare",
			fault: func() {
				fleet.entries[0].freeze()
				fleet.entries[1].freeze()
				pause(2 * time.Second)
			},
			heal: func() {
				fleet.entries[0].thaw()
				fleet.entries[1].thaw()
			},
		},
		{
			name:  "an entry killed",
			when:  "kind=prepare",
			fault: func() { fleet.entries[0].kill() },
			heal: func() {
				fleet.entries[0].start()
				fleet.awaitEntry(fleet.entries[0])
			},
		},
	}
	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet.t = t
			before := checkSteps(t, fleet.steps(0))
			marks := strings.Count(gate.log(), test.when)
			fleet.drift(0, 0.17*float64(i+1))
			await(t, "the gate's agent logs "+test.when, func() bool { return strings.Count(gate.log(), test.when) > marks })
			test.fault()
			pause(300 * time.Millisecond)
			checkSteps(t, fleet.steps(0))
			if test.heal != nil {
				test.heal()
			}
			fleet.awaitProgress(0)
			fleet.drift(0, 0.17*float64(i+1)+0.4)
			fleet.awaitVersion(0, before)
			fleet.awaitProgress(0)
		})
	}
	fleet.t = t
}

// TestChangeEndsWhenARankRestartsWhileItPrepares restarts a rank that has taken its order and cannot load its weights yet.
func TestChangeEndsWhenARankRestartsWhileItPrepares(t *testing.T) {
	fleet := newChangingFleet(t, 1)
	before := fleet.awaitVersion(0, 1)
	restarted := fleet.engines[1]
	fleet.setFaults(fleet.weights, weightserver.Faults{Outage: true})
	marks := strings.Count(restarted.log(), "kind=prepare")
	fleet.drift(0, 0.4)
	await(t, "the rank takes its order", func() bool { return strings.Count(restarted.log(), "kind=prepare") > marks })
	fleet.setFaults(restarted.backend, map[string]bool{"dead": true})
	fleet.setFaults(restarted.backend, map[string]bool{})
	fleet.setFaults(fleet.weights, weightserver.Faults{})
	fleet.awaitVersion(0, before)
	fleet.awaitProgress(0)
}

// awaitProgress waits until a group enters further steps.
func (fleet *fleet) awaitProgress(zone int) {
	fleet.t.Helper()
	last := func() uint64 {
		records := fleet.steps(zone)
		checkSteps(fleet.t, records)
		return records[len(records)-1].Step
	}
	from := last()
	await(fleet.t, "the group goes on", func() bool { return last() > from+20 })
}
