package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
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

// workerRuns is what preemption needs to know about the runs of a worker. It is computed once
// in a pass, since many gangs look at the same workers.
type workerRuns struct {
	stopping    resource.Amount // capacity of the runs that are being stopped
	preemptible []*run          // runs that some step may preempt, those with the least progress first
}

// runsOf returns the runs of a worker for preemption.
func (l *Leader) runsOf(p *schedulingPass, w *worker) *workerRuns {
	if x := p.runs[w]; x != nil {
		return x
	}
	x := &workerRuns{}
	for _, r := range w.runs {
		s := l.steps[r.ref.StepRef]
		switch {
		case s == nil:
		case r.phase == stopping:
			x.stopping = x.stopping.Add(s.spec.Reserved())
		case r.isPreemptible(s):
			x.preemptible = append(x.preemptible, r)
		}
	}
	slices.SortFunc(x.preemptible, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), job.CompareTasks(a.ref, b.ref))
	})
	p.runs[w] = x
	return x
}

// isPreemptible reports whether a run of step s may be preempted by a step of higher priority.
// Only tasks that resume from a checkpoint are preempted, since they lose little work.
func (r *run) isPreemptible(s *step) bool {
	return r.phase == running && s.spec.Checkpointing && !s.spec.Gang && !s.spec.Service &&
		r.percent < maxPreemptedPercent && s.preempted[r.ref.Index] < maxPreemptions
}

// freeAfterPendingStops returns the capacity of a worker that is free once the runs that are
// being stopped have ended.
func (l *Leader) freeAfterPendingStops(p *schedulingPass, w *worker) resource.Amount {
	return p.free(w).Add(l.runsOf(p, w).stopping)
}

// victims returns the runs on a worker that may be preempted for a step, those with the
// least progress first.
func (l *Leader) victims(p *schedulingPass, s *step, w *worker) []*run {
	var out []*run
	for _, r := range l.runsOf(p, w).preemptible {
		victim := l.steps[r.ref.StepRef]
		if victim.queue.Priority > s.queue.Priority || victim.job.Borrowed && !s.job.Borrowed {
			out = append(out, r)
		}
	}
	return out
}

// stopVictims preempts runs on a worker until the room that the step holds there is free.
func (l *Leader) stopVictims(p *schedulingPass, s *step, c chosenRoom) {
	free := l.freeAfterPendingStops(p, c.w)
	delete(p.runs, c.w) // it changes below
	for _, r := range c.victims {
		if l.tasksThatFit(free, s, c.w) >= c.take {
			return
		}
		victim := l.steps[r.ref.StepRef]
		free = free.Add(victim.spec.Reserved())
		victim.preempted[r.ref.Index]++
		l.waitingStats.preempted++
		l.countsOf(victim.job.Team).preempted++
		l.stopRun(c.w, r, "preempted by "+s.ref.String())
	}
}
