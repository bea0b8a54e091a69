package forwarder

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/go-kit/log/level"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the check whether the backend server is down: the connections of a process that
	// ends are closed in any order.
	crashCheckDelay = 10 * time.Millisecond
	// crashCheckTimeout bounds that check; a backend server that is down, and whose instance is not, refuses connections within a few milliseconds.
	crashCheckTimeout = 150 * time.Millisecond
	// probeTimeout bounds the wait for the store's permission to probe a part.
	probeTimeout = 500 * time.Millisecond
)

// quarantines returns the verdicts on the shared parts of a request's prompt and on the request as a whole that do not allow to send it.
func (forwarder *Forwarder) quarantines(exchange *exchange) (blocking []quarantiner.PartVerdict) {
	if verdict := forwarder.parts.Check(exchange.service, exchange.metadata.SharedParts()); verdict.Blocked() {
		blocking = append(blocking, verdict)
	}
	if forwarder.requests.Empty() {
		return blocking
	}
	if verdict := forwarder.requests.Check(exchange.service, []string{exchange.wholeRequest().ID}); verdict.Blocked() {
		blocking = append(blocking, verdict)
	}
	return blocking
}

// quarantineReason returns the reason for which a request with such a verdict is refused.
func quarantineReason(verdict quarantiner.PartVerdict) string {
	if verdict.Part().IsWholeRequest() {
		return "request_quarantined"
	}
	return "part_quarantined"
}

// checkQuarantines returns why a request may not be sent in view of what crashed backend servers, and an empty reason if it may. If a quarantine has ended, one
// request in all entries may probe it.
func (forwarder *Forwarder) checkQuarantines(exchange *exchange) denial {
	for _, verdict := range forwarder.quarantines(exchange) {
		part := verdict.Part()
		if exchange.probing[part] && !exchange.mayHaveRun {
			continue
		}
		if !verdict.ProbeDue() || !forwarder.beginProbe(exchange, part) {
			return denial{
				reason:     quarantineReason(verdict),
				retryAfter: max(verdict.Remaining(), unavailableRetryAfter),
			}
		}
		if exchange.probing == nil {
			exchange.probing = map[cranberryward.PromptPart]bool{}
		}
		exchange.probing[part] = true
	}
	return denial{}
}

// trackerOf returns the tracker of parts of the same kind.
func (forwarder *Forwarder) trackerOf(part cranberryward.PromptPart) *quarantiner.PartTracker {
	if part.IsWholeRequest() {
		return &forwarder.requests.PartTracker
	}
	return &forwarder.parts
}

// beginProbe extends the quarantine of a part in the store, which only one process can do, and returns whether this one has.
func (forwarder *Forwarder) beginProbe(exchange *exchange, part cranberryward.PromptPart) bool {
	tracker := forwarder.trackerOf(part)
	next, due := tracker.Probe(part)
	if !due || forwarder.options.SaveQuarantine == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), probeTimeout)
	defer cancel()
	saved, err := forwarder.options.SaveQuarantine(ctx, next)
	if err != nil {
		_ = level.Info(forwarder.options.Logger).Log("event", "part_probe_failed", "service", part.Service, "part", part.ID, "error", err)
		return false
	}
	tracker.MarkSaved(saved)
	_ = level.Info(forwarder.options.Logger).Log("event", "part_probed", "service", part.Service, "part", part.ID, "request", exchange.metadata.ID, "level", next.Level)
	return true
}

// recordServed records that the answer to a request has begun without a crash.
func (forwarder *Forwarder) recordServed(exchange *exchange) {
	forwarder.parts.RecordServed(exchange.service, exchange.metadata.PromptParts)
}

// recordBreak charges a send that broke off before any event arrived to its request and, if the backend server has crashed, to the shared parts of its prompt,
// unless the caller or the deadline ended the send; begun is whether the response had begun.
func (forwarder *Forwarder) recordBreak(exchange *exchange, server cranberryward.BackendServer, begun bool) {
	if exchange.ctx.Err() != nil {
		return
	}
	forwarder.recordLateBreak(exchange, server)
	// A caller that leaves now does not undo the crash.
	if !refusesConnections(context.WithoutCancel(exchange.ctx), server.Address) {
		return
	}
	request := exchange.wholeRequest()
	forwarder.requests.RecordBreak(request, server.ID, exchange.sentAt, true)
	quarantined := forwarder.requests.Check(request.Service, []string{request.ID}).Blocked()
	meter.CountRequestCrash(quarantined)
	_ = level.Info(forwarder.options.Logger).Log("event", "request_suspected", "service", request.Service, "fingerprint", exchange.fingerprint(),
		"request", exchange.metadata.ID, "backend_server", server.ID, "begun", begun, "quarantined", quarantined)
	forwarder.recordPartCrash(exchange, server, begun)
}

