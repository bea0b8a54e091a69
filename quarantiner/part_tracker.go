package quarantiner

import (
	"sync"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// maxSuspects bounds the parts that are suspect or quarantined at one time, and recentWindow is how long a change is reported to peers, so that a peer that
	// lost one notice gets another.
	maxSuspects  = 256
	recentWindow = time.Second
	// minServedParts is how many parts must have been answered before a part counts as new: a process that has just started knows none.
	minServedParts = 16
)

// PartTracker finds the prompt parts that crash backend servers: what the requests at backend servers that crashed have in common and answered requests
// do not. Its zero value is ready to use.
type PartTracker struct {
	mutex    sync.Mutex
	served   servedParts
	suspects map[cranberryward.PromptPart]*partSuspect
	changed  chan struct{}
}

// PartVerdict is whether a request may be sent in view of the parts of its prompt.
type PartVerdict struct {
	blocked   bool
	part      cranberryward.PromptPart
	remaining time.Duration
	probeDue  bool
}

// Blocked returns whether a part of the request is quarantined.
func (partVerdict PartVerdict) Blocked() bool { return partVerdict.blocked }

// Part returns the part that is quarantined for the longest time.
func (partVerdict PartVerdict) Part() cranberryward.PromptPart { return partVerdict.part }

// Remaining returns the rest of its quarantine.
func (partVerdict PartVerdict) Remaining() time.Duration { return partVerdict.remaining }

// ProbeDue returns whether the quarantine has ended and one request may show whether the part still crashes backend servers.
func (partVerdict PartVerdict) ProbeDue() bool { return partVerdict.probeDue }

// Check returns whether a request of a service with the given shared parts may be sent.
func (partTracker *PartTracker) Check(service string, parts []string) PartVerdict {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	var verdict PartVerdict
	if len(partTracker.suspects) == 0 {
		return verdict
	}
	now := time.Now()
	blocking := 0
	for _, id := range parts {
		suspect := partTracker.find(cranberryward.PromptPart{
			Service: service,
			ID:      id,
		}, now)
		if suspect == nil || suspect.level == 0 {
			continue
		}
		blocking++
		if remaining := suspect.until.Sub(now); !verdict.blocked || remaining > verdict.remaining {
			verdict.blocked, verdict.part, verdict.remaining = true, suspect.part, remaining
		}
	}
	// With two quarantined parts, a crash would not tell which of them caused it.
	verdict.probeDue = blocking == 1 && verdict.remaining <= 0
	return verdict
}

// find returns what is known of a suspect part, or nil, and drops it if it counts as sound again; the caller holds the mutex.
func (partTracker *PartTracker) find(part cranberryward.PromptPart, now time.Time) *partSuspect {
	suspect := partTracker.suspects[part]
	if suspect != nil && suspect.expired(now) {
		delete(partTracker.suspects, part)
		return nil
	}
	return suspect
}

// Established returns whether enough requests were answered to tell new parts from others.
func (partTracker *PartTracker) Established() bool {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	return partTracker.established()
}

func (partTracker *PartTracker) established() bool {
	return partTracker.served.len() >= minServedParts
}

// RecordServed records that a backend server has begun to answer a request with the given parts without a crash.
func (partTracker *PartTracker) RecordServed(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	now := time.Now()
	for _, id := range parts {
		part := cranberryward.PromptPart{
			Service: service,
			ID:      id,
		}
		partTracker.served.record(part, now)
		suspect := partTracker.suspects[part]
		if suspect == nil {
			continue
		}
		if suspect.setServed(now) {
			suspect.changedAt = now
			partTracker.notify()
		}
		suspect.applyThreshold(now)
	}
}

// RecordCrash charges the crash of a backend server to the shared parts of a request that was there, those that are most likely to have caused it; begun is
// whether the answer to the request had begun.
func (partTracker *PartTracker) RecordCrash(service, server string, parts []string, begun bool) (charged []cranberryward.PromptPart) {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	now := time.Now()
	candidates, unseen := partTracker.mostSuspect(service, parts, now)
	points := waitingPoints
	switch {
	case begun && unseen:
		points = newPartPoints
	case begun:
		points = servedPartPoints
	}
	for _, part := range candidates {
		suspect := partTracker.get(part, now)
		suspect.observed = true
		if suspect.addCrash(partCrash{
			server: server,
			at:     now,
			points: points,
		}) {
			suspect.changedAt = now
		}
		suspect.applyThreshold(now)
	}
	if len(candidates) > 0 {
		partTracker.notify()
	}
	return candidates
}

