package explain

import (
	"context"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/integrii/flaggy"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	factory *commander.Factory
	name    string
	asJSON  bool
}

// New returns the explain command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
	}
	return commander.NewCommand("explain", "Print what was decided about a request or a group, and why", "cranberryward explain zone-a-group",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.name, "REQUEST|GROUP", 1, true, "A request id or the name of a group")
			subcommand.Bool(&options.asJSON, "", "json", "Print the lines as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	client, err := options.factory.AdminClient()
	if err != nil {
		return err
	}
	lines, err := client.Explain(ctx, options.name)
	if err != nil {
		return err
	}
	if options.asJSON {
		return options.factory.Streams().JSON(lines)
	}
	for _, line := range lines {
		options.factory.Streams().Printf("%s", line)
	}
	return nil
}
