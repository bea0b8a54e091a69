package agent

import (
	"context"
	"encoding/json"
	"fmt"
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

// party is processes with a belief each, before one store that may turn some of them away.
type party struct {
	t        *testing.T
	store    *storeserver.Server
	relayers []*relayer.Relayer

	mutex    sync.Mutex
	faults   map[string]storeserver.Fault
	versions [][]uint64
}

// parties counts the parties, each of which has addresses of its own.
var parties atomic.Int64

func newParty(t *testing.T, size int) *party {
	party := &party{
		t:        t,
		store:    storeserver.New(),
		faults:   map[string]storeserver.Fault{},
		versions: make([][]uint64, size),
	}
	party.configure(1)
	party.register("i-1", "ready")
	var addresses []string
	number := parties.Add(1)
	for index := range size {
		// Addresses of this test process alone: a port of 127.0.0.1 that was free may be taken by any connection.
		addresses = append(addresses, fmt.Sprintf("127.%d.%d.%d:7600", 100+os.Getpid()%100, 200+number%50, index+1))
	}
	for index := range size {
		party.join(index, addresses)
	}
	return party
}

// join starts one process, whose calls the store knows by the address that it has.
func (party *party) join(index int, addresses []string) {
	front := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		party.mutex.Lock()
		fault := party.faults[addresses[index]]
		party.mutex.Unlock()
		switch fault {
		case storeserver.FaultBusy:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case storeserver.FaultSilent:
			<-request.Context().Done()
		default:
			party.store.ServeHTTP(writer, request)
		}
	}))
	party.t.Cleanup(front.Close)
	server, err := caller.NewServer(addresses[index], "")
	if err != nil {
		party.t.Fatal(err)
	}
	calls := caller.NewClient("")
	joined, err := relayer.New(relayer.Options{
		Instance: addresses[index],
		Address:  addresses[index],
		Seeds:    addresses,
		Refresh:  50 * time.Millisecond,
		Changed: func(_, now *relayer.Belief) {
			party.mutex.Lock()
			defer party.mutex.Unlock()
			if now.Deployment != nil {
				party.versions[index] = append(party.versions[index], now.Deployment.Version)
			}
		},
		Logger: log.NewNopLogger(),
	}, platform.NewStore(strings.TrimPrefix(front.URL, "http://")), calls)
	if err != nil {
		party.t.Fatal(err)
	}
	if err := server.Register("Belief", joined); err != nil {
		party.t.Fatal(err)
	}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		joined.Run(ctx)
	}()
	party.relayers = append(party.relayers, joined)
	party.t.Cleanup(func() {
		cancel()
		<-ended
		server.Stop()
		calls.Close()
	})
}

func (party *party) turnAway(index int, fault storeserver.Fault) {
	party.mutex.Lock()
	defer party.mutex.Unlock()
	party.faults[party.address(index)] = fault
}

func (party *party) address(index int) string { return party.relayers[index].Address() }

func (party *party) configure(version uint64) {
	text, err := json.Marshal(map[string]any{"Version": version, "Routes": []any{}, "Tenants": []any{}})
	if err != nil {
		party.t.Fatal(err)
	}
	party.store.Put("op/config", text)
}

func (party *party) register(id, state string) {
	text, err := json.Marshal(map[string]any{"Service": "app", "Address": "127.0.0.1:1", "Zone": "a", "Slots": 1, "State": state})
	if err != nil {
		party.t.Fatal(err)
	}
	party.store.Put("servers/"+id, text)
}

func (party *party) await(what string, condition func(belief *relayer.Belief) bool, indexes ...int) {
	party.t.Helper()
	deadline := time.After(patience)
	for _, index := range indexes {
		for {
			belief, _ := party.relayers[index].Belief()
			if belief != nil && condition(belief) {
				break
			}
			select {
			case <-deadline:
				party.t.Fatalf("process %d did not learn of %s", index, what)
			case <-time.After(passTime):
			}
		}
	}
}

