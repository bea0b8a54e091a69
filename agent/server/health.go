package server

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	healthInterval = time.Second
	downInterval   = 50 * time.Millisecond
	healthTimeout  = time.Second
)

// health is the state of the backend server as known from health checks.
type health struct {
	mutex       sync.Mutex
	incarnation string
	down        bool
	// ends counts the checks that found it unreachable.
	ends     int
	versions []string
}

func (health *health) isDown() bool {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.down
}

// endCount returns how many checks found the backend server unreachable, also those of calls that broke off.
func (health *health) endCount() int {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.ends
}

func (health *health) currentIncarnation() string {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.incarnation
}

func (health *health) loadedVersions() []string {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	return health.versions
}

// observe records the result of a health check and returns whether the backend server is unreachable or no longer runs the given incarnation, if any.
func (health *health) observe(state cranberryward.RankState, err error, incarnation string) (ended bool) {
	health.mutex.Lock()
	defer health.mutex.Unlock()
	if err != nil {
		unreachable := cranberryward.FailureOf(err).Reason() == cranberryward.ReasonUnreachable
		if unreachable {
			health.down = true
			health.ends++
		}
		return unreachable
	}
	health.down = false
	health.incarnation = state.Incarnation
	health.versions = state.Versions
	return incarnation != "" && state.Incarnation != incarnation
}

func (agent *agent) checkHealth(ctx context.Context, incarnation string) (ended bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), healthTimeout)
	defer cancel()
	if agent.engine == nil {
		return agent.health.observe(cranberryward.RankState{}, agent.service.Alive(ctx), incarnation)
	}
	state, err := agent.engine.RankState(ctx)
	return agent.health.observe(state, err, incarnation)
}

// backendCrashed returns whether the incarnation of the backend server in which a request began has ended.
func (agent *agent) backendCrashed(ctx context.Context, incarnation string) bool {
	return agent.checkHealth(ctx, incarnation)
}

// watchHealth checks the backend server periodically, and more often while it is down, because requests are refused until it responds again.
func (agent *agent) watchHealth(ctx context.Context) {
	for ends := 0; ctx.Err() == nil; {
		agent.checkHealth(ctx, "")
		interval := healthInterval
		if seen := agent.health.endCount(); seen != ends {
			ends = seen
			agent.announcements.restart(agent.logger)
		}
		if agent.health.isDown() || agent.announcements.isLeaving() { // also sees a quick restart
			interval = downInterval
		}
		waiter.Sleep(ctx, interval)
	}
}
