package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/resource"
)

const (
	// preemptAfter is how long a step waits before tasks of lower priority are stopped
	// for it: most steps find room within that time.
	preemptAfter = 250 * time.Millisecond
	// preemptPercent: a task that is nearly done frees its room sooner by ending.
	preemptPercent = 85
	// maxPreemptions bounds how often one task is stopped for others, so that it gets
	// done in the end.
	maxPreemptions = 2
	// claimTime is how long workers are kept for a step after tasks were stopped for it.
	// It covers the stops and a call for advice on long steps.
	claimTime = 2500 * time.Millisecond
)

// yield is the room that a worker can offer a step, and the runs to stop for it.
type yield struct {
	w       *worker
	room    int // without stopping anything that is not being stopped already
	most    int // after the victims have been stopped
	victims []*run
}

// preempt stops tasks of lower priority so that a step that waits can start, if that
// makes room for all of its waiting tasks. Only tasks that resume from a checkpoint are
// stopped: little of their work is lost.
func (l *Leader) preempt(p *pass, s *step, need int) {
	if l.now-s.ready < preemptAfter || l.useless(s) > 0 || l.now < s.claimedUntil {
		return
	}
	s.claims = nil
	offers := l.yields(p, s)
	total := 0
	for _, y := range offers {
		total += y.most
	}
	if total < need {
		return
	}
	s.claims, s.claimedUntil = map[string]int{}, l.now+claimTime
	for _, y := range offers {
		if need <= 0 {
			return
		}
		take := min(need, y.most)
		need -= take
		s.claims[y.w.ID] = take
		l.stopVictims(p, s, y, take)
	}
}

// yields returns what the workers that may run a step can offer, those that need the
// fewest stops first.
func (l *Leader) yields(p *pass, s *step) []yield {
	known := s.knownGood()
	var out []yield
	for _, w := range p.usable {
		if !suits(s, w) || s.queue.Advice != nil && !known[w.ID] {
			continue
		}
		free := l.prospect(p, w)
		y := yield{w: w, room: l.room(free, s, w), victims: l.victims(s, w)}
		for _, r := range y.victims {
			free = free.Add(l.steps[r.ref.StepRef].spec.Reserved())
		}
		if y.most = l.room(free, s, w); y.most > 0 {
			out = append(out, y)
		}
	}
	slices.SortFunc(out, func(a, b yield) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.w.ID, b.w.ID))
	})
	return out
}

// prospect returns the capacity of a worker that is free, or will be when the runs that
// are being stopped have ended.
func (l *Leader) prospect(p *pass, w *worker) resource.Amount {
	free := p.free(w)
	for _, r := range w.runs {
		if s := l.steps[r.ref.StepRef]; r.phase == stopping && s != nil {
			free = free.Add(s.spec.Reserved())
		}
	}
	return free
}

// victims returns the runs on a worker that may be stopped for a step, the least
// advanced first.
func (l *Leader) victims(s *step, w *worker) []*run {
	var out []*run
	for _, r := range w.sortedRuns() {
		v := l.steps[r.ref.StepRef]
		if v == nil || r.phase != running || v.queue.Priority <= s.queue.Priority || !v.spec.Checkpointing || v.spec.Gang || v.spec.Service {
			continue
		}
		if r.percent < preemptPercent && v.preempted[r.ref.Index] < maxPreemptions {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(a.percent, b.percent) })
	return out
}

// stopVictims stops as many runs on a worker as make room for some tasks of a step.
func (l *Leader) stopVictims(p *pass, s *step, y yield, take int) {
	free := l.prospect(p, y.w)
	for _, r := range y.victims {
		if l.room(free, s, y.w) >= take {
			return
		}
		victim := l.steps[r.ref.StepRef]
		free = free.Add(victim.spec.Reserved())
		victim.preempted[r.ref.Index]++
		l.stopRun(y.w, r, "preempted by "+s.ref.String())
	}
}
