package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/cranberryward/cranberryward/relayer"
	"github.com/cranberryward/cranberryward/standin/storeserver"
	"github.com/go-kit/log"
)

// cluster is several processes, each with a snapshot, that share one store, which may fail the calls of some of them.
type cluster struct {
	t        *testing.T
	store    *storeserver.Server
	relayers []*relayer.Relayer

	mutex    sync.Mutex
	faults   map[string]storeserver.Fault
	versions [][]uint64
}

// clusterCount counts the clusters, each of which has its own addresses.
var clusterCount atomic.Int64

func newCluster(t *testing.T, size int) *cluster {
	cluster := &cluster{
		t:        t,
		store:    storeserver.New(),
		faults:   map[string]storeserver.Fault{},
		versions: make([][]uint64, size),
	}
	cluster.configure(1)
	cluster.register("i-1", "ready")
	var addresses []string
	number := clusterCount.Add(1)
	for index := range size {
		// Only this test process uses these addresses: on 127.0.0.1, any connection may take a port that was free.
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d:7600", 100+os.Getpid()%100, 200+number%50, index+1))
	}
	for index := range size {
		cluster.start(index, addresses)
	}
	return cluster
}

// start starts one process, whose calls to the store get the fault that is set for its address.
func (cluster *cluster) start(index int, addresses []string) {
	front := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		cluster.mutex.Lock()
		fault := cluster.faults[addresses[index]]
		cluster.mutex.Unlock()
		switch fault {
		case storeserver.FaultUnavailable:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case storeserver.FaultNoResponse:
			_, _ = io.Copy(io.Discard, request.Body) // net/http watches for the caller's leave once the body was read
			<-request.Context().Done()
		default:
			cluster.store.ServeHTTP(writer, request)
		}
	}))
	cluster.t.Cleanup(front.Close)
	server, err := caller.NewServer(addresses[index], "")
	if err != nil {
		cluster.t.Fatal(err)
	}
	client := caller.NewClient("")
	started, err := relayer.New(relayer.Options{
		Instance:   addresses[index],
		Address:    addresses[index],
		Seeds:      addresses,
		RefreshAge: 50 * time.Millisecond,
		OnChange: func(_, now *relayer.Snapshot) {
			cluster.mutex.Lock()
			defer cluster.mutex.Unlock()
			if now.Deployment != nil {
				cluster.versions[index] = append(cluster.versions[index], now.Deployment.Version)
			}
		},
		Logger: log.NewNopLogger(),
	}, platform.NewStore(strings.TrimPrefix(front.URL, "http://")), client)
	if err != nil {
		cluster.t.Fatal(err)
	}
	if err := server.Register("Belief", started); err != nil {
		cluster.t.Fatal(err)
	}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		started.Run(ctx)
	}()
	cluster.relayers = append(cluster.relayers, started)
	cluster.t.Cleanup(func() {
		cancel()
		<-ended
		server.Stop()
		client.Close()
	})
}

func (cluster *cluster) setFault(index int, fault storeserver.Fault) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.faults[cluster.address(index)] = fault
}

func (cluster *cluster) address(index int) string { return cluster.relayers[index].Address() }

func (cluster *cluster) configure(version uint64) {
	text, err := json.Marshal(map[string]any{"Version": version, "Routes": []any{}, "Tenants": []any{}})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.store.Put("op/config", text)
}

func (cluster *cluster) register(id, state string) {
	text, err := json.Marshal(map[string]any{"Service": "app", "Address": "127.0.0.1:1", "Zone": "a", "Slots": 1, "State": state})
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.store.Put("servers/"+id, text)
}

func (cluster *cluster) await(what string, condition func(snapshot *relayer.Snapshot) bool, indexes ...int) {
	cluster.t.Helper()
	deadline := time.After(waitTimeout)
	for _, index := range indexes {
		for {
			snapshot, _ := cluster.relayers[index].Snapshot()
			if snapshot != nil && condition(snapshot) {
				break
			}
			select {
			case <-deadline:
				cluster.t.Fatalf("process %d did not learn of %s", index, what)
			case <-time.After(passInterval):
			}
		}
	}
}

