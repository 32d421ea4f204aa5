package jobs

import "time"

const (
	// gangSlack is the part of the workers' patience that is left for stopping a gang
	// whose members did not all start.
	gangSlack = 1500 * time.Millisecond
	// stalledAfter is the least time without progress after which a task counts as
	// stalled, and stalledShare the same as a share of its expected run time.
	stalledAfter = 4 * time.Second
	stalledShare = 0.08
)

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
			if r.phase != running || s == nil || s.spec.Service || s.spec.BestEffort || w.silent || r.percent >= 100 {
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
