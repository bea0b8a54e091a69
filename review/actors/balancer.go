package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// missLimit is the number of readiness checks in a row without a 200 after which an entry gets no new connections.
const missLimit = 2

// balancer decides as the platform does which entries of a zone get new connections.
type balancer struct {
	stage   *stage
	entries []*process

	mutex sync.Mutex
	// misses counts the readiness checks of each entry in a row that had no 200.
	misses []int
}

// startZone starts the entries of a zone, and checks once a second whether they are ready.
func (stage *stage) startZone() (*balancer, error) {
	balancer := &balancer{
		stage:  stage,
		misses: make([]int, zoneEntries),
	}
	for index := range zoneEntries {
		entry, err := stage.startEntry(index + 1)
		if err != nil {
			return nil, err
		}
		balancer.entries = append(balancer.entries, entry)
	}
	for index := range balancer.entries {
		go balancer.check(index)
	}
	return balancer, nil
}

// check checks an entry until the stage is closed, at which its process ends.
func (balancer *balancer) check(index int) {
	client := http.Client{Timeout: readyPause}
	for ; ; time.Sleep(readyPause) {
		response, err := client.Get("http://" + balancer.entries[index].ready + "/v1/ready")
		balancer.mutex.Lock()
		if err != nil || response.StatusCode != http.StatusOK {
			balancer.misses[index]++
		} else {
			balancer.misses[index] = 0
		}
		balancer.mutex.Unlock()
		if err == nil {
			_ = response.Body.Close() // only the status matters
		}
	}
}

// uses returns whether an entry gets new connections: it is in rotation, or some are, but fewer than half.
func (balancer *balancer) uses(index int) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	inRotation := 0
	for _, misses := range balancer.misses {
		if misses < missLimit {
			inRotation++
		}
	}
	balancer.stage.record("%d of %d entries are in rotation", inRotation, zoneEntries)
	return balancer.misses[index] < missLimit || inRotation > 0 && 2*inRotation < zoneEntries
}

// stop sends an entry SIGTERM, if there is to be a disruption.
func (balancer *balancer) stop(index int) error {
	if !balancer.stage.trouble {
		return nil
	}
	balancer.stage.record("%s gets SIGTERM", balancer.entries[index].name)
	return balancer.entries[index].command.Process.Signal(syscall.SIGTERM)
}
