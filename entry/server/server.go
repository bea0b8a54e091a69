package server

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/acceptor"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/configurer"
	"github.com/cranberryward/cranberryward/controller"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/limiter"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/recorder"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/stopper"
	"github.com/cranberryward/cranberryward/waiter"
	"github.com/go-kit/log"
	"go.uber.org/fx"
)

const (
	startTimeout = 10 * time.Second
)

// Server is a running entry.
type Server struct {
	app    *fx.App
	entry  *entry
	cancel context.CancelFunc
}

type entry struct {
	settings           Settings
	instance           cranberryward.Instance
	logger             log.Logger
	recorder           *recorder.Recorder
	store              cranberryward.KeyValueStore
	instanceList       cranberryward.InstanceList
	configurationLog   *configurer.Log
	localState         *distributor.LocalState
	follower           *distributor.Follower
	distributorService *distributor.Service
	rpcClient          *caller.Client
	agentClient        *agentClient
	pools              *pools
	homeTables         *homeTables
	retryBudget        limiter.RetryBudget
	// messages finds the messages of chats that crash backend servers, and withdrawals holds the crash records that are being withdrawn.
	messages    quarantiner.PartTracker
	withdrawals sync.Map
	metrics     *metrics
	// memory accounts for what is held for callers and agents.
	memory       *reserver.Reserver
	background   context.Context
	callerServer *listener.Server
	adminServer  *listener.Server
	peerServer   *caller.Server
	stopper      stopper.Stopper
	mutex        sync.Mutex
	controllers  map[string]*runningController
	zoneCache    zoneCache
}

type runningController struct {
	controller *controller.Controller
	cancel     context.CancelFunc
	done       chan struct{}
}

// ended returns whether the controller has ended, after which another one of the same group may start.
func (runningController *runningController) ended() bool {
	select {
	case <-runningController.done:
		return true
	default:
		return false
	}
}

// New returns an entry with the given settings, not yet started.
func New(settings Settings, logger log.Logger) *Server {
	background, cancel := context.WithCancel(context.Background())
	server := &Server{
		cancel: cancel,
	}
	server.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(settings),
		fx.Provide(
			func() *recorder.Recorder { return recorder.New(logger) },
			func() context.Context { return background },
			provideStore,
			provideInstanceList,
			distributor.NewLocalState,
			provideClient,
			newEntry,
		),
		fx.Invoke(registerHooks),
		fx.Populate(&server.entry),
	)
	return server
}

func provideStore(settings Settings) cranberryward.KeyValueStore {
	return dialer.NewKeyValueStore(settings.KeyValue)
}

func provideInstanceList(settings Settings) cranberryward.InstanceList {
	return dialer.NewInstanceList(settings.InstanceList)
}

func provideClient(settings Settings) *caller.Client { return caller.NewClient(settings.SharedKey) }

func newEntry(settings Settings, store cranberryward.KeyValueStore, instanceList cranberryward.InstanceList, localState *distributor.LocalState,
	rpcClient *caller.Client, background context.Context, recorder *recorder.Recorder) *entry {
	instance, memory := settings.newInstance(), reserver.New(int64(settings.Memory))
	entry := &entry{
		settings:           settings,
		instance:           instance,
		logger:             recorder,
		recorder:           recorder,
		store:              store,
		instanceList:       instanceList,
		configurationLog:   configurer.NewLog(store),
		localState:         localState,
		rpcClient:          rpcClient,
		distributorService: distributor.NewService(settings.Zone, localState),
		agentClient:        newAgentClient(settings.SharedKey),
		pools:              newPools(),
		homeTables:         newHomeTables(),
		metrics:            newMetrics(memory),
		memory:             memory,
		background:         background,
		controllers:        map[string]*runningController{},
	}
	entry.follower = distributor.NewFollower(distributor.FollowerSettings{
		ID:         instance.ID,
		Zone:       instance.Zone,
		Entry:      true,
		LocalState: localState,
		Service:    entry.distributorService,
		Store:      store,
		List:       instanceList,
		Client:     rpcClient,
		Logger:     recorder,
	})
	return entry
}

