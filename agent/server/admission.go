package server

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
)

const (
	downRetryAfter    = 200 * time.Millisecond
	suspectRetryAfter = 200 * time.Millisecond
)

type admissionRequest struct {
	workspace   string
	priority    int
	fingerprint string
	promptBytes int
}

// admission is a request that holds a permit to run on the backend server.
type admission struct {
	agent              *agent
	request            admissionRequest
	permit             *limiter.Permit
	generation         uint64
	backendIncarnation string
	succeeded          bool
}

// admit waits for a request's turn, and refuses it as NotRun if it is quarantined, the backend server is down or new requests are refused.
func (agent *agent) admit(ctx context.Context, request admissionRequest) (*admission, error) {
	crashes := agent.localState.EffectiveConfiguration().Crashes(request.fingerprint)
	if crashes >= agent.settings.MaxCrashes {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuarantined,
			"the request has crashed backend servers and is quarantined").WithResend(false)
	}
	if agent.health.isDown() {
		return nil, newDownRefusal()
	}
	refusing, err := agent.drain.begin()
	if err != nil {
		return nil, err
	}
	admission := &admission{
		agent:   agent,
		request: request,
	}
	if err := admission.acquire(ctx, refusing, crashes > 0); err != nil {
		agent.drain.end()
		return nil, err
	}
	agent.prefillBytes.Add(int64(request.promptBytes))
	admission.backendIncarnation = agent.health.currentIncarnation()
	return admission, nil
}

func newDownRefusal() error {
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnreachable, "the backend server is down").WithRetryAfter(downRetryAfter)
}

// acquire waits for the limiter's permit and, for a suspect, until no other suspect runs; a drain that begins to refuse requests ends the wait.
func (admission *admission) acquire(ctx context.Context, refusing <-chan struct{}, suspect bool) error {
	agent := admission.agent
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-refusing:
			cancel()
		case <-waitCtx.Done():
		}
	}()
	permit, err := agent.limiter.Acquire(waitCtx, admission.request.workspace, admission.request.priority)
	if err != nil {
		if ctx.Err() == nil && waitCtx.Err() != nil {
			return agent.drain.currentRefusal()
		}
		return err
	}
	generation, err := agent.suspects.Enter(waitCtx, admission.request.fingerprint, suspect)
	if err == nil && agent.health.isDown() {
		// The suspect that this request waited for has crashed the backend server: sent now, the request would be charged with that crash too.
		agent.suspects.Leave(admission.request.fingerprint, generation, false)
		permit.Release()
		return newDownRefusal()
	}
	if err != nil {
		permit.Release()
		if ctx.Err() == nil {
			return agent.drain.currentRefusal()
		}
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded,
			"the request was in flight at a crash and was still waiting for another such request to end").WithCause(err).WithRetryAfter(suspectRetryAfter)
	}
	admission.permit = permit
	admission.generation = generation
	return nil
}

func (drain *drain) currentRefusal() error {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.refusalLocked()
}

func (admission *admission) release() {
	agent := admission.agent
	agent.suspects.Leave(admission.request.fingerprint, admission.generation, admission.succeeded)
	admission.permit.Release()
	agent.drain.end()
	agent.prefillBytes.Add(-int64(admission.request.promptBytes))
}

// markSucceeded records that the backend server responded completely.
func (admission *admission) markSucceeded() { admission.succeeded = true }

// classifyFailure returns the failure of a request as ReasonCrashed if the backend server crashed and the crash is charged to the request, as
// ReasonUnreachable if it is not charged to it, and unchanged otherwise.
func (admission *admission) classifyFailure(ctx context.Context, err error) error {
	failure := cranberryward.FailureOf(err)
	if failure.Verdict() == cranberryward.NotRun {
		admission.permit.ObserveRefusal()
		return err
	}
	if ctx.Err() != nil || !admission.agent.backendCrashed(ctx, admission.backendIncarnation) {
		return err
	}
	charged := admission.agent.suspects.RecordCrash(admission.request.fingerprint, admission.generation)
	_ = admission.agent.logger.Log("event", "backend_server_crashed", "fingerprint", admission.request.fingerprint, "charged", charged,
		"revision", admission.agent.localState.Revision())
	if !charged {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonUnreachable, "the backend server crashed during the request, and the crash is not charged to it").WithCause(err)
	}
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonCrashed, "the backend server crashed while it ran the request").WithCause(err)
}
