package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/acceptor"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/forwarder"
	"github.com/cranberryward/cranberryward/gateway/agent"
	"github.com/cranberryward/cranberryward/gateway/settings"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/relayer"
	"github.com/cranberryward/cranberryward/reserver"
	"github.com/cranberryward/cranberryward/screener"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

const (
	// refreshAge is the age of the snapshot at which an entry reads the store; with its jitter it stays well below the bounds for configuration and
	// drain.
	refreshAge = 450 * time.Millisecond
	// shareInterval is how often the load that other entries announced is applied, suspects are announced and expired idle connections are closed.
	shareInterval = 250 * time.Millisecond
	// deregistrationDelay is how long the platform may send new connections after the entry has reported that it is not ready: two checks, one a
	// second.
	deregistrationDelay = 2500 * time.Millisecond
	// idleBeforeExit is how long nothing must be in flight before a stopping entry ends.
	idleBeforeExit = 300 * time.Millisecond
	// shutdownReserve is the part of the grace period that is left for the shutdown itself.
	shutdownReserve = 500 * time.Millisecond
	// defaultIdleTimeout and defaultHeaderTimeout apply before a configuration sets limits for callers' connections.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// maxProbeHeaderBytes bounds the headers of readiness checks.
	maxProbeHeaderBytes = 16 << 10
)

// Entry is the process that serves callers.
type Entry struct {
	settings settings.Settings
	logger   log.Logger
	client   *caller.Client
	store    cranberryward.QuarantineStore
	server   *caller.Server
	relayer  *relayer.Relayer
	// memory accounts for what is held for callers and backend servers.
	memory     *reserver.Reserver
	forwarder  *forwarder.Forwarder
	callers    *callerListener
	listeners  []net.Listener
	stopping   atomic.Bool
	maxEntries atomic.Int64
	// place is the place of this entry among the live ones, from 1.
	place atomic.Int64
	// readBefore and readAt are of the snapshot that the relayer, which applies one at a time, is about to apply.
	readBefore, readAt time.Time

	mutex  sync.Mutex
	limits cranberryward.RequestLimits
	grace  time.Duration
	cancel context.CancelFunc
}

// New returns an entry that has not been started.
func New(settings settings.Settings, logger log.Logger) (*Entry, error) {
	store := platform.NewStore(settings.Store)
	entry := &Entry{
		settings: settings,
		logger:   logger,
		client:   caller.NewClient(""),
		store:    store,
		memory:   reserver.New(settings.MemoryMB << 20),
		grace:    settings.GracePeriod(),
	}
	entry.forwarder = forwarder.New(forwarder.Options{
		Zone:            settings.Zone,
		Regions:         settings.Regions,
		Drain:           settings.Drain(),
		ColdOvershoot:   settings.ColdOvershoot,
		ColdSlack:       settings.ColdSlack,
		RetryRatio:      settings.RetryRatio,
		RetrySlack:      settings.RetrySlack,
		RetryWindow:     settings.RetryWindow(),
		SecondSendShare: settings.SecondSendShare,
		Entries:         entry.entryCount,
		Place:           func() int { return int(entry.place.Load()) },
		Memory:          entry.memory,
		SaveQuarantine:  entry.saveQuarantine,
		Logger:          logger,
	})
	server, err := caller.NewServer(settings.PeerAddress(), "")
	if err != nil {
		return nil, err
	}
	entry.server = server
	entry.relayer, err = relayer.New(relayer.Options{
		Instance:         settings.Instance,
		Zone:             settings.Zone,
		Address:          settings.PeerAddress(),
		Entry:            true,
		Seeds:            settings.SeedAddresses(),
		RefreshAge:       refreshAge,
		PeerCandidates:   agent.PeerCandidates(settings),
		OnReading:        entry.noteReading,
		OnChange:         entry.applySnapshot,
		InFlightByServer: entry.forwarder.InFlightByServer,
		OnNotice:         entry.handleNotice,
		OnLoad:           entry.forwarder.SetGroupLoad,
		OnParts:          entry.forwarder.MergeParts,
		OnEntryStarting:  entry.sendParts,
		OnLimits:         entry.forwarder.MergeLimits,
		Logger:           logger,
	}, store, entry.client)
	if err != nil {
		return nil, err
	}
	return entry, server.Register("Belief", entry.relayer)
}

