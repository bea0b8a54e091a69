package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/gateway/settings"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/logkeeper"
	"github.com/cranberryward/cranberryward/standin/rankserver"
	"github.com/cranberryward/cranberryward/standin/storeserver"
)

const (
	// waitTimeout bounds the waits for events that take seconds; operators accept 15 s until everything serves again after a loss of all processes.
	waitTimeout = 15 * time.Second
	// passInterval is the time between passes of the stand-in, a third of a real one.
	passInterval = 20 * time.Millisecond
	// driftPasses is the number of passes after which demand shifts, so that there is always a change of the map to make.
	driftPasses = 40
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// retryRatio, retrySlack and retryWindow bound retries as operators would.
	retryRatio  = 0.2
	retrySlack  = 40
	retryWindow = 5 * time.Second

	host      = "front.example"
	peerPort  = 7600
	frontPort = 7601
	readyPort = 7602
	rankPort  = 7604
	appPort   = 7605
)

var rankSettings = rankserver.Settings{
	Sets:    2,
	Experts: 16,
	Places:  6,
	Spare:   2,
	Copy:    5 * time.Millisecond,
}

// deployment is a small deployment: stand-ins in this process, and entries and agents in processes of their own.
type deployment struct {
	t *testing.T
	// network distinguishes the deployments of a test run.
	network      int64
	checker      *checker
	store        *storeserver.Server
	storeAddress string
	group        *rankserver.Group
	// broken is whether the group has lost a rank.
	broken atomic.Bool
	// writtenBeforeCrash is how much of its answer a backend server writes before a request crashes it: bytes of a plain answer, or events of a stream.
	writtenBeforeCrash atomic.Int64
	apps               []*app
	ranks              []*backendHost
	// rankAnnounced is what each rank says of itself, and announcements counts what comes after it.
	rankAnnounced []*announced
	announcements announcementLog
	// limits holds the limits that backend servers name, and counts their arrivals.
	limits requestLimits
	// wrongIDs is the percentage of events that ranks send with a wrong ID.
	wrongIDs atomic.Int64
	// crashingPart is the prompt part that crashes each rank that begins to write an answer on it, or empty.
	crashingPart atomic.Value
	entries      []*process
	agents       []*process
	stop         chan struct{}
	wait         sync.WaitGroup

	mutex   sync.Mutex
	version uint64
	// coldRate is the requests a second that a cold plain backend server tolerates, or zero for any number.
	coldRate float64
	// bodyLimit is the longest body of a request, in bytes.
	bodyLimit int64

	writtenMutex sync.Mutex
	// written holds what operators and backend servers last wrote to the store, by key.
	written map[string][]byte
}

// newDeployment starts a deployment with the given numbers of entries, ranks and plain backend servers.
func newDeployment(t *testing.T, entries, ranks, apps int) *deployment {
	rankSettings := rankSettings
	rankSettings.Ranks = ranks
	deployment := &deployment{
		t:       t,
		network: 1 + deployments.Add(1)%maxDeployments,
		checker: newChecker(),
		store:   storeserver.New(),
		group:   rankserver.NewGroup(rankSettings),
		stop:    make(chan struct{}),

		bodyLimit: 1 << 20,
	}
	front := httptest.NewServer(deployment.store)
	t.Cleanup(front.Close)
	deployment.storeAddress = strings.TrimPrefix(front.URL, "http://")
	for number := range ranks {
		deployment.rankAnnounced = append(deployment.rankAnnounced, &announced{})
		deployment.ranks = append(deployment.ranks, deployment.serve(deployment.ip("2", number), rankPort, deployment.rankHandler(number)))
		deployment.register(fmt.Sprintf("rank-%d", number), "engine", deployment.address("2", number, rankPort), number, "ready")
	}
	for number := range apps {
		app := &app{
			deployment: deployment,
			id:         fmt.Sprint("app-", number),
		}
		deployment.apps = append(deployment.apps, app)
		app.host = deployment.serve(deployment.ip("3", number), appPort, app)
		deployment.register(fmt.Sprintf("app-%d", number), "app", deployment.address("3", number, appPort), number, "ready")
	}
	deployment.configure()
	deployment.wait.Go(deployment.runPasses)
	t.Cleanup(func() {
		close(deployment.stop)
		deployment.wait.Wait()
	})
	for number := range entries {
		deployment.entries = append(deployment.entries, deployment.startProcess("entry", "1", number))
	}
	for number := range ranks {
		deployment.agents = append(deployment.agents, deployment.startProcess("agent", "2", number))
	}
	return deployment
}

