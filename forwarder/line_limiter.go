package forwarder

import (
	"sync"
	"time"
)

// linesPerSecond bounds the log lines for requests that are refused for what their callers send.
const linesPerSecond = 10

// callerReasons are the reasons of such refusals.
var callerReasons = map[string]bool{
	"no_memory":     true,
	"body_too_slow": true,
	"body_too_late": true,
	"body_too_long": true,
}

// lineLimiter bounds lines to linesPerSecond; its zero value is ready to use.
type lineLimiter struct {
	mutex    sync.Mutex
	second   time.Time
	lines    int
	unlogged int
}

// next returns whether one more line may be logged, and how many were left out before it.
func (lineLimiter *lineLimiter) next(now time.Time) (unlogged int, logged bool) {
	lineLimiter.mutex.Lock()
	defer lineLimiter.mutex.Unlock()
	if now.Sub(lineLimiter.second) >= time.Second {
		lineLimiter.second, lineLimiter.lines = now, 0
	}
	if lineLimiter.lines++; lineLimiter.lines > linesPerSecond {
		lineLimiter.unlogged++
		return 0, false
	}
	unlogged, lineLimiter.unlogged = lineLimiter.unlogged, 0
	return unlogged, true
}
