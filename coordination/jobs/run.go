package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// orderRetry is the pause before an unanswered start or stop is sent again.
	orderRetry = 100 * time.Millisecond
	// maxStartTries: a start that was not answered so often is given up.
	maxStartTries = 3
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
	unanswered bool          // a start was not answered; it may be carried out late
	confirmed  bool          // the worker has answered the start, or listed the run
	stopped    bool          // the worker has confirmed the stop
	excluded   time.Duration // when the next life of the worker has confirmed the stop, 0 if it has not
	ticket     string
	reason     string // of the stop

	usage      int  // tail of a service task's response times in milliseconds, thousandths of a core of others
	pacing     bool // an order to change the pace is under way
	slowedBy   int  // percent taken off the pace of a task that fills
	percent    int
	progressAt time.Duration // when percent last changed
	begun      bool          // it has worked
}

// startRuns sends the starts of an assignment that was committed.
func (l *Leader) startRuns(s *step, items []job.Assignment) {
	for _, it := range items {
		w := l.workers[it.Worker]
		if w == nil || w.StartedMS != it.StartedMS {
			continue // the end of that life is being committed
		}
		ref := job.TaskRef{StepRef: s.ref, Index: it.Index}
		r := &run{ref: ref, number: it.Run, phase: starting, since: l.now, assigned: l.now, progressAt: l.now, ticket: s.ticket(w)}
		w.runs[ref] = r
		s.runs[it.Index] = r
		if !w.leaving && !w.replaced {
			l.tendRun(w, r)
		}
	}
}

// tendRun sends the order that a run is due for.
func (l *Leader) tendRun(w *worker, r *run) {
	if r.calling || r.phase == running || r.phase == unconfirmed || r.phase == stopping && (r.stopped || r.excluded > 0) {
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

// answeredRun notes the answer to an order and returns the run that it was about, nil if
// it is of no interest any more.
func (l *Leader) answeredRun(o Order, ref job.TaskRef, number int, result OrderResult, clockMS int64) (*worker, *run) {
	w := l.workers[o.Worker.ID]
	if w == nil || w.Incarnation != o.Worker {
		return nil, nil
	}
	if result != OrderUnanswered && result != OrderWrongIncarnation {
		w.hear(l.now, clockMS)
	}
	l.touch(w)
	r := w.runs[ref]
	if r == nil || r.number != number {
		return w, nil
	}
	r.calling = false
	return w, r
}

func (l *Leader) startAnswered(e StartAnswered) {
	w, r := l.answeredRun(e.Start.Order, e.Start.TaskRef, e.Start.Run, e.Result, e.ClockMS)
	if w != nil && e.Result == OrderWrongIncarnation {
		l.otherLife(w)
		return
	}
	if r == nil {
		return
	}
	if r.phase != starting {
		r.unanswered = r.unanswered || e.Result == OrderUnanswered
		r.confirmed = r.confirmed || e.Result == OrderDone
		return
	}
	switch e.Result {
	case OrderDone:
		r.phase, r.since, r.progressAt, r.confirmed = running, l.now, l.now, true
		l.taskBegun(r.ref.Job)
		l.log("debug", "start", r.ref.String(), w.ID, "started", "run", r.number)
		l.pace(w) // a task starts at full pace
	case OrderUnanswered, OrderLeaseExpired, OrderFenced:
		r.unanswered = r.unanswered || e.Result == OrderUnanswered
		r.nextTry = l.now + orderRetry
		if e.Result == OrderUnanswered && w.misses == 0 {
			w.misses = 1 // no further work until an observation is answered
			l.suspectDomain(w.rec.Domain)
		}
		l.log("info", "start", r.ref.String(), w.ID, "the start is sent again", "run", r.number, "result", e.Result.String(), "tries", r.tries)
		if r.tries >= maxStartTries {
			if e.Result == OrderUnanswered {
				l.unanswered(w, "start", e.Result)
			}
			l.stopRun(w, r, "the start was not answered")
		}
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
	w, r := l.answeredRun(e.Stop.Order, e.Stop.TaskRef, e.Stop.Run, e.Result, e.ClockMS)
	if r == nil {
		return
	}
	switch e.Result {
	case OrderDone, OrderSuperseded:
		r.stopped, r.since = true, l.now
		if !w.observing {
			w.urgent, w.observeAt = true, l.now
		}
	case OrderWrongIncarnation:
		if r.excluded == 0 {
			r.excluded = l.now
		}
		l.otherLife(w)
	default:
		r.nextTry = l.now + orderRetry
		if e.Result == OrderUnanswered && r.tries >= maxStartTries {
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