// deployments counts the deployments of this test run.
var deployments atomic.Int64

// maxDeployments is the number of deployments after which addresses are used again.
const maxDeployments = 24

// ip returns a loopback address of this deployment, so that several deployments and test runs can use the machine at the same time.
func (deployment *deployment) ip(subnet string, number int) string {
	return fmt.Sprintf("127.%d.%d%s.%d", 100+os.Getpid()%100, deployment.network, subnet, number+1)
}

func (deployment *deployment) address(subnet string, number, port int) string {
	return net.JoinHostPort(deployment.ip(subnet, number), fmt.Sprint(port))
}

func (deployment *deployment) zone(number int) string { return []string{"zone-a", "zone-b"}[number%2] }

// serve serves HTTP at an address until the test ends.
func (deployment *deployment) serve(ip string, port int, handler http.Handler) *backendHost {
	host := &backendHost{
		t:       deployment.t,
		address: net.JoinHostPort(ip, fmt.Sprint(port)),
		handler: handler,
	}
	host.start()
	deployment.t.Cleanup(host.stop)
	return host
}

// backendHost serves HTTP at one address and can be stopped and started again there.
type backendHost struct {
	t       *testing.T
	address string
	handler http.Handler

	mutex  sync.Mutex
	server *http.Server
}

func (backendHost *backendHost) start() {
	listener, err := net.Listen("tcp", backendHost.address)
	if err != nil {
		backendHost.t.Error(err)
		return
	}
	server := &http.Server{
		Handler: backendHost.handler,
	}
	backendHost.mutex.Lock()
	backendHost.server = server
	backendHost.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
}

// stop closes the listener and all connections at once, as a crash does.
func (backendHost *backendHost) stop() {
	backendHost.mutex.Lock()
	defer backendHost.mutex.Unlock()
	_ = backendHost.server.Close() // nothing is left to do if a connection does not close
}

// startProcess starts an entry or an agent with its own proxy to the store.
func (deployment *deployment) startProcess(role, subnet string, number int) *process {
	ip := deployment.ip(subnet, number)
	proxy, err := faulter.NewProxy(net.JoinHostPort(ip, "0"), deployment.storeAddress)
	if err != nil {
		deployment.t.Fatal(err)
	}
	deployment.t.Cleanup(proxy.Close)
	started := &process{
		t:     deployment.t,
		role:  role,
		store: proxy,
		settings: settings.Settings{
			Instance:            fmt.Sprintf("%s-%d", role, number),
			Zone:                deployment.zone(number),
			Address:             ip,
			FirstPort:           peerPort,
			Seeds:               []string{deployment.address("1", 0, 1), deployment.address("1", 1, 1)},
			MemoryMB:            128,
			LinkMbps:            1000,
			Store:               proxy.Address(),
			StoreMinimumLeaseMS: 500,
			DrainMS:             2000,
			GraceSeconds:        4,
			RetryRatio:          retryRatio,
			RetrySlack:          retrySlack,
			RetryWindowSeconds:  retryWindow.Seconds(),
			ColdOvershoot:       coldOvershoot,
			ColdSlack:           coldSlack,
		},
	}
	if role == "entry" {
		started.settings.Callers = net.JoinHostPort(ip, fmt.Sprint(frontPort))
		started.settings.Ready = net.JoinHostPort(ip, fmt.Sprint(readyPort))
	} else {
		started.settings.Service = "engine"
		started.settings.Rank = net.JoinHostPort(ip, fmt.Sprint(rankPort))
	}
	started.start()
	deployment.t.Cleanup(func() {
		started.resume()
		started.kill()
		for run, output := range started.outputs {
			logkeeper.Keep(deployment.t, fmt.Sprint(started.settings.Instance, " run ", run), output.String())
		}
	})
	return started
}

