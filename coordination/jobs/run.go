package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// orderRetry is the pause before an unanswered start or stop is sent again.
	orderRetry = 100 * time.Millisecond
	// maxStartTries: a start that was not answered so often is given up.
	maxStartTries = 3
	// gangSlack is the part of the workers' patience that is left for stopping a gang
	// whose members did not all start.
	gangSlack = 1500 * time.Millisecond
	// stalledAfter is the least time without progress after which a task counts as
	// stalled, and stalledShare the same as a share of its expected run time.
	stalledAfter = 4 * time.Second
	stalledShare = 0.08
)

type phase uint8

const (
	starting    phase = iota // the start is under way
	running                  // the worker has confirmed it
	stopping                 // the stop is under way or was confirmed; the end is not known
	unconfirmed              // assigned by an earlier leader; the worker has not been asked
)

// run is a run that a worker holds or may hold.
type run struct {
	ref        job.TaskRef
	number     int
	phase      phase
	since      time.Duration // of the phase
	assigned   time.Duration
	calling    bool          // an order for it is under way
	nextTry    time.Duration // of that order
	tries      int
	unanswered bool // a start was not answered; it may be carried out late
	stopped    bool // the worker has confirmed the stop
	ticket     string
	reason     string // of the stop

	percent    int
	progressAt time.Duration // when percent last changed
	begun      bool          // it has worked
}

// startRuns sends the starts of an assignment that was committed.
func (l *Leader) startRuns(s *step, items []job.Assignment) {
	for _, it := range items {
		w := l.workers[it.Worker]
		if w == nil || w.BornMS != it.BornMS {
			continue // the end of that life is being committed
		}
		ref := job.TaskRef{StepRef: s.ref, Index: it.Index}
		r := &run{ref: ref, number: it.Run, phase: starting, since: l.now, assigned: l.now, progressAt: l.now, ticket: s.ticket(w)}
		w.runs[ref] = r
		s.runs[it.Index] = r
		l.tendRun(w, r)
	}
}

// tendRun sends the order that a run is due for.
func (l *Leader) tendRun(w *worker, r *run) {
	if r.calling || r.phase == running || r.phase == unconfirmed || r.phase == stopping && r.stopped {
		return
	}
	if l.now < r.nextTry {
		w.wake(r.nextTry)
		return
	}
	if r.phase == starting && w.rec.Draining {
		l.stopRun(w, r, "the worker drains")
	}
	r.calling = true
	r.tries++
	if r.phase == stopping {
		l.host.Emit(StopRun{Order: l.order(w), TaskRef: r.ref, Run: r.number})
		return
	}
	j := l.state.Job(r.ref.Job)
	if j == nil || j.Phase.Final() {
		r.calling = false
		l.stopRun(w, r, "the job is final")
		return
	}
	e := StartRun{Order: l.order(w), TaskRef: r.ref, Run: r.number, Spec: j.Spec, Ticket: r.ticket, UntilMS: w.clock(l.now) + l.lease().Milliseconds()}
	if t := j.Task(r.ref); t != nil {
		e.Checkpoint = t.Checkpoint
	}
	if !w.silent {
		e.UntilMS = l.extendLease(w)
	}
	l.host.Emit(e)
}

// findRun returns the run that an order was about, if it is still of interest.
func (l *Leader) findRun(o Order, ref job.TaskRef, number int) (*worker, *run) {
	w := l.workers[o.Worker.ID]
	if w == nil || w.Incarnation != o.Worker {
		return nil, nil
	}
	r := w.runs[ref]
	if r == nil || r.number != number {
		return w, nil
	}
	return w, r
}

func (l *Leader) startAnswered(e StartAnswered) {
	w, r := l.findRun(e.Start.Order, e.Start.TaskRef, e.Start.Run)
	if w == nil {
		return
	}
	if e.Result != OrderNoAnswer {
		w.hear(l.now, e.ClockMS)
	}
	l.touch(w)
	if r == nil {
		return
	}
	r.calling = false
	if r.phase != starting {
		r.unanswered = r.unanswered || e.Result == OrderNoAnswer
		return
	}
	switch e.Result {
	case OrderDone:
		r.phase, r.since, r.progressAt = running, l.now, l.now
		l.taskBegun(r.ref.Job)
		l.log("debug", "start", r.ref.String(), w.ID, "started", "run", r.number)
	case OrderNoAnswer, OrderLate, OrderFenced:
		r.unanswered = r.unanswered || e.Result == OrderNoAnswer
		r.nextTry = l.now + orderRetry
		l.log("info", "start", r.ref.String(), w.ID, "the start is sent again", "run", r.number, "result", e.Result.String(), "tries", r.tries)
		if r.tries >= maxStartTries {
			if e.Result == OrderNoAnswer {
				l.unanswered(w, "start", e.Result)
			}
			l.stopRun(w, r, "the start was not answered")
		}
	case OrderOtherLife:
		l.endWorker(w, false)
	default:
		l.startRejected(w, r, e.Result)
	}
}

// startRejected handles a start that the worker did not carry out. If an earlier copy
// of it was not answered, that one may still come: only a stop rules it out.
func (l *Leader) startRejected(w *worker, r *run, result OrderResult) {
	l.log("info", "start", r.ref.String(), w.ID, "the worker rejected the start", "run", r.number, "result", result.String(), "tries", r.tries)
	if s := l.steps[r.ref.StepRef]; s != nil {
		s.rejected(w, result, l.now)
	}
	if r.unanswered || result == OrderSuperseded {
		l.stopRun(w, r, "the start was rejected: "+result.String())
	} else {
		l.noteEnds(w, []job.RunEnd{{TaskRef: r.ref, Run: r.number, Kind: job.EndNotStarted}}, 0)
		r.phase, r.stopped, r.since = stopping, true, l.now
	}
	l.stopGangOf(r, "a member was not started")
}

