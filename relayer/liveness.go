package relayer

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// lostNotices is how many notices of a peer in a row may be lost before it no longer counts as live.
	lostNotices = 6
	// readersKey is the key by which processes are ordered as readers of the store.
	readersKey = "readers"
	// readSpacing is the time after which the next process reads if the one before it has not told that it did: a read and its notice take less.
	readSpacing = 40 * time.Millisecond
	// maxReadDelay bounds the resulting delay.
	maxReadDelay = time.Second
)

// expiries are how long silent peers count as live: the more peers there are, the longer, because each gets a notice less often.
type expiries struct {
	zone           string
	ownZone, other time.Duration
}

// expiries returns the expiries for the present number of peers; the caller holds the mutex.
func (relayer *Relayer) expiries() expiries {
	own, others := 0, 0
	for _, peer := range relayer.peers {
		if peer.notice.Zone == relayer.options.Zone {
			own++
		} else {
			others++
		}
	}
	expiries := expiries{
		zone:    relayer.options.Zone,
		ownZone: lostNotices * announceInterval,
		other:   lostNotices * announceInterval,
	}
	if own+others > announceFanout {
		expiries.ownZone *= time.Duration(own/(announceFanout-otherZoneFanout) + 1)
		expiries.other *= time.Duration(others/otherZoneFanout + 1)
	}
	expiries.other = min(expiries.other, peerRetention)
	return expiries
}

// live returns whether a peer was heard within the expiry that applies to it.
func (expiries expiries) live(peer *peer, now time.Time) bool {
	expiry := expiries.other
	if peer.notice.Zone == expiries.zone {
		expiry = expiries.ownZone
	}
	return !peer.lastHeard.IsZero() && now.Sub(peer.lastHeard) < expiry
}

// CountEntries returns the number of live entries: those of the own availability zone, with this process if it is one, and as many in each other zone as
// a process there has reported.
func (relayer *Relayer) CountEntries() int {
	_, count := relayer.PlaceAmongEntries()
	return count
}

// PlaceAmongEntries returns the place of this entry among the live ones, from 1 and in the order of availability zones and addresses, and CountEntries.
func (relayer *Relayer) PlaceAmongEntries() (place, count int) {
	notice, _, _ := relayer.composeNotice()
	count, place = notice.Entries, 1
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now, expiries := time.Now(), relayer.expiries()
	byZone := map[string]int{}
	for address, peer := range relayer.peers {
		switch zone := peer.notice.Zone; {
		case !expiries.live(peer, now):
		case zone != relayer.options.Zone:
			byZone[zone] = max(byZone[zone], peer.notice.Entries)
		case peer.notice.Entry && address < relayer.options.Address:
			place++
		}
	}
	for zone, entries := range byZone {
		count += entries
		if zone < relayer.options.Zone {
			place += entries
		}
	}
	return place, count
}

// readDelay returns how long after the refresh age this process reads the store: processes of one kind read one after the other, until one tells the others
// that it did. The caller holds the mutex.
func (relayer *Relayer) readDelay() time.Duration {
	position := 0
	now, expiries := time.Now(), relayer.expiries()
	own := cranberryward.RendezvousWeight(readersKey, relayer.options.Address)
	for address, peer := range relayer.peers {
		if peer.notice.Entry == relayer.options.Entry && expiries.live(peer, now) && cranberryward.RendezvousWeight(readersKey, address) > own {
			position++
		}
	}
	return min(time.Duration(position)*readSpacing, maxReadDelay)
}
