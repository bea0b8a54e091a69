package commander

import (
	"context"
	"fmt"

	"github.com/cranberryward/cranberryward"
	"github.com/integrii/flaggy"
)

// Run parses the arguments, runs the command that they name and returns the exit code.
func Run(ctx context.Context, factory *Factory, arguments []string, commands ...*Command) ExitCode {
	parser := flaggy.NewParser("cranberryward")
	parser.Description = "Submits the morning sheet and corrections to cranberryward and shows what is in force."
	// Otherwise flaggy treats the version command as its built-in version flag and exits the process.
	parser.ShowVersionWithVersionFlag = false
	showVersion := false
	parser.Bool(&showVersion, "", "version", "Print the version")
	parser.String(&factory.address, "", "address", "Administration address of an entry (environment "+addressVariable+")")
	parser.String(&factory.token, "", "token", "Administration token (environment "+tokenVariable+")")
	for _, command := range commands {
		parser.AttachSubcommand(command.build(), 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(factory.streams.errOut, err)
		return ExitUsage
	}
	if showVersion {
		factory.streams.Printf("cranberryward %s", cranberryward.Version)
		return ExitOK
	}
	for _, command := range commands {
		if selected := command.selected(); selected != nil {
			return selected.execute(ctx, factory, parser)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func (command *Command) execute(ctx context.Context, factory *Factory, parser *flaggy.Parser) ExitCode {
	if command.run == nil {
		parser.ShowHelp()
		return ExitUsage
	}
	err := command.run(ctx)
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(factory.streams.errOut, err)
	}
	return ExitCodeOf(err)
}