// Start starts the entry.
func (entry *Entry) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	entry.cancel = cancel
	entry.server.Start()
	callers, err := net.Listen("tcp", entry.settings.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	connections := acceptor.Limit(entry.settings.MemoryMB<<20, entry.settings.Descriptors)
	entry.callers = newCallerListener(callers, entry.forwarder, acceptor.New(entry.memory, connections, connectionLimits(entry.currentLimits), meter.CountConnectionRefused, entry.logger))
	go entry.callers.run()
	for address, router := range map[string]*mux.Router{entry.settings.Ready: entry.readyRouter(), entry.settings.Control: entry.controlRouter()} {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrap(err, "listen for readiness checks")
		}
		entry.listeners = append(entry.listeners, listener)
		go func() {
			server := &http.Server{
				Handler:           router,
				ReadHeaderTimeout: defaultHeaderTimeout,
				MaxHeaderBytes:    maxProbeHeaderBytes,
			}
			_ = server.Serve(listener) // returns when the listener is closed
		}()
	}
	meter.RegisterGauge("in_flight", func() float64 { return float64(entry.forwarder.InFlight()) })
	meter.RegisterGauge("held_bytes", func() float64 { return float64(entry.memory.Used()) })
	meter.RegisterGauge("held_bytes_limit", func() float64 { return float64(entry.memory.Limit()) })
	meter.RegisterGauge("belief_age_seconds", func() float64 {
		_, age := entry.relayer.Snapshot()
		return age.Seconds()
	})
	go entry.relayer.Run(ctx)
	meter.RegisterGauge("quarantined_parts", func() float64 { return float64(entry.forwarder.QuarantinedParts()) })
	meter.RegisterGauge("quarantined_requests", func() float64 { return float64(entry.forwarder.QuarantinedRequests()) })
	for _, reason := range screener.Reasons {
		meter.RegisterGauge(fmt.Sprintf("screened_servers{reason=%q}", reason), func() float64 { return float64(entry.forwarder.CountScreened()[reason]) })
	}
	go entry.shareLoad(ctx)
	go entry.keepQuarantines(ctx)
	return nil
}

// readyRouter returns what is served on the address for readiness checks.
func (entry *Entry) readyRouter() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc("/v1/ready", entry.serveReady).Methods(http.MethodGet)
	return router
}

// controlRouter returns what is served on the control address, which callers do not reach.
func (entry *Entry) controlRouter() *mux.Router {
	router := entry.readyRouter()
	router.HandleFunc("/v1/where", entry.serveWhere).Methods(http.MethodGet)
	return router
}

// serveReady reports whether new connections should come to this entry.
func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if entry.stopping.Load() || !entry.forwarder.Configured() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// noteReading notes when the store was read for the snapshot that is applied next, and for the one before it.
func (entry *Entry) noteReading(before, at time.Time) { entry.readBefore, entry.readAt = before, at }

// applySnapshot applies a changed snapshot.
func (entry *Entry) applySnapshot(_, now *relayer.Snapshot) {
	entry.forwarder.ConfigureRead(now.View, entry.readBefore, entry.readAt)
	if now.Deployment == nil {
		return
	}
	entry.mutex.Lock()
	entry.limits = now.Deployment.Limits
	entry.mutex.Unlock()
}

// handleNotice applies the group state that an agent's notice holds, and that its availability zone is heard of.
func (entry *Entry) handleNotice(notice relayer.Notice) {
	entry.forwarder.RecordZone(notice.Zone)
	if group := notice.Group; group != nil {
		entry.forwarder.SetGroupState(notice.From, *group)
	}
}

