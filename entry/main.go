package main

import (
	"os"

	"github.com/cranberryward/cranberryward/entry/server"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/runner"
	"github.com/go-kit/log"
)

func main() {
	var settings server.Settings
	os.Exit(runner.Run(settings.Loader(), func() runner.Identity {
		return runner.Identity{
			Program:  "entry",
			Instance: settings.ID,
			Zone:     settings.Zone,
			LogLevel: settings.LogLevel,
		}
	}, func(logger log.Logger) runner.Server {
		reserver.LimitCollector(int64(settings.Memory))
		return server.New(settings, logger)
	}))
}
