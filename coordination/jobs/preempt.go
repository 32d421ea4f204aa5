package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	// preemptAfter is how long a step waits before it preempts tasks of lower priority. Most
	// steps find room within that time.
	preemptAfter = 250 * time.Millisecond
	// maxPreemptedPercent is the progress from which a task is not preempted. A task that is
	// nearly done frees its room sooner by ending.
	maxPreemptedPercent = 85
	// maxPreemptions bounds how often one task is preempted, so that it completes eventually.
	maxPreemptions = 2
	// claimDuration is how long workers are reserved for a step after tasks were preempted
	// for it. It covers the stops and a request for advice on long steps.
	claimDuration = 2500 * time.Millisecond
)

// offer is the room that a worker has for a step, and the runs that can be preempted for
// more.
type offer struct {
	w              *worker
	room           int // tasks that fit without preemption, after runs that are being stopped have ended
	roomAfterStops int // tasks that fit after all victims have been stopped as well
	victims        []*run
}

// preempt stops tasks of lower priority for a waiting step, if that makes room for all of
// its waiting tasks. It stops only tasks that resume from a checkpoint, since they lose
// little work.
func (l *Leader) preempt(p *pass, s *step, need int) {
	if l.now-s.readyAt < preemptAfter || l.missesDeadline(s) > 0 || l.now < s.claimedUntil {
		return
	}
	s.claims = nil
	offers := l.preemptionOffers(p, s)
	total := 0
	for _, o := range offers {
		total += o.roomAfterStops
	}
	if total < need {
		return
	}
	s.claims, s.claimedUntil = map[string]int{}, l.now+claimDuration
	for _, o := range offers {
		if need <= 0 {
			return
		}
		take := min(need, o.roomAfterStops)
		need -= take
		s.claims[o.w.ID] = take
		l.stopVictims(p, s, o, take)
	}
}

// preemptionOffers returns the offers of the workers that may run a step, those with the
// most room without preemption first.
func (l *Leader) preemptionOffers(p *pass, s *step) []offer {
	known := s.approvedWorkers()
	var out []offer
	for _, w := range p.usable {
		if !matchesWorker(s, w) || s.queue.Advice != nil && !known[w.ID] {
			continue
		}
		free := l.freeAfterStops(p, w)
		o := offer{w: w, room: l.room(free, s, w), victims: l.victims(s, w)}
		for _, r := range o.victims {
			free = free.Add(l.steps[r.ref.StepRef].spec.Reserved())
		}
		if o.roomAfterStops = l.room(free, s, w); o.roomAfterStops > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.w.ID, b.w.ID))
	})
	return out
}

// freeAfterStops returns the capacity of a worker that is free once the runs that are
// being stopped have ended.
func (l *Leader) freeAfterStops(p *pass, w *worker) resource.Amount {
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
func (l *Leader) stopVictims(p *pass, s *step, o offer, take int) {
	free := l.freeAfterStops(p, o.w)
	for _, r := range o.victims {
		if l.room(free, s, o.w) >= take {
			return
		}
		victim := l.steps[r.ref.StepRef]
		free = free.Add(victim.spec.Reserved())
		victim.preempted[r.ref.Index]++
		l.stopRun(o.w, r, "preempted by "+s.ref.String())
	}
}
