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
	// reservationTime is how long capacity of workers is reserved for a gang after tasks were
	// preempted for it. It is long enough for the stops, and for the request for advice that
	// long steps need.
	reservationTime = 2500 * time.Millisecond
)

// offer is the number of tasks of a step that fit on a worker, and the runs there that can
// be preempted so that more fit.
type offer struct {
	w                   *worker
	tasksThatFit        int // tasks that fit without preemption, after runs that are being stopped have ended
	roomAfterPreemption int // tasks that fit after all victims have been stopped as well
	victims             []*run
}

// preempt stops tasks of lower priority for a waiting gang, if that makes room for all need
// tasks of the gang that wait, and reserves capacity for them. It stops only tasks
// that resume from a checkpoint, since they lose little work. It does nothing before the gang
// has waited for preemptAfter, while an earlier reservation is in force, or if the job cannot
// meet its deadline.
func (l *Leader) preempt(p *schedulingPass, s *step, need int) {
	if l.now-s.readyAt < preemptAfter || l.missesDeadline(s) > 0 || l.now < s.reservedUntil {
		return
	}
	if s.reservedTasks != nil {
		l.waitingStats.holdsExpired++
	}
	s.reservedTasks = nil
	offers := l.preemptionOffers(p, s)
	total := 0
	for _, o := range offers {
		total += o.roomAfterPreemption
	}
	if total < need {
		return
	}
	s.reservedTasks, s.reservedUntil = map[string]int{}, l.now+reservationTime
	for _, o := range offers {
		if need <= 0 {
			return
		}
		take := min(need, o.roomAfterPreemption)
		need -= take
		s.reservedTasks[o.w.ID] = take
		l.stopVictims(p, s, o, take)
	}
}

// preemptionOffers returns the offers of the workers that may run a step, those with the
// most room without preemption first.
func (l *Leader) preemptionOffers(p *schedulingPass, s *step) []offer {
	approved := s.approvedWorkers()
	var out []offer
	for _, w := range p.usable {
		if !matchesWorker(s, w) || s.queue.Advice != nil && !approved[w.ID] {
			continue
		}
		free := l.freeAfterPendingStops(p, w)
		o := offer{w: w, tasksThatFit: l.tasksThatFit(free, s, w), victims: l.victims(s, w)}
		for _, r := range o.victims {
			free = free.Add(l.steps[r.ref.StepRef].spec.Reserved())
		}
		if o.roomAfterPreemption = l.tasksThatFit(free, s, w); o.roomAfterPreemption > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.tasksThatFit, a.tasksThatFit), cmp.Compare(a.w.ID, b.w.ID))
	})
	return out
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
// least progress first.
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

// stopVictims preempts runs on a worker until there is room for a number of tasks of the
// step.
func (l *Leader) stopVictims(p *schedulingPass, s *step, o offer, take int) {
	free := l.freeAfterPendingStops(p, o.w)
	for _, r := range o.victims {
		if l.tasksThatFit(free, s, o.w) >= take {
			return
		}
		victim := l.steps[r.ref.StepRef]
		free = free.Add(victim.spec.Reserved())
		victim.preempted[r.ref.Index]++
		l.waitingStats.preempted++
		l.stopRun(o.w, r, "preempted by "+s.ref.String())
	}
}
