package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// orderRetry is the delay before a start or stop that failed is sent again.
	orderRetry = 100 * time.Millisecond
	// maxOrderTries is the number of tries after which a start is abandoned, and after which
	// a worker that does not answer a stop counts as unresponsive.
	maxOrderTries = 3
)

type phase uint8

const (
	starting    phase = iota // the start was not answered yet
	running                  // the worker has confirmed the run
	stopping                 // the stop is in flight or confirmed; the end is not committed
	unconfirmed              // assigned by an earlier leader; not yet confirmed by an observation
)

// String returns the name used in log lines.
func (p phase) String() string {
	return [...]string{"starting", "running", "stopping", "unconfirmed"}[p]
}

// run is a run that is assigned to a worker, which may not have received it.
type run struct {
	ref                   job.TaskRef
	number                int // run number of the task; the next run of the task has a higher one
	phase                 phase
	phaseSince            time.Duration // start of the phase, or time at which the stop was confirmed
	assignedAt            time.Duration // time at which this leader started to track the run
	orderInFlight         bool          // a start or stop is not answered yet
	nextAttempt           time.Duration // earliest time at which the order is sent again
	tries                 int           // number of times that the current order, a start or stop, was sent
	unanswered            bool          // a start was not answered; the worker may still execute it
	started               bool          // the worker has confirmed the start, or has listed the run as running
	listed                bool          // the incarnation that the run is assigned to has listed it as running
	adopted               bool          // assigned by an earlier leader, of which a start may still be executed
	stopped               bool          // the worker has confirmed the stop
	stopConfirmedByNextAt time.Duration // time at which the next incarnation of the worker confirmed the stop, or 0
	stopClockMS           int64         // clock of that incarnation when it confirmed the stop, in milliseconds, 0 if not reported
	ticket                string
	reason                string // reason for the stop, or why the worker rejected the start

	usage           int           // tail latency in milliseconds for a service, thousandths of a core for other tasks
	paceInFlight    bool          // an order to change the pace is not answered yet
	slowdownPercent int           // percent subtracted from the pace of a best-effort task, or unknownPace
	percent         int           // progress as last reported
	progressAt      time.Duration // time at which percent last changed
	hasProgressed   bool          // some progress was reported
	firstPercent    int           // progress as first reported, which is above 0 for a run that resumes or was adopted
	firstPercentAt  time.Duration // time at which firstPercent was reported
}

// startRuns starts to track the runs of a committed assignment and sends their starts.
func (l *Leader) startRuns(s *step, items []job.Assignment) {
	for _, it := range items {
		w := l.workers[it.Worker]
		if w == nil || w.StartedMS != it.StartedMS {
			continue // that incarnation of the worker is being removed
		}
		ref := job.TaskRef{StepRef: s.ref, Index: it.Index}
		r := &run{ref: ref, number: it.Run, phase: starting, phaseSince: l.now, assignedAt: l.now, progressAt: l.now, ticket: s.ticket(w)}
		w.runs[ref] = r
		s.runs[it.Index] = r
		if !w.committingLeave && !w.replaced {
			l.reconcileRun(w, r)
		}
	}
}

// reconcileRun sends the start or stop that is due for a run. A run that is not confirmed
// yet is stopped instead of started if its worker drains or has ended, or its job is final.
func (l *Leader) reconcileRun(w *worker, r *run) {
	if r.orderInFlight || r.phase == running || r.phase == unconfirmed || r.phase == stopping && (r.stopped || r.stopConfirmedByNextAt > 0) {
		return
	}
	if l.now < r.nextAttempt {
		w.reconcileAt(r.nextAttempt)
		return
	}
	switch {
	case r.phase != starting:
	case w.replaced: // the assignment was committed after that became known
		l.stopRun(w, r, "the worker has ended")
	case w.rec.Draining:
		l.stopRun(w, r, "the worker is draining")
	}
	r.orderInFlight = true
	r.tries++
	if r.phase == stopping {
		l.sendOrder(StopRun{Order: l.newOrder(w), TaskRef: r.ref, Run: r.number}, 0)
		return
	}
	j := l.state.Job(r.ref.Job)
	if j == nil || j.Phase.Final() {
		r.orderInFlight = false
		l.stopRun(w, r, "the job is final")
		return
	}
	// The lease counts also if the worker does not answer: it may execute the start.
	e := StartRun{Order: l.newOrder(w), TaskRef: r.ref, Run: r.number, Spec: j.Spec, Ticket: r.ticket, UntilMS: l.extendLease(w)}
	if t := j.Task(r.ref); t != nil {
		e.Checkpoint = t.Checkpoint
	}
	if r.tries == 1 {
		l.starts.sent(r, l.now)
	}
	l.sendOrder(e, 0)
}

// handleOrderAnswer records the answer to a start or stop. It returns the worker and the run
// of the order, or nil for those that the leader no longer tracks.
func (l *Leader) handleOrderAnswer(o Order, ref job.TaskRef, number int, result OrderResult, clockMS int64) (*worker, *run) {
	w := l.workers[o.Worker.ID]
	if w == nil || w.Incarnation != o.Worker {
		return nil, nil
	}
	if result.isAnswer() && result != OrderWrongIncarnation {
		w.recordAnswer(l.now, clockMS)
	}
	l.markForReconcile(w)
	r := w.runs[ref]
	if r == nil || r.number != number {
		return w, nil
	}
	r.orderInFlight = false
	return w, r
}

