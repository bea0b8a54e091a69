package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
)

const (
	// poisonServers is the number of backend servers, and poisonEntries that of the entries.
	poisonServers = 4
	poisonEntries = 2
	// poisonPath is the path of the request that crashes each backend server which runs it.
	poisonPath = "/recap/poison"
	// crashDelay is how long after its first event the backend server crashes, and downTime how long it stays down.
	crashDelay = 20 * time.Millisecond
	downTime   = 2 * time.Second
	// repeatPause is the pause between two attempts at that request, and repeatTime how long they go on.
	repeatPause = time.Second
	repeatTime  = 40 * time.Second
	// stableWindow is StableWindowMs.
	stableWindow = 3 * time.Second
	// crashesAllowed and retriesAllowed are the figures of the rule BUDGET.
	crashesAllowed = 3
	retriesAllowed = 3
)

// poisoned counts the arrivals and crashes of one request.
type poisoned struct {
	mutex    sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// playPoison sends a request again and again that crashes each backend server which has begun to run it, and checks BUDGET: once it has crashed three, it must not
// reach others.
func playPoison(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	poisoned := &poisoned{}
	for number := range poisonServers {
		server := &stage.Server{
			ID:      fmt.Sprintf("i-model-%d", number),
			Service: "model",
			Slots:   12,
		}
		server.Answer = func(run *stage.Run) error { return poisoned.answer(run, record, server, trouble) }
		if number == 0 {
			err = configureStreams(deployment, server)
		} else {
			err = deployment.AddServer(server)
		}
		if err != nil {
			return nil, err
		}
	}
	entries, err := startEntries(deployment, poisonEntries, stage.Bounds{
		GraceSeconds: firstGrace,
		MemoryMB:     entryMemory,
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(stableWindow) // the entries know each other, and are in touch
	if err := repeatPoison(record, entries); err != nil {
		return nil, err
	}
	return poisoned.check(record), nil
}

// answer writes the first event of a stream, then the rest, or crashes if the request is the one that crashes backend servers.
func (poisoned *poisoned) answer(run *stage.Run, record *stage.Record, server *stage.Server, trouble bool) error {
	poison := run.Request.URL.Path == poisonPath
	if poison {
		poisoned.mutex.Lock()
		poisoned.arrivals = append(poisoned.arrivals, time.Now())
		poisoned.mutex.Unlock()
	}
	if err := run.BeginStream(); err != nil {
		return err
	}
	for number := 1; number <= eventCount; number++ {
		if err := run.WriteChunk(fmt.Sprintf("id: %d\ndata: words %d\n\n", number, number)); err != nil {
			return err
		}
		time.Sleep(crashDelay)
		if poison && trouble {
			poisoned.mutex.Lock()
			poisoned.crashes = append(poisoned.crashes, time.Now())
			poisoned.mutex.Unlock()
			record.Add("%s crashes %s after its first event", run.ID, server.ID)
			return server.Crash(downTime)
		}
	}
	return run.EndStream()
}

// repeatPoison sends the request as its caller does: with the same path, key and body, and a new ID for each attempt, at one entry after the other.
func repeatPoison(record *stage.Record, entries []*stage.Entry) error {
	begun := time.Now()
	for number := 0; time.Since(begun) < repeatTime; number++ {
		caller, err := stage.NewCaller(record, entries[number%len(entries)].Callers())
		if err != nil {
			return err
		}
		caller.Send(stage.Request{
			Method:   "POST",
			Path:     poisonPath,
			ID:       fmt.Sprintf("poison-%d", number),
			Deadline: 8 * time.Second,
			Body:     []byte("the same words"),
		})
		caller.Close()
		time.Sleep(repeatPause)
	}
	return nil
}

// check returns what broke the rule.
func (poisoned *poisoned) check(record *stage.Record) (broken []string) {
	poisoned.mutex.Lock()
	defer poisoned.mutex.Unlock()
	late := 0
	for _, at := range poisoned.arrivals {
		if len(poisoned.crashes) >= crashesAllowed && at.Sub(poisoned.crashes[crashesAllowed-1]) > stableWindow {
			late++
		}
	}
	record.Add("the request reached backend servers %d times and crashed %d, %d times later than %s after the third crash", len(poisoned.arrivals), len(poisoned.crashes), late, stableWindow)
	if late > retriesAllowed {
		broken = append(broken, fmt.Sprintf("BUDGET: the request reached backend servers %d times later than %s after it had crashed the third, %d crashes in all", late, stableWindow, len(poisoned.crashes)))
	}
	return broken
}
