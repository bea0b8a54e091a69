package cranberryward

import (
	"errors"
	"time"
)

// Verdict says whether a request may have run on a backend server.
type Verdict int

// The zero value is MayHaveRun, so that an unclassified outcome is never treated as safe to retry.
const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request is known not to have run.
	NotRun
	// Ran means that the request ran and its complete response was received.
	Ran
)

// String returns the verdict as written in responses and logs.
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

// ParseVerdict returns the verdict that the text stands for, or MayHaveRun for unknown text.
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

// The reasons returned to callers and operators; docs/OPERATIONS.md says what to do about each.
const (
	ReasonInvalid             Reason = "invalid_request"
	ReasonUnauthorized        Reason = "unauthorized"
	ReasonNotFound            Reason = "not_found"
	ReasonOverloaded          Reason = "overloaded"
	ReasonDeadline            Reason = "deadline_exceeded"
	ReasonLeaving             Reason = "leaving"
	ReasonStopping            Reason = "stopping"
	ReasonUnreachable         Reason = "unreachable"
	ReasonResponseBroken      Reason = "answer_broken"
	ReasonNoBackendServer     Reason = "no_backend_server"
	ReasonKeyRequired         Reason = "idempotency_key_required"
	ReasonKeyReused           Reason = "idempotency_key_reused"
	ReasonKeyInProgress       Reason = "idempotency_key_in_progress"
	ReasonKeyUnresolved       Reason = "idempotency_key_unresolved"
	ReasonHomeUnconfirmed     Reason = "key_home_unconfirmed"
	ReasonQuarantined         Reason = "quarantined"
	ReasonConflict            Reason = "conflict"
	ReasonStale               Reason = "stale"
	ReasonFenced              Reason = "fenced"
	ReasonQuietWindow         Reason = "quiet_window"
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	ReasonCanceled            Reason = "canceled"
	ReasonWrongIncarnation    Reason = "wrong_incarnation"
	ReasonVersionNotAllowed   Reason = "model_version_not_allowed"
	ReasonCrashed             Reason = "backend_server_crashed"
	ReasonNoMemory            Reason = "no_memory"
	ReasonBodyTooSlow         Reason = "body_too_slow"
	ReasonBodyTooLate         Reason = "body_too_late"
	ReasonInternal            Reason = "internal"
)

// Failure is an error with a verdict, a reason and advice on whether and when to send the request again.
type Failure struct {
	verdict    Verdict
	reason     Reason
	message    string
	retryAfter time.Duration
	resend     bool
	cause      error
}

// NewFailure returns a failure that advises to send the request again exactly if its verdict is NotRun.
func NewFailure(verdict Verdict, reason Reason, message string) *Failure {
	return &Failure{
		verdict: verdict,
		reason:  reason,
		message: message,
		resend:  verdict == NotRun,
	}
}

// WithCause returns a copy of the failure with the error that caused it.
func (failure *Failure) WithCause(cause error) *Failure {
	copied := *failure
	copied.cause = cause
	return &copied
}

// WithRetryAfter returns a copy of the failure with the delay after which the request may be sent again.
func (failure *Failure) WithRetryAfter(after time.Duration) *Failure {
	copied := *failure
	copied.retryAfter = after
	return &copied
}

// WithResend returns a copy of the failure with the given advice on whether to send the request again.
func (failure *Failure) WithResend(resend bool) *Failure {
	copied := *failure
	copied.resend = resend
	return &copied
}

// Verdict returns whether the request may have run.
func (failure *Failure) Verdict() Verdict { return failure.verdict }

// Reason returns the machine-readable code.
func (failure *Failure) Reason() Reason { return failure.reason }

// Message returns the human-readable text, without the cause.
func (failure *Failure) Message() string { return failure.message }

// RetryAfter returns the delay after which the request may be sent again.
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

// FailureOf returns the failure in an error's chain, or for any other error a MayHaveRun failure with its text.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(MayHaveRun, ReasonInternal, err.Error())
}

// VerdictOf returns Ran for a nil error and otherwise the verdict of FailureOf.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return FailureOf(err).verdict
}