// register writes the registration of a backend server to the store.
func (deployment *deployment) register(id, service, address string, number int, state string) {
	deployment.put("servers/"+id, map[string]any{"Service": service, "Address": address, "Zone": deployment.zone(number), "Slots": 16, "State": state, "Version": 1, "ColdRemainingMs": 0})
}

// configure writes the next version of the configuration, from which on callers may use only its key and the one before.
func (deployment *deployment) configure() (version uint64) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.version++
	route := func(kind kind, name, service string, attempts int) map[string]any {
		return map[string]any{"Name": string(kind), "Host": host, "Prefix": "/" + string(kind) + "/", "Kind": name, "Service": service,
			"TimeoutMs": 3000, "TargetLatencyMs": 400, "GapAimMs": 120, "MaxAttempts": attempts, "Resumable": kind == stream}
	}
	deployment.put("op/config", map[string]any{
		"Version": deployment.version,
		"Routes": []any{
			route(booking, "non_idempotent", "app", 1),
			route(lookup, "idempotent", "app", 2),
			route(stream, "streaming", "engine", 2),
		},
		"Services": []any{
			map[string]any{"Name": "app", "HealthPath": "/health", "ColdStartS": coldTime.Seconds(), "ColdPerS": deployment.coldRate},
			map[string]any{"Name": "engine", "Engine": map[string]any{"Sets": rankSettings.Sets, "Experts": rankSettings.Experts, "Places": rankSettings.Places, "Spare": rankSettings.Spare,
				"ExpertMb": float64(rankSettings.Copy.Milliseconds()), "LinkMbps": 8000, "Slots": 16, "step_ms": 20, "per_seq_ms": 0.1, "Stride": 1}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": deployment.bodyLimit, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "quito", "ApiKeys": []string{key(deployment.version), key(deployment.version - 1)}}},
	})
	return deployment.version
}

// key returns the callers' API key in a version of the configuration.
func key(version uint64) string { return fmt.Sprintf("key-%d", version) }

func (deployment *deployment) currentKey() string {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	return key(deployment.version)
}

func (deployment *deployment) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		deployment.t.Fatal(err)
	}
	deployment.writtenMutex.Lock()
	defer deployment.writtenMutex.Unlock()
	if deployment.written == nil {
		deployment.written = map[string][]byte{}
	}
	deployment.written[key] = text
	deployment.store.Put(key, text)
}

// remove removes a key that operators or backend servers have written.
func (deployment *deployment) remove(key string) {
	deployment.writtenMutex.Lock()
	defer deployment.writtenMutex.Unlock()
	delete(deployment.written, key)
	deployment.store.Remove(key)
}

// writeAgain writes what operators and backend servers have written again and removes what they have removed, as they do after a return of the store.
func (deployment *deployment) writeAgain(key func(key string) bool) {
	deployment.writtenMutex.Lock()
	defer deployment.writtenMutex.Unlock()
	for _, stored := range deployment.store.Keys() {
		if _, kept := deployment.written[stored]; !kept && key(stored) && strings.HasPrefix(stored, "servers/") {
			deployment.store.Remove(stored)
		}
	}
	for written, text := range deployment.written {
		if key(written) {
			deployment.store.Put(written, text)
		}
	}
}

// runPasses starts passes in which one hot expert of each set gets half of the demand.
func (deployment *deployment) runPasses() {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for hot := 0; ; {
		select {
		case <-deployment.stop:
			return
		case <-ticker.C:
		}
		if !deployment.group.BeginPass() {
			continue
		}
		if deployment.group.Step()%driftPasses == 0 {
			hot = (hot + 5) % rankSettings.Experts
		}
		for rank := range deployment.group.RankCount() {
			for set := range rankSettings.Sets {
				for expert := range rankSettings.Experts {
					deployment.group.RecordChoices(rank, set, expert, 1)
				}
				deployment.group.RecordChoices(rank, set, hot, rankSettings.Experts)
			}
		}
	}
}
