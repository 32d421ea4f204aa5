package jobs

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// reconcileRuns compares the lists in a worker's answer with the runs that are assigned to
// it. It confirms runs, stops those that are not assigned and commits ends.
func (l *Leader) reconcileRuns(w *worker, e *Observed) {
	listed := map[job.TaskRef]int{}
	for i := range e.Running {
		t := &e.Running[i]
		listed[t.TaskRef] = max(listed[t.TaskRef], t.Run)
		if r := w.runs[t.TaskRef]; r != nil && r.number == t.Run {
			l.confirmRun(w, r, t, e.Observe.SentAt)
		} else if r == nil || r.number != t.Run {
			l.log("warn", "stop", t.TaskRef.String(), w.ID, "the worker runs a task that is not assigned to it", "run", t.Run)
			l.sendOrder(StopRun{Order: l.newOrder(w), TaskRef: t.TaskRef, Run: t.Run}, 0)
		}
	}
	l.pace(w)
	var ends []job.RunEnd
	lastEnd := int64(0)
	for i := range e.Ended {
		x := &e.Ended[i]
		listed[x.TaskRef] = max(listed[x.TaskRef], x.Run)
		lastEnd = max(lastEnd, x.Number)
		if x.Number > w.rec.AckedEnd {
			ends = append(ends, x.RunEnd)
		}
	}
	if len(e.Ended) < maxListedEnds {
		ends = append(ends, l.endsOfAbsentRuns(w, e.Observe.SentAt, listed)...)
		l.stopUnlistedRuns(w, e.Observe.SentAt, listed)
	}
	if len(ends) > 0 || lastEnd > w.rec.AckedEnd {
		l.commitEnds(w, ends, lastEnd, nil)
	}
}

// confirmRun records that a worker has listed a run as running, in the answer to an observation
// sent at sentAt, and the progress of the run.
func (l *Leader) confirmRun(w *worker, r *run, t *RunningTask, sentAt time.Duration) {
	if sentAt >= l.earlierStartsEnd {
		r.adopted = false // the next incarnation starts after the last copy of an earlier leader's start
	}
	r.listed, r.started = true, true
	if r.phase == starting || r.phase == unconfirmed {
		if r.phase == unconfirmed {
			l.log("info", "adopt", r.ref.String(), w.ID, "runs since before this term", "run", r.number)
		}
		r.phase, r.phaseSince, r.progressAt = running, l.now, l.now
		l.taskStarted(r.ref.Job)
		j := l.state.Job(r.ref.Job)
		if j == nil || j.Phase.Final() {
			l.stopRun(w, r, "the job is final")
		}
	}
	r.usage = t.Usage
	if t.Percent != r.percent || !r.hasProgressed && t.Percent > 0 {
		if !r.hasProgressed {
			r.firstPercent, r.firstPercentAt = t.Percent, l.now
		}
		r.percent, r.progressAt, r.hasProgressed = t.Percent, l.now, true
	}
}

// endsOfAbsentRuns returns the ends of runs that an observation, sent at sentAt, proves
// absent. The worker does not list such a run, and when the observation was sent, the worker
// had confirmed the stop of the run or the run was an unconfirmed one of an earlier leader.
// A start of an earlier term may still be in flight. The worker rejects it, since the
// fencing token of the start is lower than that of the observation.
func (l *Leader) endsOfAbsentRuns(w *worker, sentAt time.Duration, listed map[job.TaskRef]int) []job.RunEnd {
	var ends []job.RunEnd
	for _, r := range w.sortedRuns() {
		ref := r.ref
		absent := r.phase == unconfirmed || r.phase == stopping && r.stopped
		if !absent || sentAt < r.phaseSince || listed[ref] >= r.number {
			continue
		}
		ends = append(ends, job.RunEnd{TaskRef: ref, Run: r.number, Kind: job.EndNotStarted})
	}
	return ends
}

// stopUnlistedRuns stops runs that the worker has confirmed and that it lists neither as running nor as
// ended in the answer to an observation sent at sentAt. Workers list each run until its end is acknowledged, so
// such a run is lost; without the stop its task would count as running for good.
func (l *Leader) stopUnlistedRuns(w *worker, sentAt time.Duration, listed map[job.TaskRef]int) {
	for _, r := range w.sortedRuns() {
		if r.phase == running && sentAt > r.phaseSince && listed[r.ref] < r.number {
			l.stopRun(w, r, "the worker lists neither the run nor its end")
			if s := l.steps[r.ref.StepRef]; s != nil {
				s.startFailed(w)
			}
		}
	}
}

