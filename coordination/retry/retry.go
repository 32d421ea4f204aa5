// Package retry decides whether a failed attempt is repeated, when, and whether the
// job or the endpoint is at fault. It is used by one goroutine and reads no clock;
// random numbers come from the caller.
package retry

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// backoffBase is the first delay. Temporary failures, such as a restarting
	// dependency, take about that long to pass.
	backoffBase = 500 * time.Millisecond
	// backoffMax is the longest delay, so that work is tried again within a minute of
	// a repair.
	backoffMax = 60 * time.Second
	// elsewhereDelay is the delay when the endpoint is at fault. The task can run on
	// another endpoint at once; the delay only spreads a burst of retries.
	elsewhereDelay = 250 * time.Millisecond
	// healthyFailures is the number of different healthy endpoints on which a job
	// must fail to be at fault.
	healthyFailures = 3
	// maxEndpointFaults bounds the failed attempts of a task for which the endpoint
	// is at fault. Otherwise a job that makes endpoints fail would be retried without
	// end.
	maxEndpointFaults = 5
)

// Random is a source of random numbers.
type Random interface {
	Float64() float64 // uniform in [0, 1)
}

// Attempt is an attempt that did not complete.
type Attempt struct {
	Key            state.Key
	Kind           string
	Endpoint       string
	Status         state.TaskStatus // failed, not_run or cancelled
	Repeatable     bool
	Trial          bool     // the endpoint was in quarantine, so a failure is expected
	Retries        int      // further attempts that the job may have after a failure
	Failures       int      // earlier attempts that failed with the job at fault
	FailedOn       []string // endpoints of those failures
	Declined       int      // earlier attempts that the endpoint stated it never started
	EndpointFaults int      // earlier attempts that failed with their endpoints at fault
}

// AttemptOf collects the fields of an Attempt from a record whose task has just
// ended, before the change is committed.
func AttemptOf(r *state.Record, task int, status state.TaskStatus, trial bool) Attempt {
	t := &r.State[task]
	return Attempt{
		Key: r.Key, Kind: r.Kind, Endpoint: t.Endpoint, Status: status, Repeatable: r.Repeatable, Trial: trial,
		Retries: r.Retries, Failures: t.Failures, FailedOn: t.FailedOn, Declined: t.Declined,
		EndpointFaults: max(0, t.Attempt-1-t.Failures-t.Declined),
	}
}

// Advice is the decision on what to do after an attempt that did not complete.
type Advice struct {
	Requeue         bool          // the task is queued again
	EndpointAtFault bool          // the endpoint is at fault, and the attempt does not count against the job's retries
	Delay           time.Duration // time until the earliest next attempt, if Requeue is set
	Reason          string        // one sentence for the audit trail and the caller
}

// Policy holds the retry budgets and the evidence on which endpoints are at fault.
type Policy struct {
	random        Random
	budget        budgets
	faultEvidence evidence
}

// New returns a policy without evidence and with full budgets.
func New(random Random) *Policy {
	return &Policy{random: random, budget: newBudgets(), faultEvidence: newEvidence()}
}

// Started records the first attempt of a task, which adds to the retry budgets.
func (p *Policy) Started(now time.Duration, team string) { p.budget.credit(now, team) }

// Succeeded records that an attempt completed on an endpoint.
func (p *Policy) Succeeded(now time.Duration, team, kind, endpoint string) {
	p.faultEvidence.succeeded(now, kindKey{team, kind}, endpoint)
}

// DeleteEndpoint deletes the evidence about an endpoint.
func (p *Policy) DeleteEndpoint(endpoint string) { delete(p.faultEvidence.endpoints, endpoint) }

// Configure deletes budgets and evidence of teams and kinds that no longer exist.
func (p *Policy) Configure(cfg state.Configuration) {
	for team := range p.budget.teams {
		if _, ok := cfg.Teams[team]; !ok {
			delete(p.budget.teams, team)
		}
	}
	for k := range p.faultEvidence.kinds {
		if _, ok := cfg.Teams[k.team].Kinds[k.kind]; !ok {
			delete(p.faultEvidence.kinds, k)
		}
	}
}

// Ended records an attempt that did not complete and decides whether its task is queued
// again. A task that is queued again is charged to the retry budgets.
func (p *Policy) Ended(now time.Duration, a Attempt) Advice {
	switch a.Status {
	case state.TaskCancelled:
		return Advice{Reason: "the attempt was cancelled"}
	case state.TaskNotRun:
		// Nothing ran, so even work that is not repeatable is queued again.
		return p.requeue(now, a, Advice{Reason: "the endpoint declined the task"}, backoffBase, a.Declined)
	}
	endpointAtFault := p.faultEvidence.failed(now, a)
	if !a.Repeatable {
		return Advice{EndpointAtFault: endpointAtFault, Reason: "the work is not repeatable and may have started"}
	}
	if endpointAtFault && a.EndpointFaults < maxEndpointFaults {
		return p.requeue(now, a, Advice{EndpointAtFault: true, Reason: "different jobs failed in a row on the endpoint"}, elsewhereDelay, 0)
	}
	return p.retry(now, a)
}

// retry decides about a failure for which the job is at fault.
func (p *Policy) retry(now time.Duration, a Attempt) Advice {
	if distinct(a.FailedOn, a.Endpoint) >= healthyFailures {
		return Advice{Reason: fmt.Sprintf("the job failed on %d different healthy endpoints", healthyFailures)}
	}
	if a.Failures >= a.Retries {
		return Advice{Reason: fmt.Sprintf("the job has used its %d retries", a.Retries)}
	}
	return p.requeue(now, a, Advice{Reason: "the attempt failed and is repeated"}, backoffBase, a.Failures)
}

// requeue charges a retry to the budgets and sets its delay: the wait for the budget,
// which by itself spreads retries, plus the backoff with jitter.
func (p *Policy) requeue(now time.Duration, a Attempt, adv Advice, base time.Duration, doublings int) Advice {
	wait, ok := p.budget.take(now, a.Key.Team)
	if !ok {
		adv.Reason = "the retry budget is exhausted"
		return adv
	}
	adv.Requeue = true
	adv.Delay = wait + p.jitter(backoff(base, doublings))
	return adv
}

// jitter returns a delay in the upper half of d, so that tasks that failed together
// are not repeated together.
func (p *Policy) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.random.Float64()*float64(d-d/2))
}

func backoff(base time.Duration, doublings int) time.Duration {
	d := base
	for range doublings {
		if d >= backoffMax/2 {
			return backoffMax
		}
		d *= 2
	}
	return d
}

// distinct counts the different names among names and last.
func distinct(names []string, last string) int {
	n := 1
	for i, name := range names {
		seen := name == last
		for _, earlier := range names[:i] {
			seen = seen || earlier == name
		}
		if !seen {
			n++
		}
	}
	return n
}
