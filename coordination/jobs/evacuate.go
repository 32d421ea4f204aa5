package jobs

import "github.com/primrosereach/primrosereach/state/resource"

// A worker that drains ends all its tasks when it leaves. Tasks of services would then wait until the
// lease of the worker has expired, which is longer than they may be missing. They are moved while
// the worker still answers: the end of a run that was stopped is known at once.

// evacuateServices stops the service tasks on draining workers for which another worker has room.
// They are placed again when their ends are recorded.
func (l *Leader) evacuateServices() {
	taken := map[*worker]resource.Amount{}
	for _, w := range l.byID {
		if !w.rec.Draining || w.unresponsive || w.replaced {
			continue
		}
		for _, r := range w.sortedRuns() {
			s := l.steps[r.ref.StepRef]
			if s == nil || !s.spec.Service || s.spec.Gang || r.phase != running {
				continue
			}
			to := l.workerWithRoom(s, taken)
			if to == nil {
				continue
			}
			taken[to] = taken[to].Add(s.spec.Reserved())
			l.stopRun(w, r, "its worker is draining")
		}
	}
}

// workerWithRoom returns a worker that has room for a task of a step beside what is taken, or nil.
func (l *Leader) workerWithRoom(s *step, taken map[*worker]resource.Amount) *worker {
	for _, w := range l.byID {
		if !l.usable(w) || l.waves.isCordoned(w.rec.VM) || !matchesWorker(s, w) || s.queue.Advice != nil && !s.approves(w) {
			continue
		}
		if l.tasksThatFit(w.rec.Free().Sub(w.pendingAmount).Sub(taken[w]), s, w) > 0 {
			return w
		}
	}
	return nil
}
