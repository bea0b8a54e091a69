package screener

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
)

const (
	// limitShare is the share of a named limit that the entries together use, because their permits are not aligned.
	limitShare = 0.75
	// minLimit is the limit that is assumed for a backend server that names a lower one, in requests a second: only an answer shows that it has ended.
	minLimit = 0.25
	// LimitRepeatInterval is how often a limit in force is reported to the other entries, by one that still gets answers which name it.
	LimitRepeatInterval = time.Second
)

// ServerLimit is the limit on the requests from all entries together that a backend server has named, and this entry's share of it.
type ServerLimit struct {
	// limit is in requests a second, and named is whether it is in force.
	limit float64
	named bool
	// namedAt is when a limit was first named since none was, here or at a peer.
	namedAt time.Time
	// endedAt is when an answer last told that none is in force, here or at a peer.
	endedAt time.Time
	// statedAt is when the last answer arrived that named it, or did no longer, here or at a peer.
	statedAt time.Time
	// answeredAt is when the last answer that named it arrived here, and changedAt when one here changed it.
	answeredAt time.Time
	changedAt  time.Time
	// reportedAt is when it was last reported by any entry.
	reportedAt time.Time
	pacer      limiter.Pacer
}

// update records what an answer that arrived at the given time says, negative for no limit, and returns whether that changes anything.
func (serverLimit *ServerLimit) update(limit float64, at time.Time) (changed bool) {
	named := limit >= 0
	changed = named != serverLimit.named || named && limit != serverLimit.limit
	if !serverLimit.named {
		serverLimit.namedAt = at
	}
	serverLimit.limit, serverLimit.named = limit, named
	if at.After(serverLimit.statedAt) {
		serverLimit.statedAt = at
	}
	if !named {
		serverLimit.endedAt = at
		serverLimit.pacer.Reset()
	}
	return changed
}

// Record records the limit in an answer to a request sent at the given time, negative for none, and returns the limit before and whether it has changed.
func (serverLimit *ServerLimit) Record(limit float64, sentAt, now time.Time) (before float64, changed bool) {
	if limit < 0 && (!serverLimit.named || sentAt.Before(serverLimit.statedAt)) {
		return 0, false // an answer that was begun before the limit was named
	}
	before = serverLimit.limit
	if changed = serverLimit.update(limit, now); changed {
		serverLimit.changedAt = now
	}
	serverLimit.answeredAt = now
	return before, changed
}

// Report returns what to report on the limit to the other entries, and false if there is nothing to report now.
func (serverLimit *ServerLimit) Report(server string, now time.Time) (cranberryward.LimitReport, bool) {
	recent := now.Sub(serverLimit.changedAt) < LimitRepeatInterval
	repeated := serverLimit.named && now.Sub(serverLimit.answeredAt) < LimitRepeatInterval && now.Sub(serverLimit.reportedAt) > LimitRepeatInterval
	if !recent && !repeated {
		return cranberryward.LimitReport{}, false
	}
	serverLimit.reportedAt = now
	report := cranberryward.LimitReport{
		Server: server,
		Limit:  -1,
		AgeMS:  now.Sub(serverLimit.statedAt).Milliseconds(),
	}
	if serverLimit.named {
		report.Limit, report.NamedAgeMS = serverLimit.limit, now.Sub(serverLimit.namedAt).Milliseconds()
	}
	return report, true
}

// Merge merges what another entry reports.
func (serverLimit *ServerLimit) Merge(report cranberryward.LimitReport, now time.Time) {
	serverLimit.reportedAt = now
	begun := now.Add(-time.Duration(max(report.NamedAgeMS, report.AgeMS)) * time.Millisecond)
	if at := now.Add(-time.Duration(report.AgeMS) * time.Millisecond); at.After(serverLimit.statedAt) {
		known := serverLimit.named
		serverLimit.update(report.Limit, at)
		if !known {
			serverLimit.namedAt = begun
		}
	}
	// One that began before the last end is a limit that was named again since.
	if report.Limit >= 0 && serverLimit.named && begun.Before(serverLimit.namedAt) && begun.After(serverLimit.endedAt) {
		serverLimit.namedAt = begun
	}
}

// rate returns this entry's share of the limit, in requests a second.
func (serverLimit *ServerLimit) rate(entries int) float64 {
	return limitShare * max(serverLimit.limit, minLimit) / float64(max(entries, 1))
}

// wait returns how long it is until this entry may send another request.
func (serverLimit *ServerLimit) wait(terms Terms) time.Duration {
	if !serverLimit.named {
		return 0
	}
	if terms.Place > 0 && terms.Entries > 0 {
		serverLimit.pacer.Align(serverLimit.namedAt, float64(terms.Place-1)/float64(terms.Entries))
	}
	return serverLimit.pacer.Wait(terms.Now, serverLimit.rate(terms.Entries))
}

// take counts a request that is sent.
func (serverLimit *ServerLimit) take(terms Terms) {
	if serverLimit.named {
		serverLimit.pacer.Take(terms.Now, serverLimit.rate(terms.Entries))
	}
}