func (l *Leader) startAnswered(e StartAnswered) {
	w, r := l.handleOrderAnswer(e.Start.Order, e.Start.TaskRef, e.Start.Run, e.Result, e.ClockMS)
	if e.Result.isAnswer() {
		l.overload.startMeasured(l.now, e.Start.SentAt)
	}
	if w != nil && e.Result == OrderWrongIncarnation {
		l.markReplaced(w, reasonOtherIncarnation)
		return
	}
	if r == nil {
		return
	}
	l.starts.answered(r)
	l.recordFailedStart(w, r, e.Result)
	if r.phase != starting {
		r.unanswered = r.unanswered || e.Result.isUnknown()
		if r.phase == stopping && r.isNotStarted(e.Result) {
			l.endNotStarted(w, r)
		}
		return
	}
	switch e.Result {
	case OrderDone:
		r.phase, r.phaseSince, r.progressAt, r.started = running, l.now, l.now, true
		l.taskStarted(r.ref.Job)
		l.log("debug", "start", r.ref.String(), w.ID, "started", "run", r.number)
		l.pace(w) // a task starts at full pace
	case OrderNotSent:
		r.tries-- // the worker did not see this one
		r.nextAttempt = l.now + orderRetry
	case OrderUnanswered, OrderLost, OrderLeaseExpired, OrderFenced:
		r.unanswered = r.unanswered || e.Result.isUnknown()
		r.nextAttempt = l.now + orderRetry
		if e.Result == OrderLost {
			r.nextAttempt = l.now
		}
		if e.Result == OrderUnanswered && w.misses == 0 {
			w.misses = 1 // no new work until an observation is answered
			l.suspectDomain(w.rec.Domain)
		}
		l.log("info", "start", r.ref.String(), w.ID, "the start is sent again", "run", r.number, "result", e.Result.String(), "tries", r.tries)
		if r.tries >= maxOrderTries {
			if e.Result == OrderUnanswered {
				l.unanswered(w, "start", e.Result)
			}
			l.stopRun(w, r, "the start was not answered")
			l.stopGangOf(r, "a member of the gang was not started")
		}
	default:
		l.startRejected(w, r, e.Result)
	}
}

// recordFailedStart makes the step of a run avoid the worker if the result of a start is that it has not
// started, or may not have. A gang is stopped when the first of its starts is rejected; the results of the
// others count as well, since the next run of the gang would find these workers idle.
func (l *Leader) recordFailedStart(w *worker, r *run, result OrderResult) {
	s := l.steps[r.ref.StepRef]
	switch {
	case s == nil:
	case result == OrderUnanswered:
		s.startFailed(w)
	case result.rejectsStart():
		s.recordRejection(w, result, l.now)
	}
	if result == OrderUnavailable {
		l.recordFailure(w, r.ref.Job, "starts of different jobs were refused")
	}
}

// startRejected handles a start that the worker rejected. If an earlier copy of the start
// was not answered, it may still arrive; only a confirmed stop prevents it from executing.
func (l *Leader) startRejected(w *worker, r *run, result OrderResult) {
	l.log("info", "start", r.ref.String(), w.ID, "the worker rejected the start", "run", r.number, "result", result.String(), "tries", r.tries)
	reason := "the start was rejected: " + result.String()
	if r.isNotStarted(result) {
		r.reason = reason
		l.endNotStarted(w, r)
	} else {
		l.stopRun(w, r, reason)
	}
	l.stopGangOf(r, "a member of the gang was not started")
}

// isNotStarted reports whether the result of a start proves that the run has not started and will not. A
// copy of the start that was not answered may still be executed.
func (r *run) isNotStarted(result OrderResult) bool {
	return !r.unanswered && !r.started && result.rejectsStart() && result != OrderSuperseded
}

// endNotStarted commits the end of a run that has not started.
func (l *Leader) endNotStarted(w *worker, r *run) {
	l.commitEnds(w, []job.RunEnd{{TaskRef: r.ref, Run: r.number, Kind: job.EndNotStarted}}, 0, nil)
	r.phase, r.stopped, r.phaseSince = stopping, true, l.now
}

// stopRun moves a run to the stopping phase. The order is sent by reconcileRun.
func (l *Leader) stopRun(w *worker, r *run, reason string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.phaseSince, r.reason, r.tries, r.nextAttempt = stopping, l.now, reason, 0, l.now
	l.log("info", "stop", r.ref.String(), w.ID, reason, "run", r.number)
	l.markForReconcile(w)
}

func (l *Leader) stopAnswered(e StopAnswered) {
	w, r := l.handleOrderAnswer(e.Stop.Order, e.Stop.TaskRef, e.Stop.Run, e.Result, e.ClockMS)
	byNext := w != nil && w.reachesNext(e.Stop.Order)
	if r == nil {
		l.lateStarts.stopAnswered(l.now, &e, byNext)
		return
	}
	switch e.Result {
	case OrderDone, OrderSuperseded:
		if byNext {
			l.stopConfirmedByNext(w, r, e.ClockMS)
			return
		}
		r.stopped, r.phaseSince = true, l.now
		switch {
		case !w.observing:
			w.observeAtOnce, w.observeAt = true, l.now
		case !r.started: // no end of it is listed: only an observation that is sent from now on proves its absence
			w.observeAtOnce = true
		}
	case OrderWrongIncarnation:
		l.stopConfirmedByNext(w, r, e.ClockMS)
		l.markReplaced(w, reasonOtherIncarnation)
	default:
		r.nextAttempt = l.now + orderRetry
		if e.Result == OrderUnanswered && r.tries >= maxOrderTries {
			l.unanswered(w, "stop", e.Result)
		}
	}
}

// stopGangOf stops the other members of a run's gang, since they cannot work without it.
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

// holder returns the worker to which a run is assigned, or nil.
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
