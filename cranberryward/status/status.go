package status

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/entry/server"
)

// New returns the status command.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewReadCommand(factory, "status", "Show zones, groups, leaving backend servers, quiet windows and quarantines", "cranberryward status", read, show)
}

func read(ctx context.Context, client *administrator.Client) (server.Status, error) {
	return client.Status(ctx)
}

func show(streams commander.Streams, status server.Status) {
	streams.Progressf("%s in %s, version %s, revision %d, confirmed %v (%d ms ago)", status.Instance, status.Zone, status.Version, status.Revision, status.Confirmed, status.AgeMS)
	var rows [][]string
	for _, zone := range status.Zones {
		rows = append(rows, []string{"zone", zone.Zone, fmt.Sprintf("revision %d on %d/%d", zone.Revision, zone.Processes, zone.Listed), zone.Error})
	}
	for _, group := range status.Groups {
		rows = append(rows, []string{"group", group.Group, fmt.Sprintf("map %d, skew %.3f", group.MapVersion, group.Skew),
			"lease of " + group.Holder + ", fencing " + strconv.FormatUint(group.Fencing, 10)})
	}
	for _, id := range status.Leaving {
		rows = append(rows, []string{"leaving", id, "", ""})
	}
	for _, window := range status.Windows {
		state := "opens " + window.Opens.Format(time.RFC3339)
		if window.Open {
			state = "open"
		}
		rows = append(rows, []string{"quiet_window", window.Name + " " + window.Zone, state, "closes " + window.Closes.Format(time.RFC3339)})
	}
	for _, fingerprint := range status.Quarantines {
		rows = append(rows, []string{"quarantine", fingerprint, "", ""})
	}
	streams.Table([]string{"KIND", "NAME", "STATE", "NOTE"}, rows)
}
