package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cranberryward/cranberryward/standin/scriptserver"
)

// crashes breaks each connection off as a backend server does that a request takes down.
func crashes(exchange *scriptserver.Exchange) bool {
	exchange.Reset()
	return false
}

// TestRequestThatCrashesBackendServersIsNotRepeated sends one request again and again through entries that tell each other of its crashes.
func TestRequestThatCrashesBackendServersIsNotRepeated(t *testing.T) {
	const (
		entries = 4
		rounds  = 5
		// repeatsAllowed is how many repeats operators bear of a request that crashes its backend servers.
		repeatsAllowed = 3
	)
	var stages []*stage
	for range entries {
		stages = append(stages, newStage(t, crashes, crashes))
	}
	runs := 0
	for range rounds {
		for i, stage := range stages {
			stage.send(stage.request(http.MethodGet, "/look/poison", ""))
			for _, other := range stages {
				if other != stage {
					other.forwarder.HearCrashes(fmt.Sprint(i), stage.forwarder.Crashes())
				}
			}
		}
	}
	for _, stage := range stages {
		runs += stage.runs()
	}
	if repeats := runs - entries*rounds; repeats > repeatsAllowed {
		t.Errorf("%d repeats of a request that crashes backend servers, expected at most %d", repeats, repeatsAllowed)
	}
	// Another request is still repeated.
	healthy := stages[0]
	before := healthy.runs()
	healthy.send(healthy.request(http.MethodGet, "/look/other", ""))
	if runs := healthy.runs() - before; runs != 2 {
		t.Errorf("another request was sent %d times, expected 2", runs)
	}
}

// TestStreamIsResumedAtNoMoreBackendServersThanAllowed cuts a stream at each of four backend servers that it is resumed at.
func TestStreamIsResumedAtNoMoreBackendServersThanAllowed(t *testing.T) {
	const allowed = 2
	cuts := func(from int) script { return streams(from, from+1, false) }
	stage := newStage(t, cuts(0), cuts(1), cuts(2), cuts(3))
	stage.send(stage.request(http.MethodPost, "/stream/", "question"))
	used := 0
	for _, server := range stage.servers {
		if len(server.Requests()) > 0 {
			used++
		}
	}
	if used != allowed {
		t.Errorf("the stream ran at %d backend servers, expected %d", used, allowed)
	}
}
