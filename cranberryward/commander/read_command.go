package commander

import (
	"context"

	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/integrii/flaggy"
)

// NewReadCommand returns a command that reads a value from an entry and prints it with show, or as JSON if --json is set.
func NewReadCommand[T any](factory *Factory, name, description, examples string,
	read func(ctx context.Context, client *administrator.Client) (T, error), show func(streams Streams, value T)) *Command {
	asJSON := false
	return NewCommand(name, description, examples, func(subcommand *flaggy.Subcommand) {
		subcommand.Bool(&asJSON, "", "json", "Print the data as JSON")
	}, func(ctx context.Context) error {
		client, err := factory.AdminClient()
		if err != nil {
			return err
		}
		value, err := read(ctx, client)
		if err != nil {
			return err
		}
		if asJSON {
			return factory.Streams().JSON(value)
		}
		show(factory.Streams(), value)
		return nil
	})
}
