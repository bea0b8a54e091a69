package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/storeserver"
)

const (
	// awayTime is how long the store is away before it returns from an older copy, and returnDelay how long after that backend servers and operators write
	// again what it has lost.
	awayTime    = 300 * time.Millisecond
	returnDelay = 800 * time.Millisecond
	// applyTime is how long after the store's acknowledgement operators accept that a configuration is not in force.
	applyTime = 2 * time.Second
	// drainTime is how long after the store's acknowledgement operators accept requests at a backend server that leaves.
	drainTime = 2 * time.Second
	// callsAllowed is how many calls of a process operators accept in the seconds after the store's return: reading everything takes four.
	callsAllowed = 12
)

// restore makes the store return from an older copy, with what was written since written again after a delay: registrations first, then the configuration.
func (deployment *deployment) restore(older storeserver.Copy, delay time.Duration) {
	deployment.store.SetFault(func(*http.Request) storeserver.Fault { return storeserver.FaultUnavailable })
	<-time.After(awayTime)
	deployment.store.Restore(older)
	deployment.store.SetFault(nil)
	<-time.After(delay)
	deployment.writeAgain(func(key string) bool { return strings.HasPrefix(key, "servers/") })
	deployment.writeAgain(func(key string) bool { return key == "op/config" })
}

// TestStoreReturnsFromAnOlderCopy guards against entries that ignore the store's new history, because its revisions are lower than those that they know or are given
// out again; that go back to an earlier configuration; that send to backend servers which are leaving; and that read the store without a pause.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	for _, test := range []struct {
		name string
		// overtake is how many revisions the store gives out again before any process can read.
		overtake int
		returns  int
		disturb  func(deployment *deployment) (end func())
	}{
		{"once", 0, 1, nil},
		{"revisions are given out again before they are read", 60, 1, nil},
		{"twice, the second time further back", 0, 2, nil},
		{"an entry restarts meanwhile", 0, 1, func(deployment *deployment) func() {
			deployment.entries[0].end(syscall.SIGKILL)
			return deployment.entries[0].start
		}},
		{"an entry and an agent are cut off from the store", 0, 1, func(deployment *deployment) func() {
			for _, process := range []*process{deployment.entries[0], deployment.agents[0]} {
				process.store.SetMode(faulter.Disconnect)
			}
			return func() {
				for _, process := range []*process{deployment.entries[0], deployment.agents[0]} {
					process.store.SetMode(faulter.Pass)
				}
			}
		}},
		{"an entry is frozen", 0, 1, func(deployment *deployment) func() {
			deployment.entries[0].suspend()
			return deployment.entries[0].resume
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment := newDeployment(t, 3, 4, 3)
			deployment.awaitAllServing()
			oldest := deployment.store.Copy()
			deployment.configure()
			for range test.returns {
				deployment.configure()
				accepted := deployment.configure()
				deployment.awaitInForce(accepted)
				deployment.register("app-0", "app", deployment.address("3", 0, appPort), 0, "draining")
				drained := time.Now().Add(drainTime)
				<-time.After(drainTime)
				end := func() {}
				if test.disturb != nil {
					end = test.disturb(deployment)
				}
				deployment.returnFrom(oldest, test.overtake, accepted)
				end()
				deployment.awaitInForce(deployment.configure())
				if late := deployment.limits.since("app-0", drained); late > 0 {
					t.Errorf("%d requests reached the backend server that leaves later than %s after that was acknowledged", late, drainTime)
				}
				deployment.register("app-0", "app", deployment.address("3", 0, appPort), 0, "ready")
			}
			changes := len(deployment.group.AppliedVersions())
			deployment.awaitMaps(changes + 2)
			deployment.checkKeys()
			deployment.stopAndCheck()
		})
	}
}

// returnFrom makes the store return from an older copy and checks what the entries do until it has what was lost again: the accepted configuration stays in force, and
// the store is not called without a pause.
func (deployment *deployment) returnFrom(older storeserver.Copy, overtake int, accepted uint64) {
	deployment.t.Helper()
	deployment.store.SetFault(func(*http.Request) storeserver.Fault { return storeserver.FaultUnavailable })
	<-time.After(awayTime)
	deployment.store.Restore(older)
	newest := accepted
	if overtake > 0 {
		newest = deployment.configure()
	}
	for number := range overtake {
		deployment.store.Put(fmt.Sprint("servers/other-", number), []byte("{}"))
	}
	deployment.store.SetFault(nil)
	before := deployment.store.TotalCalls()
	if overtake > 0 {
		deployment.awaitInForce(newest)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	for returned := time.Now(); time.Since(returned) < returnDelay; <-time.After(passInterval) {
		for entry := 1; entry < len(deployment.entries); entry++ {
			deployment.expectStatus(transport, entry, key(accepted), http.StatusOK)
		}
	}
	if calls := deployment.store.TotalCalls() - before; calls > callsAllowed*len(deployment.processes()) {
		deployment.t.Errorf("%d calls on the store within %s of its return, expected at most %d", calls, returnDelay, callsAllowed*len(deployment.processes()))
	}
	deployment.writeAgain(func(key string) bool { return strings.HasPrefix(key, "servers/") })
	deployment.writeAgain(func(key string) bool { return key == "op/config" })
}

// expectStatus sends a request with a key through an entry and expects a status of its answer.
func (deployment *deployment) expectStatus(transport *http.Transport, entry int, key string, expected int) {
	deployment.t.Helper()
	if status := deployment.statusOf(transport, entry, key); status != expected {
		deployment.t.Errorf("entry %d returned status %d for %s, expected %d", entry, status, key, expected)
	}
}

// awaitInForce expects a configuration to be in force at every entry within applyTime: its key is accepted, and the one that it dropped is not.
func (deployment *deployment) awaitInForce(version uint64) {
	deployment.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	deadline := time.After(applyTime)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for entry := range deployment.entries {
		for deployment.statusOf(transport, entry, key(version)) != http.StatusOK || deployment.statusOf(transport, entry, key(version-2)) != http.StatusUnauthorized {
			select {
			case <-deadline:
				deployment.t.Fatalf("version %d is not in force at entry %d within %s", version, entry, applyTime)
			case <-ticker.C:
			}
		}
	}
}

// awaitMaps waits until a number of expert maps have been in force.
func (deployment *deployment) awaitMaps(count int) {
	deployment.t.Helper()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for len(deployment.group.AppliedVersions()) < count {
		select {
		case <-deadline:
			deployment.t.Fatalf("%d expert maps have been in force within %s, expected %d", len(deployment.group.AppliedVersions()), waitTimeout, count)
		case <-ticker.C:
		}
	}
}

// since returns the number of requests that have reached a backend server since a time.
func (requestLimits *requestLimits) since(id string, from time.Time) (count int) {
	requestLimits.mutex.Lock()
	defer requestLimits.mutex.Unlock()
	for _, at := range requestLimits.arrivals[id] {
		if at.After(from) {
			count++
		}
	}
	return count
}
