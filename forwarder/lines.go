package forwarder

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// calmSample is how many calm requests one log line stands for.
const calmSample = 64

// lines writes one line for each request that failed or was refused, and for a sample of the others.
type lines struct {
	logger log.Logger
	calm   atomic.Uint64
}

func (lines *lines) ended(exchange *exchange, status int, reason string) {
	logger := level.Info(lines.logger)
	if reason == "" {
		if lines.calm.Add(1)%calmSample != 1 {
			return
		}
		logger = level.Debug(lines.logger)
	}
	route := ""
	if exchange.route != nil {
		route = exchange.route.Name
	}
	err := logger.Log("event", "request_ended", "request", exchange.facts.ID, "status", status, "reason", reason, "route", route,
		"sends", exchange.sends, "may_have_run", exchange.mayHaveRun, "ms", time.Since(exchange.arrived).Milliseconds())
	if err != nil {
		lines.calm.Add(1) // a line that cannot be written has nowhere to be reported
	}
}

func isTooLong(err error, target **http.MaxBytesError) bool { return errors.As(err, target) }
