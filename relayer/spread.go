package relayer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// spreadDirectly is the largest number of recipients that a process sends a notice to itself; for more, it sends it to some of each zone, which
	// forward it.
	spreadDirectly = 12
	// spreadPerZone is how many recipients of each availability zone get a notice from its sender.
	spreadPerZone = 2
	// forwardFanout is how many recipients of its own zone a process forwards a notice to when it first gets it; with four, two in a hundred are missed,
	// and the next notice reaches others.
	forwardFanout = 4
	// sequenceTTL is how long the last notice of a sender is remembered.
	sequenceTTL = 30 * time.Second
)

// Spread tells how a notice reaches more processes than its sender sends it to.
type Spread struct {
	// Sender is the address of the process that composed the notice, and Life identifies its run.
	Sender string `json:"sender"`
	Life   uint64 `json:"life"`
	// Sequence increases with each notice that the sender spreads.
	Sequence uint64 `json:"sequence"`
	// EntriesOnly means that the notice is for entries.
	EntriesOnly bool `json:"entries_only,omitempty"`
}

// sequences remembers the last notice that each process spread, so that each is handled and forwarded once and in order; its zero value is ready to use.
type sequences struct {
	mutex sync.Mutex
	last  map[spreadKey]lastSequence
}

type spreadKey struct {
	sender string
	life   uint64
}

type lastSequence struct {
	sequence uint64
	at       time.Time
}

// isNew returns whether a notice is newer than any of its sender's before, and remembers it.
func (sequences *sequences) isNew(spread Spread) bool {
	sequences.mutex.Lock()
	defer sequences.mutex.Unlock()
	now := time.Now()
	key := spreadKey{
		sender: spread.Sender,
		life:   spread.Life,
	}
	before, known := sequences.last[key]
	if known && spread.Sequence <= before.sequence {
		return false
	}
	if sequences.last == nil {
		sequences.last = map[spreadKey]lastSequence{}
	}
	if !known {
		sequences.deleteOld(now)
	}
	sequences.last[key] = lastSequence{
		sequence: spread.Sequence,
		at:       now,
	}
	return true
}

func (sequences *sequences) deleteOld(now time.Time) {
	for key, last := range sequences.last {
		if now.Sub(last.at) > sequenceTTL {
			delete(sequences.last, key)
		}
	}
}

// spread sends a notice to all live peers or, if entriesOnly is set, to the entries among them: directly if they are few, and otherwise to some of each
// zone, which forward it.
func (relayer *Relayer) spread(notice Notice, entriesOnly bool) {
	peers := relayer.liveByZone(entriesOnly)
	total := 0
	for _, addresses := range peers {
		total += len(addresses)
	}
	if total <= spreadDirectly {
		for _, addresses := range peers {
			relayer.send(notice, addresses)
		}
		return
	}
	notice.Spread = &Spread{
		Sender:      relayer.options.Address,
		Life:        relayer.life,
		Sequence:    relayer.sequence.Add(1),
		EntriesOnly: entriesOnly,
	}
	var recipients []string
	for _, addresses := range peers {
		recipients = append(recipients, choose(addresses, spreadPerZone)...)
	}
	relayer.send(notice, recipients)
}

// forward passes a spread notice on within the zone.
func (relayer *Relayer) forward(notice Notice) {
	peers := relayer.liveByZone(notice.Spread.EntriesOnly)[relayer.options.Zone]
	relayer.send(notice, choose(peers, forwardFanout))
}

// choose returns some of the addresses, chosen at random, and reorders the given ones.
func choose(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// liveByZone returns the addresses of the live peers, or of the entries among them, by availability zone.
func (relayer *Relayer) liveByZone(entriesOnly bool) map[string][]string {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	peers := map[string][]string{}
	now, expiries := time.Now(), relayer.expiries()
	for address, peer := range relayer.peers {
		if !expiries.live(peer, now) || entriesOnly && !peer.notice.Entry {
			continue
		}
		peers[peer.notice.Zone] = append(peers[peer.notice.Zone], address)
	}
	return peers
}

// groupNews remembers the last known state of each group, to forward only the first report of a change: all agents of a group report it at once. Its zero
// value is ready to use.
type groupNews struct {
	mutex sync.Mutex
	known map[groupName]cranberryward.GroupState
}

type groupName struct{ service, name string }

// isNew returns whether a report says something about a group that no report before said: a later epoch, or that the group is broken in the same one.
func (groupNews *groupNews) isNew(state cranberryward.GroupState) bool {
	groupNews.mutex.Lock()
	defer groupNews.mutex.Unlock()
	key := groupName{
		service: state.Service,
		name:    state.Name,
	}
	before, known := groupNews.known[key]
	if known && (state.Epoch < before.Epoch || state.Epoch == before.Epoch && (state.Open || !before.Open)) {
		return false
	}
	if groupNews.known == nil {
		groupNews.known = map[groupName]cranberryward.GroupState{}
	}
	groupNews.known[key] = state
	return true
}