func hasVersion(expected uint64) func(snapshot *relayer.Snapshot) bool {
	return func(snapshot *relayer.Snapshot) bool {
		return snapshot.Deployment != nil && snapshot.Deployment.Version == expected
	}
}

func TestSnapshotReachesProcessesWithoutStore(t *testing.T) {
	for name, fault := range map[string]storeserver.Fault{
		"refused calls": storeserver.FaultUnavailable,
		"silent store":  storeserver.FaultNoResponse,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 3)
			cluster.await("the first configuration", hasVersion(1), 0, 1, 2)
			cluster.setFault(1, fault)
			cluster.setFault(2, fault)
			cluster.configure(5)
			cluster.await("a new configuration", hasVersion(5), 0, 1, 2)
			cluster.register("i-1", "draining")
			cluster.await("a leaving backend server", func(snapshot *relayer.Snapshot) bool { return snapshot.Servers["i-1"].Leaving }, 1, 2)
			cluster.store.Remove("servers/i-1")
			cluster.await("a backend server that is gone", func(snapshot *relayer.Snapshot) bool { return len(snapshot.Servers) == 0 }, 1, 2)
		})
	}
}

func TestConfigurationNeverRegresses(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.await("the first configuration", hasVersion(1), 0, 1, 2)
	for next := uint64(2); next < 20; next++ {
		cluster.setFault(int(next)%3, storeserver.FaultUnavailable)
		cluster.setFault(int(next+1)%3, storeserver.FaultNone)
		cluster.configure(next)
		if next%5 == 0 {
			cluster.store.Compact()
		}
	}
	for index := range 3 {
		cluster.setFault(index, storeserver.FaultNone)
	}
	cluster.await("the last configuration", hasVersion(19), 0, 1, 2)
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for index, versions := range cluster.versions {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				t.Errorf("process %d went from version %d back to %d", index, versions[i-1], versions[i])
			}
		}
	}
}

// TestFailedReadMakesOneCall checks that a process with a snapshot does not also request all items when the store refuses to serve changes.
func TestFailedReadMakesOneCall(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.await("the first configuration", hasVersion(1), 0)
	calls := func() int { return cluster.store.Calls("/v1/kv-watch") + cluster.store.Calls("/v1/kv-range") }
	cluster.store.SetFault(func(*http.Request) storeserver.Fault { return storeserver.FaultUnavailable })
	reads, failures := cluster.relayers[0].Reads()
	before := calls()
	deadline := time.After(waitTimeout)
	for failed := failures; failed < failures+3; _, failed = cluster.relayers[0].Reads() {
		select {
		case <-deadline:
			t.Fatal("the process does not read the store")
		case <-time.After(passInterval):
		}
	}
	made := calls() - before
	now, _ := cluster.relayers[0].Reads()
	// One more read may be under way, and one may have begun before the store refused.
	if most := now - reads + 1; made > most {
		t.Errorf("%d calls for %d reads of a store that refuses them", made, now-reads)
	}
	cluster.store.SetFault(nil)
	cluster.configure(2)
	cluster.await("a new configuration", hasVersion(2), 0)
}

func TestProcessesShareStoreReads(t *testing.T) {
	cluster := newCluster(t, 6)
	cluster.await("the first configuration", hasVersion(1), 0, 1, 2, 3, 4, 5)
	reads := func() int {
		total := 0
		for _, started := range cluster.relayers {
			count, _ := started.Reads()
			total += count
		}
		return total
	}
	before, begun := reads(), time.Now()
	for next := uint64(2); next < 12; next++ {
		cluster.configure(next)
		cluster.await("a configuration", hasVersion(next), 0, 1, 2, 3, 4, 5)
	}
	alone := int(time.Since(begun)/(50*time.Millisecond)) + 1
	if more := reads() - before; more > 3*alone {
		t.Errorf("%d reads by 6 processes, expected at most three times the %d that one alone needs", more, alone)
	}
}
