package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/rotisserie/eris"
)

const (
	// longestEvent bounds one event of a stream, in bytes.
	longestEvent = 1 << 20
	// resumePause lets a group that lost a rank form again before its streams are resumed.
	resumePause = 150 * time.Millisecond
	// resumePatience is how long a stream waits for its group to form again; callers leave after a pause of two seconds.
	resumePatience = 1800 * time.Millisecond
	// resumeLimit bounds the resumptions of one stream.
	resumeLimit = 3
)

// errCutEvent means that a stream ended within an event.
var errCutEvent = eris.New("stream ended within an event")

// relay passes the events of one stream on, from one backend server after another.
type relay struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	started bool
	// lastID is the id of the last event passed on, as the backend servers count them.
	lastID  string
	lastSeq int64
	// server and load are the backend server that began the stream and its load then.
	server string
	load   cranberryward.ServerLoad
	// firstAt and lastAt are when the first and the last event came, and longestPause the longest time between two.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
	// pulse hears of each event of the service's stream.
	pulse   *pulse
	service string
}

// note takes in when an event came.
func (relay *relay) note(now time.Time) {
	if relay.firstAt.IsZero() {
		relay.firstAt = now
		relay.pulse.begin(relay.service)
	} else {
		relay.pulse.beat(relay.service, now)
		relay.longestPause = max(relay.longestPause, now.Sub(relay.lastAt))
	}
	relay.lastAt = now
}

// stalled returns whether the stream brought nothing for a while before it ended, as where another rank of its group was lost.
func (relay *relay) stalled(exchange *exchange) bool {
	pause := exchange.route.PauseObjective
	return pause > 0 && !relay.lastAt.IsZero() && time.Since(relay.lastAt) > stillTime(pause)
}

// finish takes back what the stream had the pulse count.
func (relay *relay) finish() {
	if !relay.firstAt.IsZero() {
		relay.pulse.end(relay.service)
	}
}

// lateness returns why a complete stream came late, and nothing if it did not.
func (relay *relay) lateness(exchange *exchange) string {
	route := exchange.route
	switch {
	case route.Objective > 0 && relay.firstAt.Sub(exchange.arrived) > route.Objective:
		return "late_first_event"
	case route.PauseObjective > 0 && relay.longestPause > route.PauseObjective:
		return "late_pause"
	default:
		return ""
	}
}

// stream passes on a stream and resumes it where it breaks; it returns false if nothing was passed on.
func (forwarder *Forwarder) stream(writer http.ResponseWriter, exchange *exchange, state *serverState, answer *connector.Answer) bool {
	flusher, _ := writer.(http.Flusher)
	relay := &relay{
		writer:  writer,
		flusher: flusher,
		lastID:  exchange.facts.LastEventID,
		lastSeq: -1,
		server:  state.server.ID,
		load:    platform.ReadAnswer(answer.Response()).Load,
		pulse:   &forwarder.pulse,
		service: exchange.service,
	}
	defer relay.finish()
	if number, err := strconv.ParseInt(exchange.facts.LastEventID, 10, 64); err == nil {
		relay.lastSeq = number
	}
	for range resumeLimit + 1 {
		err := relay.pass(answer)
		relay.flush()
		if err == nil {
			answer.Complete()
			answer.Finish()
			forwarder.servers.done(state, outcomeGood)
			forwarder.clearCrashes(exchange)
			forwarder.servers.lasted(exchange.service, time.Since(exchange.arrived))
			forwarder.lines.streamed(exchange, relay)
			return true
		}
		answer.Abort()
		if !relay.stalled(exchange) {
			forwarder.noteCrash(exchange)
		}
		forwarder.servers.done(state, forwarder.blame(exchange))
		if !relay.started {
			return false
		}
		if state, answer = forwarder.resume(exchange, relay); answer == nil {
			break
		}
	}
	forwarder.lines.ended(exchange, http.StatusOK, "stream_cut")
	panic(http.ErrAbortHandler)
}

// resume asks backend servers to go on after the last event that was passed on.
func (forwarder *Forwarder) resume(exchange *exchange, relay *relay) (*serverState, *connector.Answer) {
	for exchange.route.Resumable {
		select {
		case <-exchange.ctx.Done():
			return nil, nil
		case <-time.After(resumePause):
		}
		if !forwarder.groups.awaitOpen(exchange.ctx, exchange.service, resumePatience) {
			return nil, nil
		}
		ticket := exchange.ticket()
		if ticket == nil || forwarder.denyRepeat(exchange) != "" {
			return nil, nil
		}
		state := forwarder.servers.pick(exchange.service, exchange.tried, exchange.mayRunAt)
		if state == nil {
			return nil, nil
		}
		exchange.tried[state.server.ID] = true
		answer, err := forwarder.send(exchange, state, exchange.use(ticket), relay.lastID)
		if err != nil {
			exchange.learn(state.server.ID, cranberryward.FailureOf(err).Verdict())
			forwarder.noteCrash(exchange)
			forwarder.servers.done(state, forwarder.blame(exchange))
			continue
		}
		facts := platform.ReadAnswer(answer.Response())
		if answer.Response().StatusCode == http.StatusOK && facts.Signed && !facts.Encoded {
			exchange.learn(state.server.ID, cranberryward.Ran)
			return state, answer
		}
		outcome := outcomeRefused
		if !facts.NotRun {
			outcome = outcomeFailed
			exchange.learn(state.server.ID, cranberryward.Ran)
		}
		forwarder.discardBody(answer)
		forwarder.servers.done(state, outcome)
	}
	return nil, nil
}

// pass passes on whole events until the stream's proper end, and returns an error where it broke.
func (relay *relay) pass(answer *connector.Answer) error {
	reader := bufio.NewReaderSize(answer.Response().Body, 4<<10)
	var event []byte
	var id string
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event) < longestEvent:
			continue
		case err == io.EOF:
			return relay.end(answer, event)
		case err != nil:
			return err
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if value, found := bytes.CutPrefix(trimmed, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
		if len(trimmed) > 0 {
			continue
		}
		if relay.fresh(id) {
			relay.begin(answer)
			relay.note(time.Now())
			if _, err := relay.writer.Write(event); err != nil {
				return err
			}
			relay.accept(id)
		}
		event, id = event[:0], ""
		if reader.Buffered() == 0 {
			relay.flush()
		}
	}
}

// flush lets the caller have what was passed on.
func (relay *relay) flush() {
	if relay.started && relay.flusher != nil {
		relay.flusher.Flush()
	}
}

// end takes in the proper end of a body, at which no event may be open unless the body's length vouches for it.
func (relay *relay) end(answer *connector.Answer, rest []byte) error {
	if len(rest) > 0 && answer.Unframed() {
		return errCutEvent
	}
	relay.begin(answer)
	if len(rest) > 0 {
		if _, err := relay.writer.Write(rest); err != nil {
			return err
		}
	}
	return nil
}

// fresh returns whether an event was not passed on yet.
func (relay *relay) fresh(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number > relay.lastSeq
}

func (relay *relay) accept(id string) {
	if id == "" {
		return
	}
	relay.lastID = id
	if number, err := strconv.ParseInt(id, 10, 64); err == nil {
		relay.lastSeq = number
	}
}

// begin gives the caller the head of the first backend server's answer.
func (relay *relay) begin(answer *connector.Answer) {
	if relay.started {
		return
	}
	relay.started = true
	platform.CopyAnswerHeaders(relay.writer.Header(), answer.Response().Header)
	relay.writer.Header().Del("Content-Length")
	relay.writer.WriteHeader(answer.Response().StatusCode)
}
