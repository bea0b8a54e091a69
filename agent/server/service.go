package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/quarantiner"
)

// callService runs an idempotent call each time, and any other call at most once for its idempotency key.
func (agent *agent) callService(ctx context.Context, call cranberryward.ServiceCall, priority int) (cranberryward.ServiceResponse, error) {
	if call.Idempotent {
		return agent.forward(ctx, call, priority)
	}
	if call.Key == "" {
		return cranberryward.ServiceResponse{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonKeyRequired,
			"a call that is not idempotent needs the header "+cranberryward.HeaderIdempotencyKey).WithResend(false)
	}
	fingerprint := quarantiner.Fingerprint(call.Workspace, call.Method, call.Path, call.Query, string(call.Body))
	response, known, err := agent.storedResponse(ctx, call.Key, fingerprint)
	if known || err != nil {
		return response, err
	}
	return agent.runOnce(ctx, call, fingerprint, priority)
}

// storedResponse returns the response to the first request with a key, after waiting for that request to end, and false if the key is not in the key store.
func (agent *agent) storedResponse(ctx context.Context, key, fingerprint string) (response cranberryward.ServiceResponse, known bool, err error) {
	for {
		stored, pending, known, err := agent.keyStore.Lookup(key, fingerprint)
		if err != nil || !known {
			return response, known, err
		}
		if pending == nil {
			return response, true, json.Unmarshal(stored, &response)
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return response, true, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonKeyInProgress,
				"the first request with this key is still running").WithResend(true).WithRetryAfter(time.Second)
		}
	}
}

func (agent *agent) runOnce(ctx context.Context, call cranberryward.ServiceCall, fingerprint string, priority int) (cranberryward.ServiceResponse, error) {
	var none cranberryward.ServiceResponse
	shard := deduplicator.ShardOf(call.Key)
	if err := agent.keeper.MayAdmit(shard); err != nil {
		return none, err
	}
	if err := agent.checkEarlierHome(ctx, call.Key, fingerprint); err != nil {
		return none, err
	}
	begun, err := agent.keyStore.Begin(call.Key, fingerprint, time.Now())
	if err != nil {
		return none, err
	}
	if !begun {
		response, _, err := agent.storedResponse(ctx, call.Key, fingerprint)
		return response, err
	}
	// The request runs to its end even if its caller's context ends, so that the outcome of the key is known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), agent.settings.ServiceLimit)
	defer cancel()
	response, err := agent.forwardIf(ctx, call, priority, func() error { return agent.keeper.MayAdmit(shard) })
	return response, agent.recordOutcome(call.Key, response, err)
}

// recordOutcome stores the response of a key, removes a key whose request did not run, and marks a key whose response is unknown.
func (agent *agent) recordOutcome(key string, response cranberryward.ServiceResponse, err error) error {
	if err != nil {
		if cranberryward.VerdictOf(err) == cranberryward.NotRun {
			agent.keyStore.Abandon(key)
			return err
		}
		agent.keyStore.Fail(key)
		return cranberryward.FailureOf(err).WithResend(false)
	}
	stored, err := json.Marshal(response)
	if err != nil {
		agent.keyStore.Fail(key)
		return cranberryward.FailureOf(err)
	}
	agent.keyStore.Resolve(key, stored)
	return nil
}

// checkEarlierHome refuses a key that an earlier home may have used, and claims a key that contains no time.
func (agent *agent) checkEarlierHome(ctx context.Context, key, fingerprint string) error {
	switch agent.keeper.CheckKey(key, agent.keyStore.Retention()) {
	case deduplicator.KeyFromFuture:
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid,
			"the time in the idempotency key is in the future by this instance's clock").WithResend(false)
	case deduplicator.KeyMayBeUsed:
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonKeyUnresolved,
			"an earlier home of the key may have run the request").WithResend(false)
	case deduplicator.KeyUntimed:
		return agent.claims.acquire(ctx, key, fingerprint)
	}
	return nil
}

func (agent *agent) forward(ctx context.Context, call cranberryward.ServiceCall, priority int) (cranberryward.ServiceResponse, error) {
	return agent.forwardIf(ctx, call, priority, func() error { return nil })
}

// forwardIf waits for the request's turn and sends it if finalCheck then returns nil.
func (agent *agent) forwardIf(ctx context.Context, call cranberryward.ServiceCall, priority int, finalCheck func() error) (cranberryward.ServiceResponse, error) {
	var none cranberryward.ServiceResponse
	admission, err := agent.admit(ctx, admissionRequest{
		workspace:   call.Workspace,
		priority:    priority,
		fingerprint: quarantiner.Fingerprint(call.Workspace, call.Method, call.Path, call.Query, string(call.Body)),
	})
	if err != nil {
		return none, err
	}
	defer admission.release()
	if err := finalCheck(); err != nil {
		return none, err
	}
	if _, err := agent.announcements.refuse(call.Idempotent); err != nil { // takes no permit, and its Retry-After holds longer than that of the limit
		return none, err
	}
	if err := agent.callLimit.acquire(ctx); err != nil {
		return none, err
	}
	start, err := agent.announcements.refuse(call.Idempotent) // others have been answered during the wait
	if err != nil {
		return none, err
	}
	sentAt := time.Now()
	response, err := agent.service.Call(ctx, call)
	if err != nil {
		return none, admission.classifyFailure(ctx, err)
	}
	agent.callLimit.record(response, sentAt)
	if err := agent.announcements.record(response, start, agent.logger); err != nil {
		return none, err
	}
	admission.permit.ObserveLatency()
	admission.markSucceeded()
	return response, nil
}
