package show

import (
	"context"
	"strconv"
	"strings"

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
	return commander.NewCommand("show", "Show the sheet in force", "cranberryward sheet show",
		func(subcommand *flaggy.Subcommand) {
			subcommand.Bool(&options.asJSON, "", "json", "Print the configuration as JSON")
		},
		options.run)
}

// Rows returns a sheet as rows of the columns that Header names.
func Rows(sheet cranberryward.Sheet) [][]string {
	var rows [][]string
	for _, window := range sheet.QuietWindows {
		rows = append(rows, []string{"quiet_window", window.Name, window.Zone, window.Start, window.End, window.TimeZone, ""})
	}
	for _, priority := range sheet.Priorities {
		rows = append(rows, []string{"workspace_priority", priority.Workspace, "", "", "", "", strconv.Itoa(priority.Priority)})
	}
	for _, id := range sheet.Leaving {
		rows = append(rows, []string{"leaving", id, "", "", "", "", ""})
	}
	for _, versions := range sheet.ModelVersions {
		rows = append(rows, []string{"model_versions", versions.Group, "", "", "", "", strings.Join(versions.Versions, " ")})
	}
	return rows
}

// Header returns the names of the columns of Rows.
func Header() []string {
	return []string{"KIND", "NAME", "ZONE", "START", "END", "TIME ZONE", "VALUE"}
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
		return options.factory.Streams().JSON(configuration)
	}
	options.factory.Streams().Progress("revision %d, sheet of revision %d, %d corrections", configuration.Revision, configuration.SheetRevision, len(configuration.Corrections))
	options.factory.Streams().Table(Header(), Rows(configuration.Sheet))
	return nil
}
