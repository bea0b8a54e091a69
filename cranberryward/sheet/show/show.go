package show

import (
	"context"
	"strconv"
	"strings"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
)

// New returns the show command.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewReadCommand(factory, "show", "Show the sheet in force", "cranberryward sheet show", read, show)
}

// Rows returns the entries of a sheet as table rows with the columns of Header.
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

// Header returns the column names of Rows.
func Header() []string {
	return []string{"KIND", "NAME", "ZONE", "START", "END", "TIME ZONE", "VALUE"}
}

func read(ctx context.Context, client *administrator.Client) (cranberryward.Configuration, error) {
	return client.Configuration(ctx)
}

func show(streams commander.Streams, configuration cranberryward.Configuration) {
	streams.Progressf("revision %d, sheet of revision %d, %d corrections", configuration.Revision, configuration.SheetRevision, len(configuration.Corrections))
	streams.Table(Header(), Rows(configuration.Sheet))
}
