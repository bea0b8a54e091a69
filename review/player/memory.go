package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
)

const (
	// memoryEntries is the number of entries, and lostEntries that of those that are lost at once.
	memoryEntries = 4
	lostEntries   = 2
	// uploadCallers is the number of callers, each of which has one request at a time.
	uploadCallers = 132
	// uploadBytes is just within MaxBodyBytes.
	uploadBytes = 4<<20 - 1024
	// uploadServers is the number of backend servers, with places for all callers, and uploadWork how long one works on a request.
	uploadServers = 5
	uploadWork    = 900 * time.Millisecond
	// uploadRate is how many bytes a second callers send to an entry at most, so that no packet waits at its link of LinkMbps 1,000.
	uploadRate = 100e6
	// calmTime is how long the callers send before the loss, and lossTime how long after it, in which the lost entries stay away.
	calmTime = 6 * time.Second
	lossTime = 25 * time.Second
	// memoryCheckInterval is how often the platform looks at the memory of the processes, and restartDelay how long after an end it starts one again.
	memoryCheckInterval = 10 * time.Millisecond
	restartDelay        = 500 * time.Millisecond
	// maxEnds is the number of ends by themselves in a day that a process may not reach, on two machines or more.
	maxEnds        = 3
	minEndMachines = 2
)

// watched is an entry whose memory the platform watches.
type watched struct {
	entry *stage.Entry
	lost  atomic.Bool
	ends  int
	peak  int

	mutex sync.Mutex
	// free is when the link to the entry is free for the next body.
	free time.Time
}

// awaitLink waits until a body can be sent without waiting at the link.
func (watched *watched) awaitLink() {
	watched.mutex.Lock()
	if now := time.Now(); watched.free.Before(now) {
		watched.free = now
	}
	turn := watched.free
	watched.free = turn.Add(time.Duration(float64(uploadBytes) / uploadRate * float64(time.Second)))
	watched.mutex.Unlock()
	time.Sleep(time.Until(turn))
}

// playMemory loses two of four entries at once while callers upload bodies within MaxBodyBytes, and checks the fault that processes end by themselves: a process
// that exceeds MemoryMb is killed.
func playMemory(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	if err := configureUploads(deployment); err != nil {
		return nil, err
	}
	started, err := startEntries(deployment, memoryEntries, stage.Bounds{
		GraceSeconds: firstGrace,
		MemoryMB:     entryMemory,
	})
	if err != nil {
		return nil, err
	}
	var entries []*watched
	for _, entry := range started {
		entries = append(entries, &watched{entry: entry})
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, watched := range entries {
		wait.Go(func() { watched.watch(record, stop) })
	}
	for number := range uploadCallers {
		wait.Go(func() { upload(record, entries, number, stop) })
	}
	time.Sleep(calmTime)
	if trouble {
		for _, watched := range entries[:lostEntries] {
			watched.lost.Store(true)
			watched.entry.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(lossTime)
	close(stop)
	wait.Wait()
	return memoryEnds(record, entries), nil
}

// configureUploads writes a configuration with a route for requests that must run once at most, and starts its backend servers.
func configureUploads(deployment *stage.Deployment) error {
	routes := []any{map[string]any{"Name": "book", "Host": stage.Host, "Prefix": "/book/", "Kind": "non_idempotent", "Service": "app",
		"TimeoutMs": 8000, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2}}
	services := []any{map[string]any{"Name": "app", "HealthPath": "/health", "ConnectionLimit": 400}}
	if err := deployment.Configure(1, routes, services, usualLimits(1<<14)); err != nil {
		return err
	}
	for number := range uploadServers {
		server := &stage.Server{
			ID:      fmt.Sprintf("i-app-%d", number),
			Service: "app",
			Slots:   6,
			Answer: func(run *stage.Run) error {
				time.Sleep(uploadWork)
				return run.Respond([]byte("booked"))
			},
		}
		if err := deployment.AddServer(server); err != nil {
			return err
		}
	}
	return nil
}

// watch kills the process when it uses more than its memory, as the platform does, and starts it again.
func (watched *watched) watch(record *stage.Record, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheckInterval):
		}
		resident := watched.entry.ResidentMB()
		watched.peak = max(watched.peak, resident)
		if watched.lost.Load() || resident <= entryMemory {
			continue
		}
		record.Add("a process uses %d MB, more than its %d MB", resident, entryMemory)
		watched.ends++
		watched.entry.Kill()
		time.Sleep(restartDelay)
		if err := watched.entry.Start(); err != nil {
			record.Add("start failed: %v", err)
			return
		}
	}
}

// upload sends one request after another to the entries that serve, first to its own; an answer that does not come is followed by another attempt elsewhere.
func upload(record *stage.Record, entries []*watched, number int, stop <-chan struct{}) {
	body := bytes.Repeat([]byte("x"), uploadBytes)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		entry := entries[number%memoryEntries]
		if entry.lost.Load() {
			entry = entries[lostEntries+number%(memoryEntries-lostEntries)]
		}
		entry.awaitLink()
		caller, err := stage.NewCaller(record, entry.entry.Callers())
		if err != nil {
			time.Sleep(restartDelay)
			continue
		}
		answer := caller.Send(stage.Request{
			Method:   "POST",
			Path:     "/book/pair",
			ID:       fmt.Sprintf("upload-%d-%d", number, round),
			Deadline: 8 * time.Second,
			Body:     body,
		})
		caller.Close()
		if answer.Status != 200 {
			time.Sleep(restartDelay)
		}
	}
}

// memoryEnds returns the entries that ended too often if they are too many.
func memoryEnds(record *stage.Record, entries []*watched) (broken []string) {
	for number, watched := range entries {
		record.Add("entry %d: %d ends by itself, at most %d MB", number, watched.ends, watched.peak)
		if watched.ends >= maxEnds {
			broken = append(broken, fmt.Sprintf("Fault: entry %d was ended %d times because it used more than its %d MB", number, watched.ends, entryMemory))
		}
	}
	if len(broken) < minEndMachines {
		return nil
	}
	return broken
}
