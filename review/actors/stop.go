package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gracePeriod is GracePeriodS, and lateTime how long after the SIGTERM requests are sent at the earliest that the last sixth of it does not excuse.
	gracePeriod = 8 * time.Second
	lateTime    = 3 * time.Second
	// eventCount is the number of events of a stream, and streamTime how long an early one lasts.
	eventCount = 40
	streamTime = 6 * time.Second
	// lateStreams is how many streams are sent late, one every lateStreamPause, and lateDeadline when their callers' deadlines end, after the SIGTERM.
	lateStreams     = 20
	lateStreamPause = 30 * time.Millisecond
	lateDeadline    = 7470 * time.Millisecond
	// lateEnd is when the streams are complete.
	lateEnd = 7410 * time.Millisecond
	// zoneEntries is the number of entries of the zone, stopGap the time between two of them that are stopped, and readyPause that between two readiness checks.
	zoneEntries = 3
	stopGap     = time.Second
	readyPause  = time.Second
	// deadlineSlack is how much sooner than its caller's deadline a stream may end and count as ended by it.
	deadlineSlack = 20 * time.Millisecond
)

// streamEnd is how a stream ended for its caller.
type streamEnd struct {
	status   int
	events   int
	complete bool
	// early is how long before its caller's deadline it ended.
	early time.Duration
}

// playStop stops an entry while streams are under way and callers send further ones, whose deadlines are within the time for which the entry accepts them.
func playStop(stage *stage) (broken bool, err error) {
	var passedOn atomic.Int64
	address, err := stage.serve("127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		passedOn.Add(1)
		writeEvents(writer, request)
	}))
	if err != nil {
		return false, err
	}
	if err := errors.Join(stage.register("i-1", "app", address, 64), stage.configureStop()); err != nil {
		return false, err
	}
	balancer, err := stage.startZone()
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	for number := range 6 { // three to each of the entries that are stopped, which keep them from ending at once
		wait.Go(func() {
			stage.callStream(balancer.entries[number%2].callers, fmt.Sprintf("before-%d", number), streamTime, streamTime+time.Second)
		})
	}
	time.Sleep(time.Second)
	if err := balancer.stop(1); err != nil {
		return false, err
	}
	time.Sleep(stopGap)
	begun := time.Now()
	if err := balancer.stop(0); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(lateTime + 100*time.Millisecond)))
	if !balancer.uses(0) {
		return false, errors.New("the platform sends no callers to the first entry")
	}
	entry := balancer.entries[0]
	before := passedOn.Load()
	ends := make([]streamEnd, lateStreams)
	for number := range ends {
		wait.Go(func() {
			ends[number] = stage.callStream(entry.callers, fmt.Sprintf("late-%d", number), time.Until(begun.Add(lateEnd)), time.Until(begun.Add(lateDeadline)))
		})
		time.Sleep(lateStreamPause)
	}
	wait.Wait()
	stage.record("%d of %d streams that were sent more than %s later were passed on", passedOn.Load()-before, lateStreams, lateTime)
	return stage.countCuts(ends) > 0, nil
}

// countCuts counts the streams that ended before they were complete and before their callers' deadlines.
func (stage *stage) countCuts(ends []streamEnd) (cuts int) {
	for number, end := range ends {
		if end.status != http.StatusOK || end.complete || end.early < deadlineSlack {
			continue
		}
		cuts++
		stage.record("late-%d: the connection ended after %d of %d events, %d ms before its caller's deadline, without a complete answer", number, end.events, eventCount, end.early.Milliseconds())
	}
	stage.record("%d streams cut, of %d events each", cuts, eventCount)
	return cuts
}

// configureStop writes the configuration.
func (stage *stage) configureStop() error {
	return stage.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": "front.example", "Prefix": "/hint/", "Kind": "streaming", "Service": "app", "TimeoutMs": 8000, "TargetLatencyMs": 400, "GapAimMs": 120, "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "ConnectionLimit": 188}},
		"Limits":   map[string]any{"MaxHeaderBytes": headLimit, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "quito", "ApiKeys": []string{"key-1"}}},
	})
}

// writeEvents is a backend server that writes a stream, whose length is in the path, until it is over or its entry has left.
func writeEvents(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Signature", "signature")
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	length, err := time.ParseDuration(strings.TrimPrefix(request.URL.Path, "/hint/"))
	if err != nil {
		return
	}
	for id := 1; id <= eventCount && request.Context().Err() == nil; id++ {
		time.Sleep(length / eventCount)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id); err != nil {
			return
		}
		_ = controller.Flush() // the next write fails too
	}
}

// callStream sends a request for a stream of a length on a new connection, reads it until it ends or its deadline, and returns how it ended.
func (stage *stage) callStream(address, id string, length, remaining time.Duration) (end streamEnd) {
	deadline := time.Now().Add(remaining)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/hint/"+length.String(), strings.NewReader("{}"))
	if err != nil {
		return end
	}
	request.Host = "front.example"
	request.Header.Set("Authorization", "Token key-1")
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(remaining.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		stage.record("%s: %v", id, err)
		return end
	}
	defer func() { _ = response.Body.Close() }()
	end.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			end.events++
		}
	}
	end.complete, end.early = lines.Err() == nil, time.Until(deadline)
	return end
}
