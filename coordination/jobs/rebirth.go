package jobs

import "time"

// A worker may restart under the ID that it had. Orders name the ID only, so a start
// that was meant for the last life can be carried out by the next one. What the last
// life certainly ran has ended with it; other runs end only when the next life has
// confirmed a stop, after which it starts them no more.

// otherLife notes that another life answers at a worker's address.
func (l *Leader) otherLife(w *worker) {
	if !w.replaced {
		l.log("info", "worker gone", "", w.ID, "another life answers at its address", "runs", len(w.runs))
	}
	w.replaced = true
	for _, r := range w.sortedRuns() {
		if r.excluded > 0 || !r.mayStartLate() {
			continue
		}
		l.stopRun(w, r, "another life answers at the worker's address")
		r.stopped = false // that was the last life's word
	}
	l.touch(w)
}

// mayStartLate reports whether an order to start the run may still be on its way.
func (r *run) mayStartLate() bool { return r.unanswered || !r.confirmed }

// endsOnNextLife returns when a run that the next life may have started has ended there,
// 0 if no such run is left, and false if that is not known yet.
func (l *Leader) endsOnNextLife(w *worker) (at time.Duration, known bool) {
	for _, r := range w.runs {
		if !r.mayStartLate() {
			continue
		}
		if r.excluded == 0 {
			return 0, false
		}
		at = max(at, r.excluded+time.Duration(float64(l.bounds.StopTime)*(1+clockDrift)))
	}
	return at, true
}

// endReplaced ends the runs of a worker's last life once the next one runs none of them.
func (l *Leader) endReplaced(w *worker) {
	at, known := l.endsOnNextLife(w)
	switch {
	case !known:
	case l.now < at:
		w.wake(at)
	default:
		l.endWorker(w, false)
	}
}

// mayReplace reports whether a new life of a worker can be admitted, which ends all runs
// of the last one.
func (l *Leader) mayReplace(id string) bool {
	w := l.workers[id]
	if w == nil {
		return true
	}
	if at, known := l.endsOnNextLife(w); !known || l.now < at {
		l.otherLife(w)
		return false
	}
	return true
}
