package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// coldStart and coldPerSecond are ColdStartS and ColdPerS of the service assistant-llm on the site teranga-vet-grown, coldOvershoot and coldSlack the bounds there.
	coldStart     = 3 * time.Second
	coldPerSecond = 14.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// coldAgainAfter is how long after its start the server becomes cold again.
	coldAgainAfter = 2500 * time.Millisecond
	// noticeTime is left to the system from the store's acknowledgement of the registration on; nothing before is counted.
	noticeTime = 1500 * time.Millisecond
	// crashRate is the number of requests in a second at which a cold server crashes.
	crashRate = 2 * coldPerSecond * coldOvershoot
)

// playColdAgain has a backend server that has just started become cold again before its first cold time is over.
func playColdAgain(stage *stage) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stage.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "book", "Host": "clinic.example", "Prefix": "/book/", "Kind": "non_idempotent", "TimeoutMs": 800, "TargetLatencyMs": 120, "Priority": 2,
			"Service": "booking", "MaxAttempts": 2, "AnonymousAccess": true,
		}},
		"Services": []map[string]any{{
			"Name": "booking", "HealthPath": "/health", "ConnectionLimit": 580, "ColdStartS": coldStart.Seconds(), "ColdPerS": coldPerSecond,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	warm := stage.newServer("i-warm", "booking", 31, 12, 60*time.Millisecond)
	if err := warm.start(ctx, 0); err != nil {
		return false, err
	}
	if err := stage.startEntries(2); err != nil {
		return false, err
	}
	callers := stage.newCallers("clinic.example")
	callers.run(ctx, kind{
		name:      "book",
		method:    http.MethodPost,
		path:      "/book/slot",
		perSecond: 120,
		deadline:  800 * time.Millisecond,
	})
	time.Sleep(3 * time.Second)

	cold := stage.newServer("i-cold", "booking", 32, 12, 60*time.Millisecond)
	var crashed atomic.Bool
	cold.onArrival = func(at time.Time) bool {
		cold.mutex.Lock()
		until := cold.cold
		cold.mutex.Unlock()
		if at.After(until) {
			return true
		}
		count, _ := cold.most(at.Add(-time.Second), at.Add(time.Nanosecond))
		if float64(count) <= crashRate {
			return true
		}
		crashed.Store(true)
		stage.record.line("i-cold crashes: %d requests in a second while it is cold", count)
		return false
	}
	if err := cold.start(ctx, coldStart); err != nil {
		return false, err
	}
	counted := time.Now()
	stage.record.line("i-cold starts, cold for %s", coldStart)
	if stage.trouble {
		time.Sleep(coldAgainAfter)
		cold.mutex.Lock()
		cold.cold = time.Now().Add(coldStart)
		cold.mutex.Unlock()
		cold.register()
		counted = time.Now().Add(noticeTime)
		stage.record.line("i-cold is cold again for %s, as its registration says", coldStart)
	}
	time.Sleep(coldStart + 2*time.Second)
	cancel()
	stage.wait.Wait()
	callers.list()

	until := cold.cold
	most, begin := cold.most(counted, until)
	bound := coldPerSecond*coldOvershoot + coldSlack
	stage.record.line("i-cold got %d requests in the second from %.3f on, while it was cold; the bound is %.0f", most, begin.Sub(stage.record.begun).Seconds(), bound)
	stage.record.line("i-cold crashed: %t; requests that it had begun and that no whole answer reached: %d", crashed.Load(), callers.lost(cold))
	return float64(most) > bound, nil
}

// lost counts the requests that a server ran and whose callers got no success.
func (callers *callers) lost(server *server) (count int) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, outcome := range callers.outcomes {
		if server.runs[outcome.id] > 0 && outcome.status != http.StatusOK {
			callers.stage.record.line("lost: %s ran at %s and was answered %d", outcome.id, server.id, outcome.status)
			count++
		}
	}
	return count
}
