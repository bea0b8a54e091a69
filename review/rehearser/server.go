package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server stands in for a plain backend server of the users' pages: it checks which instance is expected, runs a request for a while in one of its slots, and signs its
// answers.
type server struct {
	stage   *stage
	id      string
	service string
	number  int
	zone    string
	slots   int
	work    time.Duration
	born    int64
	slot    chan struct{}
	// turnAway, if set, returns for how long the server asks to be left alone as it turns a request away, or zero if it takes the request.
	turnAway func() time.Duration
	// onArrival is called for each arrival that is not for another instance, and returns false if the server crashes with it.
	onArrival func(at time.Time) bool

	mutex    sync.Mutex
	http     *http.Server
	state    string
	cold     time.Time
	arrivals []time.Time
	runs     map[string]int
	sequence int
}

func (stage *stage) newServer(id, service string, number, slots int, work time.Duration) *server {
	return &server{
		stage:   stage,
		id:      id,
		service: service,
		number:  number,
		zone:    zone(number),
		slots:   slots,
		work:    work,
		slot:    make(chan struct{}, slots),
		state:   "ready",
		runs:    map[string]int{},
	}
}

// start begins to serve and to register; a cold time of zero means that the server is not cold.
func (server *server) start(ctx context.Context, cold time.Duration) error {
	listener, err := net.Listen("tcp", server.stage.address(server.number, serverPort))
	if err != nil {
		return err
	}
	server.mutex.Lock()
	server.born = time.Now().UnixMilli()
	server.http = &http.Server{Handler: server}
	if cold > 0 {
		server.cold = time.Now().Add(cold)
	}
	serving := server.http
	server.mutex.Unlock()
	go func() { _ = serving.Serve(listener) }() // returns when the server is closed
	server.register()
	server.stage.every(ctx, heartbeatInterval, server.register)
	return nil
}

// register writes the registration, as a heartbeat does.
func (server *server) register() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.http == nil {
		return // it has crashed
	}
	server.sequence++
	server.stage.put("servers/"+server.id, map[string]any{
		"Service":         server.service,
		"Address":         server.stage.address(server.number, serverPort),
		"Zone":            server.zone,
		"Version":         "v1",
		"Slots":           server.slots,
		"State":           server.state,
		"ColdRemainingMs": max(time.Until(server.cold), 0).Milliseconds(),
		"Sequence":        server.sequence,
		"born":            server.born,
	})
}

// crash ends the server at once, with all that it runs.
func (server *server) crash() {
	server.mutex.Lock()
	crashing := server.http
	server.http = nil
	server.mutex.Unlock()
	if crashing != nil {
		_ = crashing.Close() // closes all connections, as the end of a process does
	}
}

// ServeHTTP runs a request.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	header := writer.Header()
	header.Set("X-Attempt-Id", id)
	header.Set("X-Instance-Id", server.id)
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	server.mutex.Lock()
	server.arrivals = append(server.arrivals, now)
	server.mutex.Unlock()
	if server.onArrival != nil && !server.onArrival(now) {
		server.crash()
		panic(http.ErrAbortHandler)
	}
	if server.turnAway != nil {
		if stayAway := server.turnAway(); stayAway > 0 {
			refuse(writer, stayAway)
			return
		}
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	remaining, err := strconv.Atoi(request.Header.Get("X-Deadline-Remaining-Ms"))
	if err != nil {
		remaining = 1000
	}
	select {
	case server.slot <- struct{}{}:
		defer func() { <-server.slot }()
	case <-time.After(time.Duration(remaining) * time.Millisecond):
		refuse(writer, 0)
		return
	case <-request.Context().Done():
		return
	}
	server.mutex.Lock()
	server.runs[id]++
	server.mutex.Unlock()
	time.Sleep(server.work)
	header.Set("X-Response-Signature", "signed."+id)
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(server.slot), server.slots))
	_, _ = io.WriteString(writer, "done "+id) // an error means that the caller has left
}

// most returns the largest number of arrivals in any second that lies between two times, and when that second begins.
func (server *server) most(from, until time.Time) (most int, begin time.Time) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var within []time.Time
	for _, at := range server.arrivals {
		if !at.Before(from) && at.Before(until) {
			within = append(within, at)
		}
	}
	first := 0
	for last, at := range within {
		for at.Sub(within[first]) >= time.Second {
			first++
		}
		if count := last - first + 1; count > most {
			most, begin = count, within[first]
		}
	}
	return most, begin
}
