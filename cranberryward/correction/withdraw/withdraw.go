package withdraw

import (
	"context"
	"os"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	factory      *commander.Factory
	correctionID string
	id           string
	asJSON       bool
}

// New returns the withdraw command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
	}
	return commander.NewCommand("withdraw", "Withdraw a correction, so that the sheet applies again", "cranberryward correction withdraw 01K0EXAMPLE",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.correctionID, "ID", 1, true, "Id of the correction")
			subcommand.String(&options.id, "", "id", "Id of an earlier attempt, to find out whether it was accepted")
			subcommand.Bool(&options.asJSON, "", "json", "Print the outcome as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	client, err := options.factory.AdminClient()
	if err != nil {
		return err
	}
	if options.id == "" {
		options.id = ulid.Make().String()
	}
	return commander.Submit(ctx, options.factory.Streams(), client, cranberryward.Submission{
		ID:       options.id,
		Kind:     cranberryward.SubmitWithdrawal,
		Author:   os.Getenv("USER"),
		Withdraw: options.correctionID,
	}, options.asJSON)
}
