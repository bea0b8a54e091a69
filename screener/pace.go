package screener

import (
	"math"
	"time"

	"github.com/cranberryward/cranberryward/limiter"
)

const (
	// coldShare is the share of the rate that a cold backend server tolerates which the entries together use: their permits are not aligned, and each may have
	// one left from the second before.
	coldShare = 0.6
	// rampTime is how long after it was cold, away or evacuated a backend server is paced by a rate that grows, and rampDoubling how fast.
	rampTime     = 2 * time.Second
	rampDoubling = 400 * time.Millisecond
	// rampSlotRate is the rate at which that begins for each slot of a backend server, in requests a second from all entries together.
	rampSlotRate = 1.0
	// unknownEntriesWait is how long a backend server that is paced gets nothing from an entry that does not know yet how many entries share its rate.
	unknownEntriesWait = 100 * time.Millisecond
)

// ColdRate returns the rate at which all entries together send to a cold backend server, in requests a second, from the rate that it tolerates; in any one second
// it must get no more than that rate times the overshoot plus the slack, where an overshoot of zero means one.
func ColdRate(tolerated, overshoot, slack float64) float64 {
	if tolerated <= 0 {
		return 0
	}
	if overshoot <= 0 {
		overshoot = 1
	}
	bound := tolerated*overshoot + max(slack, 0)
	// In one second, the permits of that second and those left from the one before may be used.
	return coldShare * min(tolerated, bound/2)
}

// pace paces the requests to a backend server that is cold or has returned; its zero value paces none.
type pace struct {
	coldUntil time.Time
	// returnedAt is when an absence ended, or will end.
	returnedAt time.Time
	pacer      limiter.Pacer
	used       bool
}

// rate returns the rate from all entries together in requests a second, until when and why, or infinity.
func (pace *pace) rate(terms Terms, slots int) (rate float64, until time.Time, reason Reason) {
	returned, begin := pace.returnedAt, rampSlotRate*float64(max(slots, 1))
	if terms.ColdRate > 0 {
		begin = terms.ColdRate
		if terms.Now.Before(pace.coldUntil) {
			return terms.ColdRate, pace.coldUntil, Cold
		}
		if pace.coldUntil.After(returned) {
			returned = pace.coldUntil
		}
	}
	since := terms.Now.Sub(returned)
	if returned.IsZero() || since >= rampTime {
		return math.Inf(1), time.Time{}, Free
	}
	return begin * math.Exp2(float64(max(since, 0))/float64(rampDoubling)), returned.Add(rampTime), Returning
}

// over returns whether nothing is paced any more, whatever the rate of a cold backend server is.
func (pace *pace) over(now time.Time) bool {
	return now.Sub(pace.coldUntil) >= rampTime && now.Sub(pace.returnedAt) >= rampTime
}

// wait returns how long it is until this entry may send another request, and until when and why it is paced.
func (pace *pace) wait(terms Terms, slots int) (wait time.Duration, until time.Time, reason Reason) {
	rate, until, reason := pace.rate(terms, slots)
	if reason == Free {
		pace.stop()
		return 0, until, Free
	}
	if terms.Entries <= 0 {
		return unknownEntriesWait, until, reason
	}
	pace.used = true
	return pace.pacer.Wait(terms.Now, rate/float64(terms.Entries)), until, reason
}

// take counts a request that is sent.
func (pace *pace) take(terms Terms, slots int) {
	if rate, _, reason := pace.rate(terms, slots); reason != Free && terms.Entries > 0 {
		pace.pacer.Take(terms.Now, rate/float64(terms.Entries))
	}
}

// stop forgets the permits, so that the next time begins anew.
func (pace *pace) stop() {
	if pace.used {
		pace.pacer.Reset()
		pace.used = false
	}
}
