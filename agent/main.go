package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberryward/cranberryward/agent/server"
	"github.com/cranberryward/cranberryward/logger"
)

const exitFailure = 1

func main() { os.Exit(run()) }

func run() int {
	var settings server.Settings
	if code, ok := settings.Loader().Main(); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := logger.New(os.Stderr, "agent", settings.ID, settings.Zone, settings.LogLevel)
	agent := server.New(settings, log)
	if err := agent.Start(ctx); err != nil {
		_ = log.Log("event", "start_failed", "error", err)
		return exitFailure
	}
	<-ctx.Done()
	if err := agent.Stop(context.Background()); err != nil {
		_ = log.Log("event", "stop_failed", "error", err)
		return exitFailure
	}
	return 0
}
