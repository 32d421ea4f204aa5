// Package protocol defines the messages of primrosereach and converts them to and
// from the types of coordination and state: the HTTP API for callers and operators
// with its error codes, the endpoint protocol, and the messages between processes.
// The server and the command line share them.
package protocol

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/primrosereach/primrosereach/state"
)

// Paths of the HTTP API. Those that end in a slash are followed by a name or ID.
const (
	PathRequestIDs    = "/v1/request-ids"
	PathRequests      = "/v1/requests"
	PathRequest       = "/v1/requests/"
	PathConfiguration = "/v1/configuration"
	PathEndpoints     = "/v1/endpoints"
	PathEndpoint      = "/v1/endpoints/"
	PathAudit         = "/v1/audit"
	PathStatus        = "/v1/status"
)

// Headers that name the caller's team and the operator when credentials are not
// checked ("insecure": true in the settings). They are ignored otherwise.
const (
	HeaderTeam     = "X-Primrosereach-Team"
	HeaderOperator = "X-Primrosereach-Operator"
)

// RequestIDResponse answers POST /v1/request-ids. Issuing an ID writes nothing.
type RequestIDResponse struct {
	ID state.RequestID `json:"id"`
}

// SubmitRequest is the body of PUT /v1/requests/{id}. A resend of the same
// ID must carry the same body.
type SubmitRequest struct {
	Kind       string          `json:"kind"`                  // a kind of the caller's team
	Tasks      int             `json:"tasks,omitempty"`       // 0 means 1
	PerTask    state.Resources `json:"per_task,omitzero"`     // zero means the size configured for the kind
	Payload    json.RawMessage `json:"payload,omitempty"`     // passed to the endpoint unchanged
	DeadlineMS int64           `json:"deadline_ms,omitempty"` // milliseconds from acceptance to completion; 0 means the deadline of the kind
	EstimateMS int64           `json:"estimate_ms,omitempty"` // expected run time of a task in milliseconds; 0 means the estimate of the kind
}

// RequestStatus answers PUT, GET and DELETE /v1/requests/{id}.
type RequestStatus struct {
	ID         state.RequestID `json:"id"`
	Team       string          `json:"team"`
	Kind       string          `json:"kind"`
	Class      state.Class     `json:"class"`
	Outcome    state.Outcome   `json:"outcome"`
	Reason     string          `json:"reason,omitempty"`
	WhyWaiting string          `json:"why_waiting,omitempty"` // one sentence, set while the outcome is waiting
	AcceptedMS int64           `json:"accepted_ms"`           // Unix milliseconds
	FinalMS    int64           `json:"final_ms,omitempty"`    // Unix milliseconds, 0 while any task is open
	Tasks      []TaskState     `json:"tasks"`                 // indexed by task number
}

// Final reports whether the outcome is settled. An unknown outcome is final, but a
// late report may still change it to done or failed.
func (s *RequestStatus) Final() bool {
	return s.Outcome != state.OutcomeWaiting && s.Outcome != state.OutcomeRunning
}

// TaskState is one task of a RequestStatus.
type TaskState struct {
	Status   state.TaskStatus `json:"status"`
	Attempt  int              `json:"attempt,omitempty"` // attempt number, counted from 1
	Endpoint string           `json:"endpoint,omitempty"`
	Result   json.RawMessage  `json:"result,omitempty"`
	Error    string           `json:"error,omitempty"`
}

// RequestList answers GET /v1/requests with the requests of the caller's team.
type RequestList struct {
	Requests    []RequestStatus `json:"requests"`
	Unreachable []string        `json:"unreachable,omitempty"` // failure domains that did not answer and are missing from the list
}

// ConfigureRequest is the body of PUT /v1/configuration.
type ConfigureRequest struct {
	Expected      uint64              `json:"expected"`  // version that the change is based on; another version in force is a conflict
	ChangeID      string              `json:"change_id"` // idempotency key: a resend carries the same ID and gets the first answer
	Configuration state.Configuration `json:"configuration"`
}

// ConfigureResponse answers PUT /v1/configuration, with status 409 if the change
// was not applied.
type ConfigureResponse = state.ConfigureResult

// EndpointList answers GET /v1/endpoints.
type EndpointList struct {
	Endpoints   []state.Endpoint `json:"endpoints"`
	Unreachable []string         `json:"unreachable,omitempty"` // failure domains that did not answer and are missing from the list
}

// AuditList answers GET /v1/audit, oldest record first.
type AuditList struct {
	Records     []state.AuditRecord `json:"records"`
	Unreachable []string            `json:"unreachable,omitempty"` // failure domains that did not answer and are missing from the list
}

// SortAudit sorts records by time, oldest first.
func SortAudit(records []state.AuditRecord) {
	slices.SortStableFunc(records, func(a, b state.AuditRecord) int { return cmp.Compare(a.AtMS, b.AtMS) })
}
