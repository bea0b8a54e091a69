package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
	"github.com/rotisserie/eris"
)

const (
	// firstHeaderBytes and laterHeaderBytes are the limits on headers before and after the change, and longHeader is what the callers send then.
	firstHeaderBytes = 64 << 10
	laterHeaderBytes = 256 << 10
	longHeader       = 160 << 10
	// headerCallers is the number of callers with a connection each, and headerRounds how many requests each sends after the change.
	headerCallers = 20
	headerRounds  = 2
	// applyTime is ConfigApplyMs, and callerPause a pause that is well below IdleTimeoutMs.
	applyTime   = 2 * time.Second
	callerPause = 200 * time.Millisecond
)

// playHeader raises the limit on headers while callers keep their connections, and checks DENIED: requests that each configuration in force allows must not be
// refused with a 4xx.
func playHeader(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	server := &stage.Server{
		ID:      "i-app-0",
		Service: "app",
		Slots:   6,
		Answer:  func(run *stage.Run) error { return run.Respond([]byte("account")) },
	}
	routes := []any{map[string]any{"Name": "lookup", "Host": stage.Host, "Prefix": "/lookup/", "Kind": "idempotent", "Service": server.Service,
		"TimeoutMs": 1500, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2}}
	services := []any{map[string]any{"Name": server.Service, "HealthPath": "/health", "ConnectionLimit": 52}}
	limit := laterHeaderBytes
	if trouble {
		limit = firstHeaderBytes
	}
	if err := deployment.Configure(1, routes, services, usualLimits(limit)); err != nil {
		return nil, err
	}
	if err := deployment.AddServer(server); err != nil {
		return nil, err
	}
	entries, err := startEntries(deployment, 1, stage.Bounds{
		GraceSeconds: firstGrace,
		MemoryMB:     entryMemory,
	})
	if err != nil {
		return nil, err
	}
	entry := entries[0]
	var callers []*stage.Caller
	for number := range headerCallers {
		caller, err := stage.NewCaller(record, entry.Callers())
		if err != nil {
			return nil, err
		}
		callers = append(callers, caller)
		if answer := caller.Send(lookup(fmt.Sprintf("short-%d", number), "")); answer.Status != 200 {
			return nil, eris.Wrapf(errNotRun, "a request before the change got status %d, error %v", answer.Status, answer.Err)
		}
	}
	if trouble {
		if err := deployment.Configure(2, routes, services, usualLimits(laterHeaderBytes)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * applyTime)
	return sendLongHeaders(record, entry, callers)
}

func lookup(id, headers string) stage.Request {
	return stage.Request{
		Method:   "GET",
		Path:     "/lookup/account",
		ID:       id,
		Deadline: 1500 * time.Millisecond,
		Headers:  headers,
	}
}

// sendLongHeaders sends requests with headers that only the later limit allows, and returns those refused with a 4xx if they are more than DENIED allows.
func sendLongHeaders(record *stage.Record, entry *stage.Entry, callers []*stage.Caller) (broken []string, err error) {
	headers := "X-Prompt-Prefix: " + strings.Repeat("5c1e07a2:800,", longHeader/13) + "91bd3f06:410\r\n"
	total, denied := len(callers), 0
	for round := range headerRounds {
		for number, caller := range callers {
			answer := caller.Send(lookup(fmt.Sprintf("long-%d-%d", round, number), headers))
			total++
			if answer.Status >= 300 && answer.Status < 500 && answer.Status != 408 && answer.Status != 421 && answer.Status != 429 {
				denied++
			}
			if answer.Complete && !caller.Closed() {
				continue
			}
			caller.Close()
			if callers[number], err = stage.NewCaller(record, entry.Callers()); err != nil {
				return nil, err
			}
		}
		time.Sleep(callerPause)
	}
	record.Add("%d of %d requests were refused with a 4xx", denied, total)
	if denied > 5+total/500 {
		broken = append(broken, fmt.Sprintf("DENIED: %d of %d requests were refused with a 4xx of the entry's own, more than 5 and one in 500, later than ConfigApplyMs after the configuration that allows them",
			denied, total))
	}
	return broken, nil
}
