package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward/gateway/agent"
	"github.com/cranberryward/cranberryward/gateway/entry"
	"github.com/cranberryward/cranberryward/gateway/settings"
	"github.com/cranberryward/cranberryward/logger"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"
)

// exitCode is the exit status of the program.
type exitCode int

const (
	exitOK      exitCode = 0
	exitFailure exitCode = 1
	exitUsage   exitCode = 2
)

func main() { os.Exit(int(run(os.Args[1:]))) }

// process is the entry or the agent that a role runs.
type process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Reload(settings settings.Settings)
}

// usage is printed for unknown arguments.
const usage = `usage: gateway entry|agent      run a process, with the path of its settings file in ` + settings.PathVariable + `
       gateway check FILE       check a settings file and list all of its faults`

func run(arguments []string) exitCode {
	if len(arguments) == 2 && arguments[0] == "check" {
		return check(os.Stdout, os.Stderr, arguments[1])
	}
	// Signals are requested first: one that arrives before that ends the process, and the platform may send one right after the start.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if len(arguments) != 1 || arguments[0] != "entry" && arguments[0] != "agent" {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	keeper, err := settings.NewKeeper(os.Getenv(settings.PathVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		return exitUsage
	}
	loaded := keeper.Current()
	reserver.LimitCollector(loaded.MemoryMB << 20)
	logger := logger.New(os.Stdout, arguments[0], loaded.Instance, loaded.Zone, "info")
	if err := serve(arguments[0], keeper, logger, signals); err != nil {
		_ = level.Error(logger).Log("event", "failed", "error", err)
		return exitFailure
	}
	return exitOK
}

// check reports whether a settings file is valid.
func check(stdout, stderr io.Writer, path string) exitCode {
	if _, err := settings.Load(path); err != nil {
		fmt.Fprintf(stderr, "gateway: %s: %v\n", path, err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s is in order\n", path)
	return exitOK
}

// serve runs the role until a signal stops it, and reloads the settings on SIGHUP.
func serve(role string, keeper *settings.Keeper, logger log.Logger, signals <-chan os.Signal) error {
	var running process
	loaded := keeper.Current()
	app := fx.New(
		fx.NopLogger,
		fx.Supply(loaded),
		fx.Provide(func() log.Logger { return logger }, processProvider(role)),
		fx.Invoke(func(lifecycle fx.Lifecycle, process process) {
			running = process
			lifecycle.Append(fx.Hook{
				OnStart: process.Start,
				OnStop:  process.Stop,
			})
		}),
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	_ = level.Info(logger).Log("event", "started")
	go func() {
		if err := meter.Serve(loaded.Metrics); err != nil {
			_ = level.Error(logger).Log("event", "metrics_unserved", "error", err)
		}
	}()
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(keeper, running, logger)
	}
	failure := ""
	stopping := stopping{
		stop:    app.Stop,
		grace:   func() time.Duration { return keeper.Current().GracePeriod() },
		refresh: func() { failure = refresh(keeper, running, logger, failure) },
	}
	return stopping.run(signals)
}

func processProvider(role string) any {
	if role == "entry" {
		return func(loaded settings.Settings, logger log.Logger) (process, error) { return entry.New(loaded, logger) }
	}
	return func(loaded settings.Settings, logger log.Logger) (process, error) { return agent.New(loaded, logger) }
}

// reload reads the settings again, and keeps the current ones if the file is invalid.
func reload(keeper *settings.Keeper, running process, logger log.Logger) {
	if _, err := keeper.Reload(); err != nil {
		_ = level.Error(logger).Log("event", "reload_failed", "error", err)
		return
	}
	running.Reload(keeper.Current())
	_ = level.Info(logger).Log("event", "reloaded")
}

// refresh reloads the settings if their file holds others than those in force, as it may change without a signal. It returns why that failed, and logs it unless
// it failed for the same reason before.
func refresh(keeper *settings.Keeper, running process, logger log.Logger, before string) (failure string) {
	changed, err := keeper.Reload()
	if err != nil {
		if failure = err.Error(); failure != before {
			_ = level.Error(logger).Log("event", "reload_failed", "error", failure)
		}
		return failure
	}
	if changed {
		running.Reload(keeper.Current())
		_ = level.Info(logger).Log("event", "reloaded")
	}
	return ""
}
