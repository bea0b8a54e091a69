package listener

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cranberryward/cranberryward"
)

const (
	statusClientClosedRequest = 499
	millisPerSecond           = 1000
)

// WriteJSON writes a response with the value as JSON.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// StatusOf returns the HTTP status for a reason.
func StatusOf(reason cranberryward.Reason) int {
	switch reason {
	case cranberryward.ReasonInvalid, cranberryward.ReasonKeyRequired:
		return http.StatusBadRequest
	case cranberryward.ReasonUnauthorized:
		return http.StatusUnauthorized
	case cranberryward.ReasonNotFound:
		return http.StatusNotFound
	case cranberryward.ReasonConflict, cranberryward.ReasonKeyInProgress, cranberryward.ReasonFenced, cranberryward.ReasonQuietWindow:
		return http.StatusConflict
	case cranberryward.ReasonKeyReused, cranberryward.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case cranberryward.ReasonOverloaded:
		return http.StatusTooManyRequests
	case cranberryward.ReasonBodyTooLate:
		return http.StatusRequestTimeout
	case cranberryward.ReasonDeadline:
		return http.StatusGatewayTimeout
	case cranberryward.ReasonResponseBroken, cranberryward.ReasonKeyUnresolved:
		return http.StatusBadGateway
	case cranberryward.ReasonCanceled:
		return statusClientClosedRequest
	case cranberryward.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteError writes the error as a JSON response with the status of its reason.
func WriteError(writer http.ResponseWriter, requestID string, err error) {
	failure := cranberryward.FailureOf(err)
	if after := failure.RetryAfter(); after > 0 {
		writer.Header().Set("Retry-After", strconv.FormatInt((after.Milliseconds()+millisPerSecond-1)/millisPerSecond, 10))
	}
	writer.Header().Set(cranberryward.HeaderVerdict, failure.Verdict().String())
	WriteJSON(writer, StatusOf(failure.Reason()), cranberryward.NewErrorMessage(err, requestID))
}

// ReadBody returns the body of a request, or a failure if it is longer than the limit in bytes.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	if err != nil {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid,
			"request body cannot be read or is longer than "+strconv.FormatInt(limit, 10)+" bytes").WithCause(err).WithResend(false)
	}
	return body, nil
}

// ReadJSON decodes the body of a request, or returns a failure if it is longer than the limit in bytes or not valid.
func ReadJSON(writer http.ResponseWriter, request *http.Request, limit int64, value any) error {
	body, err := ReadBody(writer, request, limit)
	if err != nil {
		return err
	}
	return DecodeJSON(body, value)
}

// DecodeJSON decodes a body, or returns a failure that names the field or byte at which it is invalid.
func DecodeJSON(body []byte, value any) error {
	err := json.Unmarshal(body, value)
	if err == nil {
		return nil
	}
	message := "request body is not valid JSON"
	switch decodeErr := err.(type) {
	case *json.UnmarshalTypeError:
		message = "field " + strconv.Quote(decodeErr.Field) + ": expected " + decodeErr.Type.String() + ", found " + decodeErr.Value
	case *json.SyntaxError:
		message += " at byte " + strconv.FormatInt(decodeErr.Offset, 10)
	}
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, message).WithCause(err).WithResend(false)
}
