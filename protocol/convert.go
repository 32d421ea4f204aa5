package protocol

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// NewRequestStatus converts a record to the form that its caller receives.
func NewRequestStatus(r *state.Record, whyWaiting string) RequestStatus {
	s := RequestStatus{
		ID: r.ID, Team: r.Team, Kind: r.Kind, Class: r.Class, Outcome: r.Outcome(), Reason: r.Reason,
		WhyWaiting: whyWaiting, AcceptedMS: r.AcceptedMS, FinalMS: r.FinalMS, Tasks: make([]TaskState, len(r.State)),
	}
	for i := range r.State {
		t := &r.State[i]
		s.Tasks[i] = TaskState{Status: t.Status, Attempt: t.Attempt, Endpoint: t.Endpoint, Result: t.Result, Error: t.Error}
	}
	return s
}

// Submission validates the body of a submission and converts it. The digest covers
// the whole body, so that a resend of the ID with another body can be detected.
func (s *SubmitRequest) Submission() (coordination.Submission, *Error) {
	if s.Kind == "" {
		return coordination.Submission{}, &Error{Code: CodeInvalid, Message: "kind: missing"}
	}
	if s.Tasks < 0 || s.DeadlineMS < 0 || s.EstimateMS < 0 || s.PerTask.IsNegative() {
		return coordination.Submission{}, &Error{Code: CodeInvalid, Message: "tasks, deadline_ms, estimate_ms and per_task must not be negative"}
	}
	canonical, err := json.Marshal(s)
	if err != nil {
		return coordination.Submission{}, &Error{Code: CodeInvalid, Message: "payload: " + err.Error()}
	}
	out := coordination.Submission{
		Kind: s.Kind, Tasks: s.Tasks, Payload: s.Payload, DeadlineMS: s.DeadlineMS, EstimateMS: s.EstimateMS,
		Digest: xxhash.Sum64(canonical),
	}
	if s.PerTask != (state.Resources{}) {
		out.PerTask = &s.PerTask
	}
	return out, nil
}

// Event validates a heartbeat of the named endpoint and converts it to an event. The
// token is left for the caller to set.
func (h *HeartbeatRequest) Event(name string) (coordination.Heartbeat, *Error) {
	bad := func(m string) (coordination.Heartbeat, *Error) {
		return coordination.Heartbeat{}, &Error{Code: CodeInvalid, Message: m, Peer: name}
	}
	switch {
	case h.Domain == "":
		return bad("domain: missing")
	case h.Kind != state.KindRunner && h.Kind != state.KindWorker:
		return bad(`kind: must be "runner" or "worker"`)
	case h.Incarnation == 0:
		return bad("incarnation: must not be 0, and must be higher at each start of the endpoint")
	case h.Capacity.IsNegative() || h.Capacity == (state.Resources{}):
		return bad("capacity: must be positive")
	case h.Kind == state.KindRunner && h.Capacity.Slots == 0:
		return bad("capacity.slots: a runner offers slots")
	case h.Kind == state.KindWorker && h.Capacity.Slots != 0:
		return bad("capacity.slots: a worker offers cores and memory, not slots")
	}
	if err := checkAddress(h.Address); err != nil {
		return bad("address: " + err.Error())
	}
	e := coordination.Heartbeat{
		Domain: h.Domain,
		Endpoint: state.Endpoint{
			Name: name, Kind: h.Kind, Address: h.Address, Incarnation: h.Incarnation, Capacity: h.Capacity, Rack: h.Rack,
			Status: state.EndpointReady,
		},
		Running: make([]coordination.Running, len(h.Running)),
	}
	if h.Leaving {
		e.Endpoint.Status = state.EndpointLeaving
	}
	for i := range h.Running {
		e.Running[i] = coordination.Running{TaskRef: h.Running[i].Ref(), Seq: h.Running[i].Seq}
	}
	return e, nil
}

// Ref returns the attempt without its sequence number.
func (a *Attempt) Ref() state.TaskRef {
	return state.TaskRef{Key: state.Key{Team: a.Team, ID: a.ID}, Task: a.Task, Attempt: a.Attempt}
}

