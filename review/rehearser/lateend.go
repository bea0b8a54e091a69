package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is the longest freeze on the site jadro-brno-grown, and downTime the pause of a backend server there that goes down and up by turns.
	freezeTime = 3 * time.Second
	downTime   = 1400 * time.Millisecond
	lateCalls  = 4
)

// playLateEnd has a backend server crash in the middle of answers without a length while the entry is frozen, and come back before the entry does.
func playLateEnd(stage *stage) (broken bool, err error) {
	stage.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "catalogue", "Host": "core.example", "Prefix": "/read/", "Kind": "idempotent", "TimeoutMs": 4000, "TargetLatencyMs": 300, "Priority": 2,
			"Service": "sklad", "MaxAttempts": 2, "AnonymousAccess": true,
		}},
		"Services": []map[string]any{{"Name": "sklad", "HealthPath": "/health", "ConnectionLimit": 490}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	server, err := stage.startChild("i-sklad-1", 31)
	if err != nil {
		return false, err
	}
	defer func() { server.kill() }()
	server.register("sklad", time.Now().UnixMilli())
	if err := stage.startEntries(1); err != nil {
		return false, err
	}
	callers := stage.newCallers("core.example")
	var wait sync.WaitGroup
	for range lateCalls {
		wait.Go(func() {
			callers.send(kind{
				name:     "read",
				method:   http.MethodGet,
				path:     "/read/box",
				deadline: 4 * time.Second,
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	if stage.trouble {
		frozen := stage.entries[0].command.Process
		if err := frozen.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		begun := time.Now()
		stage.record.line("the entry freezes")
		time.Sleep(200 * time.Millisecond)
		server.kill()
		stage.record.line("i-sklad-1 is killed")
		time.Sleep(downTime)
		if server, err = stage.startChild("i-sklad-2", 31); err != nil {
			return false, err
		}
		time.Sleep(time.Until(begun.Add(freezeTime)))
		if err := frozen.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
		stage.record.line("the entry goes on")
	}
	wait.Wait()
	callers.list()
	for _, outcome := range callers.outcomes {
		if outcome.status == http.StatusOK && outcome.body != wholeBody(outcome.id) {
			stage.record.line("%s got status 200, signed %t, as a whole answer of %d bytes; the server's body has %d", outcome.id, outcome.signed, len(outcome.body), answerBytes)
			broken = true
		}
	}
	return broken, nil
}
