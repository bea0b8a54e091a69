package forwarder

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/meter"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/go-kit/log/level"
)

// probeTimeout bounds the wait for the store's permission to probe a part.
const probeTimeout = 500 * time.Millisecond

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

// answerProgress is how much of an answer had arrived when its send broke off.
type answerProgress int

const (
	// answerMissing means that nothing had arrived.
	answerMissing answerProgress = iota
	// answerBegun means that the head or a part of the body had arrived, but no event of a stream.
	answerBegun
	// answerStreamed means that events of a stream had arrived.
	answerStreamed
	// answerStalled means that events had arrived, but none for a while before the end, as when another rank of the group was lost.
	answerStalled
)

// sendBreak is how a send broke off.
type sendBreak struct {
	err      error
	progress answerProgress
}

// local returns whether this entry ended the send itself, because its caller left or its time was over.
func (sendBreak sendBreak) local() bool {
	return errors.Is(sendBreak.err, net.ErrClosed) || errors.Is(sendBreak.err, os.ErrDeadlineExceeded) || errors.Is(sendBreak.err, errCallerGone) || errors.Is(sendBreak.err, errMoved)
}

// recordBreak charges a send that broke off to its request and, if the backend server has crashed, to the shared parts of its prompt. Each send that may have run and
// has no complete answer comes here, however much of the answer had arrived.
func (forwarder *Forwarder) recordBreak(exchange *exchange, server cranberryward.BackendServer, sendBreak sendBreak) {
	held := heldRequest{
		part:   exchange.wholeRequest(),
		id:     exchange.metadata.ID,
		sentAt: exchange.sentAt,
	}
	if sendBreak.local() {
		forwarder.abandoned.record(server.ID, abandonedSend{
			heldRequest: held,
			leftAt:      time.Now(),
		})
		return
	}
	if exchange.ctx.Err() == nil && sendBreak.progress != answerStalled {
		forwarder.requests.RecordBreak(held.part, server.ID, held.sentAt, false)
	}
	if !forwarder.crashChecks.down(server.Address) {
		return
	}
	forwarder.recordDown(server)
	forwarder.recordRequestCrash(held, server, sendBreak.progress)
	if sendBreak.progress < answerStreamed {
		forwarder.recordPartCrash(exchange, server, sendBreak.progress == answerBegun)
	}
}

// recordDown charges the crash of a backend server to the requests that it may still have run although their callers had left.
func (forwarder *Forwarder) recordDown(server cranberryward.BackendServer) {
	forwarder.servers.noteDown(server)
	for _, send := range forwarder.abandoned.take(server.ID, time.Now()) {
		forwarder.recordRequestCrash(send.heldRequest, server, answerMissing)
	}
}

// recordRequestCrash charges the crash of a backend server to a request that it held.
func (forwarder *Forwarder) recordRequestCrash(held heldRequest, server cranberryward.BackendServer, progress answerProgress) {
	forwarder.requests.RecordBreak(held.part, server.ID, held.sentAt, true)
	quarantined := forwarder.requests.Check(held.part.Service, []string{held.part.ID}).Blocked()
	meter.CountRequestCrash(quarantined)
	_ = level.Info(forwarder.options.Logger).Log("event", "request_suspected", "service", held.part.Service, "fingerprint", held.part.Fingerprint(),
		"request", held.id, "backend_server", server.ID, "begun", progress != answerMissing, "streamed", progress >= answerStreamed, "quarantined", quarantined)
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
