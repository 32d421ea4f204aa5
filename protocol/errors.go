package protocol

import (
	"net/http"
	"strings"
)

// Code classifies an error of the HTTP API.
type Code string

// Error codes.
const (
	CodeInvalid        Code = "invalid"         // the call can never succeed as it is
	CodeUnauthorized   Code = "unauthorized"    // no token, or an unknown one
	CodeForbidden      Code = "forbidden"       // the token does not permit the call
	CodeNotFound       Code = "not_found"       // nothing of that name or ID
	CodeConflict       Code = "conflict"        // the same ID or version is taken by something else
	CodeTooLarge       Code = "too_large"       // the body exceeds max_body_bytes
	CodeTooOld         Code = "too_old"         // an earlier outcome of the ID is no longer known
	CodeRefusedNotRun  Code = "refused_not_run" // refused at admission: it did not run and never will
	CodeUnknownOutcome Code = "unknown_outcome" // it may have been accepted; resend the same ID later
	CodeUnavailable    Code = "unavailable"     // nothing was done; try again
)

var statusOf = map[Code]int{
	CodeInvalid:        http.StatusBadRequest,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeForbidden:      http.StatusForbidden,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeTooOld:         http.StatusGone,
	CodeRefusedNotRun:  http.StatusTooManyRequests,
	CodeUnknownOutcome: http.StatusGatewayTimeout,
	CodeUnavailable:    http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status of an answer with code c, 500 for a code
// that is not listed.
func (c Code) HTTPStatus() int {
	if s, ok := statusOf[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error is an error of the HTTP API.
type Error struct {
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Step         string `json:"step,omitempty"`           // what was being done
	Peer         string `json:"peer,omitempty"`           // process, endpoint or domain at which it went wrong
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // 0 if it makes no sense to try again, or there is no advice
}

// ErrorResponse is the body of every answer that is an error.
type ErrorResponse struct {
	Error Error `json:"error"`
}

// Error returns "step at peer: code: message".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Step)
	if e.Peer != "" {
		if e.Step != "" {
			b.WriteByte(' ')
		}
		b.WriteString("at " + e.Peer)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(string(e.Code))
	if e.Message != "" {
		b.WriteString(": " + e.Message)
	}
	return b.String()
}
