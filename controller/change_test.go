package controller

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/distributor"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

// Agent is a rank's agent that prepares every version at once and records what it is ordered to discard; its name is that of the RPC service.
type Agent struct {
	mutex     sync.Mutex
	prepared  []uint64
	discarded []uint64
	changes   []switcher.Change
	// onPrepared is called once a version is prepared.
	onPrepared func()
}

// State returns the prepared versions.
func (agent *Agent) State(_ messenger.StateRequest, reply *cranberryward.RankState) error {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	reply.MapVersion, reply.Prepared = 1, append([]uint64{1}, agent.prepared...)
	if len(agent.prepared) > 0 && agent.onPrepared != nil {
		agent.onPrepared()
		agent.onPrepared = nil
	}
	return nil
}

// Order prepares or discards a version.
func (agent *Agent) Order(request switcher.OrderRequest, _ *messenger.OrderReply) error {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	switch request.Order.Kind {
	case cranberryward.OrderPrepare:
		agent.prepared = append(agent.prepared, request.Order.Version)
	case cranberryward.OrderDiscard:
		agent.discarded = append(agent.discarded, request.Order.Version)
	}
	return nil
}

// Change records a change.
func (agent *Agent) Change(request switcher.Change, reply *switcher.Outcome) error {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	agent.changes = append(agent.changes, request)
	reply.State = "released"
	return nil
}

// memoryStore holds records in memory; the methods that are not implemented here are not called.
type memoryStore struct {
	cranberryward.KeyValueStore
	records map[string]cranberryward.Record
	// refuseCommits makes the store refuse every committed record.
	refuseCommits bool
}

func (memoryStore *memoryStore) Get(_ context.Context, key string) (cranberryward.Record, error) {
	return memoryStore.records[key], nil
}

func (memoryStore *memoryStore) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64, _ cranberryward.LeaseID) (cranberryward.Record, error) {
	var record Record
	if json.Unmarshal(value, &record) == nil && record.Committed() && memoryStore.refuseCommits {
		return cranberryward.Record{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, "refused by the test")
	}
	stored := cranberryward.Record{
		Key:      key,
		Value:    value,
		Revision: expected + 1,
	}
	memoryStore.records[key] = stored
	return stored, nil
}

func (memoryStore *memoryStore) GrantLease(context.Context, time.Duration) (cranberryward.LeaseID, error) {
	return "lease", nil
}

const testGroup = "calls"

// newTestController returns a controller that holds the lease of a group of one rank.
func newTestController(t *testing.T, store *memoryStore, agent *Agent) (*Controller, []cranberryward.Instance) {
	t.Helper()
	server, err := caller.NewServer("127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register("Agent", agent); err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(server.Stop)
	client := caller.NewClient("")
	t.Cleanup(client.Close)
	controller := New(testGroup, Settings{
		Zone:         "zone-a",
		Holder:       "entry-1",
		LeaseTTL:     time.Minute,
		PrepareLimit: 10 * time.Second,
		ChangeTime:   time.Second,
	}, store, distributor.NewLocalState(), client, log.NewNopLogger())
	controller.lease.AcquireOrRenew(t.Context())
	return controller, []cranberryward.Instance{{
		ID:          "rank-0",
		Role:        cranberryward.RoleEngine,
		Group:       testGroup,
		PeerAddress: server.Address(),
	}}
}

// openWindow returns a configuration with a quiet window that is open now.
func openWindow() cranberryward.Configuration {
	now := time.Now()
	return cranberryward.Configuration{
		Revision: 1,
		Corrections: []cranberryward.Correction{{
			ID:    "window",
			Kind:  cranberryward.CorrectOpenWindow,
			Name:  "night",
			From:  now.Add(-time.Minute),
			Until: now.Add(time.Hour),
		}},
	}
}

// TestVersionsNotInForceAreDiscarded guards against prepared versions that stay in the ranks' memory because their change was given up.
func TestVersionsNotInForceAreDiscarded(t *testing.T) {
	for _, test := range []struct {
		name      string
		prepare   func(controller *Controller, store *memoryStore, agent *Agent)
		discarded []uint64
		changed   bool
	}{
		{
			name:      "the change succeeds",
			prepare:   func(*Controller, *memoryStore, *Agent) {},
			discarded: []uint64{1},
			changed:   true,
		},
		{
			name:      "the commit is refused",
			prepare:   func(_ *Controller, store *memoryStore, _ *Agent) { store.refuseCommits = true },
			discarded: []uint64{2},
		},
		{
			name: "a window opens before the change",
			prepare: func(controller *Controller, _ *memoryStore, agent *Agent) {
				agent.onPrepared = func() { controller.localState.UpdateConfiguration(openWindow(), nil) }
			},
			discarded: []uint64{2},
		},
		{
			name: "an earlier controller has lost its lease after it had prepared a version",
			prepare: func(_ *Controller, store *memoryStore, _ *Agent) {
				value, err := json.Marshal(Record{
					Version: 7,
					State:   statePreparing,
				})
				if err != nil {
					t.Fatal(err)
				}
				store.records[mapKey(testGroup)] = cranberryward.Record{
					Value:    value,
					Revision: 3,
				}
			},
			discarded: []uint64{7, 1},
			changed:   true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := &memoryStore{records: map[string]cranberryward.Record{}}
			agent := &Agent{}
			controller, ranks := newTestController(t, store, agent)
			test.prepare(controller, store, agent)
			current := cranberryward.ExpertMap{Version: 1}
			next := cranberryward.ExpertMap{
				Ranks:  1,
				Layers: [][][]int{{{0}}},
			}
			changed, err := controller.applyMap(t.Context(), ranks, current, next)
			if changed != test.changed {
				t.Errorf("changed is %v, error %v, expected %v", changed, err, test.changed)
			}
			if difference := cmp.Diff(test.discarded, agent.discarded); difference != "" {
				t.Errorf("discarded versions (-expected +found):\n%s", difference)
			}
		})
	}
}
