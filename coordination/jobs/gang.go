package jobs

import (
	"maps"
	"slices"

	"github.com/primrosereach/primrosereach/state/job"
)

// placeGang assigns all tasks of a gang or none. If they cannot start now, it holds room for
// all of them and renews the tickets, or else learns which other workers may run the gang. It
// reports whether the gang was assigned.
func (l *Leader) placeGang(p *schedulingPass, s *step, waiting []int) bool {
	if l.tasksWithinLimit(s, len(waiting)) < len(waiting) {
		l.dropHold(s)
		s.reservation, s.lastTry = nil, atTeamLimit
		p.limitedTeams[s.job.Team] = true
		return true
	}
	p.placing = s
	defer func() { p.placing = nil }()
	if items := l.planGang(p, s, waiting); items != nil {
		l.waitingStats.gangsAssigned++
		l.dropHold(s)
		s.reservation = nil
		s.lastTry = placedSome
		l.assign(s, items)
		return true
	}
	switch {
	case s.holds(l.now):
		s.lastTry = holdingRoom
		return false
	case s.advice.inFlight():
		s.lastTry = awaitingAdvice
		return false
	case l.holdForGang(p, s, len(waiting)):
		s.lastTry = holdingRoom
		return false
	}
	s.nextTry = l.now + gangRetryInterval
	l.queryForGang(p, s, len(waiting))
	s.reservation = nil
	if p.reservation == nil && p.plans < maxPlans {
		p.plans++
		s.reservation = l.planReservation(p, s, len(waiting))
	}
	l.reserve(p, s)
	return false
}

// planGang returns assignments for all tasks of a gang, or nil. A rack-sensitive gang is
// placed on a single rack if one has room for it.
func (l *Leader) planGang(p *schedulingPass, s *step, waiting []int) []job.Assignment {
	all := l.candidates(p, s, l.workersWithTicket(p, s), s.ticketFilter(l.now))
	if l.mustAvoid(p, s) {
		all = slices.DeleteFunc(all, func(c candidate) bool { return s.failedStarts[c.w.ID] })
	}
	if s.spec.RackSensitive {
		for _, rack := range groupByRack(all, func(c candidate) *worker { return c.w }) {
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

// groupByRack groups values by the racks of their workers, ordered by the name of the rack.
func groupByRack[T any](all []T, workerOf func(T) *worker) [][]T {
	byRack := map[string][]T{}
	for _, x := range all {
		rack := rackOf(workerOf(x).rec)
		byRack[rack] = append(byRack[rack], x)
	}
	var out [][]T
	for _, rack := range slices.Sorted(maps.Keys(byRack)) {
		out = append(out, byRack[rack])
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
