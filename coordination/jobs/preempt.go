package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	// preemptAfter is how long a gang waits before it preempts tasks of lower priority. Most
	// steps find room within that time.
	preemptAfter = 250 * time.Millisecond
	// maxPreemptedPercent is the progress from which a task is not preempted. A task that is
	// nearly done frees its room sooner by ending.
	maxPreemptedPercent = 85
	// maxPreemptions bounds how often one task is preempted, so that it completes eventually.
	maxPreemptions = 2
)

// mayPreempt reports whether a gang may preempt tasks: it has waited for preemptAfter, and
// the job can meet its deadline.
func (l *Leader) mayPreempt(s *step) bool {
	return l.now-s.readyAt >= preemptAfter && l.missesDeadline(s) == 0
}

// freeAfterPendingStops returns the capacity of a worker that is free once the runs that are
// being stopped have ended.
func (l *Leader) freeAfterPendingStops(p *schedulingPass, w *worker) resource.Amount {
	free := p.free(w)
	for _, r := range w.runs {
		if s := l.steps[r.ref.StepRef]; r.phase == stopping && s != nil {
			free = free.Add(s.spec.Reserved())
		}
	}
	return free
}

// victims returns the runs on a worker that may be preempted for a step, those with the
// least progress first. Only tasks that resume from a checkpoint are preempted, since they
// lose little work.
func (l *Leader) victims(s *step, w *worker) []*run {
	var out []*run
	for _, r := range w.sortedRuns() {
		v := l.steps[r.ref.StepRef]
		if v == nil || r.phase != running || v.queue.Priority <= s.queue.Priority || !v.spec.Checkpointing || v.spec.Gang || v.spec.Service {
			continue
		}
		if r.percent < maxPreemptedPercent && v.preempted[r.ref.Index] < maxPreemptions {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(a.percent, b.percent) })
	return out
}

// stopVictims preempts runs on a worker until the room that the step holds there is free.
func (l *Leader) stopVictims(p *schedulingPass, s *step, c chosenRoom) {
	free := l.freeAfterPendingStops(p, c.w)
	for _, r := range c.victims {
		if l.tasksThatFit(free, s, c.w) >= c.take {
			return
		}
		victim := l.steps[r.ref.StepRef]
		free = free.Add(victim.spec.Reserved())
		victim.preempted[r.ref.Index]++
		l.waitingStats.preempted++
		l.stopRun(c.w, r, "preempted by "+s.ref.String())
	}
}
