package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateServers is the number of backend servers, of which one is a share of 0.1, and lateCalls the number of streams that the entry passes on to them.
	lateServers = 10
	lateCalls   = 40
	// freezeTime is below the longest freeze on the site jadro-brno-grown (4 s) and below the pause of 2 s after which callers give up a stream.
	freezeTime = 1500 * time.Millisecond
	// downTime is half of the period in which a backend server there goes down and up by turns.
	downTime = 700 * time.Millisecond
)

// playLateEnd has one backend server crash in the middle of streams without a length while the entry is frozen, and come back before the entry does.
func playLateEnd(stage *stage) (broken bool, err error) {
	stage.put("op/config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "describe", "Host": "core.example", "Prefix": "/describe/", "Kind": "streaming", "TimeoutMs": 8000, "TargetLatencyMs": 400, "GapAimMs": 120, "Priority": 1,
			"Service": "modely", "MaxAttempts": 2, "AnonymousAccess": true, "Resumable": true,
		}},
		"Services": []map[string]any{{"Name": "modely", "HealthPath": "/health", "ConnectionLimit": 580}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var children []*child
	defer func() {
		for _, child := range children {
			child.kill()
		}
	}()
	for number := range lateServers {
		child, err := stage.startChild(fmt.Sprintf("i-modely-%d", number), 31+number)
		if err != nil {
			return false, err
		}
		children = append(children, child)
		child.keepRegistered(ctx, "modely")
	}
	if err := stage.startEntries(3); err != nil {
		return false, err
	}
	callers := stage.newCallers("core.example")
	var wait sync.WaitGroup
	for range lateCalls {
		wait.Go(func() {
			callers.sendTo(0, kind{
				name:     "describe",
				method:   http.MethodPost,
				path:     "/describe/core",
				deadline: 8 * time.Second,
			})
		})
	}
	time.Sleep(500 * time.Millisecond)
	if stage.trouble {
		back, err := stage.flapWhileFrozen(ctx, children[0])
		if err != nil {
			return false, err
		}
		children = append(children, back)
	}
	wait.Wait()
	callers.list()
	for _, outcome := range callers.outcomes {
		if got := strings.Count(outcome.body, "id: "); outcome.status == http.StatusOK && got != streamEvents {
			stage.record.line("%s ended as complete, signed %t, with %d of %d events", outcome.id, outcome.signed, got, streamEvents)
			broken = true
		}
	}
	return broken, nil
}

// flapWhileFrozen freezes the first entry, has a backend server go down and up meanwhile, and returns the one that is up then.
func (stage *stage) flapWhileFrozen(ctx context.Context, server *child) (*child, error) {
	frozen := stage.entries[0].command.Process
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	begun := time.Now()
	stage.record.line("entry 0 freezes")
	time.Sleep(200 * time.Millisecond)
	server.kill()
	stage.record.line("%s is killed", server.id)
	time.Sleep(downTime)
	back, err := stage.startChild(server.id+"-again", server.number)
	if err != nil {
		return nil, err
	}
	back.keepRegistered(ctx, "modely")
	time.Sleep(time.Until(begun.Add(freezeTime)))
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		return back, err
	}
	stage.record.line("entry 0 goes on")
	return back, nil
}