// commitEnds replicates ends of runs. They are acknowledged to the worker only after the
// commit. onCommit, if not nil, is called once they are committed. It is not called if the log
// takes no entry now: the runs stay assigned, and the caller has to learn of the ends again.
func (l *Leader) commitEnds(w *worker, ends []job.RunEnd, ackedEnd int64, onCommit func()) {
	runs := l.countGangFailuresOnce(w, ends)
	cmd := &job.Command{EndRuns: &job.EndRuns{Incarnation: w.Incarnation, AtMS: l.wallMS, Runs: runs, AckedEnd: ackedEnd}}
	ok := l.propose(cmd, func(_ job.Applied, committed bool) {
		w.committingEnds--
		if committed {
			for i := range ends {
				l.runEnded(w, &ends[i])
			}
			if onCommit != nil {
				onCommit()
			}
		}
		w.observeAt = l.now
		l.markForReconcile(w)
	})
	if !ok {
		w.observeAt = l.now + observeRetry
		l.logRefusedEnds(w, ends)
		return
	}
	w.committingEnds++
	for i := range ends {
		l.recordOutcome(w, &ends[i])
	}
	for i := range runs {
		if s := l.steps[runs[i].StepRef]; s != nil && s.spec.Gang && runs[i].Kind == job.EndFailed && w.isAssigned(&runs[i]) {
			s.failedRun = max(s.failedRun, runs[i].Run)
		}
	}
}

// isAssigned reports whether an end is that of a run that is assigned to the worker. Other ends
// change nothing when they are applied.
func (w *worker) isAssigned(e *job.RunEnd) bool {
	r := w.runs[e.TaskRef]
	return r != nil && r.number == e.Run
}

// countGangFailuresOnce returns the ends to record. A gang has one attempt for each run, however
// many of its members fail and report that: one failed end of a run is recorded as such, and the
// others as broken.
func (l *Leader) countGangFailuresOnce(w *worker, ends []job.RunEnd) []job.RunEnd {
	out := slices.Clone(ends)
	counted := map[job.StepRef]int{} // by gang, run of a failed end in out
	for i := range out {
		e := &out[i]
		s := l.steps[e.StepRef]
		if e.Kind != job.EndFailed || s == nil || !s.spec.Gang || !w.isAssigned(e) {
			continue
		}
		if e.Run <= max(counted[e.StepRef], s.failedRun, s.task(e.Index).FailedRun) {
			e.Kind = job.EndGangBroken
			continue
		}
		counted[e.StepRef] = e.Run
	}
	return out
}

// runEnded deletes a run whose end was committed.
func (l *Leader) runEnded(w *worker, e *job.RunEnd) {
	r := w.runs[e.TaskRef]
	if r == nil || r.number != e.Run {
		return
	}
	delete(w.runs, e.TaskRef)
	l.lateStarts.add(l.now, w.Incarnation, r)
	s := l.steps[e.StepRef]
	if s == nil {
		return
	}
	s.dropRun(l.now, w, r, e.Kind)
	if e.Kind != job.EndDone {
		l.stopGangOf(r, "a member of the gang ended as "+string(e.Kind))
	}
}

// recordOutcome logs the end of a run and updates the failure streak and the estimated
// speed of the worker. After a failure the step avoids the worker. It is called once for each run, when the
// log has taken an entry with the end: until then the worker lists the end again.
func (l *Leader) recordOutcome(w *worker, e *job.RunEnd) {
	r := w.runs[e.TaskRef]
	if r == nil || r.number != e.Run {
		return
	}
	s := l.steps[e.StepRef]
	level := "debug"
	if e.Kind != job.EndDone {
		level = "info"
	}
	l.log(level, "end", e.TaskRef.String(), w.ID, "a run ended", "run", e.Run, "how", string(e.Kind), "ran_ms", (l.now - r.assignedAt).Milliseconds(), "reason", r.reason)
	if s != nil && !s.spec.Gang {
		l.learnRunTime(w, s, r, e.Kind)
	}
	switch e.Kind {
	case job.EndDone:
		w.failures.succeeded()
	case job.EndNotStarted:
		if r.unanswered && l.now >= l.suspectDomains[w.rec.Domain].until { // workers of a suspect domain may be cut off
			l.recordFailure(w, e.Job, "starts of different jobs were not answered")
		}
	case job.EndFailed:
		if s != nil {
			s.avoided[w.ID] = true
		}
		l.recordFailure(w, e.Job, "different jobs failed in a row on the worker")
	}
}
