package jobs

import (
	"cmp"
	"slices"

	"github.com/primrosereach/primrosereach/state/job"
)

// placeGang assigns all tasks of a gang or none. If they do not fit, it keeps room for
// them free of steps that come later. It reports whether the gang was assigned.
func (l *Leader) placeGang(p *pass, s *step, waiting []int) bool {
	items := l.planGang(p, s, waiting)
	if items != nil {
		l.assign(s, items)
		return true
	}
	l.preempt(p, s, len(waiting))
	l.consult(p, s, len(waiting))
	l.reserve(p, s, len(waiting))
	return false
}

// planGang returns workers for all tasks of a gang, or nil. A gang that is sensitive
// to racks goes onto one rack if any has room.
func (l *Leader) planGang(p *pass, s *step, waiting []int) []job.Assignment {
	all := l.candidates(p, s, l.admitted(p, s), s.admits(l.now))
	if s.spec.RackSensitive {
		for _, rack := range racksOf(all) {
			if items := fillGang(s, waiting, rack); items != nil {
				return items
			}
		}
	}
	return fillGang(s, waiting, all)
}

func fillGang(s *step, waiting []int, all []candidate) []job.Assignment {
	run := 0
	for _, i := range waiting {
		run = max(run, s.task(i).Run+1) // all members carry the same number
	}
	var items []job.Assignment
	for _, c := range all {
		for n := 0; n < c.room && len(items) < len(waiting); n++ {
			items = append(items, job.Assignment{Index: waiting[len(items)], Run: run, Worker: c.w.ID, StartedMS: c.w.StartedMS})
		}
	}
	if len(items) < len(waiting) {
		return nil
	}
	return items
}

// racksOf groups candidates by their labels other than the kind, in a fixed order.
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

// rackOf returns the last label of a worker, which names its rack.
func rackOf(w *job.Worker) string {
	if len(w.Labels) == 0 {
		return w.ID
	}
	return w.Labels[len(w.Labels)-1]
}

// reserve keeps the free room of workers that may run a gang for it, the ones with the
// most room first, up to what it needs.
func (l *Leader) reserve(p *pass, s *step, need int) {
	if l.now < s.claimedUntil {
		l.holdClaims(p, s)
		return
	}
	known := s.knownGood()
	all := l.candidates(p, s, p.usable, func(w *worker) bool { return len(known) == 0 || known[w.ID] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.room, a.room) })
	for _, c := range all {
		if need <= 0 {
			return
		}
		n := min(need, c.room)
		p.held[c.w] = p.held[c.w].Add(s.spec.Reserved().Scale(n))
		need -= n
	}
}

// holdClaims keeps what is free on claimed workers, also if it is too little for a task
// yet: more is about to be freed there.
func (l *Leader) holdClaims(p *pass, s *step) {
	for _, w := range l.byID {
		if n := s.claims[w.ID]; n > 0 {
			p.held[w] = p.held[w].Add(p.free(w).Positive().Min(s.spec.Reserved().Scale(n)))
		}
	}
}