// recordLateBreak charges a send that broke off after events had arrived to its request, unless the caller or the deadline ended the send.
func (forwarder *Forwarder) recordLateBreak(exchange *exchange, server cranberryward.BackendServer) {
	if exchange.ctx.Err() == nil {
		forwarder.requests.RecordBreak(exchange.wholeRequest(), server.ID, exchange.sentAt, false)
	}
}

// recordPartCrash charges a crash to the shared parts of a request's prompt.
func (forwarder *Forwarder) recordPartCrash(exchange *exchange, server cranberryward.BackendServer, begun bool) {
	shared := exchange.metadata.SharedParts()
	if len(shared) == 0 {
		return
	}
	charged := forwarder.parts.RecordCrash(exchange.service, server.ID, shared, begun)
	for _, part := range charged {
		verdict := forwarder.parts.Check(part.Service, []string{part.ID})
		meter.CountPartCrash(verdict.Blocked())
		_ = level.Info(forwarder.options.Logger).Log("event", "part_suspected", "service", part.Service, "part", part.ID, "request", exchange.metadata.ID,
			"backend_server", server.ID, "begun", begun, "quarantined", verdict.Blocked())
	}
}

// refusesConnections returns whether the instance at an address answers and no process listens there, as after a crash.
func refusesConnections(ctx context.Context, address string) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(crashCheckDelay):
	}
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // nothing was sent on it
	return false
}

// PartReports returns what this entry has to report to the others on prompt parts and requests that may crash backend servers.
func (forwarder *Forwarder) PartReports() []cranberryward.PartReport {
	return slices.Concat(forwarder.requests.Reports(), forwarder.parts.Reports())
}

// AllPartReports returns what an entry that has just started has to know.
func (forwarder *Forwarder) AllPartReports() []cranberryward.PartReport {
	return slices.Concat(forwarder.requests.AllReports(), forwarder.parts.AllReports())
}

// PartsChanged returns a channel that receives a value when there is something new to report on prompt parts.
func (forwarder *Forwarder) PartsChanged() <-chan struct{} { return forwarder.parts.Changed() }

// RequestsChanged returns a channel that receives a value when there is something new to report on requests.
func (forwarder *Forwarder) RequestsChanged() <-chan struct{} { return forwarder.requests.Changed() }

// MergeParts merges what another entry reports on prompt parts and requests.
func (forwarder *Forwarder) MergeParts(reports []cranberryward.PartReport) {
	var parts, requests []cranberryward.PartReport
	for _, report := range reports {
		if report.IsWholeRequest() {
			requests = append(requests, report)
		} else {
			parts = append(parts, report)
		}
	}
	forwarder.parts.Merge(parts)
	forwarder.requests.Merge(requests)
}

// mergeStored merges the quarantines in a view.
func (forwarder *Forwarder) mergeStored(view cranberryward.View) {
	parts, requests := map[string]cranberryward.Quarantine{}, map[string]cranberryward.Quarantine{}
	for key, quarantine := range view.Quarantines {
		if quarantine.IsWholeRequest() {
			requests[key] = quarantine
		} else {
			parts[key] = quarantine
		}
	}
	forwarder.parts.MergeStored(parts, view.Position())
	forwarder.requests.MergeStored(requests, view.Position())
}

// UnsavedQuarantines returns the quarantines that this entry should store; entries is the number of entries that may do so.
func (forwarder *Forwarder) UnsavedQuarantines(entries int) []cranberryward.Quarantine {
	return slices.Concat(forwarder.requests.Unsaved(entries), forwarder.parts.Unsaved(entries))
}

// MarkQuarantineSaved records that the store holds a quarantine.
func (forwarder *Forwarder) MarkQuarantineSaved(quarantine cranberryward.Quarantine) {
	forwarder.trackerOf(quarantine.PromptPart).MarkSaved(quarantine)
}

// QuarantinedParts returns the number of prompt parts that are quarantined.
func (forwarder *Forwarder) QuarantinedParts() int { return forwarder.parts.Quarantined() }

// QuarantinedRequests returns the number of requests that are quarantined.
func (forwarder *Forwarder) QuarantinedRequests() int { return forwarder.requests.Quarantined() }
