package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const columnPadding = 2

// Streams are the input and output streams of a command.
type Streams struct {
	in         io.Reader
	out        io.Writer
	errOut     io.Writer
	isTerminal bool
}

// NewStreams returns the given streams; isTerminal says whether out is a terminal, for which Table aligns columns.
func NewStreams(in io.Reader, out, errOut io.Writer, isTerminal bool) Streams {
	return Streams{
		in:         in,
		out:        out,
		errOut:     errOut,
		isTerminal: isTerminal,
	}
}

// SystemStreams returns the standard streams of the process.
func SystemStreams() Streams {
	info, err := os.Stdout.Stat()
	isTerminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return NewStreams(os.Stdin, os.Stdout, os.Stderr, isTerminal)
}

// In returns the input stream.
func (streams Streams) In() io.Reader { return streams.in }

// Out returns the output stream for data.
func (streams Streams) Out() io.Writer { return streams.out }

// ErrOut returns the output stream for progress and errors.
func (streams Streams) ErrOut() io.Writer { return streams.errOut }

// Printf writes a formatted line to the output.
func (streams Streams) Printf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.out, format+"\n", values...)
}

// Progressf writes a formatted line to the error output, so that it does not mix with the data.
func (streams Streams) Progressf(format string, values ...any) {
	_, _ = fmt.Fprintf(streams.errOut, format+"\n", values...)
}

// JSON writes the value to the output as indented JSON.
func (streams Streams) JSON(value any) error {
	encoder := json.NewEncoder(streams.out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write JSON")
}

// Table writes aligned columns with a header to a terminal, and otherwise tab-separated rows without a header.
func (streams Streams) Table(header []string, rows [][]string) {
	if !streams.isTerminal {
		for _, row := range rows {
			streams.Printf("%s", strings.Join(row, "\t"))
		}
		return
	}
	writer := tabwriter.NewWriter(streams.out, 0, 0, columnPadding, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}
