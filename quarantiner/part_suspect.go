package quarantiner

import (
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// quarantinePoints is the sum of points at which a part is quarantined.
	quarantinePoints = 6
	// newPartPoints is for a crash just after the backend server had begun to answer a request with a part that was never answered before.
	newPartPoints = quarantinePoints
	// servedPartPoints is the same for a part that has been answered before.
	servedPartPoints = quarantinePoints / 2
	// waitingPoints is for a crash while such a request waited at the backend server.
	waitingPoints = quarantinePoints / 3
	// unconfirmedPoints is for a send that broke off at a backend server that may not have crashed: it speaks against a retry, not for a quarantine.
	unconfirmedPoints = 0
	// sameCrashWindow is the time within which entries see the same crash if it is not known since when the backend server held their requests, and
	// reportDelay how much later than it happened a crash may seem to have happened to a process that hears of it.
	sameCrashWindow = 2 * time.Second
	reportDelay     = 100 * time.Millisecond
	// maxCrashesPerPart bounds the crashes that are remembered of a part.
	maxCrashesPerPart = 4
	// firstQuarantine is how long a part is quarantined first; each further quarantine in a row is twice as long, up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 8 * time.Minute
	// probeWindow is how long after its quarantine a part waits for a request that probes it; after that it counts as sound.
	probeWindow = 90 * time.Second
	// quickProbes is how many probes a whole request that was never answered gets after quarantines of the usual lengths, as operators accept three late retries;
	// the others are maxRequestQuarantine apart, and such a request waits for its probe for requestProbeWindow, as its callers may come rarely.
	quickProbes          = 3
	maxRequestQuarantine = time.Hour
	requestProbeWindow   = time.Hour
	// suspectTTL is how long a part that is not quarantined stays suspect after its last crash, and requestSuspectTTL the same for a whole request, of
	// which callers may send only a few in that time.
	suspectTTL        = time.Minute
	requestSuspectTTL = 5 * time.Minute
	// servedRequestQuarantine is how long a request that has been answered before is quarantined first; its crashes may be those of a service that fails
	// as a whole, and many callers may send it. Each further quarantine is servedRequestFactor times as long.
	servedRequestQuarantine = 5 * time.Second
	servedRequestFactor     = 4
)

// partSuspect is a prompt part whose requests were at backend servers that crashed.
type partSuspect struct {
	part cranberryward.PromptPart
	// servedAt is when a request with the part was last answered, as far as this process and its peers know.
	servedAt time.Time
	// crashes are those after servedAt, in the order in which they became known.
	crashes []partCrash
	// crashedAt is when the last crash occurred, also if it is known from the store only.
	crashedAt time.Time
	// level counts the quarantines in a row, zero for none, and until ends the current one.
	level int
	until time.Time
	// quarantinedAt is when the part was quarantined here.
	quarantinedAt time.Time
	// changedAt is when this process last learned by itself what its peers do not know.
	changedAt time.Time
	// heardAt is when any process last reported the part.
	heardAt time.Time
	// observed is whether this process saw the crashes itself.
	observed bool
	// stored is the state in the store, if any.
	stored cranberryward.Quarantine
}

type partCrash struct {
	server string
	at     time.Time
	points int
	// since is when the request was sent to the backend server, or zero.
	since time.Time
}

// same returns whether two records are of one crash: a request that was sent after a crash was not there.
func (partCrash partCrash) same(other partCrash) bool {
	if partCrash.server != other.server {
		return false
	}
	if partCrash.since.IsZero() || other.since.IsZero() {
		return partCrash.at.Sub(other.at).Abs() < sameCrashWindow
	}
	return partCrash.since.Before(other.at) && other.since.Before(partCrash.at)
}

// points returns the points of a crash: a part that has been answered before is no new part, whoever answered it.
func (partSuspect *partSuspect) points(crash partCrash) int {
	switch {
	case partSuspect.servedAt.IsZero():
		return crash.points
	case partSuspect.part.IsWholeRequest():
		return min(crash.points, waitingPoints)
	default:
		return min(crash.points, servedPartPoints)
	}
}

// score returns the sum of the points of all crashes.
func (partSuspect *partSuspect) score() int {
	score := 0
	for _, crash := range partSuspect.crashes {
		score += partSuspect.points(crash)
	}
	return score
}

