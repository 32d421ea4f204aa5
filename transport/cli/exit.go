package cli

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/strictjson"
	"github.com/primrosereach/primrosereach/state"
)

// Exit codes of the command line.
const (
	ExitDone        = 0 // done, or accepted if not waiting for the end
	ExitFailed      = 1 // ran and failed, was stopped, or any other error
	ExitInput       = 2 // bad input, settings or credentials
	ExitNotRun      = 3 // refused or cancelled before the start: it did not run
	ExitUnknown     = 4 // outcome unknown: it may have run, or may have been accepted
	ExitUnreachable = 5 // the system cannot be reached, and nothing was done
	ExitConflict    = 6 // conflict with an earlier change or request
)

var exitOfCode = map[protocol.Code]int{
	protocol.CodeInvalid:        ExitInput,
	protocol.CodeUnauthorized:   ExitInput,
	protocol.CodeForbidden:      ExitInput,
	protocol.CodeTooLarge:       ExitInput,
	protocol.CodeNotFound:       ExitFailed,
	protocol.CodeConflict:       ExitConflict,
	protocol.CodeRefusedNotRun:  ExitNotRun,
	protocol.CodeUnknownOutcome: ExitUnknown,
	protocol.CodeTooOld:         ExitUnknown, // the outcome is no longer stored
	protocol.CodeUnavailable:    ExitUnreachable,
}

var exitOfOutcome = map[state.Outcome]int{
	state.OutcomeWaiting:   ExitDone,
	state.OutcomeRunning:   ExitDone,
	state.OutcomeDone:      ExitDone,
	state.OutcomeFailed:    ExitFailed,
	state.OutcomeCancelled: ExitFailed,
	state.OutcomeNotRun:    ExitNotRun,
	state.OutcomeUnknown:   ExitUnknown,
}

// InputError is an error in arguments, files or settings. Nothing was sent to a server.
type InputError struct{ Err error }

func (e *InputError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.Err }

// OutcomeError reports a request that did not end as done. Its status has already been
// printed.
type OutcomeError struct {
	ID      state.RequestID
	Outcome state.Outcome
	Reason  string
}

func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("request %s: %s", e.ID, e.Outcome)
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

// ExitCode maps the error of a command to its exit code.
func ExitCode(err error) int {
	var (
		input   *InputError
		faults  strictjson.Faults
		outcome *OutcomeError
		answer  *protocol.Error
	)
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &input), errors.As(err, &faults):
		return ExitInput
	case errors.As(err, &outcome):
		if code, ok := exitOfOutcome[outcome.Outcome]; ok {
			return code
		}
		return ExitUnknown
	case errors.As(err, &answer):
		if code, ok := exitOfCode[answer.Code]; ok {
			return code
		}
	}
	return ExitFailed
}

// Outcome returns nil for a request that is done or not final yet, and an OutcomeError
// for any other one.
func Outcome(s *protocol.RequestStatus) error {
	if exitOfOutcome[s.Outcome] == ExitDone {
		if _, known := exitOfOutcome[s.Outcome]; known {
			return nil
		}
	}
	return &OutcomeError{ID: s.ID, Outcome: s.Outcome, Reason: s.Reason}
}
