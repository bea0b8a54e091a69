package server

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/quarantiner"
	"github.com/gorilla/mux"
)

const (
	cancelTimeout   = 2 * time.Second
	defaultDeadline = 60 * time.Second
)

func (agent *agent) handler() http.Handler {
	root := mux.NewRouter()
	root.HandleFunc("/healthz", agent.handleHealth).Methods(http.MethodGet)
	router := root.NewRoute().Subrouter()
	router.Use(agent.authenticate)
	router.HandleFunc("/debug/vars", agent.handleVars).Methods(http.MethodGet)
	router.HandleFunc("/run/generate", agent.handleGenerate).Methods(http.MethodPost)
	router.HandleFunc("/run/streams/{id}", agent.handleResume).Methods(http.MethodGet)
	router.HandleFunc("/run/streams/{id}", agent.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc("/run/service", agent.handleService).Methods(http.MethodPost)
	return root
}

func (agent *agent) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	listener.WriteJSON(writer, http.StatusOK, map[string]bool{
		"backend_server_up": !agent.health.isDown(),
		"draining":          agent.drain.isDraining(),
	})
}

func (agent *agent) handleVars(writer http.ResponseWriter, _ *http.Request) {
	load := agent.load()
	values := new(expvar.Map)
	values.Add("in_flight", int64(load.InFlight))
	values.Add("queued", int64(load.Queued))
	values.Add("limit", int64(load.Limit))
	values.Add("keys", int64(agent.keyStore.Len()))
	values.Add("revision", int64(agent.localState.Revision()))
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write([]byte(values.String()))
}

func (agent *agent) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(cranberryward.HeaderRequestID)
		if !caller.Verify(agent.settings.SharedKey, id, request.Header.Get(cranberryward.HeaderPeer)) {
			listener.WriteError(writer, id, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonUnauthorized,
				"the sender did not prove that it has the shared key").WithResend(false))
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (agent *agent) load() messenger.Load {
	inFlight, queued, limit := agent.limiter.Load()
	return messenger.Load{
		InFlight:     inFlight,
		Queued:       queued,
		Limit:        limit,
		PrefillBytes: int(agent.prefillBytes.Load()),
	}
}

func (agent *agent) requestContext(request *http.Request, deadlineMS int64) (context.Context, context.CancelFunc) {
	limit := defaultDeadline
	if deadlineMS > 0 {
		limit = time.Duration(deadlineMS) * time.Millisecond
	}
	return context.WithTimeout(request.Context(), limit)
}

func (agent *agent) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var generateRequest cranberryward.GenerateRequest
	if err := listener.ReadJSON(writer, request, int64(agent.settings.MaxBody), &generateRequest); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	ctx, cancel := agent.requestContext(request, generateRequest.DeadlineMS)
	defer cancel()
	frameWriter := newFrameWriter(writer, agent.load)
	err := agent.generate(ctx, generateRequest, frameWriter.write)
	agent.logRequest(generateRequest.RequestID, generateRequest.Workspace, request, err)
	frameWriter.finish(generateRequest.RequestID, err)
}

func (agent *agent) logRequest(id, workspace string, request *http.Request, err error) {
	load := agent.load()
	_ = agent.logger.Log("event", "request", "request_id", id, "workspace", workspace, "verdict", cranberryward.VerdictOf(err),
		"in_flight", load.InFlight, "queued", load.Queued, "limit", load.Limit, "revision", agent.localState.Revision(),
		"sender_revision", request.Header.Get(cranberryward.HeaderRevision), "error", err)
}

func (agent *agent) generate(ctx context.Context, generateRequest cranberryward.GenerateRequest, send func(cranberryward.Frame) error) error {
	if agent.engine == nil {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "the backend server is not a model engine")
	}
	if err := agent.chooseVersion(&generateRequest); err != nil {
		return err
	}
	admission, err := agent.admit(ctx, admissionRequest{
		workspace:   generateRequest.Workspace,
		priority:    generateRequest.Priority,
		fingerprint: quarantiner.Fingerprint(generateRequest.Workspace, generateRequest.Model, generateRequest.Prompt),
		promptBytes: len(generateRequest.Prompt),
	})
	if err != nil {
		return err
	}
	defer admission.release()
	started := false
	err = agent.engine.Generate(ctx, generateRequest, func(frame cranberryward.Frame) error {
		if !started {
			started = true
			admission.permit.ObserveLatency()
		}
		return send(frame)
	})
	if err == nil {
		admission.markSucceeded()
		return nil
	}
	return admission.classifyFailure(ctx, err)
}

