package version

import (
	"context"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
)

// New returns the version command.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewCommand("version", "Print the version", "cranberryward version", nil, func(context.Context) error {
		factory.Streams().Printf("cranberryward %s", cranberryward.Version)
		return nil
	})
}
