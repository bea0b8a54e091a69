package main

import (
	"os"

	"github.com/cranberryward/cranberryward/agent/server"
	"github.com/cranberryward/cranberryward/runner"
	"github.com/go-kit/log"
)

func main() {
	var settings server.Settings
	os.Exit(runner.Run(settings.Loader(), func() runner.Identity {
		return runner.Identity{
			Program:  "agent",
			Instance: settings.ID,
			Zone:     settings.Zone,
			LogLevel: settings.LogLevel,
		}
	}, func(logger log.Logger) runner.Server { return server.New(settings, logger) }))
}
