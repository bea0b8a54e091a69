package history

import (
	"context"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
)

// New returns the history command.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewReadCommand(factory, "history", "List the most recently accepted submissions", "cranberryward sheet history", read, show)
}

func read(ctx context.Context, client *administrator.Client) ([]cranberryward.ConfigurationEntry, error) {
	return client.History(ctx)
}

func show(streams commander.Streams, entries []cranberryward.ConfigurationEntry) {
	rows := [][]string{}
	for _, entry := range entries {
		rows = append(rows, []string{strconv.FormatUint(entry.Revision, 10), entry.AcceptedAt.Format(time.RFC3339),
			string(entry.Submission.Kind), subjectOf(entry.Submission), entry.Submission.Author, entry.Submission.ID})
	}
	streams.Table([]string{"REVISION", "ACCEPTED", "KIND", "SUBJECT", "AUTHOR", "ID"}, rows)
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
