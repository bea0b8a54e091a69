package commander

import (
	"context"

	"github.com/integrii/flaggy"
)

// Command is one command or a noun with commands below it.
type Command struct {
	name     string
	purpose  string
	examples string
	flags    func(subcommand *flaggy.Subcommand)
	run      func(ctx context.Context) error
	children []*Command
	parsed   *flaggy.Subcommand
}

// NewCommand returns a command that a function runs after its flags were read.
func NewCommand(name, purpose, examples string, flags func(subcommand *flaggy.Subcommand), run func(ctx context.Context) error) *Command {
	return &Command{
		name:     name,
		purpose:  purpose,
		examples: examples,
		flags:    flags,
		run:      run,
	}
}

// NewNoun returns a noun with its commands.
func NewNoun(name, purpose string, children ...*Command) *Command {
	return &Command{
		name:     name,
		purpose:  purpose,
		children: children,
	}
}

func (command *Command) build() *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(command.name)
	subcommand.Description = command.purpose
	if command.examples != "" {
		subcommand.AdditionalHelpAppend = "\n  Examples:\n    " + command.examples
	}
	if command.flags != nil {
		command.flags(subcommand)
	}
	for _, child := range command.children {
		subcommand.AttachSubcommand(child.build(), 1)
	}
	command.parsed = subcommand
	return subcommand
}

// used returns the command that the arguments named.
func (command *Command) used() *Command {
	if !command.parsed.Used {
		return nil
	}
	for _, child := range command.children {
		if used := child.used(); used != nil {
			return used
		}
	}
	return command
}
