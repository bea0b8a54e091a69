package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/admitter"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/gateway/settings"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/rebalancer"
	"github.com/cranberryward/cranberryward/relayer"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

const (
	// refreshAge is the age of the snapshot at which an agent reads the store itself; entries do so sooner.
	refreshAge = 900 * time.Millisecond
	// leaseTTL is the time to live of the group's lease, short enough that a group whose controller fails pauses its streams for no longer than
	// callers wait.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval leaves time for two more attempts within the lease's time to live.
	renewInterval = 400 * time.Millisecond
	// electionTimeout is how long an agent hears no controller before it requests the lease; a controller observes each rank many times in that time.
	electionTimeout = 1000 * time.Millisecond
	// candidateSpacing is the time after which the next agent requests the lease if the one before it has not been heard: three calls to the store and a
	// survey take less.
	candidateSpacing = 100 * time.Millisecond
	// staggeredCandidates is the number of agents that request the lease one after the other; the others follow spread over lateCandidates.
	staggeredCandidates = 20
	lateCandidates      = 3 * time.Second
	// groupRetry is the pause before an agent looks again whether it knows its group.
	groupRetry = 50 * time.Millisecond
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = time.Second
	// announceInterval is how often the controller tells the entries the load of the ranks, by which they distribute requests.
	announceInterval = 75 * time.Millisecond
	// loadLogInterval is how often the controller logs the load of its group.
	loadLogInterval = time.Second
	groupPrefix     = "cranberryward/group/"
)

// Agent is the process next to one rank.
type Agent struct {
	settings    settings.Settings
	logger      log.Logger
	store       *platform.Store
	client      *caller.Client
	server      *caller.Server
	rankService *rankService
	surveyor    *surveyor
	relayer     *relayer.Relayer

	// estimator and spared, the ranks that are to run no requests, are used by the rebalancer of the current term only.
	estimator admitter.Estimator
	spared    map[string]bool
	// lastLogged is when the load of the group was last logged.
	lastLogged time.Time

	mutex         sync.Mutex
	rankClients   map[string]*rankClient
	changes       changesPacker
	lastAnnounced time.Time
	cancel        context.CancelFunc
	ended         chan struct{}
}

// New returns an agent that has not been started.
func New(settings settings.Settings, logger log.Logger) (*Agent, error) {
	agent := &Agent{
		settings:    settings,
		logger:      logger,
		store:       platform.NewStore(settings.Store),
		client:      caller.NewClient(""),
		rankClients: map[string]*rankClient{},
		ended:       make(chan struct{}),
	}
	server, err := caller.NewServer(settings.PeerAddress(), "")
	if err != nil {
		return nil, err
	}
	agent.server = server
	agent.relayer, err = relayer.New(relayer.Options{
		Instance:       settings.Instance,
		Zone:           settings.Zone,
		Address:        settings.PeerAddress(),
		Seeds:          settings.SeedAddresses(),
		RefreshAge:     refreshAge,
		PeerCandidates: PeerCandidates(settings),
		Logger:         logger,
	}, agent.store, agent.client)
	if err != nil {
		return nil, err
	}
	if err := server.Register("Belief", agent.relayer); err != nil {
		return nil, err
	}
	if settings.Rank != "" {
		tree := newTree(agent.client)
		agent.rankService = newRankService(settings.Rank, tree, agent.announceGroup)
		agent.surveyor = &surveyor{
			tree:         tree,
			local:        agent.rankService,
			localAddress: settings.PeerAddress(),
			changes:      &agent.changes,
		}
		if err := server.Register("Rank", agent.rankService); err != nil {
			return nil, err
		}
	}
	return agent, nil
}

// PeerCandidates returns the addresses at which agents may be reached: those on the instances of the groups' ranks.
func PeerCandidates(settings settings.Settings) func(snapshot *relayer.Snapshot) []string {
	return func(snapshot *relayer.Snapshot) []string {
		if snapshot.Deployment == nil {
			return nil
		}
		var addresses []string
		for _, server := range snapshot.Servers {
			service, known := snapshot.Deployment.Service(server.Service)
			if !known || service.Engine == nil {
				continue
			}
			if host, _, err := net.SplitHostPort(server.Address); err == nil {
				addresses = append(addresses, settings.PeerAddressOn(host))
			}
		}
		return addresses
	}
}

// Start starts the agent.
func (agent *Agent) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	agent.cancel = cancel
	agent.server.Start()
	go agent.relayer.Run(ctx)
	if agent.rankService != nil {
		go agent.rankService.watch(ctx)
		guard := &holdGuard{
			rankService: agent.rankService,
			group:       agent,
			logger:      agent.logger,
		}
		go guard.run(ctx)
	}
	go func() {
		defer close(agent.ended)
		if agent.rankService != nil {
			agent.campaign(ctx)
		}
	}()
	return nil
}

// announceGroup tells the entries whether the group of this agent's rank is open.
func (agent *Agent) announceGroup(report cranberryward.RankReport) {
	if report.Group == "" {
		return
	}
	agent.relayer.AnnounceGroup(cranberryward.GroupState{
		Service: agent.settings.Service,
		Name:    report.Group,
		Epoch:   report.Epoch,
		Open:    report.Open,
	})
}