func (entry *Entry) currentLimits() cranberryward.RequestLimits {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.limits
}

// shareLoad periodically applies the load that the other entries announced, announces suspect prompt parts and requests and limits of backend servers, and closes expired idle connections.
func (entry *Entry) shareLoad(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-entry.forwarder.PartsChanged():
			entry.announceParts()
			continue
		case <-entry.forwarder.RequestsChanged():
			entry.announceParts()
			continue
		case <-ticker.C:
		}
		peerLoads := map[string]int{}
		for _, notice := range entry.relayer.LivePeers() {
			for id, running := range notice.Running {
				peerLoads[id] += running
			}
		}
		place, entries := entry.relayer.PlaceAmongEntries()
		entry.place.Store(int64(place))
		entry.maxEntries.Store(max(int64(entries), entry.maxEntries.Load()))
		entry.forwarder.SetPeerLoads(peerLoads)
		entry.announceParts()
		if limits := entry.forwarder.LimitReports(); len(limits) > 0 {
			entry.relayer.AnnounceLimits(limits)
		}
		entry.forwarder.CloseExpired()
	}
}

// entryCount returns how many entries share the retry budget: the most seen at once, because some may be out of reach.
func (entry *Entry) entryCount() int { return int(entry.maxEntries.Load()) }

// Reload applies the retry limits, the share of second sends, the regions, the bounds on backend servers that leave or are cold, and the grace period; all other settings
// take effect at the next start.
func (entry *Entry) Reload(settings settings.Settings) {
	entry.forwarder.SetRetryBudget(settings.RetryRatio, settings.RetrySlack, settings.RetryWindow())
	entry.forwarder.SetSecondSendShare(settings.SecondSendShare)
	entry.forwarder.SetScreening(settings.Regions, settings.Drain(), settings.ColdOvershoot, settings.ColdSlack)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.grace = settings.GracePeriod()
}

func (entry *Entry) currentGrace() time.Duration {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.grace
}

// stopDeadline returns when a stop that began at the given time has to have answered all requests, by the grace period in force.
func (entry *Entry) stopDeadline(begun time.Time) time.Time {
	return begun.Add(entry.currentGrace() - shutdownReserve)
}

// Stop ends the entry once all accepted requests are answered, within the grace period.
func (entry *Entry) Stop(ctx context.Context) error {
	entry.stopping.Store(true)
	begun := time.Now()
	deadline := entry.stopDeadline(begun)
	entry.forwarder.Stop(deadline)
	_ = level.Info(entry.logger).Log("event", "stopping", "in_flight", entry.forwarder.InFlight())
	idleSince := begun
	idleClosed := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		now := time.Now()
		if moved := entry.stopDeadline(begun); !moved.Equal(deadline) {
			deadline = moved
			entry.forwarder.Stop(deadline)
			_ = level.Info(entry.logger).Log("event", "stop_moved", "in_ms", time.Until(deadline).Milliseconds())
		}
		if entry.forwarder.InFlight() > 0 {
			idleSince = now
		}
		if now.Sub(begun) > deregistrationDelay && !idleClosed {
			idleClosed = true
			entry.callers.disableKeepAlives()
		}
		if now.Sub(begun) > deregistrationDelay && now.Sub(idleSince) > idleBeforeExit {
			break
		}
		time.Sleep(stopInterval)
	}
	_ = level.Info(entry.logger).Log("event", "stopped", "in_flight", entry.forwarder.InFlight(), "after_ms", time.Since(begun).Milliseconds())
	entry.callers.stop(deadline, entry.forwarder.InFlight)
	for _, listener := range entry.listeners {
		_ = listener.Close() // no more requests are served on it
	}
	entry.cancel()
	entry.server.Stop()
	return nil
}
