package forwarder

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
	"github.com/cranberryward/cranberryward/platform"
)

// unavailableRetryAfter is the Retry-After of a service without a usable backend server; registrations return within about two seconds.
const unavailableRetryAfter = 800 * time.Millisecond

// serve sends the request to one backend server after another until a response is delivered or no further send is allowed.
func (forwarder *Forwarder) serve(writer http.ResponseWriter, exchange *exchange) {
	var last *bufferedResponse
	reason, retryAfter := "no_time_left", unavailableRetryAfter
	for {
		permit := exchange.permit()
		if permit == nil || exchange.ctx.Err() != nil {
			break
		}
		state, denial := forwarder.nextServer(exchange)
		if state == nil {
			reason, retryAfter = denial.reason, denial.retryAfter
			break
		}
		delivered, buffered, why := forwarder.attempt(writer, exchange, state, permit)
		if delivered {
			return
		}
		if buffered != nil {
			last = buffered
		}
		reason = why
	}
	if last != nil {
		last.deliver(writer)
		forwarder.requestLog.recordEnd(exchange, last.status, "backend_server_failed")
		return
	}
	forwarder.fail(writer, exchange, reason, retryAfter)
}

// denial is why a request may not be sent again, and when its caller may.
type denial struct {
	reason     string
	retryAfter time.Duration
}

func newDenial(reason string) denial {
	return denial{
		reason:     reason,
		retryAfter: unavailableRetryAfter,
	}
}

// nextServer chooses the backend server for the next send, or returns why there is none.
func (forwarder *Forwarder) nextServer(exchange *exchange) (*serverState, denial) {
	if exchange.sends > 0 && forwarder.groups.broken(exchange.service) {
		return nil, denial{
			reason:     "group_broken",
			retryAfter: brokenRetryAfter,
		}
	}
	if quarantined := forwarder.checkQuarantines(exchange); quarantined.reason != "" {
		return nil, quarantined
	}
	if exchange.arrivals > 0 {
		if denied := forwarder.denyRetry(exchange); denied != "" {
			return nil, newDenial(denied)
		}
	}
	picked := forwarder.pickWithinLimits(exchange)
	state := picked.state
	switch {
	case state == nil:
		return nil, picked.denial()
	case exchange.tried[state.server().ID] && exchange.mayHaveRun:
		forwarder.servers.done(state, outcomeAbandoned)
		return nil, newDenial("no_backend_server")
	case !exchange.mayRunAt(state.server().ID):
		forwarder.servers.done(state, outcomeAbandoned)
		return nil, newDenial("attempt_limit")
	}
	exchange.choose(picked)
	return state, denial{}
}

// attempt sends the request; a response that it returns reports a failure of the backend server, and is delivered if no further send succeeds.
func (forwarder *Forwarder) attempt(writer http.ResponseWriter, exchange *exchange, state *serverState, permit *permit) (delivered bool, buffered *bufferedResponse, reason string) {
	answer := forwarder.receiveFirst(exchange, state, permit)
	switch {
	case answer.long:
		forwarder.passOn(writer, exchange, answer)
		return true, nil, ""
	case answer.stream != nil:
		return forwarder.stream(writer, exchange, answer.state, answer.stream), nil, "stream_broken"
	case !answer.final:
		return false, answer.complete, answer.reason
	}
	answer.complete.deliver(writer)
	forwarder.requestLog.recordEnd(exchange, answer.complete.status, "")
	return true, nil, ""
}

// answer is what one send has led to: a stream or a long response that has begun, a complete response, or a reason for which there is none.
type answer struct {
	state  *serverState
	stream *connector.Response
	// long is whether the stream is a response that is too long to be held instead.
	long     bool
	complete *bufferedResponse
	// final is whether the complete response is delivered rather than one to a further send.
	final  bool
	reason string
}

// receive sends the request once, and reads its response, of a stream the head only.
func (forwarder *Forwarder) receive(exchange *exchange, state *serverState, newConnection bool) answer {
	response, err := forwarder.send(exchange, state, newConnection, exchange.metadata.LastEventID)
	if err != nil {
		forwarder.recordFailedSend(exchange, state, err)
		return answer{reason: "unreachable"}
	}
	exchange.arrivals++
	metadata := platform.ReadResponse(response.HTTP())
	forwarder.observe(state, response, metadata, exchange.sentAt)
	if metadata.NotRun {
		_ = forwarder.discardBody(response) // the request has not run, however the rest of the refusal ends
		forwarder.servers.done(state, outcomeRefused)
		return answer{reason: "refused_by_backend_server"}
	}
	exchange.recordVerdict(state.server().ID, cranberryward.Ran)
	status := response.HTTP().StatusCode
	if status == http.StatusOK && exchange.route.Kind == cranberryward.Streaming && metadata.Signed && !metadata.Encoded {
		return answer{
			state:  state,
			stream: response,
		}
	}
	if isLong(response, metadata) {
		return answer{
			state:  state,
			stream: response,
			long:   true,
		}
	}
	body, err := response.ReadAll(maxResponseBytes)
	if err == nil && response.CloseDelimited() && forwarder.crashChecks.down(state.server().Address) {
		err = errServerEnded
	}
	if err != nil {
		response.Abort()
		forwarder.requestLog.recordBreak(exchange, *state.server(), 0, err)
		forwarder.servers.done(state, forwarder.failureOutcome(exchange))
		forwarder.recordBreak(exchange, *state.server(), sendBreak{
			err:      err,
			progress: answerBegun,
		})
		return answer{reason: "answer_broken"}
	}
	response.Finish()
	return forwarder.judge(exchange, state, response.HTTP().StatusCode, newBufferedResponse(response.HTTP(), body, metadata), metadata)
}