// Stop hands the group over and ends the agent.
func (agent *Agent) Stop(ctx context.Context) error {
	agent.cancel()
	select {
	case <-agent.ended:
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "the group was not handed over in time")
	}
	agent.server.Stop()
	return nil
}

// Reload changes nothing: an agent's settings take effect at its next start only.
func (agent *Agent) Reload(settings.Settings) {}

// campaign tries to acquire the group's lease whenever no controller is heard.
func (agent *Agent) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		if !agent.knowsGroup() {
			_ = sleep(ctx, groupRetry) // the loop ends with the context
			continue
		}
		delay := candidateDelay(agent.candidatePosition())
		if wait := electionTimeout + delay - agent.rankService.silence(); wait > 0 {
			_ = sleep(ctx, wait) // the loop ends with the context
			if agent.rankService.silence() < electionTimeout {
				continue
			}
		}
		err := agent.lead(ctx)
		if eris.Is(err, rebalancer.ErrTermEnded) && ctx.Err() == nil {
			// If another agent has only ended a hold, the group still needs a controller.
			err = agent.lead(ctx)
		}
		if err != nil && ctx.Err() == nil {
			_ = level.Info(agent.logger).Log("event", "campaign_failed", "error", err)
			// Another agent holds the lease, or the store does not answer: either way this one waits as if a controller had been heard.
			agent.rankService.resetSilence()
		}
	}
}

// candidateDelay returns how long after electionTimeout the agent at a position requests the lease.
func candidateDelay(position int) time.Duration {
	delay := time.Duration(min(position, staggeredCandidates)) * candidateSpacing
	if position >= staggeredCandidates {
		delay += rand.N(lateCandidates)
	}
	return delay
}

// candidatePosition returns the position of this agent in the order in which the agents of the group request its lease. Which members of the service belong
// to other groups is not known here, so the position among all of them is scaled to the size of the group.
func (agent *Agent) candidatePosition() int {
	position := 0
	key, members := agent.groupKey(), agent.Members()
	own := cranberryward.RendezvousWeight(key, agent.settings.PeerAddress())
	for _, member := range members {
		if cranberryward.RendezvousWeight(key, member.Client.(*rankClient).agentAddress) > own {
			position++
		}
	}
	if size := agent.rankService.groupSize(); size < len(members) {
		position = position * size / len(members)
	}
	return position
}

// knowsGroup returns whether the name, the cost model and the ranks of the group are known, without which it cannot be controlled.
func (agent *Agent) knowsGroup() bool {
	_, known := agent.rankService.lastGroup()
	return known && agent.Engine() != nil && len(agent.Members()) > 0
}

// Name returns the name of the group that this agent's rank belongs to.
func (agent *Agent) Name() string {
	name, _ := agent.rankService.lastGroup()
	return name
}

// groupKey returns the key in the store that the controller of the group holds; a service may have several groups.
func (agent *Agent) groupKey() string {
	return groupPrefix + agent.settings.Service + "/" + agent.Name()
}

// lead acquires the lease and controls the group until the term ends.
func (agent *Agent) lead(ctx context.Context) error {
	lease, term, err := agent.acquireLease(ctx)
	if err != nil {
		return err
	}
	_ = level.Info(agent.logger).Log("event", "term_begun", "term", term)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go agent.renewLease(ctx, cancel, lease)
	err = rebalancer.New(agent, term, agent.logger).Run(ctx)
	_ = level.Info(agent.logger).Log("event", "term_ended", "term", term, "error", err)
	agent.revokeLease(lease)
	return nil
}

// revokeLease ends a lease with its keys, so that the next controller need not wait until it expires.
func (agent *Agent) revokeLease(lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := agent.store.RevokeLease(ctx, lease); err != nil {
		_ = level.Info(agent.logger).Log("event", "lease_not_ended", "error", err)
	}
}

func (agent *Agent) acquireLease(ctx context.Context) (lease platform.Lease, term uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := agent.groupKey()
	held, err := agent.store.Get(ctx, key)
	if err != nil {
		return lease, 0, eris.Wrap(err, "look for the group's key")
	}
	if held.Revision != 0 {
		return lease, 0, eris.Errorf("%s holds the group's key", held.Value)
	}
	ttl := max(leaseTTL, time.Duration(agent.settings.StoreMinimumLeaseMS)*time.Millisecond)
	lease, err = agent.store.GrantLease(ctx, ttl)
	if err != nil {
		return lease, 0, eris.Wrap(err, "grant a lease")
	}
	value := fmt.Appendf(nil, "%s", agent.settings.PeerAddress())
	position, err := agent.store.Create(ctx, key, value, lease)
	if eris.Is(err, platform.ErrConflict) {
		agent.revokeLease(lease)
	}
	if err != nil {
		// After a lost response the key may exist; it goes with the lease, which is not renewed.
		return lease, 0, eris.Wrap(err, "create the group's key")
	}
	return lease, rebalancer.Term(position), nil
}

// renewLease keeps the lease alive; a controller that cannot reach the store continues until the ranks' agents follow a later term.
func (agent *Agent) renewLease(ctx context.Context, end context.CancelFunc, lease platform.Lease) {
	for sleep(ctx, renewInterval) == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := agent.store.RenewLease(call, lease)
		cancel()
		if eris.Is(err, platform.ErrLeaseNotFound) {
			end()
			return
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}
