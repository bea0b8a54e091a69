package prover

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/standin/engineserver"
	"github.com/cranberryward/cranberryward/standin/faulter"
	"github.com/cranberryward/cranberryward/standin/keyvalueserver"
	"github.com/cranberryward/cranberryward/standin/listserver"
	"github.com/cranberryward/cranberryward/standin/serviceserver"
)

var soakSeconds = flag.Int("soak-seconds", 8, "length of the mixed run in seconds")

// soakFault is one kind of fault with its end.
type soakFault struct {
	kind  string
	begin func(random *rand.Rand) (end func())
}

// soak is a mixed run under load.
type soak struct {
	fleet    *fleet
	random   *rand.Rand
	faults   map[string]int
	mutex    sync.Mutex
	accepted map[string]uint64
}

func pick(random *rand.Rand, members []*member) *member { return members[random.IntN(len(members))] }

func (soak *soak) restart(members []*member) func(*rand.Rand) func() {
	return func(random *rand.Rand) func() {
		chosen := pick(random, members)
		chosen.kill()
		return chosen.start
	}
}

func (soak *soak) freeze(members []*member) func(*rand.Rand) func() {
	return func(random *rand.Rand) func() {
		chosen := pick(random, members)
		chosen.freeze()
		return chosen.thaw
	}
}

func (soak *soak) kinds() []soakFault {
	fleet := soak.fleet
	agents := append(append([]*member{}, fleet.engines...), fleet.services...)
	keyValue := func(faults keyvalueserver.Faults) func(*rand.Rand) func() {
		return func(*rand.Rand) func() {
			fleet.setFaults(fleet.keyValue, faults)
			return func() { fleet.setFaults(fleet.keyValue, keyvalueserver.Faults{}) }
		}
	}
	return []soakFault{
		{
			kind:  "entry killed",
			begin: soak.restart(fleet.entries),
		},
		{
			kind:  "agent killed",
			begin: soak.restart(agents),
		},
		{
			kind:  "entry frozen",
			begin: soak.freeze(fleet.entries),
		},
		{
			kind:  "agent frozen",
			begin: soak.freeze(agents),
		},
		{
			kind:  "zone cut off",
			begin: soak.cutZone,
		},
		{
			kind:  "key-value service out",
			begin: keyValue(keyvalueserver.Faults{Outage: true}),
		},
		{
			kind:  "key-value service slow",
			begin: keyValue(keyvalueserver.Faults{DelayMS: 200}),
		},
		{
			kind:  "key-value answers lost",
			begin: keyValue(keyvalueserver.Faults{LoseAnswers: 5}),
		},
		{
			kind:  "watches missing events",
			begin: keyValue(keyvalueserver.Faults{SkipWatches: true}),
		},
		{
			kind: "instance list out",
			begin: func(*rand.Rand) func() {
				fleet.setFaults(fleet.list, listserver.Faults{Outage: true})
				return func() { fleet.setFaults(fleet.list, listserver.Faults{}) }
			},
		},
		{
			kind: "rank killed",
			begin: func(random *rand.Rand) func() {
				engine := pick(random, fleet.engines)
				fleet.setFaults(engine.backend, engineserver.Faults{Dead: true})
				return func() { fleet.setFaults(engine.backend, engineserver.Faults{}) }
			},
		},
		{
			kind: "rank stalled",
			begin: func(random *rand.Rand) func() {
				engine := pick(random, fleet.engines)
				fleet.setFaults(engine.backend, engineserver.Faults{Stalled: true})
				return func() { fleet.setFaults(engine.backend, engineserver.Faults{}) }
			},
		},
		{
			kind: "service answers lost",
			begin: func(random *rand.Rand) func() {
				fleet.setFaults(pick(random, fleet.services).backend, serviceserver.Faults{LoseAnswers: 3})
				return func() {}
			},
		},
		{
			kind: "connections cut",
			begin: func(random *rand.Rand) func() {
				pick(random, agents).requests.CutAfter(1000)
				return func() {}
			},
		},
		{
			kind: "one-way cut",
			begin: func(random *rand.Rand) func() {
				agent := pick(random, agents)
				agent.peers.SetMode(faulter.DropAnswers)
				return func() {
					agent.peers.SetMode(faulter.Cutoff)
					agent.peers.SetMode(faulter.Pass)
				}
			},
		},
		{
			kind: "popularity drifts",
			begin: func(random *rand.Rand) func() {
				fleet.drift(random.IntN(len(fleet.zones)), random.Float64())
				return func() {}
			},
		},
		{
			kind:  "correction",
			begin: soak.submit,
		},
	}
}

func (soak *soak) cutZone(random *rand.Rand) func() {
	zone := soak.fleet.zones[random.IntN(len(soak.fleet.zones))]
	set := func(mode faulter.Mode) {
		for _, member := range soak.fleet.members() {
			if member.zone == zone {
				member.cutPlatform(mode)
				member.cutPeers(mode)
			}
		}
	}
	set(faulter.Cutoff)
	return func() { set(faulter.Pass) }
}

// submit makes a correction through any entry and remembers it when it was accepted.
func (soak *soak) submit(random *rand.Rand) func() {
	entry, id := pick(random, soak.fleet.entries), newKey()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		status, err := soak.fleet.administrator(entry).Submit(ctx, priorityCorrection(id, "workspace-"+id, 7))
		if err == nil {
			soak.mutex.Lock()
			soak.accepted[id] = status.Revision
			soak.mutex.Unlock()
		}
	}()
	return func() { <-done }
}

