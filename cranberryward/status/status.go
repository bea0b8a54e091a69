package status

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/entry/server"
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
	return commander.NewCommand("status", "Show zones, groups, leaving backend servers, quiet windows and quarantines", "cranberryward status",
		func(subcommand *flaggy.Subcommand) {
			subcommand.Bool(&options.asJSON, "", "json", "Print the state as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	client, err := options.factory.Administrator()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if options.asJSON {
		return options.factory.Streams().JSON(status)
	}
	options.show(status)
	return nil
}

func (options *Options) show(status server.Status) {
	streams := options.factory.Streams()
	streams.Progress("%s in %s, version %s, revision %d, confirmed %v (%d ms ago)", status.Instance, status.Zone, status.Version, status.Revision, status.Confirmed, status.AgeMS)
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
