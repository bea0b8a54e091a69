package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/agent/guard"
	"github.com/cranberryward/cranberryward/agent/homekeeper"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/limiter"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/go-kit/log"
	"go.uber.org/fx"
)

const (
	startTimeout = 10 * time.Second
	initialLimit = 16
	minLimit     = 2
	maxLimit     = 512
)

// Server is a running agent.
type Server struct {
	app       *fx.App
	agent     *agent
	settings  Settings
	cancel    context.CancelFunc
	stopLimit time.Duration
}

type agent struct {
	settings      Settings
	instance      cranberryward.Instance
	logger        log.Logger
	engine        cranberryward.Engine
	service       cranberryward.Service
	store         cranberryward.KeyValueStore
	instanceList  cranberryward.InstanceList
	localState    *distributor.LocalState
	follower      *distributor.Follower
	rpcClient     *caller.Client
	limiter       *limiter.Limiter
	suspects      *quarantiner.SuspectTracker
	callLimit     callLimit
	announcements announcements
	guard         *guard.Guard
	switcher      *switcher.Switcher
	keyStore      *deduplicator.KeyStore
	keeper        *homekeeper.Keeper
	claims        claims
	drain         *drain
	prefillBytes  atomic.Int64
	requestServer *listener.Server
	peerServer    *caller.Server
	background    context.Context
	health        health
}

// New returns an agent that has not been started.
func New(settings Settings, logger log.Logger) *Server {
	background, cancel := context.WithCancel(context.Background())
	server := &Server{
		settings:  settings,
		cancel:    cancel,
		stopLimit: settings.StopLimit,
	}
	server.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(settings),
		fx.Provide(
			func() log.Logger { return logger },
			func() context.Context { return background },
			provideInstance,
			provideStore,
			provideInstanceList,
			distributor.NewLocalState,
			provideClient,
			newAgent,
		),
		fx.Invoke(registerHooks),
		fx.Populate(&server.agent),
	)
	return server
}

func provideInstance(settings Settings) cranberryward.Instance { return settings.newInstance() }

func provideStore(settings Settings) cranberryward.KeyValueStore {
	return dialer.NewKeyValueStore(settings.KeyValue)
}

func provideInstanceList(settings Settings) cranberryward.InstanceList {
	return dialer.NewInstanceList(settings.InstanceList)
}

func provideClient(settings Settings) *caller.Client { return caller.NewClient(settings.SharedKey) }

func newAgent(settings Settings, instance cranberryward.Instance, store cranberryward.KeyValueStore, instanceList cranberryward.InstanceList,
	localState *distributor.LocalState, rpcClient *caller.Client, background context.Context, logger log.Logger) *agent {
	agent := &agent{
		settings:     settings,
		instance:     instance,
		logger:       logger,
		store:        store,
		instanceList: instanceList,
		localState:   localState,
		rpcClient:    rpcClient,
		background:   background,
		limiter:      limiter.New(limiter.NewConcurrencyLimit(initialLimit, minLimit, maxLimit), settings.QueueLength),
		suspects:     &quarantiner.SuspectTracker{},
		keyStore:     deduplicator.NewKeyStore(settings.KeyCapacity, settings.KeyRetention),
		drain:        newDrain(logger),
	}
	agent.follower = distributor.NewFollower(distributor.FollowerSettings{
		ID:         instance.ID,
		Zone:       instance.Zone,
		LocalState: localState,
		Service:    distributor.NewService(instance.Zone, localState),
		Store:      store,
		List:       instanceList,
		Client:     rpcClient,
		Logger:     logger,
	})
	if instance.Role == cranberryward.RoleEngine {
		agent.addEngine()
	} else {
		agent.addService()
	}
	return agent
}

func (agent *agent) addEngine() {
	agent.engine = dialer.NewEngine(agent.settings.Backend)
	agent.guard = guard.New(agent.engine, agent.localState, agent.instance.Zone, agent.instance.Incarnation, guard.Limits{
		MaxAge:     agent.settings.MaxAge,
		HoldBound:  agent.settings.HoldBound,
		ClockError: agent.settings.ClockError,
	}, agent.logger)
	agent.switcher = switcher.New(agent.instance.Group, agent.rankClients, agent.logger)
}

func (agent *agent) addService() {
	agent.service = dialer.NewService(agent.settings.Backend)
	agent.keeper = homekeeper.New(homekeeper.Settings{
		Instance:   agent.instance,
		Lifetime:   agent.settings.HomeLifetime,
		ListLag:    agent.settings.ListLag,
		ClockError: agent.settings.ClockError,
	}, agent.store, agent.instanceList, agent.logger)
	agent.claims = claims{
		store:       agent.store,
		service:     agent.instance.Service,
		incarnation: agent.instance.Incarnation,
		retention:   agent.settings.KeyRetention,
	}
}

func registerHooks(lifecycle fx.Lifecycle, agent *agent) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return agent.start() },
	})
}

func (agent *agent) start() error {
	requestServer, err := listener.New(agent.settings.Listen, agent.handler())
	if err != nil {
		return err
	}
	agent.requestServer = requestServer
	agent.peerServer, err = caller.NewServer(agent.settings.PeerListen, agent.settings.SharedKey)
	if err != nil {
		return err
	}
	if err := agent.peerServer.Register("Agent", &PeerService{agent: agent}); err != nil {
		return err
	}
	agent.peerServer.Start()
	requestServer.Start()
	go agent.follower.Run(agent.background)
	go distributor.Register(agent.background, agent.instanceList, agent.instance)
	go agent.watchLeaving(agent.background)
	if agent.keeper != nil {
		go agent.keeper.Run(agent.background)
		go agent.balanceHomes(agent.background)
	}
	go agent.watchHealth(agent.background)
	if agent.engine != nil {
		go agent.watchVersions(agent.background)
	}
	if agent.switcher != nil && agent.instance.Rank == 0 {
		go agent.maintainGroup(agent.background)
	}
	_ = agent.logger.Log("event", "started", "listen", agent.settings.Listen, "peer_listen", agent.settings.PeerListen,
		"backend", agent.settings.Backend, "incarnation", agent.instance.Incarnation)
	return nil
}

// Start opens the listeners and starts the background loops.
func (server *Server) Start(ctx context.Context) error { return server.app.Start(ctx) }

// Stop drains the agent, hands over its shards of keys and stops it, at the latest after the stop limit.
func (server *Server) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, server.stopLimit)
	defer cancel()
	server.agent.stop(ctx)
	server.cancel()
	return server.app.Stop(context.WithoutCancel(ctx))
}

// Kill stops the agent at once without draining it, as a crash would.
func (server *Server) Kill() {
	server.cancel()
	server.agent.requestServer.Kill()
	server.agent.peerServer.Stop()
	server.agent.rpcClient.Close()
}

// Instance returns the instance that the agent registers in the instance list.
func (server *Server) Instance() cranberryward.Instance { return server.agent.instance }

// ControlTraffic returns how many bytes of control messages the agent has received and sent.
func (server *Server) ControlTraffic() (received, sent int64) {
	received, sent = server.agent.peerServer.Traffic()
	clientReceived, clientSent := server.agent.rpcClient.Traffic()
	return received + clientReceived, sent + clientSent
}
