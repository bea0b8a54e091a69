package server

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log"
)

// homeRetryAfter is the Retry-After of a call whose key has its home at a backend server that leaves; the next start takes it.
const homeRetryAfter = time.Second

// announcements holds what the plain backend server says of itself in its responses: that it leaves, and until when it wants no calls; its zero value permits all.
type announcements struct {
	mutex     sync.Mutex
	leaving   bool
	awayUntil time.Time
	// starts counts the starts of the backend server after the first.
	starts int
}

// refuse returns the refusal of a call as not run, or nil if it may be sent, to the given start of the backend server.
func (announcements *announcements) refuse(idempotent bool) (start int, err error) {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	remaining := time.Until(announcements.awayUntil)
	switch {
	case announcements.leaving && !idempotent: // only the home of its key may run it
		return 0, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the backend server leaves").WithRetryAfter(homeRetryAfter)
	case announcements.leaving:
		return 0, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonLeaving, "the backend server leaves")
	case remaining > 0:
		return 0, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the backend server has asked for a time without calls").WithRetryAfter(remaining)
	default:
		return announcements.starts, nil
	}
}

// record takes over what a response to a call to a start says, unless that has ended, and returns the failure that it stands for if it says that the call has not run.
func (announcements *announcements) record(response cranberryward.ServiceResponse, start int, logger log.Logger) error {
	header := http.Header(response.Header)
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	current := start == announcements.starts
	if current && header.Get(cranberryward.HeaderLeaving) == "1" && !announcements.leaving {
		announcements.leaving = true
		_ = logger.Log("event", "backend_leaving")
	}
	text := header.Get("Retry-After")
	if response.Status != http.StatusServiceUnavailable || text == "" {
		return nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) {
		_ = logger.Log("event", "stay_away_unreadable", "value", text)
		return nil
	}
	remaining := min(time.Duration(min(seconds, screener.MaxStayAway.Seconds())*float64(time.Second)), screener.MaxStayAway)
	if until := time.Now().Add(remaining); current && until.After(announcements.awayUntil) {
		if time.Now().After(announcements.awayUntil) {
			_ = logger.Log("event", "backend_away", "remaining_ms", remaining.Milliseconds())
		}
		announcements.awayUntil = until
	}
	if cranberryward.ParseVerdict(header.Get(cranberryward.HeaderVerdict)) != cranberryward.NotRun {
		return nil
	}
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded, "the backend server has asked for a time without calls").WithRetryAfter(remaining)
}

// restart forgets what a process of the backend server has said that has ended.
func (announcements *announcements) restart(logger log.Logger) {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	if announcements.leaving || time.Now().Before(announcements.awayUntil) {
		_ = logger.Log("event", "backend_ended")
	}
	announcements.leaving, announcements.awayUntil = false, time.Time{}
	announcements.starts++
}

// isLeaving returns whether the backend server has said that it leaves.
func (announcements *announcements) isLeaving() bool {
	announcements.mutex.Lock()
	defer announcements.mutex.Unlock()
	return announcements.leaving
}
