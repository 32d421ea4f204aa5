// Package scheduling decides which waiting task runs on which endpoint. A
// Scheduler receives the changes of the replicated state, maintains its own
// indexes from them and returns plans; the state validates each plan again when
// it is applied.
package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Clock is the time at which the control goroutine processes a batch of events.
type Clock struct {
	Now    time.Duration // monotonic, since process start; for intervals and leases
	WallMS int64         // Unix milliseconds; for deadlines and audit records only
}

// Observation describes an attempt that ended.
type Observation struct {
	Record   *state.Record
	Task     int
	Endpoint string
	RunMS    int64            // time from assignment to report
	Status   state.TaskStatus // done, failed, not_run or cancelled
}

// Verdict is the admission decision on a new request.
type Verdict struct {
	Admit        bool
	Reason       string // why the request is refused, shown to the caller
	RetryAfterMS int64  // delay before a refused request may succeed, 0 if it never can
}

// FailureAdvice states how to proceed after a failed attempt.
type FailureAdvice struct {
	Requeue         bool  // the task is queued again
	EndpointAtFault bool  // the endpoint caused the failure, so it uses up no retry of the job
	NotBeforeMS     int64 // earliest time of the next attempt, Unix milliseconds
}

// Scheduler plans the work of one failure domain. It is used only by the goroutine
// that owns the control state. It exists only on a leader and is rebuilt from the
// state when a term begins.
type Scheduler interface {
	// Configure applies a configuration and the teams' shares of quota in this domain.
	Configure(cfg state.Configuration, shares map[string]state.Resources)

	// Admit decides on a new request. It must not retain the request.
	Admit(c Clock, r *state.Request) Verdict

	// RecordChanged passes the latest version of a record that was accepted, assigned,
	// queued again, cancelled or made final. Its tasks with status queued are candidates
	// for Plan.
	RecordChanged(c Clock, r *state.Record)

	// EndpointChanged passes the latest version of an endpoint.
	EndpointChanged(c Clock, e *state.Endpoint)

	// EndpointRemoved is called when an endpoint has been removed from the state.
	EndpointRemoved(name string)

	// Plan returns the assignments to propose now. The capacity and quota that a plan
	// uses stay reserved until PlanSettled is called for it, so that the next plan
	// does not use them again.
	Plan(c Clock) []*state.Assign

	// PlanSettled reports whether a plan was applied or rejected. It is called after the
	// RecordChanged and EndpointChanged that an applied plan causes.
	PlanSettled(p *state.Assign, applied bool)

	// Observe records an attempt that ended, before the change is committed, and
	// returns how to proceed if it failed.
	Observe(c Clock, o Observation) FailureAdvice

	// Expired returns the requests whose queued tasks can no longer produce a useful
	// result, each with the reason.
	Expired(c Clock) []*state.Expire

	// EndpointTransitions returns the changes of endpoint status that follow from the
	// observed attempts: quarantined for an endpoint on which tasks keep failing, ready
	// for one that has recovered.
	EndpointTransitions(c Clock) []*state.SetEndpointStatus

	// WhyWaiting explains in one sentence why a waiting request has not started.
	WhyWaiting(k state.Key) string

	// NextPlanTime returns the monotonic time at which Plan or Expired may return
	// something new although no event occurred, or 0 if there is no such time.
	NextPlanTime() time.Duration
}
