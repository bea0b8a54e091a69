package relayer

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/go-kit/log/level"
)

const (
	// announceInterval is how often a process sends a notice to its peers.
	announceInterval = 500 * time.Millisecond
	// peerRetention is how long a silent peer is still probed, as after a partition.
	peerRetention = time.Minute
	// probeLimit bounds the unheard addresses that are probed in one round of notices.
	probeLimit = 4
	// maxNotice is the largest datagram accepted, which is the largest that UDP carries.
	maxNotice = 64 << 10
	// maxPeersPerNotice bounds the peers that a notice names; each notice names a random selection.
	maxPeersPerNotice = 8
	// announceFanout bounds the peers that a periodic notice goes to, selected at random each time, and otherZoneFanout those of them in other availability
	// zones, as traffic between zones is charged.
	announceFanout  = 12
	otherZoneFanout = 3
	// changeFanout is how many peers a process tells of a changed snapshot, each of which does the same: three rounds reach two hundred processes.
	changeFanout = 6
	// fetchRetryDelay is how long a fetch may take before another peer with an equally new snapshot is asked.
	fetchRetryDelay = 200 * time.Millisecond
	// helloInterval is how often a process without a snapshot asks for a notice.
	helloInterval = 100 * time.Millisecond
)

// listen handles the notices of peers until the socket is closed.
func (relayer *Relayer) listen() {
	buffer := make([]byte, maxNotice)
	for {
		n, _, err := relayer.socket.ReadFromUDP(buffer)
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		var notice Notice
		if json.Unmarshal(buffer[:n], &notice) != nil || notice.From == "" || notice.From == relayer.options.Address {
			continue
		}
		if notice.Spread != nil {
			if notice.Spread.Sender == relayer.options.Address || !relayer.received.isNew(*notice.Spread) {
				continue
			}
			if notice.Group == nil || relayer.news.isNew(*notice.Group) {
				relayer.forward(notice)
			}
		}
		relayer.dispatch(notice)
	}
}

// dispatch passes a notice to what handles its kind.
func (relayer *Relayer) dispatch(notice Notice) {
	options := relayer.options
	switch {
	case notice.Busy != nil:
		if options.OnLoad != nil {
			counts, spared := relayer.loadByID(notice)
			options.OnLoad(cranberryward.GroupLoad{
				Service: notice.Busy.Service,
				Group:   notice.Busy.Group,
				Counts:  counts,
				Spared:  spared,
				Limit:   notice.Busy.Limit,
			})
		}
	case notice.Crashed != nil: // of an earlier build
	case notice.Parts != nil:
		if options.OnParts != nil {
			options.OnParts(notice.Parts)
		}
	case notice.Limits != nil:
		if options.OnLimits != nil {
			options.OnLimits(notice.Limits)
		}
	default:
		relayer.handleNotice(notice)
		if options.OnNotice != nil {
			options.OnNotice(notice)
		}
	}
}

// AnnounceGroup tells the entries at once if the state of the group has changed.
func (relayer *Relayer) AnnounceGroup(state cranberryward.GroupState) {
	relayer.mutex.Lock()
	changed := relayer.group == nil || *relayer.group != state
	relayer.group = &state
	relayer.mutex.Unlock()
	if changed {
		notice, _, _ := relayer.composeNotice()
		relayer.spread(notice, true)
	}
}

