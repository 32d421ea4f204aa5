// Package policy combines the learned estimates, the limits on admission, the retry
// budgets and the health of endpoints into the options of a scheduler.
package policy

import (
	"math"
	"time"

	"github.com/primrosereach/primrosereach/coordination/admission"
	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/retry"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

// Rand is a source of random numbers.
type Rand interface{ Uint64() uint64 }

// Options returns the options of a new leader's scheduler. The tracker is shared with
// the leader, which applies its transitions. history holds attempts that ended before
// this term, oldest first, so that the new leader starts with learned run times.
func Options(t *health.Tracker, r Rand, history []scheduling.Observation) scheduling.Options {
	e := &estimator{learned: estimate.New()}
	for _, o := range history {
		e.Observe(scheduling.Clock{}, o)
	}
	p := retry.New(uniform{r})
	a := &admitter{controller: admission.New()}
	e.completed = a.controller.Completed
	return scheduling.Options{Estimator: e, Admitter: a, Retry: &retryPolicy{policy: p}, Health: &healthTracker{tracker: t, retryPolicy: p}}
}

// uniform implements retry.Random.
type uniform struct{ r Rand }

// Float64 uses the 53 bits that a float64 holds exactly.
func (u uniform) Float64() float64 { return float64(u.r.Uint64()>>11) / (1 << 53) }

// estimator implements scheduling.Estimator.
type estimator struct {
	learned   *estimate.Estimator
	completed func(now time.Duration, c state.Class, run time.Duration) // nil while the history is processed
}

const (
	// unknownRun is the assumed run time of a kind without a declared or an observed
	// run time.
	unknownRun = time.Second
	// declaredMargin is the largest assumed ratio of actual to declared run times.
	declaredMargin = 10
)

// Estimate implements scheduling.Estimator.
func (e *estimator) Estimate(r *state.Request) scheduling.Estimate {
	p := e.learned.Predict(r.Team, r.Kind, r.EstimateMS)
	if p.P50 == 0 {
		p.P50 = unknownRun
	}
	if p.Samples == 0 {
		p.P90 = declaredMargin * p.P50
	}
	return scheduling.Estimate{RunMS: mean(p).Milliseconds(), UpperMS: p.P90.Milliseconds(), Reliability: p.Reliability}
}

// quantile90 is the 90% quantile of the standard normal distribution.
const quantile90 = 1.2816

// mean returns the mean of the log-normal distribution that has the predicted
// quantiles. The median understates the work in a queue: when it was used, deferrable
// work waited beyond its bound.
func mean(p estimate.Prediction) time.Duration {
	sigma := math.Log(float64(p.P90)/float64(p.P50)) / quantile90
	return time.Duration(float64(p.P50) * math.Exp(sigma*sigma/2))
}

// Speed implements scheduling.Estimator.
func (e *estimator) Speed(endpoint string) float64 { return e.learned.Speed(endpoint) }

// Observe implements scheduling.Estimator. It ignores services: their run time is how
// long they were needed, which says nothing about their endpoint.
func (e *estimator) Observe(c scheduling.Clock, o scheduling.Observation) {
	if o.Status != state.TaskDone || o.RunMS <= 0 || o.Record.Class == state.ClassService {
		return
	}
	if e.completed != nil {
		e.completed(c.Now, o.Record.Class, milliseconds(e.Estimate(&o.Record.Request).RunMS))
	}
	e.learned.Observe(c.Now, estimate.Observation{
		Team: o.Record.Team, Kind: o.Record.Kind, Endpoint: o.Endpoint, DeclaredMS: o.Record.EstimateMS, RunMS: o.RunMS,
	})
}

// retryPolicy implements scheduling.RetryPolicy.
type retryPolicy struct{ policy *retry.Policy }

// Advise implements scheduling.RetryPolicy.
func (p *retryPolicy) Advise(c scheduling.Clock, o scheduling.Observation, endpointAtFault bool) scheduling.FailureAdvice {
	if o.Status == state.TaskNotRun {
		// Nothing ran, so this does not count as a retry. Otherwise an endpoint
		// without a lease that declines one task after another would use up the retry
		// budget of the team.
		return scheduling.FailureAdvice{Requeue: true}
	}
	r := o.Record
	a := p.policy.Ended(c.Now, retry.AttemptOf(r, o.Task, o.Status, endpointAtFault))
	out := scheduling.FailureAdvice{Requeue: a.Requeue, EndpointAtFault: a.EndpointAtFault}
	if a.Requeue {
		out.NotBeforeMS = c.WallMS + a.Delay.Milliseconds()
	}
	return out
}

// healthTracker implements scheduling.HealthTracker with the leader's tracker.
type healthTracker struct {
	tracker     *health.Tracker
	retryPolicy *retry.Policy // receives the ends of first attempts, and the successes
}

// Observe implements scheduling.HealthTracker. It passes the outcome to the tracker and
// to the retry policy, and reports whether the endpoint was in quarantine, where a
// failure is expected.
func (q *healthTracker) Observe(c scheduling.Clock, o scheduling.Observation) bool {
	trial := q.tracker.Status(o.Endpoint) == state.EndpointQuarantined
	r := o.Record
	if r.State[o.Task].Attempt == 1 {
		q.retryPolicy.Started(c.Now, r.Team)
	}
	switch o.Status {
	case state.TaskDone:
		q.retryPolicy.Succeeded(c.Now, r.Team, r.Kind, o.Endpoint)
		q.tracker.Succeeded(o.Endpoint)
	case state.TaskFailed:
		q.tracker.Failed(c.Now, o.Endpoint, o.Record.Key)
	}
	return trial
}

// Transitions implements scheduling.HealthTracker. It returns none, because the
// leader itself proposes the changes of status that the tracker requests, including
// those of unresponsive endpoints.
func (q *healthTracker) Transitions(scheduling.Clock) []scheduling.Transition { return nil }

// TrialAt implements scheduling.HealthTracker.
func (q *healthTracker) TrialAt(endpoint string) time.Duration { return q.tracker.TrialAt(endpoint) }

// TrialStarted implements scheduling.HealthTracker.
func (q *healthTracker) TrialStarted(c scheduling.Clock, endpoint string) {
	q.tracker.TrialStarted(c.Now, endpoint)
}
