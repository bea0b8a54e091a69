package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// headLimit is the MaxHeaderBytes of the sites, and headBytes is what the crowd's heads have.
	headLimit = 16384
	headBytes = headLimit - 64
	// crowdSize is how many callers keep a request open, far fewer than the entry's descriptors, and crowdTime for how long.
	crowdSize = 1400
	crowdTime = 7 * time.Second
	// calmCrowdPause is the pause between the callers of the crowd where they come one after the other, with whole bodies.
	calmCrowdPause = 4 * time.Millisecond
	// calmPause is the pause between the requests of an ordinary caller.
	calmPause = 100 * time.Millisecond
)

// playHeads has many callers keep a chunked body open just short of its end; their heads are within the limit and consist of short fields.
func playHeads(stage *stage) (broken bool, err error) {
	if err := stage.configureHeads(); err != nil {
		return false, err
	}
	entry, err := stage.startEntry(1)
	if err != nil {
		return false, err
	}
	stage.record("memory before: %d MB of %d MB", entry.peakMB(), entryMemoryMB)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() { stage.callCalmly(entry.callers, stop) })
	stage.crowd(entry.callers, &wait)
	peak := 0
	for until := time.Now().Add(crowdTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		peak = max(peak, entry.peakMB())
	}
	close(stop)
	wait.Wait()
	stage.record("peak of the memory: %d MB of %d MB, process alive: %t", peak, entryMemoryMB, entry.alive())
	return peak > entryMemoryMB || !entry.alive(), nil
}

// configureHeads starts a backend server and writes the configuration.
func (stage *stage) configureHeads() error {
	address, err := stage.serve("127.0.0.1:0", http.HandlerFunc(answerBooking))
	if err != nil {
		return err
	}
	if err := stage.register("i-1", "app", address, 64); err != nil {
		return err
	}
	return stage.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": "front.example", "Prefix": "/book/", "Kind": "non_idempotent", "Service": "app", "TimeoutMs": 8000, "TargetLatencyMs": 300, "MaxAttempts": 1,
		}},
		"Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "ConnectionLimit": 110}},
		"Limits":   map[string]any{"MaxHeaderBytes": headLimit, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "quito", "ApiKeys": []string{"key-1"}}},
	})
}

// answerBooking is a backend server that answers each request at once.
func answerBooking(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Signature", "signature")
	_, _ = io.WriteString(writer, "booked") // fails if the entry has left
}

// plainHeads is the value of HEADS with which the crowd sends one long field instead of many short ones, for comparison.
const plainHeads = "plain"

// crowdHead returns the head of a request of the crowd: as many short fields as fit into headBytes.
func crowdHead(number int) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /book/%d HTTP/1.1\r\nHost: front.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Remaining-Ms: 8000\r\nTransfer-Encoding: chunked\r\n", number, number)
	if os.Getenv("HEADS") == plainHeads {
		fmt.Fprintf(&head, "a: %s\r\n", strings.Repeat("a", headBytes-10-head.Len()))
	}
	for field := 0; head.Len() < headBytes-10; field++ {
		fmt.Fprintf(&head, "%s:\r\n", fieldName(field))
	}
	head.WriteString("\r\n")
	return head.String()
}

// fieldName returns the shortest names of headers, each of which differs from all others.
func fieldName(number int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for number++; number > 0; number = (number - 1) / len(letters) {
		digit := (number - 1) % len(letters)
		name += letters[digit : digit+1]
	}
	return name
}

// crowd opens the connections of the crowd, which stay open until the time is over.
func (stage *stage) crowd(address string, wait *sync.WaitGroup) {
	stage.record("%d callers begin, each with a head of %d bytes (the limit is %d) with %d fields, and a chunked body; it stops short of its end: %t", crowdSize, len(crowdHead(0)), headLimit, strings.Count(crowdHead(0), "\r\n")-2, stage.trouble)
	until := time.Now().Add(crowdTime) // the callers of a calm crowd are answered before
	var mutex sync.Mutex
	answers := map[string]int{}
	for number := range crowdSize {
		if !stage.trouble {
			time.Sleep(calmCrowdPause)
		}
		wait.Go(func() {
			answer := keepOpen(address, number, until, stage.trouble)
			mutex.Lock()
			defer mutex.Unlock()
			if answers[answer]++; answers[answer] == 1 {
				stage.record("first of the crowd that got: %s", answer)
			}
		})
	}
}

// keepOpen sends a request whose body may stop short of its end, and returns what it got by the given time.
func keepOpen(address string, number int, until time.Time, short bool) string {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = connection.Close() }()
	body := "5\r\nhello\r\n"
	if !short {
		body += "0\r\n\r\n"
	}
	if _, err := io.WriteString(connection, crowdHead(number)+body); err != nil {
		return "a reset"
	}
	_ = connection.SetReadDeadline(until) // the read fails then
	answer := make([]byte, 64)
	n, err := connection.Read(answer)
	if err != nil {
		return "nothing, " + fmt.Sprintf("%T", err)
	}
	line, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	return line
}

// callCalmly sends ordinary requests one after the other.
func (stage *stage) callCalmly(address string, stop <-chan struct{}) {
	client := http.Client{Timeout: 2 * time.Second}
	answers := map[string]int{}
	defer func() { stage.record("ordinary requests: %v", answers) }()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(calmPause):
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/book/1", strings.NewReader("{}"))
		if err != nil {
			return
		}
		request.Host = "front.example"
		request.Header.Set("Authorization", "Token key-1")
		request.Header.Set("X-Attempt-Id", fmt.Sprintf("calm-%d", number))
		request.Header.Set("X-Deadline-Remaining-Ms", "1500")
		response, err := client.Do(request)
		if err != nil {
			answers["no answer"]++
			continue
		}
		_ = response.Body.Close() // the status is enough
		answers[response.Status]++
	}
}
