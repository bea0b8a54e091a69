package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request that callers send.
type kind struct {
	name, method, path string
	perSecond          float64
	deadline           time.Duration
}

// outcome is what a caller got for one attempt.
type outcome struct {
	id, kind   string
	entry      int
	sentAt     time.Time
	answeredAt time.Time
	// status is zero where the connection ended without a whole answer.
	status int
	signed bool
	body   string
}

// callers send requests at a steady rate to all entries in turn, each on a connection of its own.
type callers struct {
	stage  *stage
	host   string
	client *http.Client

	mutex    sync.Mutex
	outcomes []outcome
	number   int
}

func (stage *stage) newCallers(host string) *callers {
	return &callers{
		stage:  stage,
		host:   host,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends requests of a kind until the context ends.
func (callers *callers) run(ctx context.Context, kind kind) {
	callers.stage.every(ctx, time.Duration(float64(time.Second)/kind.perSecond), func() {
		callers.stage.wait.Go(func() { callers.send(kind) })
	})
}

// send sends a request to the next entry in turn.
func (callers *callers) send(kind kind) {
	callers.mutex.Lock()
	entry := (callers.number + 1) % len(callers.stage.entries)
	callers.mutex.Unlock()
	callers.sendTo(entry, kind)
}

// sendTo sends a request to an entry and keeps what its caller got.
func (callers *callers) sendTo(entry int, kind kind) {
	callers.mutex.Lock()
	callers.number++
	number := callers.number
	callers.mutex.Unlock()
	outcome := outcome{
		id:     fmt.Sprintf("%s-%d", kind.name, number),
		kind:   kind.name,
		entry:  entry,
		sentAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), kind.deadline)
	defer cancel()
	address := callers.stage.address(callers.stage.entries[entry].number, callersPort)
	request, err := http.NewRequestWithContext(ctx, kind.method, "http://"+address+kind.path, strings.NewReader(strings.Repeat("b", 600)))
	if err != nil {
		panic(err) // the address is one of this program
	}
	if kind.method == http.MethodGet {
		request.Body, request.ContentLength = nil, 0
	}
	request.Host = callers.host
	request.Header.Set("X-Attempt-Id", outcome.id)
	request.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(kind.deadline.Milliseconds()))
	response, err := callers.client.Do(request)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			outcome.status, outcome.body, outcome.signed = response.StatusCode, string(body), response.Header.Get("X-Response-Signature") != ""
		}
		_ = response.Body.Close()
	}
	outcome.answeredAt = time.Now()
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.outcomes = append(callers.outcomes, outcome)
}

// list writes all outcomes to the record.
func (callers *callers) list() {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	counts := map[int]int{}
	for _, outcome := range callers.outcomes {
		counts[outcome.status]++
		callers.stage.record.line("sent %s at %.3f to entry %d, answered %d after %d ms", outcome.id, outcome.sentAt.Sub(callers.stage.record.begun).Seconds(), outcome.entry,
			outcome.status, outcome.answeredAt.Sub(outcome.sentAt).Milliseconds())
	}
	callers.stage.record.line("answers by status, 0 for a connection that ended: %v", counts)
}
