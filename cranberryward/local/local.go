package local

import (
	"context"
	"net"
	"time"

	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/cranberryward/deployer"
	"github.com/cranberryward/cranberryward/entry/server"
	"github.com/cranberryward/cranberryward/logger"
	"github.com/go-kit/log"
	"github.com/integrii/flaggy"
)

const (
	smokeTimeout = 50 * time.Second
	stopTimeout  = 10 * time.Second
	firstEntry   = "zone-a-entry-0"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	streams commander.Streams
	smoke   bool
	logs    bool
}

// New returns the local command.
func New(factory *commander.Factory) *commander.Command {
	options := &Options{
		streams: factory.Streams(),
	}
	return commander.NewCommand("local", "Run three availability zones with stand-ins on loopback in one process", "cranberryward local --smoke",
		func(subcommand *flaggy.Subcommand) {
			subcommand.Bool(&options.smoke, "", "smoke", "Run one check of each feature, print a line for each and exit")
			subcommand.Bool(&options.logs, "", "logs", "Write the log lines of all processes to standard error")
		},
		options.run)
}

func (options *Options) run(ctx context.Context) error {
	settings := deployer.DefaultOptions()
	settings.Logger = log.NewNopLogger()
	if options.logs {
		settings.Logger = logger.New(options.streams.ErrOut(), "local", "local", "all", "info")
	}
	if !options.smoke {
		settings.ChangeEntry = useDefaultAddresses
	}
	deployment, err := deployer.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		deployment.Stop(stopCtx)
	}()
	if options.smoke {
		ctx, cancel := context.WithTimeout(ctx, smokeTimeout)
		defer cancel()
		return options.runSmoke(ctx, deployment)
	}
	options.printInstructions(deployment)
	<-ctx.Done()
	return nil
}

// useDefaultAddresses gives the first entry the default addresses, which the README uses, if they are free.
func useDefaultAddresses(settings *server.Settings) {
	if settings.ID != firstEntry {
		return
	}
	defaults := server.Defaults()
	for target, address := range map[*string]string{&settings.Listen: defaults.Listen, &settings.AdminListen: defaults.AdminListen} {
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			*target = address
		}
	}
}

// printInstructions prints the addresses of the entries and examples to paste into a shell.
func (options *Options) printInstructions(deployment *deployer.Deployment) {
	for number := range deployment.EntryCount() {
		settings := deployment.EntrySettings(number)
		options.streams.Printf("%s: requests http://%s, administration %s", settings.ID, settings.Listen, settings.AdminListen)
	}
	first := deployment.EntrySettings(0)
	options.streams.Printf("\nTry a request:\n  curl -sN http://%s/v1/chat/completions -H 'Content-Type: application/json' \\\n"+
		"    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Rimaykullayki\"}]}'",
		first.Listen, deployer.Model)
	options.streams.Printf("\nTry a sheet:\n  export CRANBERRYWARD_ADMIN=%s CRANBERRYWARD_TOKEN=%s\n"+
		"  go run ./cranberryward sheet submit examples/parlamigo.csv\n  go run ./cranberryward status", first.AdminListen, deployer.OperatorToken)
	options.streams.Printf("\nTry a backend server that leaves, one that starts again, and one that asks for ten seconds without calls:\n"+
		"  curl -s http://%[1]s/faults -d '{\"leaving\":true}'; curl -s http://%[2]s/services/%[3]s/seats\n"+
		"  curl -s http://%[1]s/faults -d '{\"down\":true}'; sleep 1; curl -s http://%[1]s/faults -d '{}'\n"+
		"  curl -s http://%[1]s/faults -d '{\"away_ms\":10000}'; curl -s http://%[2]s/services/%[3]s/seats",
		deployment.ServiceAddress(0), first.Listen, deployer.ServiceName)
	options.streams.Printf("\nInterrupt to stop.")
}