// begunScore is the score of the crashes at which an answer had begun.
func (partSuspect *partSuspect) begunScore() int {
	score := 0
	for _, crash := range partSuspect.crashes {
		if crash.points > waitingPoints {
			score += partSuspect.points(crash)
		}
	}
	return score
}

// addCrash adds a crash unless it is known, and returns whether anything changed.
func (partSuspect *partSuspect) addCrash(crash partCrash) bool {
	if crash.at.Before(partSuspect.servedAt) {
		return false
	}
	for i, known := range partSuspect.crashes {
		if known.same(crash) {
			partSuspect.crashes[i].points = max(known.points, crash.points)
			return crash.points > known.points
		}
	}
	if len(partSuspect.crashes) == maxCrashesPerPart {
		partSuspect.dropWeakestCrash()
	}
	partSuspect.crashes = append(partSuspect.crashes, crash)
	if crash.at.After(partSuspect.crashedAt) {
		partSuspect.crashedAt = crash.at
	}
	return true
}

// dropWeakestCrash drops the first of the crashes with the fewest points.
func (partSuspect *partSuspect) dropWeakestCrash() {
	weakest := 0
	for i, crash := range partSuspect.crashes {
		if crash.points < partSuspect.crashes[weakest].points {
			weakest = i
		}
	}
	partSuspect.crashes = slices.Delete(partSuspect.crashes, weakest, weakest+1)
}

// setServed records when a request with the part was answered, drops the crashes before, and returns whether that changes the suspicion.
func (partSuspect *partSuspect) setServed(at time.Time) bool {
	if at.IsZero() || !at.After(partSuspect.servedAt) {
		return false
	}
	before := func(crash partCrash) bool { return crash.at.Before(at) }
	changed := partSuspect.servedAt.IsZero() || slices.ContainsFunc(partSuspect.crashes, before)
	partSuspect.servedAt = at
	partSuspect.crashes = slices.DeleteFunc(partSuspect.crashes, before)
	if partSuspect.level > 0 && at.After(partSuspect.crashedAt) {
		partSuspect.level, changed = 0, true
	}
	return changed
}

// applyThreshold begins a quarantine if the crashes suffice, and ends a first one if it turns out that they do not.
func (partSuspect *partSuspect) applyThreshold(now time.Time) {
	score := partSuspect.score()
	switch {
	case partSuspect.level == 0 && score >= quarantinePoints:
		partSuspect.level, partSuspect.until, partSuspect.quarantinedAt = 1, now.Add(partSuspect.quarantineTime(1)), now
	case partSuspect.level == 1 && len(partSuspect.crashes) > 0 && score < quarantinePoints && partSuspect.stored.Level == 0:
		partSuspect.level = 0
	}
}

// expired returns whether the part counts as sound again.
func (partSuspect *partSuspect) expired(now time.Time) bool {
	if partSuspect.level > 0 {
		return now.Sub(partSuspect.until) > probeWindowOf(partSuspect.part)
	}
	ttl := suspectTTL
	if partSuspect.part.IsWholeRequest() {
		ttl = requestSuspectTTL
	}
	return now.Sub(partSuspect.crashedAt) > ttl && now.Sub(partSuspect.changedAt) > ttl
}

// quarantineTime returns the length of a quarantine of a level.
func (partSuspect *partSuspect) quarantineTime(level int) time.Duration {
	length, factor := firstQuarantine, time.Duration(2)
	switch request := partSuspect.part.IsWholeRequest(); {
	case request && !partSuspect.servedAt.IsZero():
		length, factor = servedRequestQuarantine, servedRequestFactor
	case request && level > quickProbes:
		return maxRequestQuarantine
	}
	for ; level > 1 && length < maxQuarantine; level-- {
		length *= factor
	}
	return min(length, maxQuarantine)
}

// probeWindowOf returns how long after its quarantine a part waits for a probe.
func probeWindowOf(part cranberryward.PromptPart) time.Duration {
	if part.IsWholeRequest() {
		return requestProbeWindow
	}
	return probeWindow
}

// maxQuarantineOf returns the longest quarantine of a part; a longer one comes from another clock.
func maxQuarantineOf(part cranberryward.PromptPart) time.Duration {
	if part.IsWholeRequest() {
		return maxRequestQuarantine
	}
	return maxQuarantine
}
