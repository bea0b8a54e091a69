package explain

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	streams commander.Streams
	request string
	files   string
	asJSON  bool
}

// New returns the log explain command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		streams: factory.Streams(),
	}
	return commander.NewCommand("explain", "Print the timeline of a request from the log files of several instances",
		"cranberryward log explain 92d413e5d122e07b examples/entries.log",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.request, "REQUEST", 1, true, "The id of the request")
			subcommand.AddPositionalValue(&options.files, "FILES", 2, true, "Log files, separated by commas, - for standard input")
			subcommand.Bool(&options.asJSON, "", "json", "Print the lines as JSON")
		},
		options.run)
}

func (options *Options) run(context.Context) error {
	var timeline timeline
	for file := range strings.SplitSeq(options.files, ",") {
		if err := options.read(&timeline, file); err != nil {
			return commander.NewExitError(commander.ExitUsage, file+": "+err.Error())
		}
	}
	lines := timeline.eventsFor(options.request)
	if len(lines) == 0 {
		return commander.NewExitError(commander.ExitFailed, "no log line for request "+options.request+"; requests that succeeded on time are only sampled, and other files may have its lines")
	}
	if options.asJSON {
		return options.streams.JSON(lines)
	}
	first := lines[0].At
	for _, line := range lines {
		marker := ""
		if line.request == options.request {
			marker = "* "
		}
		options.streams.Printf("%+.3f s\t%s\t%s%s\t%s", line.At.Sub(first).Round(time.Millisecond).Seconds(), line.Instance, marker, line.Event, line.Text)
	}
	return nil
}

func (options *Options) read(timeline *timeline, file string) error {
	if file == "-" {
		return timeline.read(options.streams.In())
	}
	logFile, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "open")
	}
	defer func() { _ = logFile.Close() }() // closing after reading cannot lose data
	return timeline.read(logFile)
}
