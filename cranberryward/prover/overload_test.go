package prover

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/engineserver"
)

const poison = "POISON"

func TestPoisonTakesDownFewBackendServers(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          2,
		entriesPerZone: 2,
		ranksPerZone:   3,
	})
	const maxCrashes = 2
	for _, engine := range fleet.engines {
		fleet.setFaults(engine.backend, engineserver.Faults{
			CrashMarker: poison,
			RestartMS:   300,
		})
	}
	innocent := fleet.startStreams(24, 200, map[string]string{cranberryward.HeaderDeadline: "20s"})
	fleet.awaitRunning(0, 12)
	refused := 0
	for turn := range 12 {
		received := fleet.stream(context.Background(), fleet.entries[turn%len(fleet.entries)], "the "+poison+" request", 5, nil)
		if received.whole {
			t.Error("the crashing request was answered")
		}
		if received.failure.Code == cranberryward.ReasonQuarantined {
			refused++
		}
	}
	crashes := 0
	for id := range fleet.generated() {
		for _, engine := range fleet.engines {
			_ = engine
		}
		if strings.Contains(fleet.promptOf(id), poison) {
			crashes++
		}
	}
	answers := innocent()
	fleet.checkWhole(answers)
	served := 0
	for _, received := range answers {
		if received.whole {
			served++
		}
	}
	again := fleet.startStreams(24, 10, nil)()
	for i, received := range again {
		if !received.whole {
			t.Errorf("innocent stream %d after the crashes: %+v", i, received.failure)
		}
	}
	t.Logf("%d runs of the crashing request, %d of 12 sends refused as quarantined, %d of 24 streams beside it whole", crashes, refused, served)
	if crashes > maxCrashes {
		t.Errorf("the request took down %d backend servers, at most %d are allowed", crashes, maxCrashes)
	}
	if refused == 0 {
		t.Error("the request was never quarantined")
	}
}

// promptOf returns a mark of the request that an engine ran: its text begins with its id, and crashed ones never finish.
func (fleet *fleet) promptOf(id string) string {
	if execution := fleet.generated()[id]; !execution.Finished && execution.Text == "" {
		return poison
	}
	return ""
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          1,
		entriesPerZone: 2,
		ranksPerZone:   4,
	})
	for _, engine := range fleet.engines {
		fleet.setFaults(engine.backend, engineserver.Faults{Dead: true})
	}
	const requests = 200
	var group sync.WaitGroup
	answers := make([]answer, requests)
	limit := make(chan struct{}, 40)
	for i := range requests {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			answers[i] = fleet.stream(context.Background(), fleet.entries[i%2], fmt.Sprintf("request %d", i), 3, map[string]string{cranberryward.HeaderDeadline: "2s"})
		})
	}
	group.Wait()
	attempts := 0
	for _, entry := range fleet.entries {
		attempts += strings.Count(entry.log(), "event=route")
	}
	whole := 0
	for _, received := range answers {
		if received.whole {
			whole++
		}
	}
	t.Logf("%d attempts for %d requests to dead backend servers, %d whole", attempts, requests, whole)
	if allowed := requests + requests/10 + 2*10; attempts > allowed {
		t.Errorf("%d attempts for %d requests, at most %d are allowed", attempts, requests, allowed)
	}
	fleet.checkNotRun(answers)
	for _, engine := range fleet.engines {
		fleet.setFaults(engine.backend, engineserver.Faults{})
	}
	await(t, "the group serves after every rank restarted", func() bool {
		back := fleet.startStreams(8, 3, map[string]string{cranberryward.HeaderDeadline: "1s"})()
		fleet.checkWhole(back)
		for _, received := range back {
			if !received.whole {
				return false
			}
		}
		return true
	})
}

func TestPriorityKeepsItsShareUnderOverload(t *testing.T) {
	fleet := newFleet(t, fleetOptions{
		zones:          1,
		entriesPerZone: 1,
		ranksPerZone:   1,
		agentFlags:     []string{"--queue-length", "32"},
	})
	fleet.correct(fleet.entries[0], cranberryward.CorrectPriority, "calls", "9")
	fleet.correct(fleet.entries[0], cranberryward.CorrectPriority, "batch", "1")
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	counts := map[string]int{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range 160 {
		workspace := "batch"
		if i%4 == 0 {
			workspace = "calls"
		}
		group.Go(func() {
			for ctx.Err() == nil {
				received := fleet.stream(ctx, fleet.entries[0], fmt.Sprintf("caller %d", i), 100, map[string]string{cranberryward.HeaderWorkspace: workspace})
				if received.whole {
					mutex.Lock()
					counts[workspace]++
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	t.Logf("served: %v", counts)
	if counts["calls"] < counts["batch"] {
		t.Errorf("the workspace with the high priority got %d and the other %d", counts["calls"], counts["batch"])
	}
}
