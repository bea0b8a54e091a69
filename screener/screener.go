package screener

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

const (
	// MissingGrace is how long after the store has shown it a backend server whose registration vanished without notice is still used as a last resort;
	// registrations that a store outage lost return sooner.
	MissingGrace = 1500 * time.Millisecond
	// drainMargin is left of the time for which a backend server serves on after its registration has vanished, for a request on its way.
	drainMargin = 300 * time.Millisecond
	// MaxStayAway bounds the time for which a backend server may ask an entry to stay away, so that a wrong one does not take it out for good.
	MaxStayAway = 5 * time.Minute
)

// Tier orders the backend servers that may be sent to.
type Tier int

// The tiers; a last resort is used if there is none of a lower tier.
const (
	Usable Tier = iota
	Avoided
	LastResort
	// Barred must not be sent anything.
	Barred Tier = -1
)

// Server is what decides about one start of a backend server; its zero value permits everything.
type Server struct {
	// settled is whether all times have passed and nothing is against the backend server, so that only a further event changes the answer.
	settled bool
	Limit   ServerLimit

	slots    int
	revision uint64
	draining bool
	leaving  bool
	// evacuated is whether operators have asked to send nothing to the availability zone.
	evacuated    bool
	awayUntil    time.Time
	pausedUntil  time.Time
	staleUntil   time.Time
	missing      bool
	missingUntil time.Time
	pace         pace
}

// Register applies a registration; started is whether its process began while this entry was in operation, and staleUntil is until when it may be one that only an
// older copy of the store has brought back.
func (server *Server) Register(registration cranberryward.BackendServer, started bool, staleUntil time.Time, terms Terms) {
	server.settled = false
	server.missing, server.missingUntil = false, time.Time{}
	server.slots, server.draining, server.staleUntil = registration.Slots, registration.Leaving, staleUntil
	if started {
		server.Start(terms)
	}
	// A registration that was seen before says how long the backend server stayed cold then.
	if registration.Revision != server.revision && registration.Cold > 0 {
		server.coldFor(registration.Cold, terms.Now)
	}
	server.revision = registration.Revision
}

// Start notes that the process of the backend server has just started or is about to, so that it is cold.
func (server *Server) Start(terms Terms) { server.coldFor(terms.ColdTime, terms.Now) }

func (server *Server) coldFor(remaining time.Duration, now time.Time) {
	server.settled = false
	if until := now.Add(remaining); remaining > 0 && until.After(server.pace.coldUntil) {
		server.pace.coldUntil = until
	}
}

// Miss notes that the registration has vanished; the backend server is a last resort until the given time.
func (server *Server) Miss(until time.Time) {
	server.settled = false
	if !server.missing {
		server.missing, server.missingUntil = true, until
	}
}

// Missing returns whether the registration has vanished.
func (server *Server) Missing() bool { return server.missing }

// MissingUntil returns until when a backend server is a last resort whose registration is in the view of the store that was read at the time before and not in the
// one read at the given time; the times are zero if they are not known, and drain is for how long a backend server serves on, zero for no bound.
func MissingUntil(before, read, now time.Time, drain time.Duration) time.Time {
	if read.IsZero() {
		read = now
	}
	until := read.Add(MissingGrace)
	// A store that was out of reach for longer has not acknowledged the removal in good order, and may have lost the registration.
	if drain <= 0 || before.IsZero() || read.Sub(before) > drain {
		return until
	}
	if bound := before.Add(drain - drainMargin); bound.Before(until) {
		return bound
	}
	return until
}

// Leave notes an answer in which the backend server says that it will end, and returns whether that is new.
func (server *Server) Leave() (changed bool) {
	server.settled = false
	changed = !server.leaving
	server.leaving = true
	return changed
}

// Leaving returns whether the backend server has said in an answer that it will end.
func (server *Server) Leaving() bool { return server.leaving }

// StayAway notes an answer in which the backend server asks for a time; of several, the latest end holds.
func (server *Server) StayAway(duration time.Duration, now time.Time) {
	server.settled = false
	until := now.Add(min(duration, MaxStayAway))
	if duration <= 0 || until.Before(server.awayUntil) {
		return
	}
	server.awayUntil = until
	server.returnAt(until)
}

// Pause avoids the backend server for a time.
func (server *Server) Pause(until time.Time) { server.settled, server.pausedUntil = false, until }

// Evacuate notes whether operators ask to send nothing to the availability zone; at its end, the backend server may have become cold.
func (server *Server) Evacuate(evacuated bool, terms Terms) {
	server.settled = false
	if server.evacuated && !evacuated {
		server.returnAt(terms.Now)
		server.Start(terms)
	}
	server.evacuated = evacuated
}

func (server *Server) returnAt(at time.Time) {
	if at.After(server.pace.returnedAt) {
		server.pace.returnedAt = at
	}
}

// barred returns why nothing may be sent, and until when if that is known.
func (server *Server) barred(now time.Time) (Reason, time.Time) {
	switch {
	case server.leaving:
		return Leaving, time.Time{}
	case server.draining:
		return Draining, time.Time{}
	case server.evacuated:
		return Evacuated, time.Time{}
	case now.Before(server.staleUntil):
		return Stale, server.staleUntil
	case server.missing && !now.Before(server.missingUntil):
		return Gone, time.Time{}
	case now.Before(server.awayUntil):
		return Away, server.awayUntil
	default:
		return Free, time.Time{}
	}
}

// Barred returns whether nothing may be sent now, whatever the rates are.
func (server *Server) Barred(now time.Time) bool {
	reason, _ := server.barred(now)
	return reason != Free
}

// Screen returns whether the backend server may be sent a request now.
func (server *Server) Screen(terms Terms) Verdict {
	if server.Settled() {
		return Verdict{}
	}
	if reason, until := server.barred(terms.Now); reason != Free {
		return Verdict{
			Tier:   Barred,
			Reason: reason,
			Until:  until,
		}
	}
	wait, until, reason := server.pace.wait(terms, server.slots)
	verdict := Verdict{
		Reason: reason,
		Until:  until,
		Wait:   wait,
	}
	if limited := server.Limit.wait(terms); limited > wait {
		verdict.Wait, verdict.Reason, verdict.Until = limited, Limit, time.Time{}
	}
	switch {
	case server.missing:
		verdict.Tier = LastResort
		verdict.explain(Missing, server.missingUntil)
	case terms.Now.Before(server.pausedUntil):
		verdict.Tier = Avoided
		verdict.explain(Paused, server.pausedUntil)
	default:
		server.settled = verdict.Reason == Free && server.pace.over(terms.Now)
	}
	return verdict
}

// Settled returns whether Screen permits everything until a further event.
func (server *Server) Settled() bool { return server.settled && !server.Limit.named }

// explain sets a reason where there is no other.
func (verdict *Verdict) explain(reason Reason, until time.Time) {
	if verdict.Reason == Free {
		verdict.Reason, verdict.Until = reason, until
	}
}

// Take counts a request that is sent.
func (server *Server) Take(terms Terms) {
	server.pace.take(terms, server.slots)
	server.Limit.take(terms)
}
