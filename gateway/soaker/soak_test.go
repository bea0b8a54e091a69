package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// environmentInt returns a whole number from an environment variable, which make soak sets.
func environmentInt(t *testing.T, variable string, otherwise int) int {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s=%s, expected a whole number", variable, text)
	}
	return value
}

// Seeds that once failed: 133, because a SIGHUP reached a starting process before the program had requested signals, and ended it.

// TestSoak keeps a deployment under load while faults occur one at a time and together, and checks the guarantees against what callers and backend
// servers observe. SOAK_SEED, SOAK_ROUNDS, SOAK_FAULTS, SOAK_ENTRIES and SOAK_RANKS select the runs.
func TestSoak(t *testing.T) {
	first := environmentInt(t, "SOAK_SEED", 1)
	for seed := first; seed < first+environmentInt(t, "SOAK_ROUNDS", 1); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, uint64(seed)) })
	}
}

// writtenVariants is the number of moments at which a request crashes its backend server in the soaks, from before its answer on.
const writtenVariants = 4

func soak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	deployment := newDeployment(t, environmentInt(t, "SOAK_ENTRIES", 3), environmentInt(t, "SOAK_RANKS", 4), 3)
	deployment.writtenBeforeCrash.Store(int64(seed % writtenVariants))
	deployment.awaitAllServing()
	ctx, stopCallers := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stopCallers()
	for caller := range 6 {
		callers.Go(func() {
			deployment.runCaller(ctx, fmt.Sprint("caller", caller), rand.New(rand.NewPCG(seed, uint64(caller+1))))
		})
	}
	var active sync.WaitGroup
	kinds := deployment.faults()
	for range environmentInt(t, "SOAK_FAULTS", 8) {
		chosen := kinds[random.IntN(len(kinds))]
		duration := time.Duration(200+random.IntN(1500)) * time.Millisecond
		t.Logf("%s for %s", chosen.name, duration)
		end := chosen.begin(random)
		ended := make(chan struct{})
		active.Go(func() {
			defer close(ended)
			<-time.After(duration)
			end()
		})
		if random.IntN(2) == 0 || exclusiveFaults[chosen.name] {
			<-ended // the next fault starts after this one; otherwise they overlap
		}
	}
	active.Wait()
	deployment.awaitAllServing()
	stopCallers()
	callers.Wait()
	deployment.checkKeys()
	deployment.stopAndCheck()
	t.Logf("sent %v, served %v, %d maps in force", deployment.checker.sent, deployment.checker.served, len(deployment.group.AppliedVersions()))
}

// exclusiveFaults holds the faults whose start and end would undo those of others that are active.
var exclusiveFaults = map[string]bool{
	"entry killed": true, "agent killed": true, "entry stopped": true, "agent stopped": true, "process frozen": true, "all killed": true, "rank lost": true,
	"requests with a crashing part": true, "a crashing request": true,
}

// awaitAllServing waits until every entry serves every kind of request, within the time that operators accept after a loss of all processes.
func (deployment *deployment) awaitAllServing() {
	deployment.t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	attempts := 0
	for entry := range deployment.entries {
		for _, kind := range []kind{booking, lookup, stream} {
			for attempts++; !deployment.sendAndCheck(transport, entry, kind, fmt.Sprintf("await-%d-%d", time.Now().UnixNano(), attempts)); attempts++ {
				if time.Now().After(deadline) {
					deployment.t.Fatalf("entry %d serves no %s within %s", entry, kind, waitTimeout)
				}
				<-ticker.C
			}
		}
	}
}

// checkKeys expects the current configuration to be in force at every entry: its key is accepted, and one that it dropped is not.
func (deployment *deployment) checkKeys() {
	version := deployment.configure()
	version = max(version, deployment.configure())
	transport := &http.Transport{DisableKeepAlives: true}
	for entry := range deployment.entries {
		deployment.awaitStatus(transport, entry, key(version), http.StatusOK)
		deployment.awaitStatus(transport, entry, key(version-2), http.StatusUnauthorized)
	}
}

func (deployment *deployment) awaitStatus(transport *http.Transport, entry int, key string, expected int) {
	deployment.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		status := deployment.statusOf(transport, entry, key)
		if status == expected {
			return
		}
		if time.Now().After(deadline) {
			deployment.t.Fatalf("entry %d returned status %d for %s, expected %d", entry, status, key, expected)
		}
		<-ticker.C
	}
}

// attempts numbers the requests that check which keys are accepted.
var attempts atomic.Int64

// statusOf returns the status of the answer to a request with a key, or zero if there is none.
func (deployment *deployment) statusOf(transport *http.Transport, entry int, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	response, err := deployment.send(ctx, transport, entry, lookup, fmt.Sprintf("key-%s-%d-%d", key, entry, attempts.Add(1)), key)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status is needed
	return response.StatusCode
}

// stopAndCheck stops all processes and reports each violation of a guarantee.
func (deployment *deployment) stopAndCheck() {
	deployment.awaitNextPass()
	for _, process := range deployment.processes() {
		process.end(syscall.SIGTERM)
		for _, line := range process.regressions() {
			deployment.t.Errorf("%s applied an earlier configuration: %s", process.settings.Instance, line)
		}
	}
	for _, mixed := range deployment.group.MixedPasses() {
		deployment.t.Error(mixed)
	}
	if crashes, late := deployment.checker.lateCrashes(); late > lateArrivalsAllowed {
		deployment.t.Errorf("%d of %d crashes by requests with one part came later than %s after crash %d, expected at most %d", late, crashes, stableWindow, crashesAllowed, lateArrivalsAllowed)
	}
	if _, _, late := deployment.checker.lateRepeats(); late > lateArrivalsAllowed {
		deployment.t.Errorf("the crashing request reached backend servers %d times later than %s after it had crashed %d, expected at most %d", late, stableWindow, requestCrashesAllowed, lateArrivalsAllowed)
	}
	for _, violation := range deployment.checker.check(retryRatio, retrySlack) {
		deployment.t.Error(violation)
	}
}

func (deployment *deployment) awaitNextPass() {
	step := deployment.group.Step()
	deadline := time.After(waitTimeout)
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for deployment.group.Step() == step {
		select {
		case <-deadline:
			deployment.t.Error("the group has stalled")
			return
		case <-ticker.C:
		}
	}
}
