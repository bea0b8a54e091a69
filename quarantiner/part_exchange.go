package quarantiner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// maxPartReports bounds the parts in one report to peers.
	maxPartReports = 32
	// repeatInterval is the least time after which a quarantine that the store does not hold is reported again, so that processes that start learn of it.
	repeatInterval = time.Second
	// contestTime is how long peers have to report that they have answered requests with a quarantined part, before the quarantine is stored.
	contestTime = 300 * time.Millisecond
	// fallbackSaveTime is how long the process that saw the crash has to store the quarantine, before any other process does.
	fallbackSaveTime = 3 * time.Second
)

// Reports returns what this process has to report to its peers: what it learned within recentWindow, and what is not stored yet.
func (partTracker *PartTracker) Reports() []cranberryward.PartReport {
	return partTracker.reports(func(suspect *partSuspect, now time.Time) bool {
		return now.Sub(suspect.changedAt) <= recentWindow || suspect.repeats(now)
	})
}

// AllReports returns what a process that has just started has to know.
func (partTracker *PartTracker) AllReports() []cranberryward.PartReport {
	return partTracker.reports(func(suspect *partSuspect, now time.Time) bool {
		return (suspect.level > 0 || suspect.score() > 0) && !suspect.expired(now)
	})
}

// reports returns the reports of the parts that are due, at most maxPartReports of those that matter most.
func (partTracker *PartTracker) reports(isDue func(suspect *partSuspect, now time.Time) bool) []cranberryward.PartReport {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	var due []*partSuspect
	now := time.Now()
	for _, suspect := range partTracker.suspects {
		if isDue(suspect, now) {
			due = append(due, suspect)
		}
	}
	slices.SortFunc(due, func(one, other *partSuspect) int {
		return cmp.Or(cmp.Compare(other.level, one.level), cmp.Compare(other.score(), one.score()))
	})
	var reports []cranberryward.PartReport
	for _, suspect := range due[:min(len(due), maxPartReports)] {
		suspect.heardAt = now
		reports = append(reports, suspect.report(now))
	}
	return reports
}

// repeats returns whether a quarantine or suspicion that the store does not hold is to be reported again because no process has done so for a while.
func (partSuspect *partSuspect) repeats(now time.Time) bool {
	unsaved := partSuspect.level > 0 && partSuspect.stored.Level == 0 || partSuspect.hasUnsavedSuspicion()
	return unsaved && now.Sub(partSuspect.heardAt) > repeatInterval+rand.N(2*repeatInterval)
}

// hasUnsavedSuspicion returns whether the part stands for a whole request that crashed a backend server and is not quarantined, which the store does not show.
func (partSuspect *partSuspect) hasUnsavedSuspicion() bool {
	return partSuspect.part.IsWholeRequest() && partSuspect.level == 0 && partSuspect.stored.Level == 0 && partSuspect.stored.Server == "" && partSuspect.score() > 0
}

func (partSuspect *partSuspect) report(now time.Time) cranberryward.PartReport {
	report := cranberryward.PartReport{
		PromptPart:  partSuspect.part,
		ServedAgeMS: -1,
		Level:       partSuspect.level,
	}
	if !partSuspect.servedAt.IsZero() {
		report.ServedAgeMS = now.Sub(partSuspect.servedAt).Milliseconds() + 1 // rounded up: an answer must not seem to come after a crash that it preceded
	}
	if partSuspect.level > 0 {
		report.RemainingMS = partSuspect.until.Sub(now).Milliseconds()
	}
	for _, crash := range partSuspect.crashes {
		reported := cranberryward.PartCrash{
			Server: crash.server,
			AgeMS:  now.Sub(crash.at).Milliseconds(),
			Points: crash.points,
		}
		if !crash.since.IsZero() {
			reported.HeldMS = max(crash.at.Sub(crash.since).Milliseconds(), 0) + 1 // zero means that it is not known
		}
		report.Crashes = append(report.Crashes, reported)
	}
	return report
}

// crashOf returns the crash that a peer has reported.
func crashOf(reported cranberryward.PartCrash, now time.Time) partCrash {
	crash := partCrash{
		server: reported.Server,
		at:     now.Add(-time.Duration(reported.AgeMS) * time.Millisecond),
		points: min(reported.Points, newPartPoints),
	}
	if reported.HeldMS > 0 {
		crash.since = crash.at.Add(-time.Duration(reported.HeldMS)*time.Millisecond - reportDelay)
	}
	return crash
}

