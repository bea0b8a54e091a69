package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/rotisserie/eris"
)

const (
	// resumeDelay gives a group that lost a rank time to reopen before its streams are resumed.
	resumeDelay = 150 * time.Millisecond
	// maxResumeWait bounds the wait for a group to reopen; callers leave after a pause of two seconds.
	maxResumeWait = 1800 * time.Millisecond
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
)

// errCallerGone means that a part of a stream could not be written to its caller.
var errCallerGone = eris.New("the caller of a stream takes no more events")

// relay copies the events of one stream to its caller, from one backend server and then from those that resume the stream.
type relay struct {
	writer     http.ResponseWriter
	flusher    http.Flusher
	headerSent bool
	// sequence follows the IDs of the events that the caller got.
	sequence eventSequence
	// held are the comments before the first event, as nothing is sent until the stream has begun, and later the blank lines behind an event, which a wrong length of a part
	// may have made.
	held []byte
	// contentType is that of the response that began the stream, which one that resumes it has too.
	contentType string
	// server is the backend server that began the stream, and load is the load that it reported then.
	server string
	load   cranberryward.ServerLoad
	// events counts the events that the caller got.
	events int
	// firstAt and lastAt are the arrival times of the first and the last event, and longestPause is the longest time between two events.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
	// onFirstEvent is called with the first event.
	onFirstEvent func()
	// leave returns whether the stream is to go on at another rank.
	leave func() bool
	// stallDetector records the events of all streams.
	stallDetector *stallDetector
	service       string
}

// recordEvent records the arrival of an event.
func (relay *relay) recordEvent(now time.Time) {
	relay.events++
	if relay.firstAt.IsZero() {
		relay.firstAt = now
		relay.stallDetector.startStream(relay.service)
		relay.onFirstEvent()
	} else {
		relay.stallDetector.recordEvent(relay.service, now)
		relay.longestPause = max(relay.longestPause, now.Sub(relay.lastAt))
	}
	relay.lastAt = now
}

// stalled returns whether the stream delivered no event for stallTime before it ended, as happens when another rank of its group is lost.
func (relay *relay) stalled(exchange *exchange) bool {
	pause := exchange.route.PauseObjective
	return pause > 0 && !relay.lastAt.IsZero() && time.Since(relay.lastAt) > stallTime(pause)
}

// endStream tells the stall detector that the stream has ended.
func (relay *relay) endStream() {
	if !relay.firstAt.IsZero() {
		relay.stallDetector.endStream(relay.service)
	}
}

