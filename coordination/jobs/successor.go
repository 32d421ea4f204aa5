package jobs

// A VM runs one worker at a time. So a worker that answers on the VM after another one has ended there shows
// that nothing is left of the earlier one: neither its runs nor those that an incarnation under its ID, which
// no longer runs, may have started with late copies of its starts. Without such a worker on the VM, the next
// incarnation under the same ID has to confirm stops, or all leases have to expire.

// hasSuccessor reports whether a worker that is known to have ended was followed on its VM by one with
// another ID, which has answered since.
func (l *Leader) hasSuccessor(w *worker) bool {
	x := l.otherWorkerOnVM(w)
	return x != nil && w.replaced && x.observedAt > w.replacedAt
}

// otherWorkerOnVM returns another worker on the VM of a worker that has ended, or nil.
func (l *Leader) otherWorkerOnVM(w *worker) *worker {
	if w.rec.VM == "" {
		return nil
	}
	for _, x := range l.byID {
		if x.rec.VM == w.rec.VM && x.ID != w.ID && !x.replaced {
			return x
		}
	}
	return nil
}

// awaitSuccessor polls the worker that is on the VM of one that has ended, if there is one. It joined before
// the end of the earlier one was known, so its answer was no proof.
func (l *Leader) awaitSuccessor(w *worker) {
	x := l.otherWorkerOnVM(w)
	if x == nil || x.observedAt > w.replacedAt || x.unresponsive {
		return
	}
	w.reconcileAt(l.now + observeRetry)
	if !x.observing && !x.observeAtOnce {
		x.observeAtOnce, x.observeAt = true, l.now
		l.markForReconcile(x)
	}
}

// reconcilePredecessors reconciles the workers that have ended on the VM of one that has joined.
func (l *Leader) reconcilePredecessors(w *worker) {
	for _, x := range l.byID {
		if x.replaced && w.rec.VM != "" && x.rec.VM == w.rec.VM {
			l.markForReconcile(x)
		}
	}
}
