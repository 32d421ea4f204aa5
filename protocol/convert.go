package protocol

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// NewRequestStatus describes a record to its caller.
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

// Submission checks the body of a submission.
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

// Event checks a heartbeat and returns its event, without a token.
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
		return bad("incarnation: must be a random number other than 0")
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

// NewAttempt is the inverse of Ref.
func NewAttempt(ref state.TaskRef, seq uint64) Attempt {
	return Attempt{Team: ref.Team, ID: ref.ID, Task: ref.Task, Attempt: ref.Attempt, Seq: seq}
}

// NewHeartbeatResponse encodes a lease.
func NewHeartbeatResponse(l *coordination.Lease) HeartbeatResponse {
	h := HeartbeatResponse{Term: l.Term, LeaseMS: l.LeaseMS, IntervalMS: l.IntervalMS, LowWatermark: l.LowWatermark, Assigner: l.Assigner}
	for _, s := range l.Stop {
		h.Stop = append(h.Stop, NewAttempt(s.TaskRef, s.Seq))
	}
	return h
}

// Event checks a report and returns its event, without a token.
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

// codes maps the outcomes of decisions to the codes of the API.
var codes = map[coordination.Code]Code{
	coordination.CodeInvalid:     CodeInvalid,
	coordination.CodeNotFound:    CodeNotFound,
	coordination.CodeConflict:    CodeConflict,
	coordination.CodeRefused:     CodeRefusedNotRun,
	coordination.CodeTooOld:      CodeTooOld,
	coordination.CodeUnavailable: CodeUnavailable,
}

// ErrorResult returns the result for an error.
func ErrorResult(e Error) Result {
	body, err := json.Marshal(ErrorResponse{Error: e})
	if err != nil {
		body = []byte(`{"error":{"code":"unavailable","message":"the error could not be encoded"}}`)
	}
	return Result{Status: e.Code.HTTPStatus(), Body: body, Code: e.Code}
}

// AnswerError returns the result for an answer other than "ok". step and peer say
// where it arose.
func AnswerError(a coordination.Answer, step, peer string) Result {
	if a.Redirect != nil {
		return Result{RedirectName: a.Redirect.Name, RedirectAddress: a.Redirect.Address}
	}
	return ErrorResult(Error{Code: codes[a.Code], Message: a.Message, Step: step, Peer: peer, RetryAfterMS: a.RetryAfterMS})
}

// OKResult encodes a body with status 200.
func OKResult(body any) Result { return encoded(http.StatusOK, body) }

// AcceptedResult encodes the status of a request: 202 while it is open.
func AcceptedResult(s RequestStatus) Result {
	if s.Final() {
		return encoded(http.StatusOK, s)
	}
	return encoded(http.StatusAccepted, s)
}

// ConfiguredResult encodes the answer to a configuration change.
func ConfiguredResult(r state.ConfigureResult) Result {
	res := OKResult(r)
	if !r.Applied {
		res.Status, res.Code = http.StatusConflict, CodeConflict
	}
	return res
}

func encoded(status int, body any) Result {
	b, err := json.Marshal(body)
	if err != nil {
		return ErrorResult(Error{Code: CodeUnavailable, Step: "encode answer", Message: err.Error()})
	}
	return Result{Status: status, Body: b}
}
