package jobs

import "time"

const (
	// maxGangStopMargin is the longest time before the end of Bounds.GangWait at which a gang
	// is stopped whose members did not all start. A stop needs a few attempts at most.
	maxGangStopMargin = 1500 * time.Millisecond
	// gangStartShare is the least share of Bounds.GangWait that the members have for their start:
	// where members wait for a short time, a fixed margin would leave none.
	gangStartShare = 0.5
	// A task counts as stalled after a time without progress of stalledAfter or of
	// stalledShare times the expected run time of the task, whichever is longer.
	stalledAfter = 4 * time.Second
	stalledShare = 0.08
)

// gangStartTime returns the time from its first assignment that a gang has to start as a whole.
func (b *Bounds) gangStartTime() time.Duration {
	return max(b.GangWait-maxGangStopMargin, time.Duration(gangStartShare*float64(b.GangWait)))
}

// checkGangs stops gangs of which some members are confirmed as running and others are not
// when Bounds.gangStartTime has passed since the first assignment.
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
			oldest = min(oldest, r.assignedAt)
		}
		partial := len(s.runs) < s.spec.Count
		if confirmed > 0 && (waiting > 0 || partial) && l.now-oldest > l.bounds.gangStartTime() {
			for _, r := range s.sortedRuns() {
				if w := l.holder(r); w != nil {
					l.stopRun(w, r, "the gang did not start as a whole")
				}
			}
		}
	}
}

// checkProgress stops tasks that are stalled, and makes their steps avoid the workers that
// ran them. It does not check services, best-effort tasks, tasks at 100 percent and tasks on
// unresponsive workers.
func (l *Leader) checkProgress() {
	for _, w := range l.byID {
		for _, r := range w.sortedRuns() {
			s := l.steps[r.ref.StepRef]
			if r.phase != running || s == nil || s.spec.Service || s.spec.BestEffort || w.unresponsive || r.percent >= 100 {
				continue // a gang member at 100 percent waits for the other members
			}
			maxStall := max(stalledAfter, time.Duration(stalledShare*float64(s.spec.EstimateMS))*time.Millisecond)
			if l.now-r.progressAt > maxStall {
				s.avoided[w.ID] = true
				l.recordFailure(w, r.ref.Job, "tasks of different jobs stalled on the worker")
				l.stopRun(w, r, "no progress")
			}
		}
	}
}
