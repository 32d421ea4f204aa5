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
	CodeConflict       Code = "conflict"        // the ID was used for something else, or another version is in force
	CodeTooLarge       Code = "too_large"       // the body exceeds max_body_bytes
	CodeTooOld         Code = "too_old"         // the ID is so old that the record of an earlier outcome may have been pruned
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
	Step         string `json:"step,omitempty"`           // operation that failed
	Peer         string `json:"peer,omitempty"`           // process, endpoint or domain at which the error arose
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // advised pause before a retry; 0 if a retry cannot succeed or there is no advice
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
