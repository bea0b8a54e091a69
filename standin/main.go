package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/standin/engineserver"
	"github.com/cranberryward/cranberryward/standin/keyvalueserver"
	"github.com/cranberryward/cranberryward/standin/listserver"
	"github.com/cranberryward/cranberryward/standin/serviceserver"
	"github.com/cranberryward/cranberryward/standin/weightserver"
	"github.com/integrii/flaggy"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	listen         string
	name           string
	weights        string
	bytesPerSecond int64
	engine         engineserver.Settings
}

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handlers, addresses, err := buildHandlers(ctx, os.Args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	for i, handler := range handlers {
		server, err := listener.New(addresses[i], handler)
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return exitFailure
		}
		server.Start()
	}
	<-ctx.Done()
	return 0
}

func buildHandlers(ctx context.Context, arguments []string) ([]http.Handler, []string, error) {
	options := options{
		listen:         "127.0.0.1:7101",
		name:           "booking",
		weights:        "127.0.0.1:7103",
		bytesPerSecond: 64 << 20,
		engine:         engineserver.DefaultSettings(),
	}
	parser := flaggy.NewParser("standin")
	parser.Description = "Runs one small stand-in of the platform or of a backend server."
	parser.Version = cranberryward.Version
	commands := map[string]*flaggy.Subcommand{}
	for _, name := range []string{"keyvalue", "list", "weights", "engine", "service"} {
		command := flaggy.NewSubcommand(name)
		command.String(&options.listen, "", "listen", "Addresses, one for each rank of an engine, separated by commas")
		commands[name] = command
		parser.AttachSubcommand(command, 1)
	}
	commands["service"].String(&options.name, "", "name", "Name of the plain service")
	commands["weights"].Int64(&options.bytesPerSecond, "", "rate", "Rate in bytes a second")
	options.addEngineFlags(commands["engine"])
	if err := parser.ParseArgs(arguments); err != nil {
		return nil, nil, err
	}
	addresses := strings.Split(options.listen, ",")
	switch {
	case commands["keyvalue"].Used:
		return []http.Handler{keyvalueserver.New().Handler()}, addresses, nil
	case commands["list"].Used:
		return []http.Handler{listserver.New().Handler()}, addresses, nil
	case commands["weights"].Used:
		return []http.Handler{weightserver.New(options.bytesPerSecond).Handler()}, addresses, nil
	case commands["service"].Used:
		return []http.Handler{serviceserver.New(options.name).Handler()}, addresses, nil
	case commands["engine"].Used:
		return options.buildEngine(ctx, addresses), addresses, nil
	}
	parser.ShowHelp()
	return nil, nil, nil
}

func (options *options) addEngineFlags(command *flaggy.Subcommand) {
	command.String(&options.engine.Name, "", "group", "Name of the lock-step group")
	command.String(&options.engine.Model, "", "model", "Model that the group runs")
	command.String(&options.weights, "", "weights", "Address of the weight store")
	command.Int(&options.engine.Layers, "", "layers", "Layers with experts")
	command.Int(&options.engine.Experts, "", "experts", "Experts in each layer")
	command.Int(&options.engine.Redundant, "", "redundant", "Slots in each layer beyond one for each expert")
	command.Int64(&options.engine.StepMicros, "", "step-micros", "Time of one step in microseconds")
}

func (options *options) buildEngine(ctx context.Context, addresses []string) []http.Handler {
	options.engine.Ranks = len(addresses)
	group := engineserver.NewGroup(options.engine, dialer.NewWeightStore(options.weights))
	go group.Run(ctx)
	var handlers []http.Handler
	for rank := range addresses {
		handlers = append(handlers, group.Rank(rank).Handler())
	}
	return handlers
}