// Merge merges the reports of a peer. If this process has answered requests with a reported part that the peer does not know of, it reports that in turn.
func (partTracker *PartTracker) Merge(reports []cranberryward.PartReport) {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	now := time.Now()
	for _, report := range reports[:min(len(reports), maxPartReports)] {
		if partTracker.find(report.PromptPart, now) == nil && len(report.Crashes) == 0 && report.Level == 0 {
			continue
		}
		suspect := partTracker.get(report.PromptPart, now)
		suspect.heardAt = now
		if suspect.mergeReport(report, now) {
			suspect.changedAt = now
			partTracker.notify()
		}
	}
}

// mergeReport merges a peer's report and returns whether this process knows of an answer that makes the part less suspect than the peer believes.
func (partSuspect *partSuspect) mergeReport(report cranberryward.PartReport, now time.Time) (contradicts bool) {
	reported := time.Time{}
	if report.ServedAgeMS >= 0 {
		reported = now.Add(-time.Duration(report.ServedAgeMS) * time.Millisecond)
	}
	for _, crash := range report.Crashes[:min(len(report.Crashes), maxCrashesPerPart)] {
		partSuspect.addCrash(crashOf(crash, now))
	}
	before := partSuspect.level
	if report.Level > before && (report.Level > 1 || len(report.Crashes) == 0) {
		partSuspect.level, partSuspect.quarantinedAt = report.Level, now
	}
	partSuspect.setServed(reported)
	contradicts = partSuspect.contradicts(reported)
	partSuspect.applyThreshold(now)
	if partSuspect.level > before && report.Level > 0 {
		partSuspect.until = now.Add(min(time.Duration(report.RemainingMS)*time.Millisecond, maxQuarantineOf(partSuspect.part)))
	}
	return contradicts
}

// contradicts returns whether this process knows of an answer that makes the part less suspect than what a peer has reported.
func (partSuspect *partSuspect) contradicts(reported time.Time) bool {
	own := partSuspect.servedAt
	return !own.IsZero() && (reported.IsZero() || own.After(reported) && own.After(partSuspect.crashedAt) && !reported.After(partSuspect.crashedAt))
}

// MergeStored merges the quarantines that the store held at a position; what this process knows goes on if they are those of an older copy, and is stored again.
func (partTracker *PartTracker) MergeStored(quarantines map[string]cranberryward.Quarantine, at cranberryward.Position) {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	now := time.Now()
	held := map[cranberryward.PromptPart]bool{}
	for _, quarantine := range quarantines {
		held[quarantine.PromptPart] = true
		suspect := partTracker.find(quarantine.PromptPart, now)
		if suspect == nil && storedExpired(quarantine) || suspect != nil && !suspect.stored.Position().Before(quarantine.Position()) {
			continue
		}
		if suspect == nil {
			suspect = partTracker.get(quarantine.PromptPart, now)
		}
		suspect.merge(quarantine, now)
	}
	for part, suspect := range partTracker.suspects {
		if !held[part] && !at.Before(suspect.stored.Position()) {
			suspect.stored = cranberryward.Quarantine{} // its time to live has passed, which does not end a quarantine here
		}
	}
}

// storedExpired returns whether a stored quarantine says nothing about a part that is not suspect here.
func storedExpired(quarantine cranberryward.Quarantine) bool {
	if quarantine.Suspicion() {
		return time.Since(quarantine.CrashedAt) > requestSuspectTTL
	}
	return quarantine.Level == 0 || time.Until(quarantine.Until) < -probeWindowOf(quarantine.PromptPart)
}

// merge applies a stored quarantine, whose times are those of the writer's clock.
func (partSuspect *partSuspect) merge(quarantine cranberryward.Quarantine, now time.Time) {
	restored := partSuspect.stored.Revision != 0 && quarantine.Era != partSuspect.stored.Era
	partSuspect.stored = quarantine
	if restored && partSuspect.knowsMoreThan(quarantine) {
		return
	}
	if quarantine.Suspicion() {
		partSuspect.mergeSuspicion(quarantine, now)
		return
	}
	if quarantine.Level == 0 {
		partSuspect.level, partSuspect.crashes = 0, nil
		return
	}
	if quarantine.Level < partSuspect.level {
		return
	}
	partSuspect.level, partSuspect.quarantinedAt = quarantine.Level, now
	partSuspect.until = now.Add(min(time.Until(quarantine.Until), maxQuarantineOf(partSuspect.part)))
	if crashedAt := now.Add(-max(time.Since(quarantine.CrashedAt), 0)); crashedAt.After(partSuspect.crashedAt) {
		partSuspect.crashedAt = crashedAt
	}
}

