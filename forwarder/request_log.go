package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// successesPerLine is the sampling interval of log lines for successful requests.
const successesPerLine = 64

// requestLog counts ended requests in the metrics, and logs each one that failed, was refused or was late, and a sample of the others.
type requestLog struct {
	logger    log.Logger
	successes atomic.Uint64
	// refusals bounds the lines for refusals that callers can bring about as often as they like.
	refusals lineLimiter
}

// recordEnd records the end of a request, with an empty reason for a success.
func (requestLog *requestLog) recordEnd(exchange *exchange, status int, reason string) {
	meter.CountRequest(status, reason)
	meter.CountSends(exchange.sends)
	logger := level.Info(requestLog.logger)
	if callerReasons[reason] {
		unlogged, logged := requestLog.refusals.next(time.Now())
		if logged {
			requestLog.write(logger, exchange, status, reason, "unlogged", unlogged)
		}
		return
	}
	if reason == "" {
		if requestLog.successes.Add(1)%successesPerLine != 1 {
			return
		}
		logger = level.Debug(requestLog.logger)
	}
	requestLog.write(logger, exchange, status, reason)
}

func (requestLog *requestLog) write(logger log.Logger, exchange *exchange, status int, reason string, details ...any) {
	route := ""
	if exchange.route != nil {
		route = exchange.route.Name
	}
	_ = logger.Log(append([]any{"event", "request_ended", "request", exchange.metadata.ID, "status", status, "reason", reason, "route", route,
		"sends", exchange.sends, "may_have_run", exchange.mayHaveRun, "ms", time.Since(exchange.arrived).Milliseconds()}, details...)...) // there is nowhere to report a log line that cannot be written
}

// recordBreak logs a send that broke off after it may have reached a backend server: the fingerprint of the request, its prompt parts and the events that had
// arrived tell what requests that broke off have in common.
func (requestLog *requestLog) recordBreak(exchange *exchange, server cranberryward.BackendServer, events int, err error) {
	_ = level.Info(requestLog.logger).Log("event", "send_broken", "request", exchange.metadata.ID, "backend_server", server.ID, "service", exchange.service,
		"fingerprint", exchange.fingerprint(), "shared_parts", strings.Join(exchange.metadata.SharedParts(), ","), "events", events, "sends", exchange.sends, "ms", time.Since(exchange.sentAt).Milliseconds(),
		"error", err) // there is nowhere to report a log line that cannot be written
}

// recordStream records the end of a complete stream, with the times that its caller saw.
func (requestLog *requestLog) recordStream(exchange *exchange, relay *relay) {
	reason := relay.lateReason(exchange)
	meter.RecordFirstEvent(relay.firstAt.Sub(exchange.arrived))
	meter.RecordPause(relay.longestPause)
	if reason == "" {
		requestLog.recordEnd(exchange, http.StatusOK, "")
		return
	}
	meter.CountRequest(http.StatusOK, reason)
	meter.CountSends(exchange.sends)
	requestLog.write(level.Info(requestLog.logger), exchange, http.StatusOK, reason,
		"backend_server", relay.server, "prompt_tokens", exchange.metadata.PromptTokens, "urgency", exchange.urgency(), "load", fmt.Sprint(relay.load.Running, "/", relay.load.Waiting), "first_ms", relay.firstAt.Sub(exchange.arrived).Milliseconds(), "pause_ms", relay.longestPause.Milliseconds())
}
