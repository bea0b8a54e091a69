package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
	"github.com/rotisserie/eris"
)

const (
	// firstGrace and laterGrace are the values of GracePeriodS before and after the change of the settings.
	firstGrace = 8
	laterGrace = 16
	// streamTime is how long a stream lasts, below the route's TimeoutMs, and eventInterval the pause between its events.
	streamTime    = 7600 * time.Millisecond
	eventInterval = 100 * time.Millisecond
	// streamDeadline is the callers' deadline, and the route's TimeoutMs.
	streamDeadline = 8 * time.Second
	// streamCallers is the number of callers, which send their requests one after the other within two seconds of the SIGTERM.
	streamCallers = 8
	sendInterval  = 225 * time.Millisecond
	// entryMemory is the memory of an entry of the users' small deployments.
	entryMemory = 284
)

// playGrace changes GracePeriodS by SIGHUP with a new settings file.
func playGrace(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	return playLaterGrace(deployment, record, trouble, func(entry *stage.Entry) error {
		entry.Signal(syscall.SIGHUP)
		time.Sleep(stableWindow)
		if entry.Logged("event=reloaded") == 0 {
			return eris.Wrap(errNotRun, "the entry has not read its settings")
		}
		return nil
	})
}

// playSettings changes GracePeriodS by a new settings file only.
func playSettings(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	return playLaterGrace(deployment, record, trouble, func(*stage.Entry) error {
		time.Sleep(stableWindow)
		return nil
	})
}

// playLaterGrace changes GracePeriodS of one of two entries, stops it later and checks LOST: no request that the entry has passed on may end without its complete
// answer before the new grace period is over. Without the disruption, the later value is in the settings from the start.
func playLaterGrace(deployment *stage.Deployment, record *stage.Record, trouble bool, tell func(entry *stage.Entry) error) (broken []string, err error) {
	server := &stage.Server{
		ID:      "i-model-0",
		Service: "model",
		Slots:   12,
		Answer:  answerSlowly,
	}
	if err := configureStreams(deployment, server); err != nil {
		return nil, err
	}
	bounds := stage.Bounds{
		GraceSeconds: laterGrace,
		MemoryMB:     entryMemory,
	}
	if trouble {
		bounds.GraceSeconds = firstGrace
	}
	entries, err := startEntries(deployment, 2, bounds)
	if err != nil {
		return nil, err
	}
	callers, err := warmCallers(record, entries[0].Callers())
	if err != nil {
		return nil, err
	}
	if trouble {
		bounds.GraceSeconds = laterGrace
		if err := entries[0].WriteSettings(bounds); err != nil {
			return nil, err
		}
		if err := tell(entries[0]); err != nil {
			return nil, err
		}
	}
	return stopUnderStreams(record, entries[0], server, callers), nil
}

// startEntries starts entries and waits until they are ready.
func startEntries(deployment *stage.Deployment, count int, bounds stage.Bounds) (entries []*stage.Entry, err error) {
	for range count {
		entry, err := deployment.AddEntry(bounds)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	for _, entry := range entries {
		if err := entry.AwaitReady(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// longID returns the ID of a caller's request during the stop.
func longID(number int) string { return fmt.Sprintf("long-%d", number) }

// configureStreams writes a configuration with one route for streams that cannot be resumed, and starts its backend server.
func configureStreams(deployment *stage.Deployment, server *stage.Server) error {
	routes := []any{map[string]any{"Name": "recap", "Host": stage.Host, "Prefix": "/recap/", "Kind": "streaming", "Service": server.Service,
		"TimeoutMs": 8000, "TargetLatencyMs": 400, "GapAimMs": 120, "MaxAttempts": 2, "Priority": 1}}
	services := []any{map[string]any{"Name": server.Service, "HealthPath": "/health", "ConnectionLimit": 188}}
	if err := deployment.Configure(1, routes, services, usualLimits(1<<14)); err != nil {
		return err
	}
	return deployment.AddServer(server)
}

// usualLimits returns the limits of a configuration, with the given bound on headers.
func usualLimits(headerBytes int) map[string]any {
	return map[string]any{"MaxHeaderBytes": headerBytes, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// answerSlowly answers the path that ends with "short" with one event, and any other one with events for streamTime.
func answerSlowly(run *stage.Run) error {
	events := int(streamTime / eventInterval)
	if run.Request.URL.Path == "/recap/short" {
		events = 1
	}
	if err := run.BeginStream(); err != nil {
		return err
	}
	begun := time.Now()
	for number := range events {
		if err := run.WriteChunk(fmt.Sprintf("id: %d\ndata: words\n\n", number+1)); err != nil {
			return err
		}
		if events > 1 {
			time.Sleep(time.Until(begun.Add(time.Duration(number+1) * eventInterval)))
		}
	}
	return run.EndStream()
}

// warmCallers connects the callers, each of which sends a short request and keeps its connection.
func warmCallers(record *stage.Record, address string) ([]*stage.Caller, error) {
	var callers []*stage.Caller
	for number := range streamCallers {
		caller, err := stage.NewCaller(record, address)
		if err != nil {
			return nil, err
		}
		answer := caller.Send(stage.Request{
			Method:   "POST",
			Path:     "/recap/short",
			ID:       fmt.Sprintf("short-%d", number),
			Deadline: 8 * time.Second,
		})
		if answer.Status != 200 || !answer.Complete {
			return nil, eris.Wrapf(errNotRun, "a request before the disruption got status %d, error %v", answer.Status, answer.Err)
		}
		callers = append(callers, caller)
	}
	return callers, nil
}

// stopUnderStreams sends SIGTERM, then one stream request for each caller, and SIGKILL at the end of the grace period, and returns what was cut.
func stopUnderStreams(record *stage.Record, entry *stage.Entry, server *stage.Server, callers []*stage.Caller) (broken []string) {
	entry.Signal(syscall.SIGTERM)
	stopped := time.Now()
	answers := make([]stage.Answer, len(callers))
	ends := make([]time.Duration, len(callers))
	lasted := make([]time.Duration, len(callers))
	var wait sync.WaitGroup
	for number, caller := range callers {
		wait.Go(func() {
			time.Sleep(time.Until(stopped.Add(time.Duration(number+1) * sendInterval)))
			sent := time.Now()
			answers[number] = caller.Send(stage.Request{
				Method:   "POST",
				Path:     "/recap/long",
				ID:       longID(number),
				Deadline: streamDeadline,
			})
			ends[number], lasted[number] = time.Since(stopped), time.Since(sent)
		})
	}
	select {
	case <-entry.Exited():
	case <-time.After(laterGrace * time.Second):
		entry.Signal(syscall.SIGKILL)
	}
	wait.Wait()
	for number, answer := range answers {
		// What the rule does not count: requests that no backend server has run, and answers that the deadline ended, or the last sixth of the grace period.
		passedOn, excused := server.HasRun(longID(number)), lasted[number] >= streamDeadline-eventInterval || ends[number] >= laterGrace*time.Second*5/6
		if passedOn && !answer.Complete && !excused {
			broken = append(broken, fmt.Sprintf("LOST: the answer to long-%d, passed on to a backend server that works on it, ends without its end %.1f s after the SIGTERM: %v",
				number, ends[number].Seconds(), answer.Err))
		}
	}
	return broken
}
