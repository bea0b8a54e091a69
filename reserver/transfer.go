package reserver

import (
	"sync"
	"time"
)

const (
	// leastRate is the pace, in bytes a second, that a transfer has to keep while room is short; a caller behind the slowest link keeps more.
	leastRate = 8 << 10
	// paceTime is how long a transfer may stall at any time, as after lost packets.
	paceTime = 3 * time.Second
	// maxCredit is the most bytes by which a transfer may be ahead of the least rate; what a quick begin, or the socket's buffer, brought counts no longer.
	maxCredit = leastRate * paceTime / time.Second
	// shedInterval is the least time between two looks for transfers that are too slow.
	shedInterval = 100 * time.Millisecond
)

// Transfer is a body on its way from or to a caller, which holds memory until it ends.
type Transfer struct {
	reserver  *Reserver
	interrupt func()

	// endMutex guards ended, so that nothing is interrupted any more once End has returned.
	endMutex sync.Mutex
	ended    bool

	mutex sync.Mutex
	// credit is by how many bytes the transfer was ahead of the least rate at a time.
	credit float64
	at     time.Time
}

// Begin records a transfer that the given function ends early if room is short and it keeps no pace; End must be called.
func (reserver *Reserver) Begin(interrupt func()) *Transfer {
	transfer := &Transfer{
		reserver:  reserver,
		interrupt: interrupt,
		credit:    float64(maxCredit),
		at:        time.Now(),
	}
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	if reserver.transfers == nil {
		reserver.transfers = map[*Transfer]struct{}{}
	}
	reserver.transfers[transfer] = struct{}{}
	return transfer
}

// Add records that so many bytes more have passed.
func (transfer *Transfer) Add(bytes int) {
	now := time.Now()
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	transfer.credit, transfer.at = min(max(transfer.creditAt(now), 0)+float64(bytes), float64(maxCredit)), now
}

// creditAt returns the credit at a time; the caller holds the mutex.
func (transfer *Transfer) creditAt(now time.Time) float64 {
	return transfer.credit - leastRate*now.Sub(transfer.at).Seconds()
}

// End records the end of the transfer, which is not interrupted afterwards.
func (transfer *Transfer) End() {
	transfer.endMutex.Lock()
	transfer.ended = true
	transfer.endMutex.Unlock()
	transfer.reserver.mutex.Lock()
	defer transfer.reserver.mutex.Unlock()
	delete(transfer.reserver.transfers, transfer)
}

// cut interrupts the transfer unless it has ended.
func (transfer *Transfer) cut() {
	transfer.endMutex.Lock()
	defer transfer.endMutex.Unlock()
	if !transfer.ended {
		transfer.interrupt()
	}
}

// slow returns whether the transfer is behind the least rate.
func (transfer *Transfer) slow(now time.Time) bool {
	transfer.mutex.Lock()
	defer transfer.mutex.Unlock()
	return transfer.creditAt(now) < 0
}

// tooSlow returns the transfers that keep no pace, unless it has looked for them just before.
func (reserver *Reserver) tooSlow() (slow []*Transfer) {
	now := time.Now()
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	if now.Sub(reserver.shedAt) < shedInterval {
		return nil
	}
	reserver.shedAt = now
	for transfer := range reserver.transfers {
		if transfer.slow(now) {
			slow = append(slow, transfer)
		}
	}
	return slow
}

// Shed ends the transfers that keep no pace; it is called where something is short.
func (reserver *Reserver) Shed() {
	for _, transfer := range reserver.tooSlow() {
		transfer.cut()
	}
}
