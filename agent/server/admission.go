package server

import (
	"context"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/limiter"
)

const (
	crashCheckTimeout = time.Second
	engineWatchPeriod = 250 * time.Millisecond
	suspectRetryAfter = 200 * time.Millisecond
)

type admissionRequest struct {
	workspace   string
	priority    int
	fingerprint string
	prompt      int
}

// admission is one request that the backend server may run now.
type admission struct {
	agent   *agent
	request admissionRequest
	pass    *limiter.Pass
	life    uint64
	engine  string
}

// admit waits for a request's turn and refuses it as not run while the backend server takes no new work.
func (agent *agent) admit(ctx context.Context, request admissionRequest) (*admission, error) {
	crashes := agent.holder.Effect().Crashes(request.fingerprint)
	if crashes >= agent.settings.MaxCrashes {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuarantined,
			"the request has crashed backend servers and is quarantined").WithResend(false)
	}
	refusing, err := agent.drain.enter()
	if err != nil {
		return nil, err
	}
	admitted := &admission{
		agent:   agent,
		request: request,
	}
	if err := admitted.wait(ctx, refusing, crashes > 0); err != nil {
		agent.drain.leave()
		return nil, err
	}
	agent.prefill.Add(int64(request.prompt))
	admitted.engine = agent.engineLife()
	return admitted, nil
}

func (admission *admission) wait(ctx context.Context, refusing <-chan struct{}, suspect bool) error {
	agent := admission.agent
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-refusing:
			cancel()
		case <-waiting.Done():
		}
	}()
	pass, err := agent.gate.Enter(waiting, admission.request.workspace, admission.request.priority)
	if err != nil {
		if ctx.Err() == nil && waiting.Err() != nil {
			return agent.drain.refused()
		}
		return err
	}
	life, ok := agent.suspects.Enter(admission.request.fingerprint, suspect)
	if !ok {
		pass.Leave()
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonOverloaded,
			"another request that was in flight at a crash is being tried here").WithRetryAfter(suspectRetryAfter)
	}
	admission.pass = pass
	admission.life = life
	return nil
}

func (drain *drain) refused() error {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.refusal()
}

func (admission *admission) leave() {
	agent := admission.agent
	agent.suspects.Leave(admission.request.fingerprint, admission.life)
	admission.pass.Leave()
	agent.drain.leave()
	agent.prefill.Add(-int64(admission.request.prompt))
}

// failed tells a crash of the backend server from other failures and names the request when the crash is charged to it.
func (admission *admission) failed(ctx context.Context, err error) error {
	failure := cranberryward.FailureOf(err)
	if failure.Verdict() == cranberryward.NotRun {
		admission.pass.Refused()
		return err
	}
	if ctx.Err() != nil || !admission.agent.crashed(ctx, admission.engine) {
		return err
	}
	charged := admission.agent.suspects.Crashed(admission.request.fingerprint, admission.life)
	_ = admission.agent.logger.Log("event", "backend_server_crashed", "fingerprint", admission.request.fingerprint, "charged", charged,
		"revision", admission.agent.holder.Revision())
	if !charged {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonUnreachable, "the backend server crashed beside the request").WithCause(err)
	}
	return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonCrashed, "the backend server crashed while it ran the request").WithCause(err)
}

// engineLife returns the incarnation of the engine as of its last report.
func (agent *agent) engineLife() string {
	life, _ := agent.incarnation.Load().(string)
	return life
}

// watchEngine keeps the incarnation of the engine up to date.
func (agent *agent) watchEngine(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		if state, err := agent.engine.RankState(attempt); err == nil {
			agent.incarnation.Store(state.Incarnation)
		}
		cancel()
		pause(ctx, engineWatchPeriod)
	}
}

// crashed returns whether the backend server no longer answers or has restarted since a request began.
func (agent *agent) crashed(ctx context.Context, life string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	if agent.engine == nil {
		return agent.service.Alive(ctx) != nil
	}
	state, err := agent.engine.RankState(ctx)
	if err != nil {
		return true
	}
	agent.incarnation.Store(state.Incarnation)
	return life != "" && state.Incarnation != life
}
