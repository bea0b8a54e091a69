package commander

import (
	"errors"

	"github.com/cranberryward/cranberryward"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes, documented in docs/OPERATIONS.md.
const (
	ExitOK            ExitCode = 0 // success; a submission is in force in every availability zone
	ExitFailed        ExitCode = 1 // any other failure; a submission was not accepted
	ExitUsage         ExitCode = 2 // invalid arguments, sheet or settings
	ExitConflict      ExitCode = 3 // the submission conflicts with the accepted configuration
	ExitNotInForce    ExitCode = 4 // accepted, but not confirmed in every availability zone
	ExitMayBeAccepted ExitCode = 5 // outcome unknown; submit again with the same id
)

// ExitError is an error that sets the exit code of the program.
type ExitError struct {
	code    ExitCode
	message string
}

// NewExitError returns an error that ends the program with the given code and message.
func NewExitError(code ExitCode, message string) *ExitError {
	return &ExitError{
		code:    code,
		message: message,
	}
}

// Error returns the message that is printed to the user.
func (exitError *ExitError) Error() string { return exitError.message }

// ExitCodeOf returns the exit code for the error that a command returned.
func ExitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var exitError *ExitError
	if errors.As(err, &exitError) {
		return exitError.code
	}
	var failure *cranberryward.Failure
	if !errors.As(err, &failure) {
		return ExitFailed
	}
	switch {
	case failure.Reason() == cranberryward.ReasonInvalid:
		return ExitUsage
	case failure.Reason() == cranberryward.ReasonConflict:
		return ExitConflict
	}
	return ExitFailed
}
