package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds an event, and the comments and blank lines that are held until the next one.
	maxEventBytes = 256 << 10
	// eventBufferSize is the size of the reads of a stream.
	eventBufferSize = 4 << 10
)

var (
	// errTruncatedEvent means that a stream ended within an event.
	errTruncatedEvent = eris.New("stream ended within an event")
	// errEventTooLong means that an event is longer than maxEventBytes.
	errEventTooLong = eris.Errorf("stream with an event longer than %d bytes", maxEventBytes)
)

// event is a block of lines of a stream, with the blank line that ends it.
type event struct {
	text []byte
	// id is the value of the last ID field, and ids is the number of these fields.
	id  string
	ids int
	// data is whether the block has a data field.
	data bool
	// comment is whether the block holds comments or a blank line only, and blank is whether it is a blank line.
	comment bool
	blank   bool
	// unknown is whether it has a field that events do not have.
	unknown bool
}

// number returns the numeric ID, and false if the event has none.
func (event *event) number() (int64, bool) {
	number, err := strconv.ParseInt(event.id, 10, 64)
	return number, err == nil
}

// reset prepares for the next block.
func (event *event) reset() {
	text := event.text[:0]
	*event = newEvent()
	event.text = text
}

func newEvent() event {
	return event{
		comment: true,
		blank:   true,
	}
}

// regular returns whether an event has one ID, data and no unknown field, so that no part of it can have got lost by a wrong line end.
func (event *event) regular() bool { return event.ids == 1 && event.data && !event.unknown }

// addLine adds a line, with its end, whose text was added already.
func (event *event) addLine(line []byte) {
	event.blank = false
	name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	if len(name) == 0 {
		return // a comment
	}
	event.comment = false
	switch string(name) {
	case "id":
		event.id = string(bytes.TrimSpace(value))
		event.ids++
	case "data":
		event.data = true
	case "event", "retry":
	default:
		event.unknown = event.unknown || !platform.IsEventField(string(name))
	}
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	body   *endingReader
	event  event
	// reserve accounts for the room of an event as it grows; nil sets no limit.
	reserve reserver.Grow
}

func newEventReader(body io.Reader) *eventReader {
	ending := &endingReader{reader: body}
	return &eventReader{
		reader: bufio.NewReaderSize(ending, eventBufferSize),
		body:   ending,
		event:  newEvent(),
	}
}

// next returns the next event, which is valid until the next call, and io.EOF at the end of a stream that ends behind an event.
func (eventReader *eventReader) next() (*event, error) {
	event := &eventReader.event
	event.reset()
	lineBegin := 0
	for {
		part, err := eventReader.reader.ReadSlice('\n')
		if growErr := eventReader.grow(len(part)); growErr != nil {
			return nil, growErr
		}
		event.text = append(event.text, part...)
		switch {
		case len(event.text) > maxEventBytes:
			return nil, errEventTooLong
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event.text) > 0:
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		}
		line := event.text[lineBegin:]
		lineBegin = len(event.text)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		event.addLine(line)
	}
}

// grow makes room for so many bytes more of an event.
func (eventReader *eventReader) grow(more int) error {
	text := eventReader.event.text
	if len(text)+more <= cap(text) || eventReader.reserve == nil {
		return nil
	}
	room := max(2*cap(text), len(text)+more, eventBufferSize)
	if err := eventReader.reserve(int64(cap(text)), int64(room)); err != nil {
		return err
	}
	eventReader.event.text = append(make([]byte, 0, room), text...)
	return nil
}

// buffered returns whether more of the stream has been read than was returned.
func (eventReader *eventReader) buffered() bool { return eventReader.reader.Buffered() > 0 }

// ended returns whether the end of the stream has been read, which may be before all events were returned.
func (eventReader *eventReader) ended() bool { return eventReader.body.ended }

// endingReader notes the end of a body as it is read; a buffer tells it only at the next read.
type endingReader struct {
	reader io.Reader
	ended  bool
}

// Read reads from the body.
func (endingReader *endingReader) Read(data []byte) (int, error) {
	n, err := endingReader.reader.Read(data)
	endingReader.ended = endingReader.ended || err != nil
	return n, err
}