func (relayer *Relayer) handleNotice(notice Notice) {
	now := time.Now()
	relayer.mutex.Lock()
	known := relayer.peers[notice.From]
	if known == nil {
		known = &peer{}
		relayer.peers[notice.From] = known
	}
	wantsReply := notice.At == 0 && relayer.snapshot != nil
	known.lastHeard = now
	if !notice.AgeOnly || known.notice.From == "" {
		known.notice = notice
	}
	for _, address := range notice.Peers {
		if relayer.peers[address] == nil && address != relayer.options.Address {
			relayer.peers[address] = &peer{}
		}
	}
	newer := relayer.snapshot == nil || relayer.snapshot.Position().Before(notice.position())
	same := relayer.snapshot != nil && notice.Content == relayer.snapshot.Content
	readAt := now.Add(-time.Duration(notice.AgeMS) * time.Millisecond)
	if same && !newer && notice.At == relayer.snapshot.At && readAt.After(relayer.readAt) {
		relayer.readAt = readAt
	}
	if newer && same {
		snapshot := *relayer.snapshot
		snapshot.At = notice.At
		relayer.snapshot = &snapshot
		if readAt.After(relayer.readAt) {
			relayer.readAt = readAt
		}
	}
	wanted := newer && !same || relayer.snapshot != nil && notice.Version > relayer.snapshot.version()
	fetch := wanted && (relayer.fetching.Before(notice.position()) || now.Sub(relayer.fetchingSince) > fetchRetryDelay)
	if fetch {
		relayer.fetching, relayer.fetchingSince = notice.position(), now
	}
	relayer.mutex.Unlock()
	if fetch {
		go relayer.fetch(notice.From)
	}
	if wantsReply {
		if notice.Entry && relayer.options.OnEntryStarting != nil {
			relayer.options.OnEntryStarting(notice.From)
		}
		reply, _, _ := relayer.composeNotice()
		relayer.send(reply, []string{notice.From})
	}
}

// fetch copies the newer snapshot of a peer: it requests only the differences to the current one, and then the whole snapshot if it cannot be
// reconstructed from them.
func (relayer *Relayer) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	current, _ := relayer.Snapshot()
	snapshot, age, err := relayer.fetchDelta(ctx, address, current)
	if err == nil && snapshot == nil {
		snapshot, age, err = relayer.fetchDelta(ctx, address, nil)
	}
	if err != nil || snapshot == nil {
		_ = level.Info(relayer.options.Logger).Log("event", "belief_fetch_failed", "peer", address, "error", err)
		return
	}
	relayer.adopt(snapshot, time.Now().Add(-age), address)
}

// fetchDelta requests the differences between the current snapshot and a peer's, or the peer's whole snapshot if the current one is nil, and
// returns nil if the peer's snapshot cannot be reconstructed from the reply.
func (relayer *Relayer) fetchDelta(ctx context.Context, address string, current *Snapshot) (*Snapshot, time.Duration, error) {
	var request FetchRequest
	if current != nil {
		request.Content = current.Content
	}
	if current != nil && current.Deployment != nil {
		request.Deployment, request.DeploymentEra = current.Deployment.Revision, current.Deployment.Era
	}
	var reply FetchReply
	if err := relayer.client.Call(ctx, address, "Belief.Fetch", request, &reply); err != nil {
		return nil, 0, err
	}
	return reply.reconstruct(current), reply.Age, nil
}

