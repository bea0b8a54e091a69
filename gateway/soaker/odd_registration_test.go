package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// oddPhase is how long callers send requests while odd registrations stand in the store.
const oddPhase = 4 * time.Second

// oddRegistrations returns registrations of a service as another writer might leave them; none names a backend server to use.
func oddRegistrations(service string) map[string]string {
	const whole = `{"Service":"SERVICE","Address":"127.0.0.1:9","Zone":"zone-a","Slots":16,"State":"ready","ColdRemainingMs":0}`
	registrations := map[string]string{
		"port":      strings.Replace(whole, ":9\"", ":99999\"", 1),
		"port-zero": strings.Replace(whole, ":9\"", ":0\"", 1),
		"no-port":   strings.Replace(whole, ":9\"", "\"", 1),
		"name":      strings.Replace(whole, "127.0.0.1", "rank.example", 1),
		"slots":     strings.Replace(whole, ":16", ":9223372036854775807", 1),
		"negative":  strings.Replace(whole, ":16", ":-9223372036854775808", 1),
		"number":    strings.Replace(whole, ":16", ":1e400", 1),
		"cold":      strings.Replace(whole, "Ms\":0", "Ms\":1e300", 1),
		"nested":    strings.Replace(whole, "{", `{"New":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)+",", 1),
		"list":      "[" + whole + "]",
		"null":      "null",
		"bytes":     "\x00\xff",
	}
	for id, text := range registrations {
		registrations[id] = strings.ReplaceAll(text, "SERVICE", service)
	}
	return registrations
}

// TestOddRegistrationsAreLeftOut guards against processes that end, stop following the registrations or send requests to nowhere because another writer has left
// odd entries among those of the backend servers.
func TestOddRegistrationsAreLeftOut(t *testing.T) {
	deployment := newDeployment(t, 3, 4, 3)
	deployment.awaitAllServing()
	for _, service := range []string{"app", "engine"} {
		for id, text := range oddRegistrations(service) {
			deployment.store.Put(fmt.Sprintf("servers/odd-%s-%s", service, id), []byte(text))
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), oddPhase)
	defer stop()
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			deployment.runCaller(ctx, fmt.Sprint("caller", caller), rand.New(rand.NewPCG(1, uint64(caller))))
		})
	}
	callers.Wait()
	deployment.register("app-0", "app", deployment.address("3", 0, appPort), 0, "draining")
	drained := time.Now().Add(drainTime)
	<-time.After(drainTime)
	deployment.awaitAllServing()
	if late := deployment.limits.since("app-0", drained); late > 0 {
		t.Errorf("%d requests reached a backend server that leaves", late)
	}
	deployment.awaitMaps(len(deployment.group.AppliedVersions()) + 2)
	for _, process := range deployment.processes() {
		if process.hasExited() {
			t.Errorf("%s has ended by itself", process.settings.Instance)
		}
	}
	sent, served := 0, 0
	for kind, count := range deployment.checker.sent {
		sent, served = sent+count, served+deployment.checker.served[kind]
	}
	if 20*served < 19*sent {
		t.Errorf("%d of %d requests were served", served, sent)
	}
	deployment.stopAndCheck()
}

// hasExited returns whether the current run of the process has ended.
func (process *process) hasExited() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}
