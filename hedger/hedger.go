package hedger

import (
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// lateQuantile is the share of requests of a kind and size that are answered before one counts as late.
	lateQuantile = 0.95
	// maxSamples is the number of the last durations of a kind and size that the quantile is taken from, and minSamples the number that it needs.
	maxSamples = 128
	minSamples = 24
	// refreshSamples is the number of new durations after which the quantile is computed again.
	refreshSamples = 8
	// objectiveShare is the share of its objective after which a request of a kind that is not known yet counts as late; the rest is left for the second answer.
	objectiveShare = 0.5
	// maxCredit is the number of second sends that may follow each other at once.
	maxCredit = 3.0
	// maxLateShare is the share of late requests above which nearly all are slow and a second send only adds to the load: four times the usual share.
	maxLateShare = 4 * (1 - lateQuantile)
	// lateWeight is the weight of one request in the moving share of late ones: four late ones in a row end second sends.
	lateWeight = 0.05
)

// MaxShare is the highest share of requests that may be sent a second time.
const MaxShare = 0.5

// Hedger decides from the durations of this process's own requests; its zero value allows no second send.
type Hedger struct {
	mutex sync.Mutex
	// share is the allowed share of requests, and credit the second sends that it allows now.
	share     float64
	credit    float64
	lateShare float64
	kinds     map[kind]*durations
}

// kind is a route and a class of sizes, where a class is as wide as all smaller ones together; class -1 stands for all sizes.
type kind struct {
	route string
	class int
}

// durations holds the last durations of one kind, and their quantile.
type durations struct {
	samples  []time.Duration
	next     int
	fresh    int
	quantile time.Duration
}

// SetShare sets the share of requests that may be sent a second time, from 0, which allows none, to MaxShare.
func (hedger *Hedger) SetShare(share float64) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	before := hedger.share
	hedger.share = min(max(share, 0), MaxShare)
	switch {
	case hedger.share == 0:
		hedger.credit = 0
	case before == 0:
		hedger.credit = 1
	}
}

// Begin counts a request that may be sent a second time, and returns after which time without an answer it counts as late; it returns false if it may not be sent
// again. The size is that of its prompt or body, and an objective of zero stands for none.
func (hedger *Hedger) Begin(route string, size int, objective time.Duration) (delay time.Duration, allowed bool) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	if hedger.share <= 0 {
		return 0, false
	}
	hedger.credit = min(hedger.credit+hedger.share, maxCredit)
	half := time.Duration(objectiveShare * float64(objective))
	if known := hedger.kinds[kindOf(route, size)]; known.known() {
		return known.quantile, true
	}
	if all := hedger.kinds[kind{route, -1}]; all.known() {
		return max(all.quantile, half), true
	}
	return half, half > 0
}

// Late records that the answer of a request is late, and returns why it may not be sent a second time, or an empty reason: it has then taken a second send from the
// allowed share, which GiveBack returns if it is not made.
func (hedger *Hedger) Late() (denial string) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	hedger.lateShare += lateWeight * (1 - hedger.lateShare)
	switch {
	case hedger.lateShare > maxLateShare:
		return "all_late"
	case hedger.credit < 1:
		return "share"
	default:
		hedger.credit--
		return ""
	}
}

// GiveBack returns a second send that was not made to the allowed share.
func (hedger *Hedger) GiveBack() {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	if hedger.share > 0 {
		hedger.credit = min(hedger.credit+1, maxCredit)
	}
}

// Record records how long a request took to be answered, or how long it went unanswered, and whether it was late.
func (hedger *Hedger) Record(route string, size int, took time.Duration, late bool) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	if !late {
		hedger.lateShare *= 1 - lateWeight
	}
	if hedger.kinds == nil {
		hedger.kinds = map[kind]*durations{}
	}
	for _, kind := range []kind{kindOf(route, size), {route, -1}} {
		if hedger.kinds[kind] == nil {
			hedger.kinds[kind] = &durations{}
		}
		hedger.kinds[kind].record(took)
	}
}

// Keep forgets the kinds of all routes but the given ones.
func (hedger *Hedger) Keep(routes map[string]bool) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	for kind := range hedger.kinds {
		if !routes[kind.route] {
			delete(hedger.kinds, kind)
		}
	}
}

func kindOf(route string, size int) kind { return kind{route, bits.Len(uint(max(size, 0)))} }

func (durations *durations) known() bool {
	return durations != nil && len(durations.samples) >= minSamples
}

// record replaces the oldest duration.
func (durations *durations) record(took time.Duration) {
	if len(durations.samples) < maxSamples {
		durations.samples = append(durations.samples, took)
	} else {
		durations.samples[durations.next] = took
	}
	durations.next = (durations.next + 1) % maxSamples
	if durations.fresh++; durations.fresh >= refreshSamples || len(durations.samples) == minSamples {
		durations.fresh = 0
		sorted := slices.Sorted(slices.Values(durations.samples))
		durations.quantile = sorted[int(lateQuantile*float64(len(sorted)-1))]
	}
}
