package protocol

import (
	"encoding/json"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// Paths of the endpoint protocol. The first two are served by entry processes, the
// last two by endpoints.
const (
	PathHeartbeatSuffix = "/heartbeat" // POST /v1/endpoints/{name}/heartbeat
	PathReports         = "/v1/reports"
	PathTasks           = "/v1/tasks"
	PathTasksStop       = "/v1/tasks/stop"
)

// HeartbeatRequest registers an endpoint and renews its lease. An endpoint sends one
// at the interval that the last answer states.
type HeartbeatRequest struct {
	Domain      string             `json:"domain"` // failure domain that the endpoint belongs to
	Kind        state.EndpointKind `json:"kind"`
	Address     string             `json:"address"`     // IP:port at which the endpoint accepts starts and stops
	Incarnation uint64             `json:"incarnation"` // number that is higher at each start of the endpoint, such as the start time
	Capacity    state.Resources    `json:"capacity"`
	Used        state.Resources    `json:"used,omitzero"` // measured use, which may be out of date
	Rack        string             `json:"rack,omitempty"`
	Leaving     bool               `json:"leaving,omitempty"`
	Running     []Attempt          `json:"running,omitempty"` // attempts that have started and whose report is not yet acknowledged
}

// Attempt names one attempt of a task on an endpoint.
type Attempt struct {
	Team    string          `json:"team"`
	ID      state.RequestID `json:"id"`
	Task    int             `json:"task"`
	Attempt int             `json:"attempt"`
	Seq     uint64          `json:"seq"` // sequence number of the start, per endpoint and incarnation
}

// HeartbeatResponse renews the endpoint's lease.
type HeartbeatResponse struct {
	Term         uint64    `json:"term"`           // term of the leader; starts and stops with a lower term are rejected from now on
	LeaseMS      int64     `json:"lease_ms"`       // duration of the lease, from the time at which the heartbeat was sent
	IntervalMS   int64     `json:"interval_ms"`    // time until the next heartbeat
	LowWatermark uint64    `json:"low_watermark"`  // starts up to this sequence number are settled: the endpoint prunes them and declines them if they arrive again
	Stop         []Attempt `json:"stop,omitempty"` // attempts to stop
	Assigner     string    `json:"assigner"`       // IP:port for the next heartbeats and for reports
}

// StartRequest is the body of POST /v1/tasks.
type StartRequest struct {
	Attempt
	Domain      string          `json:"domain"`
	Term        uint64          `json:"term"`
	Incarnation uint64          `json:"incarnation"` // incarnation of the endpoint that the start is for; another one does not run it
	Kind        string          `json:"kind"`
	Class       state.Class     `json:"class"`
	Repeatable  bool            `json:"repeatable"`
	PerTask     state.Resources `json:"per_task"`
	Payload     json.RawMessage `json:"payload,omitempty"`
}

// StartResponse answers a start. Declined means that the attempt did not start and
// never will. If neither Started nor Declined is set, the attempt may have run.
type StartResponse struct {
	Started  bool   `json:"started"`
	Declined bool   `json:"declined"`
	Reason   string `json:"reason,omitempty"`
}

// StopRequest is the body of POST /v1/tasks/stop. The endpoint reports how the
// attempt ended: not_run if it had not started, in which case it never will.
type StopRequest struct {
	Attempt
	Domain      string `json:"domain"`
	Term        uint64 `json:"term"`
	Incarnation uint64 `json:"incarnation"`
}

// ReportRequest is the body of POST /v1/reports. The endpoint repeats it until it
// is answered with status 200.
type ReportRequest struct {
	Attempt
	Domain      string           `json:"domain"`
	Endpoint    string           `json:"endpoint"`
	Incarnation uint64           `json:"incarnation"`
	Status      state.TaskStatus `json:"status"` // done, failed, not_run or cancelled
	Result      json.RawMessage  `json:"result,omitempty"`
	Error       string           `json:"error,omitempty"`
}

// NewStartRequest converts a start to the body of POST /v1/tasks.
func NewStartRequest(s *coordination.StartTask) StartRequest {
	return StartRequest{
		Attempt: NewAttempt(s.Ref, s.Seq), Domain: s.Domain, Term: s.Term, Incarnation: s.Incarnation,
		Kind: s.Kind, Class: s.Class, Repeatable: s.Repeatable, PerTask: s.PerTask, Payload: s.Payload,
	}
}

// NewStopRequest converts a stop to the body of POST /v1/tasks/stop.
func NewStopRequest(s *coordination.StopTask) StopRequest {
	return StopRequest{Attempt: NewAttempt(s.Ref, s.Seq), Domain: s.Domain, Term: s.Term, Incarnation: s.Incarnation}
}
