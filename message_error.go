package cranberryward

import "time"

// ErrorMessage is the JSON body of every error response.
type ErrorMessage struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells the caller what failed, whether the request may have run and whether to send it again.
type ErrorDetail struct {
	Message       string   `json:"message"`
	Type          string   `json:"type"`
	Code          Reason   `json:"code"`
	Verdict       string   `json:"verdict"`
	Resend        bool     `json:"resend"`
	RetryAfterMS  int64    `json:"retry_after_ms"`
	RequestID     string   `json:"request_id,omitempty"`
	Details       []string `json:"details,omitempty"`
	SubmissionID  string   `json:"submission_id,omitempty"`
	SheetRevision uint64   `json:"sheet_revision,omitempty"`
}

// NewErrorMessage returns the message that describes an error.
func NewErrorMessage(err error, requestID string) ErrorMessage {
	failure := FailureOf(err)
	return ErrorMessage{
		Error: ErrorDetail{
			Message:      failure.Error(),
			Type:         "cranberryward_error",
			Code:         failure.reason,
			Verdict:      failure.verdict.String(),
			Resend:       failure.resend,
			RetryAfterMS: failure.retryAfter.Milliseconds(),
			RequestID:    requestID,
		},
	}
}

// Failure returns the failure that the message describes.
func (errorMessage ErrorMessage) Failure() *Failure {
	return NewFailure(ParseVerdict(errorMessage.Error.Verdict), errorMessage.Error.Code, errorMessage.Error.Message).
		WithResend(errorMessage.Error.Resend).
		WithRetryAfter(time.Duration(errorMessage.Error.RetryAfterMS) * time.Millisecond)
}
