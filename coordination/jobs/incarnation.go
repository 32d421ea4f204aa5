package jobs

import "time"

// A worker may restart under its previous ID. Orders identify a worker by ID only, so the
// next incarnation can execute a start that was sent to the previous one. A run ended with
// the previous incarnation if that incarnation confirmed the run and no start of the run was
// left unanswered. The next incarnation may have started any other run. It does not start a
// run after it has confirmed a stop of that run, so such a run has ended once
// Bounds.StopTime has passed after the confirmation.

// markReplaced records that another incarnation answers at a worker's address, and stops
// the runs whose start that incarnation may execute.
func (l *Leader) markReplaced(w *worker) {
	if !w.replaced {
		l.log("info", "worker gone", "", w.ID, "another incarnation answers at its address", "runs", len(w.runs))
	}
	w.replaced = true
	for _, r := range w.sortedRuns() {
		if r.stopConfirmedByNextAt > 0 || !r.startMayBeInFlight() {
			continue
		}
		l.stopRun(w, r, "another incarnation answers at the worker's address")
		r.stopped = false // the stop was confirmed by the previous incarnation only
	}
	l.markForReconcile(w)
}

// startMayBeInFlight reports whether an order to start the run may still be in flight.
func (r *run) startMayBeInFlight() bool { return r.unanswered || !r.confirmed }

// lateStartsEndAt returns the time at which all runs that the next incarnation may have
// started have ended there, 0 if there are no such runs. It returns false if the time is
// not known yet because a stop is not confirmed.
func (l *Leader) lateStartsEndAt(w *worker) (at time.Duration, known bool) {
	for _, r := range w.runs {
		if !r.startMayBeInFlight() {
			continue
		}
		if r.stopConfirmedByNextAt == 0 {
			return 0, false
		}
		at = max(at, r.stopConfirmedByNextAt+time.Duration(float64(l.bounds.StopTime)*(1+clockDrift)))
	}
	return at, true
}

// removeIfReplaced removes the previous incarnation of a worker, and ends its runs, once the
// next incarnation certainly runs none of them.
func (l *Leader) removeIfReplaced(w *worker) {
	at, known := l.lateStartsEndAt(w)
	switch {
	case !known:
	case l.now < at:
		w.reconcileAt(at)
	default:
		l.proposeLeave(w, false)
	}
}

// mayAdmitIncarnation reports whether a new incarnation of a worker can join, which ends
// all runs of the previous one. If it cannot join yet, the previous one is marked as
// replaced, so that it gets no more work and the remaining runs are stopped. While an
// assignment to it is being committed, the new incarnation cannot join: the commit would send
// the starts, which the new incarnation executes.
func (l *Leader) mayAdmitIncarnation(id string) bool {
	w := l.workers[id]
	if w == nil {
		return true
	}
	if at, known := l.lateStartsEndAt(w); !known || l.now < at || w.pendingTasks > 0 {
		l.markReplaced(w)
		return false
	}
	return true
}
