// Package scheduling decides which waiting task runs on which endpoint. A
// Scheduler sees the replicated state through the changes it is told of, keeps
// its own indexes over it and returns plans; the state verifies each plan again
// when it is applied.
package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Clock is the time of one step.
type Clock struct {
	Now    time.Duration // monotonic, since process start; for intervals and leases
	WallMS int64         // Unix milliseconds; for deadlines and audit records only
}

// Observation tells of an attempt that ended.
type Observation struct {
	Record   *state.Record
	Task     int
	Endpoint string
	RunMS    int64            // from assignment to report
	Status   state.TaskStatus // done, failed, not_run or cancelled
}

// Verdict is the scheduler's answer to a new request.
type Verdict struct {
	Admit        bool
	Reason       string // of a refusal, for the caller
	RetryAfterMS int64  // of a refusal: when it makes sense to try again, 0 for never
}

// FailureAdvice tells what to do after a failed attempt.
type FailureAdvice struct {
	Requeue     bool  // queue the task again
	EndpointBad bool  // blame is on the endpoint: the job's retries are not used up
	NotBeforeMS int64 // earliest next attempt, Unix milliseconds
}

// Scheduler is used by one goroutine, the one that owns the control state. It
// exists only on a leader and is rebuilt from the state when a term begins.
type Scheduler interface {
	// Configure puts a configuration and the domain's quota shares in force.
	Configure(cfg state.Configuration, shares map[string]state.Resources)

	// Admit decides on a new request. It must not remember the request.
	Admit(c Clock, r *state.Request) Verdict

	// RecordChanged tells of the latest version of a record: accepted, assigned,
	// queued again, cancelled or final. Tasks with status queued wait to be planned.
	RecordChanged(c Clock, r *state.Record)

	// EndpointChanged tells of the latest version of an endpoint.
	EndpointChanged(c Clock, e *state.Endpoint)

	// EndpointRemoved tells that an endpoint was forgotten.
	EndpointRemoved(name string)

	// Plan returns assignments to propose now. What a plan uses stays reserved until
	// Settled is called for it, so that the next plan does not use it again.
	Plan(c Clock) []*state.Assign

	// Settled tells that a plan was applied or rejected. It is called after the
	// RecordChanged and EndpointChanged that an applied plan causes.
	Settled(p *state.Assign, applied bool)

	// Observe tells of an attempt that ended, before the change is committed, and
	// asks what to do if it failed.
	Observe(c Clock, o Observation) FailureAdvice

	// Expired returns the requests whose queued tasks can no longer be useful, each
	// with the reason.
	Expired(c Clock) []*state.Expire

	// EndpointTransitions returns changes of endpoint status that evidence asks for:
	// quarantined for an endpoint that fails what it starts, ready when it has recovered.
	EndpointTransitions(c Clock) []*state.SetEndpointStatus

	// WhyWaiting explains in one sentence why a waiting request has not started.
	WhyWaiting(k state.Key) string

	// NextWake returns when Plan or Expired may have something new without any other
	// event, or 0 if there is no such time.
	NextWake() time.Duration
}
