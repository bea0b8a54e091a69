package main

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward/standin/storeserver"
)

const (
	// awayTime is how long the backend server asks to be left alone, in an answer 503, and awaySlack is when that begins to count.
	awayTime  = 25 * time.Second
	awaySlack = 500 * time.Millisecond
	// awayAllowed is the number of requests that may reach it in that time nevertheless.
	awayAllowed = 2
	// outage is how long the store is down, and absence how long after its return the registrations are back that expired meanwhile.
	outage  = 4 * time.Second
	absence = 1900 * time.Millisecond
)

// playAway, a trial and no case, has the registrations of two backend servers expire in an outage of the store, after one of them has asked for time.
func playAway(stage *stage) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stage.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "book", "Host": "clinic.example", "Prefix": "/book/", "Kind": "non_idempotent", "TimeoutMs": 800, "TargetLatencyMs": 120, "Priority": 2,
			"Service": "booking", "MaxAttempts": 2, "AnonymousAccess": true,
		}},
		"Services": []map[string]any{{"Name": "booking", "HealthPath": "/health", "ConnectionLimit": 580}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	heartbeats, stopHeartbeats := context.WithCancel(ctx)
	defer stopHeartbeats()
	var servers []*server
	for number, id := range []string{"i-one", "i-away"} {
		server := stage.newServer(id, "booking", 31+number, 12, 15*time.Millisecond)
		servers = append(servers, server)
	}
	var askedAt atomic.Int64
	away := servers[1]
	away.turnAway = func() time.Duration {
		if !askedAt.CompareAndSwap(0, time.Now().UnixNano()) {
			return 0
		}
		stage.record.line("i-away turns a request away and asks for %s", awayTime)
		return awayTime
	}
	for _, server := range servers {
		if err := server.start(heartbeats, 0); err != nil {
			return false, err
		}
	}
	if err := stage.startEntries(1); err != nil {
		return false, err
	}
	callers := stage.newCallers("clinic.example")
	callers.run(ctx, kind{
		name:      "book",
		method:    http.MethodPost,
		path:      "/book/slot",
		perSecond: 30,
		deadline:  800 * time.Millisecond,
	})
	time.Sleep(outage)
	if stage.trouble {
		stopHeartbeats()
		stage.store.SetFault(func(*http.Request) storeserver.Fault { return storeserver.FaultUnavailable })
		stage.record.line("the store is down")
		time.Sleep(outage)
		for _, server := range servers {
			stage.store.Remove("servers/" + server.id)
		}
		stage.store.SetFault(nil)
		stage.record.line("the store is back, without the registrations")
		time.Sleep(absence)
		for _, server := range servers {
			server.register()
		}
		stage.record.line("the registrations are back")
	}
	time.Sleep(outage)
	cancel()
	stage.wait.Wait()
	callers.list()
	count := away.since(time.Unix(0, askedAt.Load()).Add(awaySlack))
	stage.record.line("i-away got %d requests in the time for which it had asked; %d are allowed", count, awayAllowed)
	return count > awayAllowed, nil
}

// since returns the number of arrivals after a time.
func (server *server) since(from time.Time) (count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, at := range server.arrivals {
		if at.After(from) {
			count++
		}
	}
	return count
}

// refuse answers that a request was not run, and that nothing is wanted for a time, zero for none.
func refuse(writer http.ResponseWriter, stayAway time.Duration) {
	writer.Header().Set("X-Not-Executed", "1")
	if stayAway > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(stayAway.Seconds(), 'f', -1, 64))
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
