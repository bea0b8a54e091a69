package explain

import (
	"bufio"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

const (
	// contextWindow is how long before the last line of a request other events are included; it is the longest usual time limit of a request.
	contextWindow = 8 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// line is an event that an instance logged.
type line struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	Text     string    `json:"text"`
	request  string
}

// timeline collects log lines and selects those that explain what happened to a request.
type timeline struct {
	lines []line
}

// read adds the log lines of a file and ignores lines that do not have the log format.
func (timeline *timeline) read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if parsed, ok := parse(scanner.Text()); ok {
			timeline.lines = append(timeline.lines, parsed)
		}
	}
	return eris.Wrap(scanner.Err(), "read log lines")
}

// parse returns the event of a log line, ignoring any prefix that a log collector added before the ts key.
func parse(text string) (line, bool) {
	start := strings.Index(text, "ts=")
	if start < 0 {
		return line{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	var parsed line
	var rest []string
	if !decoder.ScanRecord() {
		return line{}, false
	}
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line{}, false
			}
			parsed.At = at
		case "instance":
			parsed.Instance = value
		case "event":
			parsed.Event = value
		case "program", "zone", "level":
		case "request":
			parsed.request = value
		default:
			rest = append(rest, key+"="+value)
		}
	}
	parsed.Text = strings.Join(rest, " ")
	return parsed, decoder.Err() == nil && parsed.Event != ""
}

// eventsFor returns the lines that explain a request in chronological order: its own lines, the last belief_changed line before its end
// from each instance that logged it, and the lines of other events without a request within contextWindow before its end.
// It returns nil if no line has the request's id.
func (timeline *timeline) eventsFor(request string) []line {
	instances := map[string]bool{}
	var last time.Time
	for _, line := range timeline.lines {
		if line.request == request {
			instances[line.Instance] = true
			if line.At.After(last) {
				last = line.At
			}
		}
	}
	if last.IsZero() {
		return nil
	}
	lastBeliefChange := map[string]int{}
	var events []line
	for index, line := range timeline.lines {
		switch {
		case line.request == request:
			events = append(events, line)
		case line.request != "" || line.At.After(last):
		case line.Event == "belief_changed":
			if previous, known := lastBeliefChange[line.Instance]; instances[line.Instance] && (!known || line.At.After(timeline.lines[previous].At)) {
				lastBeliefChange[line.Instance] = index
			}
		case last.Sub(line.At) < contextWindow:
			events = append(events, line)
		}
	}
	for _, index := range lastBeliefChange {
		events = append(events, timeline.lines[index])
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events
}
