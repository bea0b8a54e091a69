package agent

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/admitter"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/go-kit/log/level"
)

// Surveyor reaches the ranks through the tree of their agents.
func (agent *Agent) Surveyor() rebalancer.Surveyor { return agent.surveyor }

// Members returns the ranks that are currently registered, those of an availability zone next to each other.
func (agent *Agent) Members() []rebalancer.Member {
	snapshot, _ := agent.relayer.Snapshot()
	if snapshot == nil {
		return nil
	}
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	var members []rebalancer.Member
	clients := make(map[string]*rankClient, len(agent.rankClients))
	for id, server := range snapshot.Servers {
		if server.Service != agent.settings.Service {
			continue
		}
		known := agent.rankClients[server.Address]
		if known == nil {
			host, _, err := net.SplitHostPort(server.Address)
			if err != nil {
				continue // the registered address is not HOST:PORT, so there is no rank to reach
			}
			known = &rankClient{
				client:       agent.client,
				agentAddress: agent.settings.PeerAddressOn(host),
				direct:       platform.NewRank(server.Address),
				changes:      &agent.changes,
			}
		}
		clients[server.Address] = known
		members = append(members, rebalancer.Member{
			ID:     id,
			Client: known,
			Local:  known.agentAddress == agent.settings.PeerAddress(),
		})
	}
	agent.rankClients = clients // those of ranks that are gone are dropped
	slices.SortFunc(members, func(a, b rebalancer.Member) int {
		return cmp.Or(cmp.Compare(snapshot.Servers[a.ID].Zone, snapshot.Servers[b.ID].Zone), cmp.Compare(a.ID, b.ID))
	})
	return members
}

// HandleReports tells the entries the number of requests at each rank of the group, and the limit for each.
func (agent *Agent) HandleReports(reports map[string]cranberryward.RankReport, pass time.Duration) {
	now := time.Now()
	engine := agent.Engine()
	loads, spared := admitter.Loads(engine, reports, agent.spared)
	agent.spared = spared
	limit := agent.limit(engine, reports, len(spared), now, pass)
	agent.mutex.Lock()
	due := now.Sub(agent.lastAnnounced) >= announceInterval
	if due {
		agent.lastAnnounced = now
	}
	agent.mutex.Unlock()
	if !due {
		return
	}
	agent.relayer.AnnounceLoad(cranberryward.GroupLoad{
		Service: agent.settings.Service,
		Group:   agent.Name(),
		Counts:  loads,
		Spared:  spared,
		Limit:   limit,
	})
}

// limit returns the largest number of requests that each rank should have, or zero if it is unknown.
func (agent *Agent) limit(engine *cranberryward.EngineCostModel, reports map[string]cranberryward.RankReport, spared int, now time.Time, pass time.Duration) int {
	if engine == nil || len(reports) == 0 {
		return 0
	}
	running := 0
	for _, report := range reports {
		running += report.Running
	}
	mean := float64(running) / float64(len(reports))
	if !onFirstMap(engine, reports) {
		agent.estimator.Observe(engine, now, pass, mean)
	}
	limit := agent.estimator.Limit(engine, agent.PauseObjective())
	if now.Sub(agent.lastLogged) >= loadLogInterval {
		agent.lastLogged = now
		_ = level.Info(agent.logger).Log("event", "group_load", "ranks", len(reports), "running", fmt.Sprintf("%.1f", mean), "limit", limit, "pass_ms", pass.Milliseconds(), "spared", spared)
	}
	return limit
}

// onFirstMap returns whether a rank still runs with the map that a group opens with: its passes are long until experts are placed by demand, which says
// nothing of how many requests the group can run.
func onFirstMap(engine *cranberryward.EngineCostModel, reports map[string]cranberryward.RankReport) bool {
	if engine.Sets == 0 {
		return false
	}
	for _, report := range reports {
		if report.Map == 0 {
			return true
		}
	}
	return false
}

// Engine returns the cost model of the group's service.
func (agent *Agent) Engine() *cranberryward.EngineCostModel {
	snapshot, _ := agent.relayer.Snapshot()
	if snapshot == nil || snapshot.Deployment == nil {
		return nil
	}
	service, _ := snapshot.Deployment.Service(agent.settings.Service)
	return service.Engine
}

// PauseObjective returns the shortest pause objective of the routes to the group's service.
func (agent *Agent) PauseObjective() time.Duration {
	snapshot, _ := agent.relayer.Snapshot()
	if snapshot == nil || snapshot.Deployment == nil {
		return 0
	}
	shortest := time.Duration(0)
	for _, route := range snapshot.Deployment.Routes {
		for _, part := range route.Split {
			if part.Service == agent.settings.Service && route.PauseObjective > 0 && (shortest == 0 || route.PauseObjective < shortest) {
				shortest = route.PauseObjective
			}
		}
	}
	return shortest
}