func registerHooks(lifecycle fx.Lifecycle, entry *entry) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return entry.start() },
	})
}

func (entry *entry) start() (err error) {
	connections := acceptor.Limit(int64(entry.settings.Memory), entry.settings.Descriptors)
	entry.callerServer, err = listener.NewBounded(entry.settings.Listen, entry.callerHandler(), acceptor.New(entry.memory, connections, listener.Limits, entry.countRefusedConnection, entry.logger))
	if err != nil {
		return err
	}
	entry.adminServer, err = listener.NewBounded(entry.settings.AdminListen, entry.adminHandler(), acceptor.New(entry.memory, operatorConnections, listener.Limits, entry.countRefusedConnection, entry.logger))
	if err != nil {
		return err
	}
	entry.peerServer, err = caller.NewServer(entry.settings.PeerListen, entry.settings.SharedKey)
	if err != nil {
		return err
	}
	if err := entry.peerServer.Register("Distributor", entry.distributorService); err != nil {
		return err
	}
	entry.peerServer.Start()
	entry.callerServer.Start()
	entry.adminServer.Start()
	go entry.follower.Run(entry.background)
	go distributor.Register(entry.background, entry.instanceList, entry.instance)
	go entry.trackServers(entry.background)
	go entry.runControllers(entry.background)
	_ = entry.logger.Log("event", "started", "listen", entry.settings.Listen, "admin_listen", entry.settings.AdminListen,
		"peer_listen", entry.settings.PeerListen, "incarnation", entry.instance.Incarnation)
	return nil
}

func (entry *entry) countRefusedConnection(reason string) {
	entry.metrics.increment("connections_refused_" + reason)
}

// Start opens the listeners and starts the background loops.
func (server *Server) Start(ctx context.Context) error { return server.app.Start(ctx) }

// Stop reports not ready for the grace time, stops accepting requests, waits for those in progress up to the stop limit, and releases the leases.
func (server *Server) Stop(ctx context.Context) error {
	entry := server.entry
	ctx, cancel := context.WithTimeout(ctx, entry.settings.StopLimit)
	defer cancel()
	end, _ := ctx.Deadline() // set above
	entry.stopper.Begin(end)
	waiter.Sleep(ctx, entry.settings.StopGrace)
	distributor.Deregister(ctx, entry.instanceList, entry.instance)
	err := entry.callerServer.Stop(ctx)
	_ = entry.adminServer.Stop(ctx)
	server.cancel()
	entry.stopControllers()
	entry.peerServer.Stop()
	_ = entry.logger.Log("event", "stopped", "error", err)
	return server.app.Stop(context.WithoutCancel(ctx))
}

// Kill stops the entry immediately, like a crash.
func (server *Server) Kill() {
	server.cancel()
	server.entry.callerServer.Kill()
	server.entry.adminServer.Kill()
	server.entry.peerServer.Stop()
	server.entry.rpcClient.Close()
}

// Instance returns the entry's own row in the instance list.
func (server *Server) Instance() cranberryward.Instance { return server.entry.instance }

// Ready returns whether the entry has a confirmed configuration, knows the instances of its zone and is not stopping.
func (server *Server) Ready() bool { return server.entry.ready() }

func (entry *entry) ready() bool {
	_, confirmed := entry.localState.Age()
	return confirmed && entry.localState.Membership().Version > 0 && !entry.stopper.Stopping()
}

// ControlTraffic returns the bytes of RPC messages received and sent since the start.
func (server *Server) ControlTraffic() (received, sent int64) {
	received, sent = server.entry.peerServer.Traffic()
	clientReceived, clientSent := server.entry.rpcClient.Traffic()
	return received + clientReceived, sent + clientSent
}

// InstanceCount returns the number of instances that the entry knows in its zone.
func (server *Server) InstanceCount() int { return len(server.entry.localState.Membership().Instances) }
