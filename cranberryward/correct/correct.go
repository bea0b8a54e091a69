package correct

import (
	"context"
	"os"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/integrii/flaggy"
	"github.com/oklog/ulid/v2"
)

// Options holds the flags and dependencies of a correction command.
type Options struct {
	factory *commander.Factory
	kind    cranberryward.CorrectionKind
	id      string
	name    string
	value   string
	zone    string
	from    string
	until   string
	expires time.Duration
	asJSON  bool
}

// New returns the correct command with a subcommand for each kind of correction.
func New(factory *commander.Factory) *commander.Command {
	return commander.NewParentCommand("correct", "Override part of the sheet with a correction",
		newWindowCommand(factory, "open-window", "Open a quiet window now or from a time", cranberryward.CorrectOpenWindow, "cranberryward correct open-window flood --until 2026-12-05T06:00:00Z"),
		newWindowCommand(factory, "extend-window", "Extend a quiet window", cranberryward.CorrectOpenWindow, "cranberryward correct extend-window night --until 2026-12-05T08:00:00Z"),
		newNamedCommand(factory, "close-window", "Close a quiet window of the sheet", "", cranberryward.CorrectCloseWindow, "cranberryward correct close-window night --zone zone-a"),
		newNamedCommand(factory, "priority", "Set the priority of a workspace from 0 to 9", "PRIORITY", cranberryward.CorrectPriority, "cranberryward correct priority outage-line 9"),
		newNamedCommand(factory, "leaving", "Mark a backend server as leaving", "", cranberryward.CorrectLeaving, "cranberryward correct leaving zone-a-engine-2"),
		newNamedCommand(factory, "returned", "Mark a leaving backend server as returned", "", cranberryward.CorrectReturned, "cranberryward correct returned zone-a-engine-2"),
		newNamedCommand(factory, "pin-version", "Restrict a group to one model version", "VERSION", cranberryward.CorrectPinVersion, "cranberryward correct pin-version calls v2"),
		newNamedCommand(factory, "forbid-version", "Forbid a model version for a group", "VERSION", cranberryward.CorrectForbidVersion, "cranberryward correct forbid-version calls v1"),
	)
}

func newOptions(factory *commander.Factory, kind cranberryward.CorrectionKind) *Options {
	return &Options{
		factory: factory,
		kind:    kind,
	}
}

func (options *Options) addCommonFlags(subcommand *flaggy.Subcommand) {
	subcommand.AddPositionalValue(&options.name, "NAME", 1, true, "Name of the quiet window, workspace, backend server or group to correct")
	subcommand.String(&options.zone, "", "zone", "Availability zone (default: every zone)")
	subcommand.Duration(&options.expires, "", "expires", "Duration after which the correction expires")
	subcommand.String(&options.id, "", "id", "Id of an earlier attempt, to find out whether it was accepted")
	subcommand.Bool(&options.asJSON, "", "json", "Print the outcome as JSON")
}

func newNamedCommand(factory *commander.Factory, name, description, value string, kind cranberryward.CorrectionKind, example string) *commander.Command {
	options := newOptions(factory, kind)
	return commander.NewCommand(name, description, example, func(subcommand *flaggy.Subcommand) {
		options.addCommonFlags(subcommand)
		if value != "" {
			subcommand.AddPositionalValue(&options.value, value, 2, true, "The new value")
		}
	}, options.run)
}

func newWindowCommand(factory *commander.Factory, name, description string, kind cranberryward.CorrectionKind, example string) *commander.Command {
	options := newOptions(factory, kind)
	return commander.NewCommand(name, description, example, func(subcommand *flaggy.Subcommand) {
		options.addCommonFlags(subcommand)
		subcommand.String(&options.from, "", "from", "Start as RFC 3339 (default: now)")
		subcommand.String(&options.until, "", "until", "End as RFC 3339")
	}, options.run)
}

func (options *Options) correction(now time.Time) (cranberryward.Correction, error) {
	correction := cranberryward.Correction{
		ID:    options.id,
		Kind:  options.kind,
		Name:  options.name,
		Zone:  options.zone,
		Value: options.value,
	}
	if options.expires > 0 {
		correction.Expires = now.Add(options.expires)
	}
	if options.kind != cranberryward.CorrectOpenWindow {
		return correction, nil
	}
	correction.From = now
	if options.from != "" {
		from, err := time.Parse(time.RFC3339, options.from)
		if err != nil {
			return correction, timeError("--from", options.from)
		}
		correction.From = from
	}
	until, err := time.Parse(time.RFC3339, options.until)
	if err != nil {
		return correction, timeError("--until", options.until)
	}
	correction.Until = until
	if correction.Expires.IsZero() || correction.Expires.After(until) {
		correction.Expires = until
	}
	return correction, nil
}

func timeError(flag, found string) error {
	return commander.NewExitError(commander.ExitUsage, "flag "+flag+": expected a time such as 2026-12-05T06:00:00Z, found \""+found+"\"")
}

func (options *Options) run(ctx context.Context) error {
	if options.id == "" {
		options.id = ulid.Make().String()
	}
	correction, err := options.correction(time.Now().UTC())
	if err != nil {
		return err
	}
	client, err := options.factory.AdminClient()
	if err != nil {
		return err
	}
	return commander.Submit(ctx, options.factory.Streams(), client, cranberryward.Submission{
		ID:         options.id,
		Kind:       cranberryward.SubmitCorrection,
		Author:     os.Getenv("USER"),
		Correction: &correction,
	}, options.asJSON)
}
