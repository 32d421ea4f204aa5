package health

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// streak holds the different jobs that failed in a row on an endpoint.
type streak struct {
	jobs [QuarantineAfter]state.Key
	n    int
}

// add records a failed job and reports whether enough different jobs have failed. A
// job that fails repeatedly counts once.
func (s *streak) add(job state.Key) bool {
	for _, k := range s.jobs[:s.n] {
		if k == job {
			return false
		}
	}
	if s.n < len(s.jobs) {
		s.jobs[s.n] = job
		s.n++
	}
	return s.n == len(s.jobs)
}

// Failed records that an attempt failed on an endpoint. Attempts that were cancelled
// or that the endpoint declined must not be reported.
func (t *Tracker) Failed(now time.Duration, name string, job state.Key) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	if !e.failures.add(job) || e.quarantined || e.contactState == lost {
		return
	}
	if p := t.population(e.kind); p.quarantined < p.limit() {
		t.quarantine(now, e)
	}
}

// Succeeded records that an attempt completed on an endpoint, which ends its streak of
// failures and a quarantine.
func (t *Tracker) Succeeded(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.failures = streak{}
	if e.quarantined {
		t.release(e)
	}
}

// TrialDue reports whether a quarantined endpoint should get one trial task. A trial
// becomes due in the call of Transitions at or after the end of the trial interval.
func (t *Tracker) TrialDue(name string) bool {
	e := t.endpoints[name]
	return e != nil && e.trialDue && e.status() == state.EndpointQuarantined
}

// TrialAt returns the monotonic time at which the next trial task is due, 0 if one is
// due now or the endpoint is not in quarantine.
func (t *Tracker) TrialAt(name string) time.Duration {
	e := t.endpoints[name]
	if e == nil || !e.quarantined || e.trialDue {
		return 0
	}
	return e.timer
}

// TrialStarted records that a trial task was assigned. The next trial is due after
// the interval even if no outcome of this one is reported.
func (t *Tracker) TrialStarted(now time.Duration, name string) {
	e := t.endpoints[name]
	if e == nil || !e.quarantined {
		return
	}
	e.trialDue = false
	t.scheduleTrial(now, e)
}

// scheduleTrial sets the timer of the next trial and doubles the interval up to
// MaxTrial. On a flapping endpoint, the timer stays set to the end of flapping.
func (t *Tracker) scheduleTrial(now time.Duration, e *endpoint) {
	if !e.flapping {
		t.setTimer(e, now+e.interval)
	}
	e.interval = min(2*e.interval, MaxTrial)
}

// restartTrials resets the trial interval for a new incarnation, because the restart
// may have repaired the endpoint.
func (t *Tracker) restartTrials(now time.Duration, e *endpoint) {
	if !e.quarantined {
		return
	}
	e.interval, e.trialDue = FirstTrial, false
	t.scheduleTrial(now, e)
}

func (t *Tracker) quarantine(now time.Duration, e *endpoint) {
	t.population(e.kind).quarantined++
	e.quarantined = true
	e.interval, e.trialDue = FirstTrial, false
	t.scheduleTrial(now, e)
	t.markChanged(e)
}

func (t *Tracker) release(e *endpoint) {
	if e.contactState != lost {
		t.population(e.kind).quarantined--
	}
	e.quarantined, e.trialDue = false, false
	e.failures = streak{}
	if !e.flapping {
		t.stopTimer(e)
	}
	t.markChanged(e)
}

// enforceLimits releases endpoints from quarantine when the loss of others has made
// the quarantined share too large. The limit is not checked while endpoints are
// restored, because the population is incomplete then.
func (t *Tracker) enforceLimits() {
	for _, kind := range [...]state.EndpointKind{state.KindRunner, state.KindWorker} {
		p := t.population(kind)
		for p.quarantined > p.limit() {
			t.release(t.shortestQuarantine(kind))
		}
	}
}

// shortestQuarantine returns the quarantined endpoint with the shortest trial
// interval, which has the least evidence against it; names decide between equal ones.
func (t *Tracker) shortestQuarantine(kind state.EndpointKind) *endpoint {
	var found *endpoint
	for _, e := range t.endpoints {
		if e.kind != kind || !e.quarantined || e.contactState == lost {
			continue
		}
		if found == nil || e.interval < found.interval || e.interval == found.interval && e.name < found.name {
			found = e
		}
	}
	return found
}
