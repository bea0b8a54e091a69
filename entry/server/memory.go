package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/listener"
	"github.com/cranberryward/cranberryward/reserver"
)

const (
	// requestCopies is the memory of a request beside its body, in bodies: as it is decoded, and as it is encoded for an agent.
	requestCopies = 3
	// answerCopies is the memory of an answer beside what is read of it: as it is decoded or encoded.
	answerCopies = 1
	// operatorConnections is the most connections of operators.
	operatorConnections = 128
)

// readBody returns the body of a request, for which the reservation holds memory until it is closed, or the failure with which it is refused.
func (entry *entry) readBody(writer http.ResponseWriter, request *http.Request, reservation *reserver.Reservation, limit int64, deadline time.Time) ([]byte, error) {
	body, err := entry.memory.Receive(writer, request, reservation, limit, deadline)
	if err == nil && !reservation.TakeForRequest(int64(requestCopies*len(body))) {
		err = reserver.ErrNoRoom
	}
	if err == nil {
		return body, nil
	}
	reservation.Close() // what was read is given up
	reserver.Refused(writer, request)
	failure := func(reason cranberryward.Reason, message string) *cranberryward.Failure {
		return cranberryward.NewFailure(cranberryward.NotRun, reason, message).WithCause(err)
	}
	switch {
	case errors.Is(err, reserver.ErrNoRoom):
		return nil, failure(cranberryward.ReasonNoMemory, "no memory is left for the request").WithRetryAfter(reserver.RetryAfter)
	case errors.Is(err, reserver.ErrTooSlow):
		return nil, failure(cranberryward.ReasonBodyTooSlow, "the request body came too slowly while memory was short").WithRetryAfter(reserver.RetryAfter)
	case errors.Is(err, reserver.ErrTooLate):
		return nil, failure(cranberryward.ReasonBodyTooLate, "the request body was not whole at the deadline")
	}
	return nil, failure(cranberryward.ReasonInvalid, "request body cannot be read or is longer than "+strconv.FormatInt(limit, 10)+" bytes").WithResend(false)
}

// readCall reads the body of a caller's request.
func (entry *entry) readCall(writer http.ResponseWriter, request *http.Request, metadata metadata, reservation *reserver.Reservation) ([]byte, error) {
	return entry.readBody(writer, request, reservation, int64(entry.settings.MaxBody), metadata.started.Add(metadata.deadline))
}

// readJSON reads and decodes the body of a caller's request.
func (entry *entry) readJSON(writer http.ResponseWriter, request *http.Request, metadata metadata, reservation *reserver.Reservation, value any) error {
	body, err := entry.readCall(writer, request, metadata, reservation)
	if err != nil {
		return err
	}
	return listener.DecodeJSON(body, value)
}

// readAnswer returns the body of an agent's response and waits where there is no room for it; what it returns stays reserved.
func readAnswer(ctx context.Context, response *http.Response, reservation *reserver.Reservation) ([]byte, error) {
	held := int64(0)
	body, err := reserver.ReadBody(response.Body, response.ContentLength, maxAgentResponseBytes, func(from, to int64) error {
		if err := reservation.AwaitForAnswer(ctx, (1+answerCopies)*to); err != nil {
			return err
		}
		reservation.ReleaseForAnswer((1 + answerCopies) * from)
		held = (1 + answerCopies) * to
		return nil
	})
	if err == nil {
		return body, nil
	}
	reservation.ReleaseForAnswer(held)
	switch {
	case errors.Is(err, reserver.ErrTooLong):
		return nil, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response is longer than "+strconv.Itoa(maxAgentResponseBytes)+" bytes")
	case ctx.Err() != nil:
		return nil, dialer.TransportFailure(ctx, err)
	}
	return nil, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response was truncated").WithCause(err)
}
