package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/state/job"
)

// compare matches a worker's lists with the runs that it should hold.
func (l *Leader) compare(w *worker, e *Observed) {
	listed := map[job.TaskRef]int{}
	for i := range e.Running {
		t := &e.Running[i]
		listed[t.TaskRef] = max(listed[t.TaskRef], t.Run)
		if r := w.runs[t.TaskRef]; r != nil && r.number == t.Run {
			l.confirm(w, r, t)
		} else if r == nil || r.number != t.Run {
			l.log("warn", "stop", t.TaskRef.String(), w.ID, "the worker runs what is not assigned to it", "run", t.Run)
			l.host.Emit(StopRun{Order: l.order(w), TaskRef: t.TaskRef, Run: t.Run})
		}
	}
	l.pace(w)
	var ends []job.RunEnd
	noted := int64(0)
	for i := range e.Ended {
		x := &e.Ended[i]
		listed[x.TaskRef] = max(listed[x.TaskRef], x.Run)
		noted = max(noted, x.Number)
		if x.Number > w.rec.AckedEnd {
			ends = append(ends, x.RunEnd)
		}
	}
	if len(e.Ended) < maxListedEnds {
		ends = append(ends, l.missing(w, e.Observe.SentAt, listed)...)
	}
	if len(ends) > 0 || noted > w.rec.AckedEnd {
		l.noteEnds(w, ends, noted)
	}
}

// confirm notes that a worker runs a run.
func (l *Leader) confirm(w *worker, r *run, t *RunningTask) {
	if r.phase == starting || r.phase == unconfirmed {
		if r.phase == unconfirmed {
			l.log("info", "adopt", r.ref.String(), w.ID, "runs since before this term", "run", r.number)
		}
		r.phase, r.since, r.progressAt, r.confirmed = running, l.now, l.now, true
		l.taskBegun(r.ref.Job)
		j := l.state.Job(r.ref.Job)
		if j == nil || j.Phase.Final() {
			l.stopRun(w, r, "the job is final")
		}
	}
	r.usage = t.Usage
	if t.Percent != r.percent || !r.begun && t.Percent > 0 {
		r.percent, r.progressAt, r.begun = t.Percent, l.now, true
	}
}

// missing returns the ends of runs that an observation shows to be absent: the stop
// was confirmed, or an earlier leader assigned them, before the worker was asked. A
// start of an earlier term that is still under way has a lower fencing token than the
// observation and is not carried out.
func (l *Leader) missing(w *worker, asked time.Duration, listed map[job.TaskRef]int) []job.RunEnd {
	var ends []job.RunEnd
	for _, r := range w.sortedRuns() {
		ref := r.ref
		absent := r.phase == unconfirmed || r.phase == stopping && r.stopped
		if !absent || asked < r.since || listed[ref] >= r.number {
			continue
		}
		ends = append(ends, job.RunEnd{TaskRef: ref, Run: r.number, Kind: job.EndNotStarted})
	}
	return ends
}

// noteEnds commits ends. The worker is told that they are noted only after that.
func (l *Leader) noteEnds(w *worker, ends []job.RunEnd, noted int64) {
	for i := range ends {
		l.learn(w, &ends[i])
	}
	cmd := &job.Command{EndRuns: &job.EndRuns{Incarnation: w.Incarnation, AtMS: l.wallMS, Runs: ends, AckedEnd: noted}}
	w.noting = l.propose(cmd, func(_ job.Applied, committed bool) {
		w.noting = false
		if committed {
			for i := range ends {
				l.runEnded(w, &ends[i])
			}
		}
		w.observeAt = l.now
		l.touch(w)
	})
	if !w.noting {
		w.observeAt = l.now + observeRetry
	}
}

// runEnded forgets a run whose end is committed.
func (l *Leader) runEnded(w *worker, e *job.RunEnd) {
	r := w.runs[e.TaskRef]
	if r == nil || r.number != e.Run {
		return
	}
	delete(w.runs, e.TaskRef)
	s := l.steps[e.StepRef]
	if s == nil {
		return
	}
	if s.runs[e.Index] == r {
		delete(s.runs, e.Index)
	}
	if e.Kind != job.EndDone {
		l.stopGangOf(r, "a member of the gang ended as "+string(e.Kind))
	}
}

// learn takes from the end of a run what it tells about the worker.
func (l *Leader) learn(w *worker, e *job.RunEnd) {
	r := w.runs[e.TaskRef]
	if r == nil || r.number != e.Run {
		return
	}
	s := l.steps[e.StepRef]
	level := "debug"
	if e.Kind != job.EndDone {
		level = "info"
	}
	l.log(level, "end", e.TaskRef.String(), w.ID, "a run ended", "run", e.Run, "how", string(e.Kind), "ran_ms", (l.now - r.assigned).Milliseconds(), "reason", r.reason)
	switch e.Kind {
	case job.EndDone:
		w.failures.succeeded()
		if s != nil && !s.spec.Gang && r.phase == running {
			l.speeds.Observe(l.now, estimate.Observation{Team: s.queue.Name, Kind: "task", Endpoint: w.ID, DeclaredMS: s.spec.EstimateMS, RunMS: (l.now - r.since).Milliseconds()})
		}
	case job.EndFailed:
		if s != nil {
			s.avoid[w.ID] = true
		}
		if w.failures.failed(l.now, e.Job) {
			l.log("warn", "quarantine", "", w.ID, "different jobs failed in a row on the worker", "until_ms", (w.failures.until - l.now).Milliseconds())
		}
	}
}
