package check

import (
	"context"
	"io"
	"os"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/parser"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	streams commander.Streams
	file    string
	asJSON  bool
}

// New returns the check command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		streams: factory.Streams(),
	}
	return commander.NewCommand("check", "Check a sheet without contacting an entry", "cranberryward sheet check examples/parlamigo.csv",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.file, "FILE", 1, true, "The sheet as CSV, - for standard input")
			subcommand.Bool(&options.asJSON, "", "json", "Print the sheet as JSON")
		},
		options.run)
}

// ReadSheet parses the sheet in a file, or on standard input for "-", and otherwise returns an error that lists every fault of the file.
func ReadSheet(streams commander.Streams, file string) (cranberryward.Sheet, error) {
	data, err := readFile(streams, file)
	if err != nil {
		return cranberryward.Sheet{}, commander.NewExitError(commander.ExitUsage, err.Error())
	}
	sheet, faults := parser.ParseSheet(data)
	if faults != nil {
		text := ""
		for _, line := range faults.Lines() {
			text += file + ": " + line + "\n"
		}
		return sheet, commander.NewExitError(commander.ExitUsage, text+"nothing was changed")
	}
	return sheet, nil
}

func readFile(streams commander.Streams, file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(streams.In(), parser.MaxSheetBytes+1))
		return data, eris.Wrap(err, "read standard input")
	}
	sheetFile, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = sheetFile.Close() }()
	data, err := io.ReadAll(io.LimitReader(sheetFile, parser.MaxSheetBytes+1))
	return data, eris.Wrap(err, "read sheet")
}

func (options *Options) run(context.Context) error {
	sheet, err := ReadSheet(options.streams, options.file)
	if err != nil {
		return err
	}
	if options.asJSON {
		return options.streams.JSON(sheet)
	}
	options.streams.Printf("%s is valid: %d quiet windows, %d workspace priorities, %d leaving, %d groups with model versions",
		options.file, len(sheet.QuietWindows), len(sheet.Priorities), len(sheet.Leaving), len(sheet.ModelVersions))
	return nil
}
