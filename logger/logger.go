package logger

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes lines at or above a minimum level: debug, info, warn or error.
func New(writer io.Writer, program, instance, zone, minimumLevel string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(writer))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "program", program, "instance", instance, "zone", zone)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minimumLevel, level.InfoValue())))
}
