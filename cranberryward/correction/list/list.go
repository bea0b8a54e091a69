package list

import (
	"context"
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
	return commander.NewCommand("list", "List the corrections that lie over the sheet", "cranberryward correction list",
		func(subcommand *flaggy.Subcommand) {
			subcommand.Bool(&options.asJSON, "", "json", "Print the corrections as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	client, err := options.factory.Administrator()
	if err != nil {
		return err
	}
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if options.asJSON {
		return options.factory.Streams().JSON(configuration.Corrections)
	}
	rows := [][]string{}
	for _, correction := range configuration.Corrections {
		rows = append(rows, row(correction))
	}
	options.factory.Streams().Table([]string{"ID", "KIND", "NAME", "ZONE", "VALUE", "FROM", "UNTIL", "EXPIRES"}, rows)
	return nil
}

func row(correction cranberryward.Correction) []string {
	return []string{correction.ID, string(correction.Kind), correction.Name, correction.Zone, correction.Value,
		instant(correction.From), instant(correction.Until), instant(correction.Expires)}
}

func instant(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.Format(time.RFC3339)
}