// judge records the outcome of a send whose response is complete, and returns whether it is final.
func (forwarder *Forwarder) judge(exchange *exchange, state *serverState, status int, complete *bufferedResponse, metadata cranberryward.ResponseMetadata) answer {
	if status >= 200 && status < 300 && (!metadata.Signed || metadata.Encoded) {
		forwarder.servers.done(state, outcomeFailed)
		return answer{reason: "answer_unsigned"}
	}
	if status >= 500 {
		forwarder.servers.done(state, outcomeFailed)
		return answer{
			complete: complete,
			reason:   "backend_server_failed",
		}
	}
	forwarder.servers.done(state, outcomeSucceeded)
	if status < 400 {
		forwarder.requests.RecordServed(exchange.service, []string{exchange.wholeRequest().ID})
		forwarder.servers.recordSpeed(state, exchange.route.Name, time.Since(exchange.sentAt))
	}
	forwarder.recordServed(exchange)
	return answer{
		complete: complete,
		final:    true,
	}
}

// recordFailedSend records a send that got no response; one that certainly did not reach the backend server is no arrival there, and no crash.
func (forwarder *Forwarder) recordFailedSend(exchange *exchange, state *serverState, err error) {
	verdict := cranberryward.FailureOf(err).Verdict()
	exchange.recordVerdict(state.server().ID, verdict)
	if verdict != cranberryward.NotRun {
		exchange.arrivals++
		forwarder.requestLog.recordBreak(exchange, *state.server(), 0, err)
	}
	forwarder.servers.done(state, forwarder.failureOutcome(exchange))
	if verdict != cranberryward.NotRun {
		forwarder.recordBreak(exchange, *state.server(), sendBreak{err: err})
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		forwarder.recordDown(*state.server())
	}
}

// failureOutcome returns the outcome of a send that broke off: abandoned if the caller left, and unreachable otherwise.
func (forwarder *Forwarder) failureOutcome(exchange *exchange) outcome {
	if exchange.request.Context().Err() != nil {
		return outcomeAbandoned
	}
	return outcomeUnreachable
}

// discardBody reads the rest of a response that is not needed, so that its connection can be reused, and returns an error if it broke off.
func (forwarder *Forwarder) discardBody(response *connector.Response) error {
	if err := response.Discard(); err != nil {
		response.Abort()
		return err
	}
	response.Finish()
	return nil
}

// send sends the request to one backend server, with the time that is left until its deadline.
func (forwarder *Forwarder) send(exchange *exchange, state *serverState, newConnection bool, lastEventID string) (*connector.Response, error) {
	backendRequest := cranberryward.BackendRequest{
		Instance:    state.server().ID,
		Remaining:   time.Until(exchange.deadline),
		Urgency:     forwarder.priority(exchange),
		LastEventID: lastEventID,
		BodyBytes:   len(exchange.body),
	}
	if exchange.workspace != nil {
		backendRequest.Workspace = exchange.workspace.Name
	}
	dialTimeout := time.Duration(0) // the connector's own
	if exchange.alternatives {
		dialTimeout = alternativeDialTimeout
	}
	var head bytes.Buffer
	platform.WriteRequestHead(&head, exchange.request, backendRequest)
	return forwarder.connector.Send(exchange.ctx, connector.Request{
		Address:       state.server().Address,
		NewConnection: newConnection,
		DialTimeout:   dialTimeout,
		Method:        exchange.request.Method,
		Head:          head.Bytes(),
		Body:          exchange.body,
		Proceed:       func() bool { return forwarder.servers.mayProceed(state) },
		Reservation:   exchange.reservation,
		Matches: func(response *http.Response) bool {
			return platform.ReadResponse(response).RequestID == exchange.metadata.ID
		},
	})
}

// bufferedResponse is a response of a backend server that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// newBufferedResponse buffers a response; a status that tells callers that the request did not run becomes 502, as the backend server did not say so.
func newBufferedResponse(response *http.Response, body []byte, metadata cranberryward.ResponseMetadata) *bufferedResponse {
	buffered := &bufferedResponse{
		status: response.StatusCode,
		header: http.Header{},
		body:   body,
	}
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		buffered.status, buffered.body = http.StatusBadGateway, nil
		platform.SetLocalResponseHeaders(buffered.header, metadata.RequestID, 0)
	default:
		platform.CopyResponseHeaders(buffered.header, response.Header)
	}
	return buffered
}

func (bufferedResponse *bufferedResponse) deliver(writer http.ResponseWriter) {
	header := writer.Header()
	for name, values := range bufferedResponse.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(bufferedResponse.body)))
	writer.WriteHeader(bufferedResponse.status)
	_, _ = writer.Write(bufferedResponse.body) // an error means that the caller has left
}
