package where

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/integrii/flaggy"
)

const (
	entryVariable = "CRANBERRYWARD_ENTRY"
	keyVariable   = "CRANBERRYWARD_KEY"
	askTimeout    = 5 * time.Second
	// maxErrorBytes bounds what is printed of an answer that reports an error.
	maxErrorBytes = 512
)

// Options holds the flags and dependencies of the command.
type Options struct {
	factory *commander.Factory
	entry   string
	host    string
	path    string
	method  string
	key     string
	size    int64
	parts   string
	// remaining is the time that the caller states, in milliseconds.
	remaining int64
	asJSON    bool
}

// New returns the where command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		factory: factory,
		method:  http.MethodPost,
	}
	return commander.NewCommand("where", "Ask an entry of the gateway where a request would go now, and why, without sending it",
		"cranberryward where front.example /look/1 --entry 127.0.0.1:7703 --size 2000 --parts a1,b2",
		func(subcommand *flaggy.Subcommand) {
			subcommand.AddPositionalValue(&options.host, "HOST", 1, true, "Host of the request")
			subcommand.AddPositionalValue(&options.path, "PATH", 2, true, "Path of the request")
			subcommand.String(&options.entry, "", "entry", "Control address of the entry (environment "+entryVariable+")")
			subcommand.String(&options.key, "", "key", "Key of the workspace (environment "+keyVariable+", which other users of the machine do not see)")
			subcommand.String(&options.method, "", "method", "Method")
			subcommand.Int64(&options.size, "", "size", "Length of the body in bytes")
			subcommand.String(&options.parts, "", "parts", "IDs of the parts of the prompt, separated by commas; the last one is the request's own")
			subcommand.Int64(&options.remaining, "", "remaining", "Time to the caller's deadline in milliseconds")
			subcommand.Bool(&options.asJSON, "", "json", "Print the answer as JSON")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	if options.entry == "" {
		options.entry = options.factory.Variable(entryVariable)
	}
	if options.key == "" {
		options.key = options.factory.Variable(keyVariable)
	}
	if options.entry == "" {
		return commander.NewExitError(commander.ExitUsage, "no entry address: pass --entry IP:port or set "+entryVariable)
	}
	if options.size < 0 || options.remaining < 0 {
		return commander.NewExitError(commander.ExitUsage, "--size and --remaining must not be negative")
	}
	answer, err := options.ask(ctx)
	if err != nil {
		return err
	}
	if options.asJSON {
		if err := options.factory.Streams().JSON(answer); err != nil {
			return err
		}
	} else {
		show(options.factory.Streams(), answer)
	}
	if !answer.Served() {
		return commander.NewExitError(commander.ExitFailed, "") // the answer says why
	}
	return nil
}

// ask returns the answer of the entry; one that does not answer is no refusal, and has another exit code.
func (options *Options) ask(ctx context.Context) (answer cranberryward.WhereAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{
		"host":         {options.host},
		"path":         {options.path},
		"method":       {options.method},
		"body_bytes":   {strconv.FormatInt(options.size, 10)},
		"parts":        {options.parts},
		"remaining_ms": {strconv.FormatInt(options.remaining, 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+options.entry+"/v1/where?"+query.Encode(), nil)
	if err != nil {
		return answer, commander.NewExitError(commander.ExitUsage, "invalid entry address "+strconv.Quote(options.entry)+", expected IP:port")
	}
	request.Header.Set("Authorization", "Bearer "+options.key)
	client := &http.Client{Transport: dialer.NewSingleUseTransport()}
	response, err := client.Do(request)
	if err != nil {
		return answer, commander.NewExitError(commander.ExitMayBeAccepted, "entry "+options.entry+" does not answer: "+dialer.TransportFailure(ctx, err).Error())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // what was read tells as much as there is
		code := commander.ExitMayBeAccepted
		if response.StatusCode == http.StatusBadRequest {
			code = commander.ExitUsage
		}
		return answer, commander.NewExitError(code, fmt.Sprintf("entry %s answers with status %d: %s", options.entry, response.StatusCode, strings.TrimSpace(string(text))))
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, commander.NewExitError(commander.ExitMayBeAccepted, "cannot read the answer of entry "+options.entry+": "+err.Error())
	}
	return answer, nil
}

// show prints one row for each decision, quarantine, load and backend server.
func show(streams commander.Streams, answer cranberryward.WhereAnswer) {
	streams.Progressf("%s in %s: configuration version %d, revision %d; snapshot %d ms old; route %s, workspace %s", answer.Entry, answer.Zone, answer.Version, answer.Revision, answer.SnapshotAgeMS,
		orNone(answer.Route), orNone(answer.Workspace))
	var rows [][]string
	if answer.Refusal != nil {
		rows = append(rows, []string{"request", "", answer.Refusal.Decision, explain(*answer.Refusal)})
	}
	for _, service := range answer.Services {
		rows = append(rows, []string{"service", service.Service, service.Decision, explain(service.WhereDecision)})
		for _, quarantine := range service.Quarantines {
			rows = append(rows, []string{"quarantine", quarantine.Part, "quarantined", fmt.Sprintf("ends in %d ms, probe due: %t", quarantine.RemainingMS, quarantine.ProbeDue)})
		}
		for _, load := range service.Loads {
			rows = append(rows, []string{"loads", load.Group, "reported", fmt.Sprintf("%d ms ago", load.AgeMS)})
		}
		for _, server := range service.Servers {
			rows = append(rows, []string{"server", server.Server, stateOf(server, service.Servers), noteOn(server)})
		}
	}
	streams.Table([]string{"KIND", "NAME", "STATE", "NOTE"}, rows)
}

// explain returns the reason of a decision with its status and times.
func explain(decision cranberryward.WhereDecision) string {
	var words []string
	if decision.Reason != "" {
		words = append(words, decision.Reason)
	}
	if decision.Status != 0 {
		words = append(words, fmt.Sprintf("status %d", decision.Status))
	}
	if decision.RetryAfterMS > 0 {
		words = append(words, fmt.Sprintf("Retry-After %d ms", decision.RetryAfterMS))
	}
	if decision.WaitMS > 0 {
		words = append(words, fmt.Sprintf("waits %d ms", decision.WaitMS))
	}
	return strings.Join(words, ", ")
}

// stateOf returns whether a backend server would be chosen, alone or as one of several, or else why it is excluded or was not drawn.
func stateOf(server cranberryward.WhereServer, servers []cranberryward.WhereServer) string {
	chosen := 0
	for _, other := range servers {
		if other.Share > 0 {
			chosen++
		}
	}
	switch {
	case server.Share > 0 && chosen == 1:
		return "chosen"
	case server.Share > 0:
		return fmt.Sprintf("one of %d", chosen)
	case server.Reason != "":
		return server.Reason
	default:
		return "not chosen"
	}
}

// noteOn returns the load, the zone and the times of a backend server.
func noteOn(server cranberryward.WhereServer) string {
	note := fmt.Sprintf("%d of %d in flight, %s", server.InFlight, server.Slots, server.Zone)
	if server.OtherZone {
		note += " (other zone)"
	}
	if server.Share > 0 {
		note += fmt.Sprintf(", drawn %.0f %%", 100*server.Share)
		if server.Reason != "" {
			note += ", " + server.Reason
		}
	}
	if server.EndsInMS > 0 {
		note += fmt.Sprintf(", ends in %d ms", server.EndsInMS)
	}
	return note
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
