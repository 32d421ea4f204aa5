// Package protocol holds the bodies of the HTTP API that callers and operators
// use, the error codes, and the mapping of codes to HTTP status. The server and
// the command line share them.
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

// Headers that name the caller's team and the operator when no credentials are
// checked (settings with insecure). They are ignored otherwise.
const (
	HeaderTeam     = "X-Primrosereach-Team"
	HeaderOperator = "X-Primrosereach-Operator"
)

// RequestIDResponse answers POST /v1/request-ids. Issuing an ID writes nothing.
type RequestIDResponse struct {
	ID state.RequestID `json:"id"`
}

// SubmitRequest is the body of PUT /v1/requests/{id}. A resend of the same ID
// carries the same body.
type SubmitRequest struct {
	Kind       string          `json:"kind"`                  // a kind of the caller's team
	Tasks      int             `json:"tasks,omitempty"`       // 0 means 1
	PerTask    state.Resources `json:"per_task,omitzero"`     // zero means the size configured for the kind
	Payload    json.RawMessage `json:"payload,omitempty"`     // handed to the endpoint unchanged
	DeadlineMS int64           `json:"deadline_ms,omitempty"` // milliseconds from acceptance to completion; 0 means that of the kind
	EstimateMS int64           `json:"estimate_ms,omitempty"` // expected run time of a task in milliseconds; 0 means that of the kind
}

// RequestStatus answers PUT, GET and DELETE /v1/requests/{id}.
type RequestStatus struct {
	ID         state.RequestID `json:"id"`
	Team       string          `json:"team"`
	Kind       string          `json:"kind"`
	Class      state.Class     `json:"class"`
	Outcome    state.Outcome   `json:"outcome"`
	Reason     string          `json:"reason,omitempty"`
	WhyWaiting string          `json:"why_waiting,omitempty"` // one sentence, while the outcome is waiting
	AcceptedMS int64           `json:"accepted_ms"`           // Unix milliseconds
	FinalMS    int64           `json:"final_ms,omitempty"`    // Unix milliseconds, 0 while any task is open
	Tasks      []TaskState     `json:"tasks"`                 // indexed by task number
}

// Final reports whether the outcome is settled. An unknown outcome is final but
// may still become done or failed by a late report.
func (s *RequestStatus) Final() bool {
	return s.Outcome != state.OutcomeWaiting && s.Outcome != state.OutcomeRunning
}

// TaskState is one task of a RequestStatus.
type TaskState struct {
	Status   state.TaskStatus `json:"status"`
	Attempt  int              `json:"attempt,omitempty"` // 1 for the first
	Endpoint string           `json:"endpoint,omitempty"`
	Result   json.RawMessage  `json:"result,omitempty"`
	Error    string           `json:"error,omitempty"`
}

// RequestList answers GET /v1/requests with the requests of the caller's team.
type RequestList struct {
	Requests    []RequestStatus `json:"requests"`
	Unreachable []string        `json:"unreachable,omitempty"` // failure domains that are missing in the list
}

// ConfigureRequest is the body of PUT /v1/configuration.
type ConfigureRequest struct {
	Expected      uint64              `json:"expected"`  // version in force when the change was made
	ChangeID      string              `json:"change_id"` // a resend carries the same one and gets the first answer
	Configuration state.Configuration `json:"configuration"`
}

// ConfigureResponse answers PUT /v1/configuration, with status 409 if the change
// was not applied.
type ConfigureResponse = state.ConfigureResult

// EndpointList answers GET /v1/endpoints.
type EndpointList struct {
	Endpoints   []state.Endpoint `json:"endpoints"`
	Unreachable []string         `json:"unreachable,omitempty"` // failure domains that are missing in the list
}

// AuditList answers GET /v1/audit, oldest record first.
type AuditList struct {
	Records     []state.AuditRecord `json:"records"`
	Unreachable []string            `json:"unreachable,omitempty"` // failure domains that are missing in the list
}

// SortAudit orders records by time.
func SortAudit(records []state.AuditRecord) {
	slices.SortStableFunc(records, func(a, b state.AuditRecord) int { return cmp.Compare(a.AtMS, b.AtMS) })
}
