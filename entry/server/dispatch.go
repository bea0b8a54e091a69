package server

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/assembler"
	"github.com/cranberryward/cranberryward/charter"
	"github.com/cranberryward/cranberryward/pool"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/cranberryward/cranberryward/router"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	eventAdmit  = charter.Event("admit")
	eventSend   = charter.Event("send")
	eventRefuse = charter.Event("refuse")
	eventStream = charter.Event("stream")
	eventBreak  = charter.Event("break")
	eventFinish = charter.Event("finish")
	eventFail   = charter.Event("fail")
	eventCancel = charter.Event("cancel")
	eventRetry  = charter.Event("retry")

	maxResumes         = 3
	resumeDelay        = 50 * time.Millisecond
	cancelTimeout      = 2 * time.Second
	crashRecordTimeout = 2 * time.Second
)

var requestChart = charter.MustLoad("request", eventAdmit, eventSend, eventRefuse, eventStream, eventBreak, eventFinish, eventFail, eventCancel, eventRetry)

// modelCall is the handling of one model request, over all its attempts.
type modelCall struct {
	entry          *entry
	request        modelRequest
	writeText      func(text string) error
	stateMachine   charter.Machine
	routingRequest router.Request
	fingerprint    string
	assembler      *assembler.Assembler
	targetAddress  string
	attemptID      string
	tried          map[string]bool
	mayHaveRun     bool
}

// dispatch sends a model request to backend servers until one completes it or no further attempt is allowed, and returns the end mark of the response.
func (entry *entry) dispatch(ctx context.Context, request modelRequest, writeText func(text string) error) (*cranberryward.FrameEnd, error) {
	ctx, cancel := context.WithTimeout(ctx, request.metadata.deadline)
	defer cancel()
	modelCall := &modelCall{
		entry:        entry,
		request:      request,
		writeText:    writeText,
		stateMachine: requestChart.Start(),
		fingerprint:  quarantiner.Fingerprint(request.metadata.workspace, request.model, request.prompt),
		tried:        map[string]bool{},
	}
	modelCall.routingRequest = router.NewRequest(cranberryward.AppendBlockHashes(nil, request.prompt), len(request.prompt), request.metadata.priority, request.metadata.deadline)
	end, err := modelCall.run(ctx)
	modelCall.logResult(err)
	return end, err
}

func (modelCall *modelCall) logResult(err error) {
	metadata := modelCall.request.metadata
	modelCall.entry.metrics.increment("model_" + string(modelCall.stateMachine.State()))
	_ = modelCall.entry.logger.Log("event", "model_request", "request_id", metadata.requestID, "workspace", metadata.workspace,
		"state", modelCall.stateMachine.State(), "verdict", cranberryward.VerdictOf(err), "attempts", len(modelCall.tried),
		"took_ms", elapsed(metadata).Milliseconds(), "revision", modelCall.entry.localState.Revision(), "error", err)
}

func (modelCall *modelCall) fire(event charter.Event) {
	if err := modelCall.stateMachine.Fire(event); err != nil {
		_ = modelCall.entry.logger.Log("event", "state_fault", "request_id", modelCall.request.metadata.requestID, "error", err)
	}
}

func (modelCall *modelCall) run(ctx context.Context) (*cranberryward.FrameEnd, error) {
	entry := modelCall.entry
	if modelCall.quarantined() {
		modelCall.fire(eventRefuse)
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonQuarantined,
			"the request has crashed backend servers and is quarantined").WithResend(false)
	}
	entry.retryBudget.Deposit()
	modelCall.fire(eventAdmit)
	var lastErr error
	for attemptNumber := 1; ; attemptNumber++ {
		end, err := modelCall.attempt(ctx, attemptNumber)
		if err == nil {
			modelCall.fire(eventFinish)
			return end, nil
		}
		modelCall.mayHaveRun = modelCall.mayHaveRun || cranberryward.VerdictOf(err) == cranberryward.MayHaveRun
		if lastErr == nil || cranberryward.FailureOf(err).Reason() != cranberryward.ReasonNoBackendServer {
			lastErr = err
		}
		if !modelCall.mayRetry(ctx, attemptNumber, err) {
			return nil, modelCall.finalFailure(ctx, lastErr)
		}
		modelCall.fire(eventRetry)
	}
}

