package cranberryward

import (
	"errors"
	"time"
)

// Verdict says whether a request may have run on a backend server.
type Verdict int

// The zero value is MayHaveRun, so that an outcome nobody classified is never mistaken for a safe one.
const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request ran and its whole answer was received.
	Ran
)

// String returns the verdict as it is written in answers and logs.
func (verdict Verdict) String() string {
	switch verdict {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// ParseVerdict returns the verdict written as text and MayHaveRun for any other text.
func ParseVerdict(text string) Verdict {
	switch text {
	case "not run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason is the machine-readable code of a refusal or failure.
type Reason string

// The reasons that callers and operators may meet, listed with what to do in docs/OPERATIONS.md.
const (
	ReasonInvalid          Reason = "invalid_request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonNotFound         Reason = "not_found"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonLeaving          Reason = "leaving"
	ReasonStopping         Reason = "stopping"
	ReasonUnreachable      Reason = "unreachable"
	ReasonBroken           Reason = "answer_broken"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonKeyRequired      Reason = "idempotency_key_required"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonKeyInProgress    Reason = "idempotency_key_in_progress"
	ReasonKeyUnresolved    Reason = "idempotency_key_unresolved"
	ReasonHomeUnconfirmed  Reason = "key_home_unconfirmed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonConflict         Reason = "conflict"
	ReasonStale            Reason = "stale"
	ReasonFenced           Reason = "fenced"
	ReasonQuietWindow      Reason = "quiet_window"
	ReasonUnavailable      Reason = "platform_unavailable"
	ReasonCanceled         Reason = "canceled"
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonVersion          Reason = "model_version_not_allowed"
	ReasonCrashed          Reason = "backend_server_crashed"
	ReasonInternal         Reason = "internal"
)

// Failure is an error that carries a verdict, a reason and advice on sending the request again.
type Failure struct {
	verdict    Verdict
	reason     Reason
	message    string
	retryAfter time.Duration
	resend     bool
	cause      error
}

// NewFailure returns a failure whose request may be sent again exactly when it did not run.
func NewFailure(verdict Verdict, reason Reason, message string) *Failure {
	return &Failure{
		verdict: verdict,
		reason:  reason,
		message: message,
		resend:  verdict == NotRun,
	}
}

// WithCause returns the failure with the error that led to it.
func (failure *Failure) WithCause(cause error) *Failure {
	copied := *failure
	copied.cause = cause
	return &copied
}

// WithRetryAfter returns the failure with the time after which the request may be sent again.
func (failure *Failure) WithRetryAfter(after time.Duration) *Failure {
	copied := *failure
	copied.retryAfter = after
	return &copied
}

// WithResend returns the failure with the given advice on sending the request again.
func (failure *Failure) WithResend(resend bool) *Failure {
	copied := *failure
	copied.resend = resend
	return &copied
}

// Verdict returns whether the request may have run.
func (failure *Failure) Verdict() Verdict { return failure.verdict }

// Reason returns the machine-readable code.
func (failure *Failure) Reason() Reason { return failure.reason }

// Message returns the text for people, without the cause.
func (failure *Failure) Message() string { return failure.message }

// RetryAfter returns the time after which the request may be sent again.
func (failure *Failure) RetryAfter() time.Duration { return failure.retryAfter }

// Resend returns whether the caller should send the request again with the same key.
func (failure *Failure) Resend() bool { return failure.resend }

// Error returns the message followed by the cause.
func (failure *Failure) Error() string {
	if failure.cause != nil {
		return failure.message + ": " + failure.cause.Error()
	}
	return failure.message
}

// Unwrap returns the cause.
func (failure *Failure) Unwrap() error { return failure.cause }

// FailureOf returns the failure within an error and wraps any other error as one that may have run.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(MayHaveRun, ReasonInternal, err.Error())
}

// VerdictOf returns Ran for nil and else the verdict of the failure within the error.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return FailureOf(err).verdict
}
