package forwarder

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// firstEventID is the ID with which backend servers begin a stream; the ID of another first event counts as right once the event after it follows.
const firstEventID = 1

var (
	// errForeignEvent means that a stream whose events have numeric IDs has something else between them, such as an error's head or text.
	errForeignEvent = eris.New("stream with something else than an event")
	// errMisplacedEvent means that a stream that was resumed does not continue with the event after the last one that its caller got.
	errMisplacedEvent = eris.New("resumed stream with an event out of sequence")
)

// eventSequence follows the IDs of a stream's events. What one run sends goes to the caller as it is; only a stream whose IDs have increased by one from event to
// event, so that none can be wrong, may be resumed, and in what resumes it the events are compared with those that the caller has.
type eventSequence struct {
	// last is the ID of the last event that the caller got, and numbered is whether there is one; a caller that resumes a stream itself names the first.
	last     int64
	numbered bool
	// confirmed is whether an event had the ID that was to be expected, and irregular is whether one had not.
	confirmed bool
	irregular bool
	// resumed is whether the current run resumes the stream, joined is whether it has sent an event that the caller did not have, and repeated is the ID of the last one
	// that the caller had, or negative.
	resumed  bool
	joined   bool
	repeated int64
}

// newEventSequence returns the sequence of a stream that begins after an event, whose ID is empty if the stream begins with its first event.
func newEventSequence(lastID string) eventSequence {
	number, err := strconv.ParseInt(lastID, 10, 64)
	return eventSequence{
		last:     number,
		numbered: err == nil,
	}
}

// resumable returns whether another run may continue the stream after the last event.
func (eventSequence *eventSequence) resumable() bool {
	return eventSequence.numbered && eventSequence.confirmed && !eventSequence.irregular
}

// lastID returns the ID after which a run that resumes the stream continues.
func (eventSequence *eventSequence) lastID() string {
	return strconv.FormatInt(eventSequence.last, 10)
}

// resume prepares for the events of a run that resumes the stream.
func (eventSequence *eventSequence) resume() {
	eventSequence.resumed, eventSequence.joined, eventSequence.repeated = true, false, -1
}

// place returns whether the caller is to get an event, or an error if its place in the stream is unknown.
func (eventSequence *eventSequence) place(event *event) (wanted bool, err error) {
	switch {
	case event.comment:
		return !eventSequence.resumed || eventSequence.joined, nil
	case eventSequence.resumed:
		return eventSequence.placeResumed(event)
	default:
		return true, eventSequence.placeFirst(event)
	}
}

// placeFirst follows an event of the run that began the stream.
func (eventSequence *eventSequence) placeFirst(event *event) error {
	number, numeric := event.number()
	if !numeric && eventSequence.numbered {
		return errForeignEvent
	}
	follows := eventSequence.numbered && number == eventSequence.last+1 || !eventSequence.numbered && number == firstEventID
	eventSequence.confirmed = eventSequence.confirmed || follows
	if !numeric || eventSequence.numbered && !follows || !event.regular() {
		eventSequence.irregular = true
	}
	eventSequence.last, eventSequence.numbered = number, numeric
	return nil
}

// placeResumed follows an event of a run that resumes the stream: at first events that the caller has, if any, up to the last one, and then the one after it.
func (eventSequence *eventSequence) placeResumed(event *event) (wanted bool, err error) {
	number, numeric := event.number()
	if !numeric || !event.regular() {
		return false, errForeignEvent
	}
	if eventSequence.repeated >= 0 && !eventSequence.joined && number != eventSequence.repeated+1 {
		return false, errMisplacedEvent
	}
	switch {
	case number == eventSequence.last+1:
		eventSequence.last, eventSequence.joined = number, true
		return true, nil
	case number >= 0 && number <= eventSequence.last && !eventSequence.joined:
		eventSequence.repeated = number
		return false, nil
	default:
		return false, errMisplacedEvent
	}
}