// mayRetry returns whether another attempt may be made: no part of the response has been forwarded, and the attempt limit, the retry budget and the
// deadline allow it.
func (modelCall *modelCall) mayRetry(ctx context.Context, attemptNumber int, err error) bool {
	if ctx.Err() != nil || modelCall.quarantined() || attemptNumber >= modelCall.entry.settings.Attempts || modelCall.stateMachine.State() != "sent" && modelCall.stateMachine.State() != "resuming" {
		return false
	}
	if modelCall.assembler != nil && modelCall.assembler.Position() > 0 {
		return false
	}
	switch cranberryward.FailureOf(err).Reason() {
	case cranberryward.ReasonQuarantined, cranberryward.ReasonInvalid, cranberryward.ReasonNotFound, cranberryward.ReasonNoBackendServer, cranberryward.ReasonCanceled:
		return false
	case cranberryward.ReasonLeaving, cranberryward.ReasonStopping:
		return true
	}
	if !modelCall.entry.retryBudget.Withdraw() {
		modelCall.entry.metrics.increment("retries_denied")
		return false
	}
	modelCall.entry.metrics.increment("retries")
	return true
}

// finalFailure ends the state machine and returns the failure for the caller, which says that the request may have run if any attempt may have.
func (modelCall *modelCall) finalFailure(ctx context.Context, err error) error {
	failure := cranberryward.FailureOf(err)
	switch {
	case ctx.Err() != nil && failure.Reason() == cranberryward.ReasonCanceled:
		modelCall.fire(eventCancel)
	case failure.Verdict() == cranberryward.NotRun && !modelCall.mayHaveRun:
		modelCall.fire(eventRefuse)
	default:
		modelCall.fire(eventFail)
	}
	if modelCall.mayHaveRun && failure.Verdict() == cranberryward.NotRun {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, failure.Reason(), failure.Message()).WithCause(err).WithResend(true)
	}
	return err
}

func (modelCall *modelCall) attempt(ctx context.Context, attemptNumber int) (*cranberryward.FrameEnd, error) {
	instance, attempt, err := modelCall.chooseServer(ctx)
	if err != nil {
		return nil, err
	}
	modelCall.targetAddress = instance.Address
	modelCall.tried[instance.ID] = true
	modelCall.attemptID = modelCall.request.metadata.requestID
	if attemptNumber > 1 {
		modelCall.attemptID += "-" + strconv.Itoa(attemptNumber)
	}
	modelCall.assembler = assembler.New(modelCall.attemptID)
	modelCall.fire(eventSend)
	agentResponse, err := modelCall.entry.agentClient.generate(ctx, instance.Address, modelCall.generateRequest(), modelCall.entry.localState.Revision(), modelCall.receiveFrame)
	if attempt != nil {
		attempt.Finish(err, agentResponse.load, agentResponse.hasLoad)
	}
	if err == nil {
		return modelCall.assembler.End(), nil
	}
	end, err := modelCall.recoverResponse(ctx, err)
	if err != nil && (ctx.Err() != nil || cranberryward.FailureOf(err).Reason() == cranberryward.ReasonCanceled) {
		modelCall.cancelAttempt()
	}
	return end, err
}

func (modelCall *modelCall) generateRequest() cranberryward.GenerateRequest {
	metadata := modelCall.request.metadata
	return cranberryward.GenerateRequest{
		RequestID:  modelCall.attemptID,
		Model:      modelCall.request.model,
		Workspace:  metadata.workspace,
		Prompt:     modelCall.request.prompt,
		MaxTokens:  modelCall.request.maxTokens,
		Priority:   metadata.priority,
		DeadlineMS: max(metadata.remaining().Milliseconds(), 1),
	}
}

func (modelCall *modelCall) receiveFrame(frame cranberryward.Frame) error {
	text, err := modelCall.assembler.Add(frame)
	if err != nil {
		return err
	}
	if modelCall.stateMachine.State() != "streaming" {
		modelCall.fire(eventStream)
		modelCall.recordMessagesServed()
		modelCall.entry.metrics.record(modelCall.entry.metrics.firstTokenLatency, elapsed(modelCall.request.metadata))
	}
	return modelCall.writeText(text)
}

