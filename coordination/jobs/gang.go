package jobs

import (
	"cmp"
	"slices"

	"github.com/primrosereach/primrosereach/state/job"
)

// placeGang assigns all tasks of a gang or none. If they do not fit, it tries
// preemption, requests advice, and reserves room for the gang so that later steps of the pass
// cannot use it. It reports whether the gang was assigned.
func (l *Leader) placeGang(p *schedulingPass, s *step, waiting []int) bool {
	items := l.planGang(p, s, waiting)
	if items != nil {
		l.waitingStats.gangsAssigned++
		l.assign(s, items)
		return true
	}
	l.preempt(p, s, len(waiting))
	l.requestAdvice(p, s, len(waiting))
	l.reserve(p, s, len(waiting))
	return false
}

// planGang returns assignments for all tasks of a gang, or nil. A rack-sensitive gang is
// placed on a single rack if one has room for it.
func (l *Leader) planGang(p *schedulingPass, s *step, waiting []int) []job.Assignment {
	all := l.candidates(p, s, l.workersWithTicket(p, s), s.ticketFilter(l.now))
	if s.spec.RackSensitive {
		for _, rack := range racksOf(all) {
			if items := fillGang(s, waiting, rack); items != nil {
				return items
			}
		}
	}
	return fillGang(s, waiting, all)
}

// fillGang assigns the waiting tasks of a gang to candidates in order, or returns nil if
// the candidates lack room for all tasks.
func fillGang(s *step, waiting []int, all []candidate) []job.Assignment {
	run := 0
	for _, i := range waiting {
		run = max(run, s.task(i).Run+1) // all members have the same run number
	}
	var items []job.Assignment
	for _, c := range all {
		for n := 0; n < c.tasksThatFit && len(items) < len(waiting); n++ {
			items = append(items, job.Assignment{Index: waiting[len(items)], Run: run, Worker: c.w.ID, StartedMS: c.w.StartedMS})
		}
	}
	if len(items) < len(waiting) {
		return nil
	}
	return items
}

// racksOf groups candidates by rack, ordered by the name of the rack.
func racksOf(all []candidate) [][]candidate {
	byRack := map[string][]candidate{}
	var names []string
	for _, c := range all {
		rack := rackOf(c.w.rec)
		if byRack[rack] == nil {
			names = append(names, rack)
		}
		byRack[rack] = append(byRack[rack], c)
	}
	slices.Sort(names)
	var out [][]candidate
	for _, n := range names {
		out = append(out, byRack[n])
	}
	return out
}

// rackOf returns the rack of a worker, which is its last label. A worker without labels
// counts as a rack of its own.
func rackOf(w *job.Worker) string {
	if len(w.Labels) == 0 {
		return w.ID
	}
	return w.Labels[len(w.Labels)-1]
}

// reserve reserves capacity for need waiting tasks of a gang, so that later steps of the pass
// cannot use it. It chooses workers that may run the gang, those with the most room first.
// While a reservation after preemption is in force, it uses the workers of that reservation
// instead.
func (l *Leader) reserve(p *schedulingPass, s *step, need int) {
	if l.now < s.reservedUntil {
		l.reserveForPreemption(p, s)
		return
	}
	approved := s.approvedWorkers()
	all := l.candidates(p, s, p.usable, func(w *worker) bool { return len(approved) == 0 || approved[w.ID] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.tasksThatFit, a.tasksThatFit) })
	for _, c := range all {
		if need <= 0 {
			return
		}
		n := min(need, c.tasksThatFit)
		p.reservedAmounts[c.w] = p.reservedAmounts[c.w].Add(s.spec.Reserved().Scale(n))
		need -= n
	}
}

// reserveForPreemption reserves the free capacity of the workers that preempt chose for a
// gang, even if it is too little for a task: preempted runs there are about to free more.
func (l *Leader) reserveForPreemption(p *schedulingPass, s *step) {
	for _, w := range l.byID {
		if n := s.reservedTasks[w.ID]; n > 0 {
			p.reservedAmounts[w] = p.reservedAmounts[w].Add(p.free(w).Positive().Min(s.spec.Reserved().Scale(n)))
		}
	}
}
