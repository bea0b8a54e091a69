package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberryward/cranberryward/entry/server"
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
	log := logger.New(os.Stderr, "entry", settings.ID, settings.Zone, settings.LogLevel)
	entry := server.New(settings, log)
	if err := entry.Start(ctx); err != nil {
		_ = log.Log("event", "start_failed", "error", err)
		return exitFailure
	}
	<-ctx.Done()
	if err := entry.Stop(context.Background()); err != nil {
		_ = log.Log("event", "stop_failed", "error", err)
		return exitFailure
	}
	return 0
}