// recoverResponse resumes a broken response at its offset or, if the backend server crashed, records the crash against the request.
func (modelCall *modelCall) recoverResponse(ctx context.Context, err error) (*cranberryward.FrameEnd, error) {
	failure := cranberryward.FailureOf(err)
	if failure.Verdict() == cranberryward.NotRun {
		return nil, err
	}
	if failure.Reason() == cranberryward.ReasonCrashed {
		modelCall.recordMessageCrash(ctx)
		modelCall.entry.recordCrash(ctx, modelCall.fingerprint)
		modelCall.fireBreak()
		return nil, err
	}
	for range maxResumes {
		if ctx.Err() != nil || failure.Reason() == cranberryward.ReasonCanceled {
			return nil, err
		}
		modelCall.fireBreak()
		resumeErr := modelCall.entry.agentClient.resume(ctx, modelCall.targetAddress, modelCall.attemptID, modelCall.assembler.Position(), modelCall.receiveFrame)
		if resumeErr == nil {
			return modelCall.assembler.End(), nil
		}
		if cranberryward.FailureOf(resumeErr).Reason() == cranberryward.ReasonNotFound {
			return nil, err
		}
		waiter.Sleep(ctx, resumeDelay)
	}
	return nil, err
}

func (modelCall *modelCall) fireBreak() {
	if modelCall.stateMachine.Can(eventBreak) {
		modelCall.fire(eventBreak)
	}
}

func (modelCall *modelCall) cancelAttempt() {
	address, id := modelCall.targetAddress, modelCall.attemptID
	go func() {
		ctx, cancel := context.WithTimeout(modelCall.entry.background, cancelTimeout)
		defer cancel()
		_ = modelCall.entry.agentClient.cancel(ctx, address, id)
	}()
}

// chooseServer chooses a backend server in this entry's zone, or in another zone if this one has none available.
func (modelCall *modelCall) chooseServer(ctx context.Context) (cranberryward.Instance, *pool.Attempt, error) {
	entry, effectiveConfiguration := modelCall.entry, modelCall.entry.localState.EffectiveConfiguration()
	excluded := func(id string) bool { return modelCall.tried[id] || effectiveConfiguration.Leaving(id) }
	if pool, ok := entry.pools.find(modelPoolName(modelCall.request.model)); ok {
		if attempt, found := pool.Choose(modelCall.routingRequest, excluded); found {
			modelCall.logRoute(attempt.Instance(), attempt.Choice(), "own_zone")
			return attempt.Instance(), attempt, nil
		}
	}
	instance, found := entry.chooseServerInOtherZone(ctx, excluded, func(instance cranberryward.Instance) bool {
		return instance.Role == cranberryward.RoleEngine && instance.Model == modelCall.request.model
	})
	if !found {
		return instance, nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonNoBackendServer,
			"no backend server is available for model "+strconv.Quote(modelCall.request.model)).WithRetryAfter(time.Second)
	}
	modelCall.logRoute(instance, router.Choice{}, "other_zone")
	return instance, nil, nil
}

func (modelCall *modelCall) logRoute(instance cranberryward.Instance, choice router.Choice, why string) {
	age, _ := modelCall.entry.localState.Age()
	_ = modelCall.entry.logger.Log("event", "route", "request_id", modelCall.request.metadata.requestID, "workspace", modelCall.request.metadata.workspace,
		"chosen", instance.ID, "why", why, "predicted_hit_bytes", choice.HitBytes(), "expected_ms", choice.ExpectedLatency().Milliseconds(),
		"load_age_ms", choice.ReportAge().Milliseconds(), "configuration_age_ms", age.Milliseconds(), "revision", modelCall.entry.localState.Revision())
}

// chooseServerInOtherZone returns a random backend server of another zone.
func (entry *entry) chooseServerInOtherZone(ctx context.Context, excluded func(id string) bool, wanted func(cranberryward.Instance) bool) (cranberryward.Instance, bool) {
	membership, err := entry.listAllZones(ctx, zoneCacheTTL)
	if err != nil {
		return cranberryward.Instance{}, false
	}
	candidates := membership.Select(func(instance cranberryward.Instance) bool {
		return instance.Zone != entry.settings.Zone && !instance.Leaving && wanted(instance) && !excluded(instance.ID)
	})
	if len(candidates) == 0 {
		return cranberryward.Instance{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}
