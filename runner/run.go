package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberryward/cranberryward/loader"
	"github.com/cranberryward/cranberryward/logger"
	"github.com/go-kit/log"
)

const exitFailure = 1

// Server is a server that Run starts and stops.
type Server interface {
	// Start starts the server.
	Start(ctx context.Context) error
	// Stop shuts the server down gracefully.
	Stop(ctx context.Context) error
}

// Identity identifies a process in its log lines.
type Identity struct {
	Program  string `json:"program"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	LogLevel string `json:"log_level"`
}

// Run loads the settings, runs the server that they describe until an interrupt or SIGTERM, and returns the exit code.
func Run(settings *loader.Loader, identify func() Identity, build func(logger log.Logger) Server) int {
	if code, ok := settings.LoadCommandLine(); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	identity := identify()
	processLogger := logger.New(os.Stderr, identity.Program, identity.Instance, identity.Zone, identity.LogLevel)
	server := build(processLogger)
	if err := server.Start(ctx); err != nil {
		_ = processLogger.Log("event", "start_failed", "error", err)
		return exitFailure
	}
	<-ctx.Done()
	if err := server.Stop(context.Background()); err != nil {
		_ = processLogger.Log("event", "stop_failed", "error", err)
		return exitFailure
	}
	return 0
}
