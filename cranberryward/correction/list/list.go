package list

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
)

// New returns the list command.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewReadCommand(factory, "list", "List the corrections that override the sheet", "cranberryward correction list", read, show)
}

func read(ctx context.Context, client *administrator.Client) ([]cranberryward.Correction, error) {
	configuration, err := client.Configuration(ctx)
	return configuration.Corrections, err
}

func show(streams commander.Streams, corrections []cranberryward.Correction) {
	rows := [][]string{}
	for _, correction := range corrections {
		rows = append(rows, row(correction))
	}
	streams.Table([]string{"ID", "KIND", "NAME", "ZONE", "VALUE", "FROM", "UNTIL", "EXPIRES"}, rows)
}

func row(correction cranberryward.Correction) []string {
	return []string{correction.ID, string(correction.Kind), correction.Name, correction.Zone, correction.Value,
		formatTime(correction.From), formatTime(correction.Until), formatTime(correction.Expires)}
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.Format(time.RFC3339)
}