// book sends bookings, each again with its key until it was answered or the tries are over.
func (soak *soak) book(ctx context.Context, number int) (sent []*attempts) {
	for turn := 0; ctx.Err() == nil; turn++ {
		booking := &attempts{
			key:  newKey(),
			body: fmt.Sprintf("caller %d turn %d", number, turn),
		}
		if turn%4 == 3 {
			booking.key = "opaque " + strings.ToLower(booking.key)
		}
		for try := range 3 {
			received := soak.fleet.bookWithin(soak.fleet.entries[(number+turn+try)%len(soak.fleet.entries)], booking.key, booking.body, "2s")
			booking.answers = append(booking.answers, received)
			if received.whole {
				break
			}
		}
		sent = append(sent, booking)
	}
	return sent
}

func (soak *soak) stream(ctx context.Context, number int) (answers []answer) {
	for turn := 0; ctx.Err() == nil; turn++ {
		limited, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		entry := soak.fleet.entries[(number+turn)%len(soak.fleet.entries)]
		answers = append(answers, soak.fleet.stream(limited, entry, fmt.Sprintf("caller %d turn %d", number, turn), 40,
			map[string]string{cranberryward.HeaderDeadline: "3s"}))
		cancel()
	}
	return answers
}

// disturb begins faults, at times two at once, until the time is over, and ends them all.
func (soak *soak) disturb(until time.Time) {
	kinds := soak.kinds()
	for time.Now().Before(until) {
		count := 1 + soak.random.IntN(2)
		var ends []func()
		used := map[string]bool{}
		for range count {
			fault := kinds[soak.random.IntN(len(kinds))]
			group := strings.Fields(fault.kind)[0]
			if used[group] {
				continue
			}
			used[group] = true
			soak.faults[fault.kind]++
			ends = append(ends, fault.begin(soak.random))
		}
		pause(time.Duration(200+soak.random.IntN(1200)) * time.Millisecond)
		for _, end := range ends {
			end()
		}
		pause(time.Duration(soak.random.IntN(400)) * time.Millisecond)
	}
}

func TestSoak(t *testing.T) {
	for round := range *rounds {
		t.Run(fmt.Sprintf("seed %d", *seed+uint64(round)), func(t *testing.T) { runSoak(t, *seed+uint64(round)) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	fleet := newFleet(t, fleetOptions{
		zones:          2,
		entriesPerZone: 2,
		ranksPerZone:   2,
		entryFlags:     quickChanges,
		agentFlags:     append([]string{"--hold-bound", "500ms"}, shortHomes...),
	})
	soak := &soak{
		fleet:    fleet,
		random:   rand.New(rand.NewPCG(seed, 0x50a)),
		faults:   map[string]int{},
		accepted: map[string]uint64{},
	}
	const callers = 6
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	booked, streamed := make([][]*attempts, callers), make([][]answer, callers)
	for number := range callers {
		group.Go(func() { booked[number] = soak.book(ctx, number) })
		group.Go(func() { streamed[number] = soak.stream(ctx, number) })
	}
	soak.disturb(time.Now().Add(time.Duration(*soakSeconds) * time.Second))
	cancel()
	group.Wait()
	soak.judge(t, seed, booked, streamed)
}

// judge heals everything and checks each invariant from the logs of callers and stand-ins.
func (soak *soak) judge(t *testing.T, seed uint64, booked [][]*attempts, streamed [][]answer) {
	fleet := soak.fleet
	var bookings []*attempts
	var answers []answer
	for number := range booked {
		bookings = append(bookings, booked[number]...)
		answers = append(answers, streamed[number]...)
	}
	faults := 0
	for _, count := range soak.faults {
		faults += count
	}
	line := func(invariant, counts string, check func()) {
		before := t.Failed()
		check()
		result := "held"
		if t.Failed() && !before {
			result = "VIOLATED"
		}
		t.Logf("soak seed=%d invariant=%q %s faults=%d result=%s", seed, invariant, counts, faults, result)
	}
	whole := 0
	for _, received := range answers {
		if received.whole {
			whole++
		}
	}
	line("whole answer to its own request", fmt.Sprintf("streams=%d whole=%d", len(answers), whole), func() { fleet.checkWhole(answers) })
	line("not run never ran", fmt.Sprintf("streams=%d", len(answers)), func() { fleet.checkNotRun(answers) })
	served := 0
	line("at most once", fmt.Sprintf("bookings=%d", len(bookings)), func() { served = fleet.checkOnce(bookings) })
	t.Logf("soak seed=%d bookings served %d of %d", seed, served, len(bookings))
	for zone := range fleet.zones {
		line("one expert map in each step of "+fleet.zones[zone], fmt.Sprintf("records=%d", len(fleet.steps(zone))), func() { fleet.awaitProgress(zone) })
	}
	line("accepted and never reverted", fmt.Sprintf("accepted=%d", len(soak.accepted)), func() { soak.checkAccepted(t) })
	t.Logf("soak seed=%d faults by kind %v", seed, soak.faults)
}

func (soak *soak) checkAccepted(t *testing.T) {
	last := uint64(0)
	for _, revision := range soak.accepted {
		last = max(last, revision)
	}
	for _, entry := range soak.fleet.entries {
		configuration := soak.fleet.awaitRevision(entry, last)
		for id := range soak.accepted {
			if priorityOf(configuration, "workspace-"+id) != 7 {
				t.Errorf("%s lost the accepted correction %s", entry.id, id)
			}
		}
	}
}