// NewAttempt adds the sequence number of a start to a reference.
func NewAttempt(ref state.TaskRef, seq uint64) Attempt {
	return Attempt{Team: ref.Team, ID: ref.ID, Task: ref.Task, Attempt: ref.Attempt, Seq: seq}
}

// NewHeartbeatResponse converts a lease to the answer to a heartbeat.
func NewHeartbeatResponse(l *coordination.Lease) HeartbeatResponse {
	h := HeartbeatResponse{Term: l.Term, LeaseMS: l.LeaseMS, IntervalMS: l.IntervalMS, LowWatermark: l.LowWatermark, Assigner: l.Assigner}
	for _, s := range l.Stop {
		h.Stop = append(h.Stop, NewAttempt(s.TaskRef, s.Seq))
	}
	return h
}

// Event validates a report and converts it to an event. The token is left for the
// caller to set.
func (p *ReportRequest) Event() (coordination.TaskReport, *Error) {
	switch p.Status {
	case state.TaskDone, state.TaskFailed, state.TaskNotRun, state.TaskCancelled:
	default:
		return coordination.TaskReport{}, &Error{Code: CodeInvalid, Message: "status: must be done, failed, not_run or cancelled", Peer: p.Endpoint}
	}
	if p.Endpoint == "" || p.Domain == "" {
		return coordination.TaskReport{}, &Error{Code: CodeInvalid, Message: "endpoint and domain: must be given", Peer: p.Endpoint}
	}
	return coordination.TaskReport{Domain: p.Domain, Report: state.Report{
		TaskRef: p.Ref(), Endpoint: p.Endpoint, Incarnation: p.Incarnation, Status: p.Status, Result: p.Result, Error: p.Error,
	}}, nil
}

// apiCodes maps the codes of coordination to the codes of the API.
var apiCodes = map[coordination.Code]Code{
	coordination.CodeInvalid:     CodeInvalid,
	coordination.CodeNotFound:    CodeNotFound,
	coordination.CodeConflict:    CodeConflict,
	coordination.CodeRefused:     CodeRefusedNotRun,
	coordination.CodeTooOld:      CodeTooOld,
	coordination.CodeUnavailable: CodeUnavailable,
}

// ErrorResult encodes an error, with the HTTP status of its code.
func ErrorResult(e Error) Result {
	body, err := json.Marshal(ErrorResponse{Error: e})
	if err != nil {
		body = []byte(`{"error":{"code":"unavailable","message":"the error could not be encoded"}}`)
	}
	return Result{Status: e.Code.HTTPStatus(), Body: body, Code: e.Code}
}

// AnswerError converts an answer whose code is not CodeOK. If the answer names a process to
// redirect to, the result does so too; otherwise the result is an error. step and peer
// state where the error arose.
func AnswerError(a coordination.Answer, step, peer string) Result {
	if a.Redirect != nil {
		return Result{RedirectName: a.Redirect.Name, RedirectAddress: a.Redirect.Address}
	}
	return ErrorResult(Error{Code: apiCodes[a.Code], Message: a.Message, Step: step, Peer: peer, RetryAfterMS: a.RetryAfterMS})
}

// OKResult encodes a body with HTTP status 200.
func OKResult(body any) Result { return jsonResult(http.StatusOK, body) }

// AcceptedResult encodes the status of a request, with HTTP status 200 if the outcome
// is final and 202 otherwise.
func AcceptedResult(s RequestStatus) Result {
	if s.Final() {
		return jsonResult(http.StatusOK, s)
	}
	return jsonResult(http.StatusAccepted, s)
}

// ConfiguredResult encodes the answer to a configuration change, with HTTP status 409
// if the change was not applied.
func ConfiguredResult(r state.ConfigureResult) Result {
	res := OKResult(r)
	if !r.Applied {
		res.Status, res.Code = http.StatusConflict, CodeConflict
	}
	return res
}

func jsonResult(status int, body any) Result {
	b, err := json.Marshal(body)
	if err != nil {
		return ErrorResult(Error{Code: CodeUnavailable, Step: "encode answer", Message: err.Error()})
	}
	return Result{Status: status, Body: b}
}