func (agent *agent) handleResume(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || agent.engine == nil {
		listener.WriteError(writer, id, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "offset: expected a whole number"))
		return
	}
	frameWriter := newFrameWriter(writer, agent.load)
	err = agent.engine.Resume(request.Context(), id, offset, frameWriter.write)
	frameWriter.finish(id, err)
}

func (agent *agent) handleCancel(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	ctx, cancel := context.WithTimeout(request.Context(), cancelTimeout)
	defer cancel()
	if agent.engine == nil {
		listener.WriteJSON(writer, http.StatusOK, struct{}{})
		return
	}
	if err := agent.engine.Cancel(ctx, id); err != nil {
		listener.WriteError(writer, id, err)
		return
	}
	_ = agent.logger.Log("event", "canceled", "request_id", id)
	listener.WriteJSON(writer, http.StatusOK, struct{}{})
}

func (agent *agent) handleService(writer http.ResponseWriter, request *http.Request) {
	var call cranberryward.ServiceCall
	if err := listener.ReadJSON(writer, request, 2*int64(agent.settings.MaxBody), &call); err != nil {
		listener.WriteError(writer, "", err)
		return
	}
	if agent.service == nil {
		listener.WriteError(writer, call.RequestID, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "the backend server is not a plain service"))
		return
	}
	deadline, _ := strconv.ParseInt(request.Header.Get(cranberryward.HeaderDeadline), 10, 64)
	priority, _ := strconv.Atoi(request.Header.Get(cranberryward.HeaderPriority))
	ctx, cancel := agent.requestContext(request, deadline)
	defer cancel()
	response, err := agent.callService(ctx, call, priority)
	agent.logRequest(call.RequestID, call.Workspace, request, err)
	writer.Header().Set(cranberryward.HeaderLoad, messenger.EncodeLoad(agent.load()))
	if err != nil {
		listener.WriteError(writer, call.RequestID, err)
		return
	}
	listener.WriteJSON(writer, http.StatusOK, response)
}

// frameWriter writes frames as lines of JSON and reports a failure after the first frame in an additional last frame.
type frameWriter struct {
	writer  http.ResponseWriter
	load    func() messenger.Load
	encoder *json.Encoder
	started bool
}

func newFrameWriter(writer http.ResponseWriter, load func() messenger.Load) *frameWriter {
	return &frameWriter{
		writer:  writer,
		load:    load,
		encoder: json.NewEncoder(writer),
	}
}

func (frameWriter *frameWriter) write(frame cranberryward.Frame) error {
	if !frameWriter.started {
		frameWriter.started = true
		frameWriter.writer.Header().Set("Content-Type", "application/x-ndjson")
		frameWriter.writer.Header().Set(cranberryward.HeaderLoad, messenger.EncodeLoad(frameWriter.load()))
	}
	if err := frameWriter.encoder.Encode(frame); err != nil {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonCanceled, "writing a frame of the response failed").WithCause(err)
	}
	return http.NewResponseController(frameWriter.writer).Flush()
}

func (frameWriter *frameWriter) finish(requestID string, err error) {
	switch {
	case err == nil:
	case frameWriter.started:
		detail := cranberryward.NewErrorMessage(err, requestID).Error
		_ = frameWriter.encoder.Encode(cranberryward.Frame{
			RequestID: requestID,
			Error:     &detail,
		})
	default:
		frameWriter.writer.Header().Set(cranberryward.HeaderLoad, messenger.EncodeLoad(frameWriter.load()))
		listener.WriteError(frameWriter.writer, requestID, err)
	}
}