// lateReason returns which objective of the route a complete stream missed, or an empty reason.
func (relay *relay) lateReason(exchange *exchange) string {
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

// stream copies a stream to the caller and resumes it where it breaks off; it returns false if it broke off before the caller got anything.
func (forwarder *Forwarder) stream(writer http.ResponseWriter, exchange *exchange, state *serverState, response *connector.Response) bool {
	flusher, _ := writer.(http.Flusher)
	relay := &relay{
		writer:        writer,
		flusher:       flusher,
		sequence:      newEventSequence(exchange.metadata.LastEventID),
		contentType:   response.HTTP().Header.Get("Content-Type"),
		server:        state.server().ID,
		load:          platform.ReadResponse(response.HTTP()).Load,
		stallDetector: &forwarder.stallDetector,
		service:       exchange.service,
		onFirstEvent:  func() { forwarder.recordServed(exchange) },
	}
	defer relay.endStream()
	for range maxResumes + 1 {
		var next *move
		relay.leave = func() bool {
			next = forwarder.nextRank(exchange, relay, state)
			return next != nil
		}
		err := relay.copyEvents(response)
		relay.flush()
		if next != nil {
			if state, response = forwarder.moveStream(exchange, relay, state, response, next); response == nil {
				break
			}
			continue
		}
		if err == nil {
			err = forwarder.finishStream(exchange, state, response)
		}
		if err == nil {
			_ = relay.begin(response) // an error means that the caller has left
			forwarder.requestLog.recordStream(exchange, relay)
			return true
		}
		brokenAt := time.Now()
		response.Abort()
		forwarder.requestLog.recordBreak(exchange, *state.server(), relay.events, err)
		forwarder.servers.done(state, forwarder.failureOutcome(exchange))
		forwarder.recordBreak(exchange, *state.server(), relay.breakOf(exchange, err))
		if !relay.headerSent {
			return false
		}
		if !relay.sequence.resumable() {
			break
		}
		if state, response = forwarder.resume(exchange, relay, brokenAt); response == nil {
			break
		}
	}
	forwarder.requestLog.recordEnd(exchange, http.StatusOK, "stream_cut")
	panic(http.ErrAbortHandler)
}

// finishStream records the end of a stream whose events have all been copied, or returns an error if the stream may not be whole.
func (forwarder *Forwarder) finishStream(exchange *exchange, state *serverState, response *connector.Response) error {
	if err := response.MarkComplete(); err != nil {
		return err
	}
	if response.CloseDelimited() && forwarder.crashChecks.down(state.server().Address) {
		return errServerEnded
	}
	response.Finish()
	forwarder.servers.done(state, outcomeSucceeded)
	forwarder.requests.RecordServed(exchange.service, []string{exchange.wholeRequest().ID})
	forwarder.servers.recordDuration(exchange.service, time.Since(exchange.arrived))
	return nil
}

// breakOf returns how much of its answer a send that broke off had brought.
func (relay *relay) breakOf(exchange *exchange, err error) sendBreak {
	sendBreak := sendBreak{
		err:      err,
		progress: answerBegun,
	}
	switch {
	case relay.events > 0 && relay.stalled(exchange):
		sendBreak.progress = answerStalled
	case relay.events > 0:
		sendBreak.progress = answerStreamed
	}
	return sendBreak
}

// resume asks backend servers to continue the stream, which broke off at a time, after the last event that the caller got, and returns nil if none does.
func (forwarder *Forwarder) resume(exchange *exchange, relay *relay, brokenAt time.Time) (*serverState, *connector.Response) {
	for ; exchange.route.Resumable; brokenAt = time.Now() {
		select {
		case <-exchange.ctx.Done():
			return nil, nil
		case <-time.After(time.Until(brokenAt.Add(resumeDelay))):
		}
		if !forwarder.groups.awaitOpen(exchange.ctx, exchange.service, maxResumeWait) {
			return nil, nil
		}
		permit := exchange.permit()
		if quarantined := forwarder.checkQuarantines(exchange); quarantined.reason != "" {
			return nil, nil
		}
		if permit == nil || forwarder.denyRetry(exchange) != "" {
			return nil, nil
		}
		permitted := forwarder.permitted(exchange)
		picked := forwarder.servers.pick(exchange.service, exchange.tried, func(server *cranberryward.BackendServer) bool {
			return exchange.mayRunAt(server.ID) && permitted(server)
		}, exchange.route.Retryable())
		state := picked.state
		if state == nil {
			return nil, nil
		}
		exchange.choose(picked)
		if response := forwarder.resumeAt(exchange, relay, state, permit); response != nil {
			return state, response
		}
	}
	return nil, nil
}

// resumeAt asks a backend server to continue the stream, and returns nil if it does not.
func (forwarder *Forwarder) resumeAt(exchange *exchange, relay *relay, state *serverState, permit *permit) *connector.Response {
	response, err := forwarder.send(exchange, state, exchange.usePermit(permit), relay.sequence.lastID())
	if err != nil {
		forwarder.recordFailedSend(exchange, state, err)
		return nil
	}
	metadata := platform.ReadResponse(response.HTTP())
	forwarder.observe(state, response, metadata, exchange.sentAt)
	if response.HTTP().StatusCode == http.StatusOK && metadata.Signed && !metadata.Encoded && response.HTTP().Header.Get("Content-Type") == relay.contentType {
		exchange.recordVerdict(state.server().ID, cranberryward.Ran)
		relay.sequence.resume()
		relay.held = relay.held[:0]
		return response
	}
	outcome := outcomeRefused
	if !metadata.NotRun {
		outcome = outcomeFailed
		exchange.recordVerdict(state.server().ID, cranberryward.Ran)
	}
	err = forwarder.discardBody(response)
	forwarder.servers.done(state, outcome)
	if err != nil && !metadata.NotRun {
		forwarder.recordBreak(exchange, *state.server(), sendBreak{
			err:      err,
			progress: answerBegun,
		})
	}
	return nil
}

// copyEvents copies complete events to the caller until the stream ends, and returns an error if the stream breaks off.
func (relay *relay) copyEvents(response *connector.Response) error {
	reader := newEventReader(response.HTTP().Body)
	reader.reserve = response.Reserve
	defer func() { response.Unreserve(int64(cap(reader.event.text))) }()
	for {
		event, err := reader.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if event.unknown && response.CloseDelimited() {
			return errForeignEvent // without a length, a part of the framing or of another response would look like one of the stream
		}
		if err := relay.forward(response, event); err != nil {
			return err
		}
		if !reader.buffered() {
			relay.flush()
			if !reader.ended() && relay.leave != nil && relay.leave() {
				return errMoved
			}
		}
	}
}

// forward writes an event or a comment to the caller, unless the caller has got it already.
func (relay *relay) forward(response *connector.Response, event *event) error {
	wanted, err := relay.sequence.place(event)
	switch {
	case err != nil:
		return err
	case !wanted:
		return nil
	case event.comment && (event.blank || !relay.headerSent):
		return relay.hold(event)
	}
	if err := relay.begin(response); err != nil {
		return err
	}
	if !event.comment {
		relay.recordEvent(time.Now())
	}
	return relay.write(event.text)
}

// hold keeps a comment or a blank line until more of the stream is sent, or its end.
func (relay *relay) hold(event *event) error {
	if len(relay.held)+len(event.text) > maxEventBytes {
		return errEventTooLong
	}
	relay.held = append(relay.held, event.text...)
	return nil
}

// write writes to the caller.
func (relay *relay) write(text []byte) error {
	if _, err := relay.writer.Write(text); err != nil {
		return eris.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// flush sends buffered events to the caller.
func (relay *relay) flush() {
	if relay.headerSent && relay.flusher != nil {
		relay.flusher.Flush()
	}
}

// begin sends the caller the status and headers of the first backend server's response, once, and what was held.
func (relay *relay) begin(response *connector.Response) error {
	if !relay.headerSent {
		relay.headerSent = true
		platform.CopyResponseHeaders(relay.writer.Header(), response.HTTP().Header)
		relay.writer.Header().Del("Content-Length")
		relay.writer.WriteHeader(response.HTTP().StatusCode)
	}
	if len(relay.held) == 0 {
		return nil
	}
	err := relay.write(relay.held)
	relay.held = relay.held[:0]
	return err
}
