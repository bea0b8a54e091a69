package quarantiner

import (
	"time"

	"github.com/cranberryward/cranberryward"
)

// retryThreshold is the number of broken sends after which a request is no longer retried, one fewer than operators accept.
const retryThreshold = 2

// RequestTracker finds the requests that crash backend servers as a whole, those at which sends broke off and none was answered since; its zero value is ready
// to use.
type RequestTracker struct {
	PartTracker
}

// Empty returns whether no request is suspect, so that callers need not compute a fingerprint.
func (requestTracker *RequestTracker) Empty() bool {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	return len(requestTracker.suspects) == 0
}

// RecordBreak charges a send that broke off to its request; sentAt is when it began, and crashed is whether the backend server crashed before any event of the
// answer had arrived.
func (requestTracker *RequestTracker) RecordBreak(request cranberryward.PromptPart, server string, sentAt time.Time, crashed bool) {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	now := time.Now()
	points := unconfirmedPoints
	if crashed {
		points = servedPartPoints
	}
	suspect := requestTracker.get(request, now)
	suspect.observed = suspect.observed || crashed
	if !suspect.addCrash(partCrash{
		server: server,
		at:     now,
		points: points,
		since:  sentAt,
	}) {
		return
	}
	suspect.changedAt = now
	suspect.applyThreshold(now)
	if crashed { // what only speaks against retries is reported with the loads
		requestTracker.notify()
	}
}

// MayRetry returns whether a request may be sent again after a send of the same attempt has failed.
func (requestTracker *RequestTracker) MayRetry(request cranberryward.PromptPart) bool {
	requestTracker.mutex.Lock()
	defer requestTracker.mutex.Unlock()
	suspect := requestTracker.find(request, time.Now())
	return suspect == nil || len(suspect.crashes) < retryThreshold
}
