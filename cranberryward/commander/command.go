package commander

import (
	"context"

	"github.com/integrii/flaggy"
)

// Command is a command that runs a function, or a parent command that only groups subcommands.
type Command struct {
	name        string
	description string
	examples    string
	flags       func(subcommand *flaggy.Subcommand)
	run         func(ctx context.Context) error
	children    []*Command
	subcommand  *flaggy.Subcommand
}

// NewCommand returns a command that calls run after its flags are parsed.
func NewCommand(name, description, examples string, flags func(subcommand *flaggy.Subcommand), run func(ctx context.Context) error) *Command {
	return &Command{
		name:        name,
		description: description,
		examples:    examples,
		flags:       flags,
		run:         run,
	}
}

// NewParentCommand returns a command that only groups subcommands.
func NewParentCommand(name, description string, children ...*Command) *Command {
	return &Command{
		name:        name,
		description: description,
		children:    children,
	}
}

func (command *Command) build() *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(command.name)
	subcommand.Description = command.description
	if command.examples != "" {
		subcommand.AdditionalHelpAppend = "\n  Examples:\n    " + command.examples
	}
	if command.flags != nil {
		command.flags(subcommand)
	}
	for _, child := range command.children {
		subcommand.AttachSubcommand(child.build(), 1)
	}
	command.subcommand = subcommand
	return subcommand
}

// selected returns the innermost command that the parsed arguments name, or nil if they do not name this command.
func (command *Command) selected() *Command {
	if !command.subcommand.Used {
		return nil
	}
	for _, child := range command.children {
		if selected := child.selected(); selected != nil {
			return selected
		}
	}
	return command
}
