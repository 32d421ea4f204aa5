package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Estimate is the expected run time of a task on an endpoint of speed 1.
type Estimate struct {
	RunMS       int64   // mean, since the load of a queue is the sum of the run times in it
	UpperMS     int64   // upper estimate, exceeded rarely
	Reliability float64 // 0 if only a declared value is known, approaches 1 as predictions prove accurate
}

// Estimator learns run times and endpoint speeds.
type Estimator interface {
	Estimate(r *state.Request) Estimate
	Speed(endpoint string) float64 // 1 is typical
	Observe(c Clock, o Observation)
}

// Load describes the queue that a request would join.
type Load struct {
	Waiting   int   // waiting tasks of the class
	Running   int   // running tasks of the class, planned ones included
	WaitingMS int64 // sum of the expected run times of the waiting tasks
	Capacity  int   // number of tasks of the request's size that its class may run at once
	BoundMS   int64 // longest wait before the start that the class allows, 0 for no limit
}

// WaitMS returns the expected wait of a task that joins the end of the queue, in
// milliseconds.
func (l Load) WaitMS() int64 { return l.WaitingMS / int64(max(1, l.Capacity)) }

// Loads returns the load of a class with respect to the request that is being admitted.
type Loads func(state.Class) Load

// Admitter decides whether a request that could run should be accepted now.
type Admitter interface {
	Configure(cfg state.Configuration)
	Admit(c Clock, r *state.Request, e Estimate, loads Loads) Verdict
}

// RetryPolicy decides whether and when a failed task is tried again.
type RetryPolicy interface {
	Advise(c Clock, o Observation, endpointAtFault bool) FailureAdvice
}

// Transition is a change of endpoint status that follows from observed attempts.
type Transition struct {
	Endpoint string
	Status   state.EndpointStatus // quarantined or ready
}

// HealthTracker detects endpoints on which tasks keep failing.
type HealthTracker interface {
	// Observe records an attempt and returns whether the endpoint caused its failure.
	Observe(c Clock, o Observation) (endpointAtFault bool)
	// Transitions returns the changes since the last call.
	Transitions(c Clock) []Transition
	// TrialAt returns when a quarantined endpoint may get its next trial task.
	TrialAt(endpoint string) time.Duration
	// TrialStarted records that a trial task was planned.
	TrialStarted(c Clock, endpoint string)
}

// Options are the components that New combines. A nil component is replaced by a
// simple default.
type Options struct {
	Estimator Estimator
	Admitter  Admitter
	Retry     RetryPolicy
	Health    HealthTracker
}

func (o Options) withDefaults() Options {
	if o.Estimator == nil {
		o.Estimator = newAverages()
	}
	if o.Admitter == nil {
		o.Admitter = boundedWait{}
	}
	if o.Retry == nil {
		o.Retry = fixedDelay{}
	}
	if o.Health == nil {
		o.Health = newFailureStreaks()
	}
	return o
}
