package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// runners is the number of backend servers, and loserCount how many of them lose answers: the share in a day of the site, 0.6.
	runners    = 5
	loserCount = 3
	// lostShare is the share of the requests that they run whose answers are lost, as in that day, which has it for 4 s: lostTime is that, and the time without.
	lostShare = 0.4
	lostTime  = 4 * time.Second
	// bookings is how many requests are sent for each kind of path, by callers that each send one every bookingPause.
	callers      = 4
	bookings     = 600
	bookingPause = 60 * time.Millisecond
	// workTime is how long a backend server works on a request.
	workTime = 30 * time.Millisecond
)

// runLog counts how often each request has run, by its id.
type runLog struct {
	begun time.Time

	mutex sync.Mutex
	runs  map[string]int
	lost  int
}

// record counts a run, and returns whether its answer is lost.
func (runLog *runLog) record(id string, loses bool) (lost bool) {
	runLog.mutex.Lock()
	defer runLog.mutex.Unlock()
	runLog.runs[id]++
	lost = loses && time.Since(runLog.begun)/lostTime%2 == 0 && rand.Float64() < lostShare
	if lost {
		runLog.lost++
	}
	return lost
}

// twice returns how many requests whose id has a prefix have run more than once.
func (runLog *runLog) twice(prefix string) (count int) {
	runLog.mutex.Lock()
	defer runLog.mutex.Unlock()
	for id, runs := range runLog.runs {
		if runs > 1 && strings.HasPrefix(id, prefix) {
			count++
		}
	}
	return count
}

// playPaths sends bookings, some of which have an encoded slash in their path, to backend servers that run requests and lose answers.
func playPaths(stage *stage) (broken bool, err error) {
	log := &runLog{
		begun: time.Now(),
		runs:  map[string]int{},
	}
	for index := range runners {
		loses := stage.trouble && index < loserCount
		address, err := stage.serve("127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { book(writer, request, log, loses) }))
		if err != nil {
			return false, err
		}
		if err := stage.register(fmt.Sprintf("i-%d", index), "app", address, 6); err != nil {
			return false, err
		}
	}
	if err := stage.configurePaths(); err != nil {
		return false, err
	}
	entry, err := stage.startEntry(1)
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	for prefix, path := range map[string]string{"plain": "/book/pair-", "encoded": "/book/find%2Fpair-"} {
		for caller := range callers {
			wait.Go(func() { stage.sendBookings(entry.callers, fmt.Sprintf("%s-%d", prefix, caller), path) })
		}
	}
	wait.Wait()
	stage.record("%d answers lost; ran more than once: %d of %d with a plain path, %d of %d with an encoded slash", log.lost, log.twice("plain"), bookings, log.twice("encoded"), bookings)
	return log.twice("") > 0, nil
}

// book runs a booking, and loses its answer if it has to: the connection is reset.
func book(writer http.ResponseWriter, request *http.Request, log *runLog, loses bool) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	time.Sleep(workTime)
	if log.record(request.Header.Get("X-Attempt-Id"), loses) {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Signature", "signature")
	_, _ = io.WriteString(writer, "booked") // fails if the entry has left
}

// configurePaths writes a configuration with a route for bookings and, below its prefix, one for look-ups.
func (stage *stage) configurePaths() error {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": "front.example", "Prefix": prefix, "Kind": kind, "Service": "app", "TimeoutMs": 1500, "TargetLatencyMs": 300, "MaxAttempts": 2,
		}
	}
	return stage.put("op/config", map[string]any{
		"Version":  7,
		"Routes":   []any{route("book-pair", "/book/", "non_idempotent"), route("partner-lookup", "/book/find/", "idempotent")},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "ConnectionLimit": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": headLimit, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "quito", "ApiKeys": []string{"key-1"}}},
	})
}

// sendBookings sends bookings with ids of a prefix to paths that begin with the given text; its caller repeats none.
func (stage *stage) sendBookings(address, prefix, path string) {
	client := http.Client{Timeout: 2 * time.Second}
	answers := map[string]int{}
	for number := range bookings / callers {
		time.Sleep(bookingPause)
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%d", address, path, number), strings.NewReader("{}"))
		if err != nil {
			stage.record("%v", err)
			return
		}
		request.Host = "front.example"
		request.Header.Set("Authorization", "Token key-1")
		request.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", prefix, number))
		request.Header.Set("X-Deadline-Remaining-Ms", "1500")
		response, err := client.Do(request)
		if err != nil {
			answers["no answer"]++
			continue
		}
		_ = response.Body.Close() // the status is enough
		answers[response.Status]++
	}
	stage.record("caller %s, answers to POST %sN: %v", prefix, path, answers)
}