// mostSuspect returns the parts of a request that a crash is charged to: those that are suspect already, or else those that were never answered, for which
// unseen is set, or else all.
func (partTracker *PartTracker) mostSuspect(service string, parts []string, now time.Time) (candidates []cranberryward.PromptPart, unseen bool) {
	var all, unseenParts, suspects []cranberryward.PromptPart
	highest := 1
	for _, id := range parts {
		part := cranberryward.PromptPart{
			Service: service,
			ID:      id,
		}
		all = append(all, part)
		suspect := partTracker.find(part, now)
		if partTracker.served.last(part).IsZero() && (suspect == nil || suspect.servedAt.IsZero()) {
			unseenParts = append(unseenParts, part)
		}
		if suspect == nil {
			continue
		}
		score := suspect.begunScore()
		if suspect.level > 0 {
			score = max(score, quarantinePoints)
		}
		if score > highest {
			highest, suspects = score, nil
		}
		if score == highest {
			suspects = append(suspects, part)
		}
	}
	switch {
	case len(suspects) > 0:
		return suspects, false
	case partTracker.established() && len(unseenParts) > 0:
		return unseenParts, true
	default:
		return all, false
	}
}

// get returns the suspect of a part, which it creates if there is none; the caller holds the mutex.
func (partTracker *PartTracker) get(part cranberryward.PromptPart, now time.Time) *partSuspect {
	if suspect := partTracker.find(part, now); suspect != nil {
		return suspect
	}
	if partTracker.suspects == nil {
		partTracker.suspects = map[cranberryward.PromptPart]*partSuspect{}
	}
	if len(partTracker.suspects) >= maxSuspects {
		partTracker.evict(now)
	}
	suspect := &partSuspect{
		part:     part,
		servedAt: partTracker.served.last(part),
	}
	partTracker.suspects[part] = suspect
	return suspect
}

// evict drops the expired suspects and, if there are none, the one that matters least: a part that is not quarantined goes before one that is, one without a
// confirmed crash before one with such, and the one whose last crash is the longest ago goes first.
func (partTracker *PartTracker) evict(now time.Time) {
	var least *partSuspect
	for part, suspect := range partTracker.suspects {
		if suspect.expired(now) {
			delete(partTracker.suspects, part)
			continue
		}
		if least == nil || suspect.lessRelevant(least) {
			least = suspect
		}
	}
	if len(partTracker.suspects) >= maxSuspects && least != nil {
		delete(partTracker.suspects, least.part)
	}
}

func (partSuspect *partSuspect) lessRelevant(other *partSuspect) bool {
	if (partSuspect.level > 0) != (other.level > 0) {
		return partSuspect.level == 0
	}
	if confirmed := partSuspect.score() > 0; confirmed != (other.score() > 0) {
		return !confirmed
	}
	return partSuspect.crashedAt.Before(other.crashedAt)
}

// Quarantined returns the number of parts that are quarantined.
func (partTracker *PartTracker) Quarantined() int {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	count := 0
	for _, suspect := range partTracker.suspects {
		if suspect.level > 0 {
			count++
		}
	}
	return count
}

// Changed returns a channel that receives a value when there is something new to report to peers.
func (partTracker *PartTracker) Changed() <-chan struct{} {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	return partTracker.signal()
}

func (partTracker *PartTracker) signal() chan struct{} {
	if partTracker.changed == nil {
		partTracker.changed = make(chan struct{}, 1)
	}
	return partTracker.changed
}

// notify makes Changed ready; the caller holds the mutex.
func (partTracker *PartTracker) notify() {
	select {
	case partTracker.signal() <- struct{}{}:
	default: // a value is waiting already
	}
}
