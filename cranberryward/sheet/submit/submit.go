package submit

import (
	"context"
	"os"
	"strings"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/cranberryward/sheet/check"
	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	factory    *commander.Factory
	file       string
	id         string
	base       uint64
	supersedes string
	asJSON     bool
}

// New returns the submit command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
	}
	return commander.NewCommand("submit", "Put a sheet in force in every availability zone", "cranberryward sheet submit examples/parlamigo.csv --base 17",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.file, "FILE", 1, true, "The sheet as CSV, - for standard input")
			subcommand.UInt64(&options.base, "", "base", "Revision that the sheet is based on (default: the newest)")
			subcommand.String(&options.id, "", "id", "Id of an earlier attempt, to find out whether it was accepted")
			subcommand.String(&options.supersedes, "", "supersedes", "Ids of corrections that the sheet replaces, separated by commas")
			subcommand.Bool(&options.asJSON, "", "json", "Print the outcome as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	sheet, err := check.ReadSheet(options.factory.Streams(), options.file)
	if err != nil {
		return err
	}
	client, err := options.factory.AdminClient()
	if err != nil {
		return err
	}
	if options.base == 0 {
		configuration, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		options.base = configuration.Revision
	}
	if options.id == "" {
		options.id = ulid.Make().String()
	}
	submission := cranberryward.Submission{
		ID:           options.id,
		Kind:         cranberryward.SubmitSheet,
		Author:       os.Getenv("USER"),
		BaseRevision: options.base,
		Sheet:        &sheet,
	}
	if options.supersedes != "" {
		submission.Supersedes = strings.Split(options.supersedes, ",")
	}
	return commander.Submit(ctx, options.factory.Streams(), client, submission, options.asJSON)
}