// stopRun asks for the end of a run.
func (l *Leader) stopRun(w *worker, r *run, reason string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.since, r.reason, r.tries, r.nextTry = stopping, l.now, reason, 0, l.now
	l.log("info", "stop", r.ref.String(), w.ID, reason, "run", r.number)
	l.touch(w)
}

func (l *Leader) stopAnswered(e StopAnswered) {
	w, r := l.findRun(e.Stop.Order, e.Stop.TaskRef, e.Stop.Run)
	if w == nil {
		return
	}
	if e.Result != OrderNoAnswer {
		w.hear(l.now, e.ClockMS)
	}
	l.touch(w)
	if r == nil {
		return
	}
	r.calling = false
	switch e.Result {
	case OrderDone, OrderSuperseded:
		r.stopped, r.since = true, l.now
		if !w.observing {
			w.urgent, w.observeAt = true, l.now
		}
	case OrderOtherLife:
		l.endWorker(w, false)
	default:
		r.nextTry = l.now + orderRetry
		if e.Result == OrderNoAnswer && r.tries >= maxStartTries {
			l.unanswered(w, "stop", e.Result)
		}
	}
}

// stopGangOf stops the other members of a run's gang: they work only together.
func (l *Leader) stopGangOf(r *run, reason string) {
	s := l.steps[r.ref.StepRef]
	if s == nil || !s.spec.Gang {
		return
	}
	for _, other := range s.sortedRuns() {
		if w := l.holder(other); w != nil && other != r {
			l.stopRun(w, other, reason)
		}
	}
}

// holder returns the worker that holds a run, or nil.
func (l *Leader) holder(r *run) *worker {
	j := l.state.Job(r.ref.Job)
	if j == nil {
		return nil
	}
	t := j.Task(r.ref)
	if t == nil || t.Worker == "" {
		return nil
	}
	if w := l.workers[t.Worker]; w != nil && w.runs[r.ref] == r {
		return w
	}
	return nil
}

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
	var ends []job.RunEnd
	noted := int64(0)
	for i := range e.Ended {
		x := &e.Ended[i]
		listed[x.TaskRef] = max(listed[x.TaskRef], x.Run)
		noted = max(noted, x.Number)
		if x.Number > w.rec.Noted {
			ends = append(ends, x.RunEnd)
		}
	}
	if len(e.Ended) < maxListedEnds {
		ends = append(ends, l.missing(w, e.Observe.SentAt, listed)...)
	}
	if len(ends) > 0 || noted > w.rec.Noted {
		l.noteEnds(w, ends, noted)
	}
}

// confirm notes that a worker runs a run.
func (l *Leader) confirm(w *worker, r *run, t *RunningTask) {
	if r.phase == starting || r.phase == unconfirmed {
		if r.phase == unconfirmed {
			l.log("info", "adopt", r.ref.String(), w.ID, "runs since before this term", "run", r.number)
		}
		r.phase, r.since, r.progressAt = running, l.now, l.now
		l.taskBegun(r.ref.Job)
		j := l.state.Job(r.ref.Job)
		if j == nil || j.Phase.Final() {
			l.stopRun(w, r, "the job is final")
		}
	}
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
	cmd := &job.Command{End: &job.End{Incarnation: w.Incarnation, AtMS: l.wallMS, Runs: ends, Noted: noted}}
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

// checkGangs stops gangs whose members did not all start in time.
func (l *Leader) checkGangs() {
	for _, s := range l.sortedSteps() {
		if !s.spec.Gang || len(s.runs) == 0 || s.done() {
			continue
		}
		var waiting, confirmed int
		oldest := l.now
		for _, r := range s.runs {
			switch r.phase {
			case running:
				confirmed++
			default:
				waiting++
			}
			oldest = min(oldest, r.assigned)
		}
		partial := len(s.runs) < s.spec.Count
		if confirmed > 0 && (waiting > 0 || partial) && l.now-oldest > l.bounds.GangWait-gangSlack {
			for _, r := range s.sortedRuns() {
				if w := l.holder(r); w != nil {
					l.stopRun(w, r, "the gang did not start as a whole")
				}
			}
		}
	}
}

// checkProgress stops tasks that have stood still although they should have got on.
func (l *Leader) checkProgress() {
	for _, w := range l.byID {
		for _, r := range w.sortedRuns() {
			s := l.steps[r.ref.StepRef]
			if r.phase != running || s == nil || s.spec.Service || s.spec.Filler || w.silent || r.percent >= 100 {
				continue // a member of a gang that has done its part waits for the others
			}
			patience := max(stalledAfter, time.Duration(stalledShare*float64(s.spec.EstimateMS))*time.Millisecond)
			if l.now-r.progressAt > patience {
				s.avoid[w.ID] = true
				if w.failures.failed(l.now, r.ref.Job) {
					l.log("warn", "quarantine", "", w.ID, "tasks of different jobs stand still on the worker")
				}
				l.stopRun(w, r, "no progress")
			}
		}
	}
}

func (l *Leader) paceAnswered(PaceAnswered) {}
