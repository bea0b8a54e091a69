package history

import (
	"context"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/integrii/flaggy"
)

// Options are what the command needs.
type Options struct {
	factory *commander.Factory
	asJSON  bool
}

// New returns the command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
	}
	return commander.NewCommand("history", "List the last accepted submissions", "cranberryward sheet history",
		func(subcommand *flaggy.Subcommand) {
			subcommand.Bool(&options.asJSON, "", "json", "Print the submissions as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	client, err := options.factory.Administrator()
	if err != nil {
		return err
	}
	entries, err := client.History(ctx)
	if err != nil {
		return err
	}
	if options.asJSON {
		return options.factory.Streams().JSON(entries)
	}
	rows := [][]string{}
	for _, entry := range entries {
		rows = append(rows, []string{strconv.FormatUint(entry.Revision, 10), entry.AcceptedAt.Format(time.RFC3339),
			string(entry.Submission.Kind), subjectOf(entry.Submission), entry.Submission.Author, entry.Submission.ID})
	}
	options.factory.Streams().Table([]string{"REVISION", "ACCEPTED", "KIND", "SUBJECT", "AUTHOR", "ID"}, rows)
	return nil
}

func subjectOf(submission cranberryward.Submission) string {
	switch {
	case submission.Correction != nil:
		return string(submission.Correction.Kind) + " " + submission.Correction.Name
	case submission.Withdraw != "":
		return submission.Withdraw
	}
	return "sheet"
}