// announcePeriodically sends notices until the context ends.
func (relayer *Relayer) announcePeriodically(ctx context.Context) {
	for {
		relayer.announce()
		pause := announceInterval
		if snapshot, _ := relayer.Snapshot(); snapshot == nil {
			pause = helloInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// announce sends a notice to a random selection of the live peers and to a few unheard addresses.
func (relayer *Relayer) announce() {
	notice, live, unheard := relayer.composeNotice()
	if len(live) > announceFanout {
		live = relayer.chooseByZone()
	}
	relayer.send(notice, append(live, choose(unheard, probeLimit)...))
}

// chooseByZone returns announceFanout live peers, most of them of the own availability zone.
func (relayer *Relayer) chooseByZone() []string {
	peers := relayer.liveByZone(false)
	own := peers[relayer.options.Zone]
	delete(peers, relayer.options.Zone)
	others := slices.Concat(slices.Collect(maps.Values(peers))...)
	chosen := choose(others, otherZoneFanout)
	return append(choose(own, announceFanout-len(chosen)), chosen...)
}

// announceChange tells a few peers at once of a changed snapshot, which fetch it and do the same.
func (relayer *Relayer) announceChange() {
	notice, live, unheard := relayer.composeNotice()
	notice.Running, notice.Group, notice.AgeOnly = nil, nil, true
	if len(live) == 0 {
		live = unheard
	}
	relayer.send(notice, live[:min(len(live), changeFanout)])
}

// announceAge tells all peers, in a small notice, that the snapshot was just read, so that they need not read the store themselves.
func (relayer *Relayer) announceAge() {
	notice, _, _ := relayer.composeNotice()
	notice.Running, notice.Group, notice.Peers = nil, nil, nil
	notice.AgeOnly = true
	relayer.spread(notice, false)
}

func (relayer *Relayer) send(notice Notice, addresses []string) {
	text, err := json.Marshal(notice)
	if err != nil {
		_ = level.Error(relayer.options.Logger).Log("event", "notice_unencodable", "error", err)
		return
	}
	for _, address := range addresses {
		if target, err := net.ResolveUDPAddr("udp4", address); err == nil {
			_, _ = relayer.socket.WriteToUDP(text, target) // a lost notice is replaced by the next one
		}
	}
}

func (relayer *Relayer) composeNotice() (notice Notice, live, unheard []string) {
	var running map[string]int
	if relayer.options.InFlightByServer != nil {
		running = relayer.options.InFlightByServer()
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now := time.Now()
	expiries := relayer.expiries()
	entries := 0
	if relayer.options.Entry {
		entries++
	}
	for address, peer := range relayer.peers {
		switch {
		case expiries.live(peer, now):
			live = append(live, address)
			if peer.notice.Entry && peer.notice.Zone == relayer.options.Zone {
				entries++
			}
		case !peer.lastHeard.IsZero() && now.Sub(peer.lastHeard) > peerRetention:
			delete(relayer.peers, address)
		}
	}
	unheard = relayer.unheardAddresses(live)
	notice = Notice{
		From:     relayer.options.Address,
		Instance: relayer.options.Instance,
		Entry:    relayer.options.Entry,
		Zone:     relayer.options.Zone,
		Entries:  entries,
		Running:  running,
		Group:    relayer.group,
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	notice.Peers = live[:min(len(live), maxPeersPerNotice)]
	if relayer.snapshot != nil {
		notice.At, notice.Era, notice.Content = relayer.snapshot.At, relayer.snapshot.Era, relayer.snapshot.Content
		notice.Version = relayer.snapshot.version()
		notice.AgeMS = now.Sub(relayer.readAt).Milliseconds()
	}
	return notice, slices.Clone(live), unheard
}

// unheardAddresses returns the addresses at which a process may be and from which no notice arrives.
func (relayer *Relayer) unheardAddresses(live []string) []string {
	candidates := map[string]bool{}
	for _, seed := range relayer.options.Seeds {
		candidates[seed] = true
	}
	if relayer.snapshot != nil && relayer.options.PeerCandidates != nil {
		for _, address := range relayer.options.PeerCandidates(relayer.snapshot) {
			candidates[address] = true
		}
	}
	for address := range relayer.peers {
		candidates[address] = true
	}
	for _, address := range live {
		delete(candidates, address)
	}
	delete(candidates, relayer.options.Address)
	return slices.Sorted(maps.Keys(candidates))
}

// LivePeers returns the last notice of each live peer.
func (relayer *Relayer) LivePeers() []Notice {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	var notices []Notice
	now, expiries := time.Now(), relayer.expiries()
	for _, peer := range relayer.peers {
		if expiries.live(peer, now) {
			notices = append(notices, peer.notice)
		}
	}
	return notices
}

// Reads returns how many reads of the store were started and how many of them failed.
func (relayer *Relayer) Reads() (reads, failures int) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return relayer.reads, relayer.failures
}