// knowsMoreThan returns whether a quarantine from an older copy of the store is an earlier state of the part than the one known here: the part was answered since,
// or was suspect or quarantined when the copy has it as sound or less so.
func (partSuspect *partSuspect) knowsMoreThan(quarantine cranberryward.Quarantine) bool {
	if partSuspect.level == 0 {
		return partSuspect.servedAt.After(quarantine.CrashedAt)
	}
	return quarantine.Level <= partSuspect.level
}

// mergeSuspicion adds the crash of a stored suspicion, unless one at the same backend server is known: by the clock of another process, it would count as two.
func (partSuspect *partSuspect) mergeSuspicion(quarantine cranberryward.Quarantine, now time.Time) {
	known := func(crash partCrash) bool { return crash.server == quarantine.Server }
	if slices.ContainsFunc(partSuspect.crashes, known) {
		return
	}
	partSuspect.addCrash(partCrash{
		server: quarantine.Server,
		at:     now.Add(-max(time.Since(quarantine.CrashedAt), 0)),
		points: servedPartPoints,
	})
	partSuspect.applyThreshold(now)
}

// Unsaved returns the quarantines and suspicions that have begun or ended and that the store does not show as such; entries is the number of processes that
// may save them.
func (partTracker *PartTracker) Unsaved(entries int) []cranberryward.Quarantine {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	var unsaved []cranberryward.Quarantine
	now := time.Now()
	for _, suspect := range partTracker.suspects {
		since, changed := suspect.unsavedSince()
		if !changed || suspect.expired(now) || now.Sub(since) < suspect.saveDelay(entries) {
			continue
		}
		unsaved = append(unsaved, suspect.quarantine())
	}
	return unsaved
}

// unsavedSince returns when the state of the part changed that the store does not show, if it does not.
func (partSuspect *partSuspect) unsavedSince() (since time.Time, changed bool) {
	switch {
	case partSuspect.level > 0:
		return partSuspect.quarantinedAt, partSuspect.stored.Level < partSuspect.level
	case partSuspect.stored.Level > 0:
		return partSuspect.servedAt, true
	default:
		// Any other process has the crash from a report only, and leaves it to the one that saw it.
		return partSuspect.crashedAt, partSuspect.observed && partSuspect.hasUnsavedSuspicion()
	}
}

// saveDelay returns how long after its beginning or end this process saves a quarantine: the process that saw the crash does so first, the others one after the
// other, if it does not.
func (partSuspect *partSuspect) saveDelay(entries int) time.Duration {
	if partSuspect.observed {
		return contestTime
	}
	return fallbackSaveTime + rand.N(fallbackSaveTime*time.Duration(max(entries, 1)))
}

// quarantine returns the quarantine as it is to be stored.
func (partSuspect *partSuspect) quarantine() cranberryward.Quarantine {
	quarantine := cranberryward.Quarantine{
		PromptPart: partSuspect.part,
		Level:      partSuspect.level,
		Until:      partSuspect.until,
		CrashedAt:  partSuspect.crashedAt,
		Revision:   partSuspect.stored.Revision,
	}
	for _, crash := range partSuspect.crashes {
		if partSuspect.level == 0 && crash.points > unconfirmedPoints {
			quarantine.Server, quarantine.CrashedAt = crash.server, crash.at
		}
	}
	return quarantine
}

// Probe returns the next quarantine of a part whose current one has ended; whoever stores it first may send one request with the part.
func (partTracker *PartTracker) Probe(part cranberryward.PromptPart) (next cranberryward.Quarantine, due bool) {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	now := time.Now()
	suspect := partTracker.find(part, now)
	if suspect == nil || suspect.level == 0 || suspect.until.After(now) {
		return next, false
	}
	next = suspect.quarantine()
	next.Level++
	next.Until = now.Add(suspect.quarantineTime(next.Level))
	return next, true
}

// StorageTime returns how long the store must hold a quarantine.
func StorageTime(quarantine cranberryward.Quarantine) time.Duration {
	if quarantine.Suspicion() {
		return requestSuspectTTL
	}
	return max(time.Until(quarantine.Until), 0) + probeWindowOf(quarantine.PromptPart)
}

// MarkSaved records that the store holds a quarantine.
func (partTracker *PartTracker) MarkSaved(quarantine cranberryward.Quarantine) {
	partTracker.mutex.Lock()
	defer partTracker.mutex.Unlock()
	if suspect := partTracker.suspects[quarantine.PromptPart]; suspect != nil {
		suspect.merge(quarantine, time.Now())
	}
}
