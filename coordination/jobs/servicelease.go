package jobs

import "time"

// A worker that crashes, or leaves without an acknowledged drain, does not prove that its runs have
// ended: a deregistration may be a late message, and a worker that does not answer may be cut off. Its
// tasks start elsewhere when its lease has expired. For batch work a long lease is cheaper, since the work
// survives an outage. A task of a service may be missing for maxServiceGap only, so a worker that runs
// one gets leases that expire in time for a start elsewhere.

const (
	// maxServiceGap is the longest time for which a task of a service may have no run while another
	// worker has room: the platform's rules allow 6 s after the last run and then 3 s. It is the same
	// in all deployments.
	maxServiceGap = 9 * time.Second
	// serviceRestartTime is the time from the end of a lease until the task has started elsewhere: a
	// commit, a call for advice of up to 0.8 s for 30 workers, another commit and the start.
	serviceRestartTime = 1500 * time.Millisecond
	// minServiceLease is the shortest lease of a worker that runs a service. Shorter ones would expire
	// during two elections in a row of 1 s each, after an answer that took maxObserveWait.
	minServiceLease = 5 * time.Second
)

// serviceLease returns the length of the leases of workers that run tasks of services: together with
// the drift of clocks, Bounds.StopTime and serviceRestartTime it is within maxServiceGap. Where
// Bounds.StopTime leaves less than minServiceLease, the gap is longer instead.
func (l *Leader) serviceLease() time.Duration {
	left := maxServiceGap - serviceRestartTime - l.bounds.StopTime
	return min(l.lease(), max(minServiceLease, time.Duration(float64(left)/(1+clockDrift))))
}

// leaseOf returns the length of the leases that a worker receives.
func (l *Leader) leaseOf(w *worker) time.Duration {
	for ref := range w.runs {
		if s := l.steps[ref.StepRef]; s != nil && s.spec.Service {
			return l.serviceLease()
		}
	}
	return l.lease()
}
