package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward/review/stage"
	"github.com/rotisserie/eris"
)

const (
	// eventRequests is the number of stream requests, and eventCount that of the events of a stream.
	eventRequests = 120
	eventCount    = 26
	// spoilEvery is the number of answers of the faulty backend server the last of which is spoiled: a share of 0.05 at most.
	spoilEvery = 20
	// spoiledEvent is the event in which a byte is wrong, and wrongDigit is that byte.
	spoiledEvent = 3
	wrongDigit   = "9"
)

// written remembers the bodies that backend servers have written, by the request's ID.
type written struct {
	mutex  sync.Mutex
	bodies map[string][]string
}

func (written *written) add(id, body string) {
	written.mutex.Lock()
	defer written.mutex.Unlock()
	written.bodies[id] = append(written.bodies[id], body)
}

// playEvent lets one of two backend servers write a wrong byte in some answers, and checks MIXED: a success must have the backend server's whole body.
func playEvent(deployment *stage.Deployment, record *stage.Record, trouble bool) (broken []string, err error) {
	written := &written{bodies: map[string][]string{}}
	for number := range 2 {
		server := &stage.Server{
			ID:      fmt.Sprintf("i-model-%d", number),
			Service: "model",
			Slots:   12,
			Answer:  func(run *stage.Run) error { return answerEvents(run, record, written, trouble && number == 0) },
		}
		if number == 0 {
			err = configureStreams(deployment, server)
		} else {
			err = deployment.AddServer(server)
		}
		if err != nil {
			return nil, err
		}
	}
	entries, err := startEntries(deployment, 1, stage.Bounds{
		GraceSeconds: firstGrace,
		MemoryMB:     entryMemory,
	})
	if err != nil {
		return nil, err
	}
	entry := entries[0]
	caller, err := stage.NewCaller(record, entry.Callers())
	if err != nil {
		return nil, err
	}
	defer caller.Close()
	for number := range eventRequests {
		id := fmt.Sprintf("stream-%d", number)
		answer := caller.Send(stage.Request{
			Method:   "POST",
			Path:     "/recap/" + id,
			ID:       id,
			Deadline: 8 * time.Second,
		})
		if line := written.compare(id, answer); line != "" {
			broken = append(broken, line)
		}
		if !answer.Complete || caller.Closed() {
			caller.Close()
			if caller, err = stage.NewCaller(record, entry.Callers()); err != nil {
				return nil, eris.Wrap(err, "connect again")
			}
		}
	}
	return broken, nil
}

// answerEvents writes a stream; with spoil, one byte of some streams is wrong.
func answerEvents(run *stage.Run, record *stage.Record, written *written, spoil bool) error {
	var body strings.Builder
	if err := run.BeginStream(); err != nil {
		return err
	}
	for number := 1; number <= eventCount; number++ {
		id := fmt.Sprint(number)
		if spoil && number == spoiledEvent && run.Number%spoilEvery == 0 {
			id = wrongDigit
			record.Add("the answer to %s has one wrong byte: %q in place of %q in the ID of an event", run.ID, id, fmt.Sprint(number))
		}
		event := fmt.Sprintf("id: %s\ndata: words %d\n\n", id, number)
		body.WriteString(event)
		if err := run.WriteChunk(event); err != nil {
			return err
		}
	}
	written.add(run.ID, body.String())
	return run.EndStream()
}

// compare returns how a complete success differs from all bodies that were written for the request, or an empty text.
func (written *written) compare(id string, answer stage.Answer) string {
	if answer.Status != 200 || !answer.Complete {
		return ""
	}
	if !answer.Signed {
		return fmt.Sprintf("MIXED: %s got a success without a signature", id)
	}
	written.mutex.Lock()
	defer written.mutex.Unlock()
	for _, body := range written.bodies[id] {
		if bytes.Equal(answer.Body, []byte(body)) {
			return ""
		}
	}
	return fmt.Sprintf("MIXED: %s got a complete success (signed %t) with %d events, of which its backend server wrote %d in %d runs",
		id, answer.Signed, bytes.Count(answer.Body, []byte("\n\n")), eventCount, len(written.bodies[id]))
}