func version(expected uint64) func(belief *relayer.Belief) bool {
	return func(belief *relayer.Belief) bool {
		return belief.Deployment != nil && belief.Deployment.Version == expected
	}
}

func TestBeliefReachesProcessesThatTheStoreTurnsAway(t *testing.T) {
	for name, fault := range map[string]storeserver.Fault{
		"with refusals": storeserver.FaultBusy,
		"with silence":  storeserver.FaultSilent,
	} {
		t.Run(name, func(t *testing.T) {
			party := newParty(t, 3)
			party.await("the first configuration", version(1), 0, 1, 2)
			party.turnAway(1, fault)
			party.turnAway(2, fault)
			party.configure(5)
			party.await("a new configuration", version(5), 0, 1, 2)
			party.register("i-1", "draining")
			party.await("a leaving backend server", func(belief *relayer.Belief) bool { return belief.Servers["i-1"].Leaving }, 1, 2)
			party.store.Remove("servers/i-1")
			party.await("a backend server that is gone", func(belief *relayer.Belief) bool { return len(belief.Servers) == 0 }, 1, 2)
		})
	}
}

func TestBeliefNeverGoesBack(t *testing.T) {
	party := newParty(t, 3)
	party.await("the first configuration", version(1), 0, 1, 2)
	for next := uint64(2); next < 20; next++ {
		party.turnAway(int(next)%3, storeserver.FaultBusy)
		party.turnAway(int(next+1)%3, storeserver.FaultNone)
		party.configure(next)
		if next%5 == 0 {
			party.store.Forget()
		}
	}
	for index := range 3 {
		party.turnAway(index, storeserver.FaultNone)
	}
	party.await("the last configuration", version(19), 0, 1, 2)
	party.mutex.Lock()
	defer party.mutex.Unlock()
	for index, versions := range party.versions {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				t.Errorf("process %d went from version %d back to %d", index, versions[i-1], versions[i])
			}
		}
	}
}

// TestFailedReadIsOneCall lets the store refuse everything: a process that knows a belief need not ask for all of it too.
func TestFailedReadIsOneCall(t *testing.T) {
	party := newParty(t, 1)
	party.await("the first configuration", version(1), 0)
	calls := func() int { return party.store.Calls("/v1/kv-watch") + party.store.Calls("/v1/kv-range") }
	party.store.SetFault(func(*http.Request) storeserver.Fault { return storeserver.FaultBusy })
	reads, failures := party.relayers[0].Reads()
	before := calls()
	deadline := time.After(patience)
	for failed := failures; failed < failures+3; _, failed = party.relayers[0].Reads() {
		select {
		case <-deadline:
			t.Fatal("the process does not read")
		case <-time.After(passTime):
		}
	}
	made := calls() - before
	now, _ := party.relayers[0].Reads()
	// One more read may be under way, and one may have begun before the store refused.
	if most := now - reads + 1; made > most {
		t.Errorf("%d calls for %d reads of a store that refuses them", made, now-reads)
	}
	party.store.SetFault(nil)
	party.configure(2)
	party.await("a new configuration", version(2), 0)
}

func TestOneProcessReadsForAll(t *testing.T) {
	party := newParty(t, 6)
	party.await("the first configuration", version(1), 0, 1, 2, 3, 4, 5)
	reads := func() int {
		total := 0
		for _, joined := range party.relayers {
			count, _ := joined.Reads()
			total += count
		}
		return total
	}
	before, begun := reads(), time.Now()
	for next := uint64(2); next < 12; next++ {
		party.configure(next)
		party.await("a configuration", version(next), 0, 1, 2, 3, 4, 5)
	}
	alone := int(time.Since(begun)/(50*time.Millisecond)) + 1
	if more := reads() - before; more > 3*alone {
		t.Errorf("%d reads by 6 processes, of which one alone needs %d", more, alone)
	}
}
