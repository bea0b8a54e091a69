package recorder

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/go-kit/log"
)

const defaultCapacity = 20000

// Recorder is a logger that forwards lines to another logger and keeps the latest of those that name a request id or a group.
type Recorder struct {
	next     log.Logger
	mutex    sync.Mutex
	capacity int
	lines    []line
	start    int
}

type line struct {
	subjects []string
	text     string
}

// New returns a recorder that forwards to the given logger.
func New(next log.Logger) *Recorder {
	return &Recorder{
		next:     next,
		capacity: defaultCapacity,
	}
}

// Log records a line and forwards it.
func (recorder *Recorder) Log(keyvals ...any) error {
	recorder.record(keyvals)
	return recorder.next.Log(keyvals...)
}

func (recorder *Recorder) record(keyvals []any) {
	var subjects []string
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "request_id" || keyvals[i] == "group" {
			subjects = append(subjects, fmt.Sprint(keyvals[i+1]))
		}
	}
	if len(subjects) == 0 {
		return
	}
	var text bytes.Buffer
	if log.NewLogfmtLogger(&text).Log(keyvals...) != nil {
		return
	}
	recorded := line{
		subjects: subjects,
		text:     string(bytes.TrimSpace(text.Bytes())),
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if len(recorder.lines) < recorder.capacity {
		recorder.lines = append(recorder.lines, recorded)
		return
	}
	recorder.lines[recorder.start] = recorded
	recorder.start = (recorder.start + 1) % recorder.capacity
}

// Lines returns the recorded lines about a request id or a group, oldest first.
func (recorder *Recorder) Lines(name string) []string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var found []string
	for i := range recorder.lines {
		recorded := recorder.lines[(recorder.start+i)%len(recorder.lines)]
		for _, subject := range recorded.subjects {
			if subject == name {
				found = append(found, recorded.text)
			}
		}
	}
	return found
}
