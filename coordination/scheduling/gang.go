package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// reservationCheckMS is the interval between checks of a reservation and between
	// attempts to make one. It bounds the cost of the scan over the workers.
	reservationCheckMS = 1000
	// blockedBatchMS is the time for which smaller tasks may overtake a batch task before
	// capacity is reserved for it.
	blockedBatchMS = 10_000
	// moveGraceMS and moveFactor bound the time for which a reservation stays on workers
	// that do not become free as expected: three times the expected wait, but not beyond
	// Reservation.LateMS, and a grace of 3 s. A delay within the usual error of estimates
	// does not move the reservation, since the last tasks on a worker are about to end.
	moveGraceMS = 3000
	moveFactor  = 3
	// gangTries bounds the number of gangs that one plan tries to place.
	gangTries = 8
)

// gangState holds the only reservation of the domain. With a single holder, two gangs
// cannot deadlock, each holding a part of the workers that the other waits for.
type gangState struct {
	reservation      *placement.Reservation
	checkMS          int64 // time of the next check or attempt to reserve, Unix milliseconds
	moveMS           int64 // time from which the reservation may be moved, Unix milliseconds
	capacityWasFreed bool  // capacity was freed since the blocked gangs were last tried
}

// next returns the time of the next check, and whether there is a reservation to check.
func (g *gangState) next() (int64, bool) { return g.checkMS, g.reservation != nil }

// useReservation starts the holder of the reservation if the reserved capacity is free.
// It drops the reservation if the holder no longer waits or a reserved node takes no work
// any more. Otherwise it checks at intervals whether to move the reservation.
func (s *planner) useReservation(b *batch) {
	r := s.gangs.reservation
	if r == nil {
		return
	}
	j := s.jobs[r.Key]
	t := s.reservedTask(j)
	if t == nil || r.Unusable() {
		s.dropReservation()
		return
	}
	if r.Ready() {
		s.startReserved(b, r, j, t)
		return
	}
	if b.clock.WallMS >= s.gangs.checkMS {
		s.gangs.checkMS = b.clock.WallMS + reservationCheckMS
		s.moveIfLate(b.clock, j)
	}
}

// reservedTask returns the task that the reservation starts: of a gang the task that
// stands for all of its tasks, of another job the first one in a queue. It returns nil if
// the job does not wait in a queue.
func (s *planner) reservedTask(j *job) *task {
	if j == nil {
		return nil
	}
	if j.gang != nil {
		if j.gang.wait == queued {
			return j.gang
		}
		return nil
	}
	for i := range j.tasks {
		if j.tasks[i].wait == queued {
			return &j.tasks[i]
		}
	}
	return nil
}

// moveIfLate replaces the reservation once moveMS has passed, if another one is expected
// to start earlier. The workers of a reservation may become free later than expected when
// it was made, for example because one is far slower than its learned speed. Workers that
// are free already stay part of the new reservation, since a reservation is made on the
// workers that are free first. If no other one starts earlier, the reservation is kept.
func (s *planner) moveIfLate(c Clock, j *job) {
	r := s.gangs.reservation
	if c.WallMS < s.gangs.moveMS {
		return
	}
	expected, backfillUntil := r.Expected(c.WallMS), r.BackfillUntilMS
	s.workers.ReleaseReservation(r)
	s.gangs.reservation = nil
	if s.tryReserve(c, j, tasksOf(j)) && s.gangs.reservation.StartMS < expected {
		s.gangs.reservation.BackfillUntilMS = min(backfillUntil, s.gangs.reservation.BackfillUntilMS)
		return
	}
	if other := s.gangs.reservation; other != nil {
		s.workers.ReleaseReservation(other)
	}
	s.workers.HoldReservation(r)
	s.gangs.reservation = r
	s.gangs.moveMS = c.WallMS + moveGraceMS
}

// tasksOf returns the number of tasks that a reservation for the job covers.
func tasksOf(j *job) int {
	if j.gang == nil {
		return 1
	}
	return queuedTasks(j.rec)
}

func (s *planner) dropReservation() {
	r := s.gangs.reservation
	s.gangs.reservation = nil
	s.workers.ReleaseReservation(r)
	for _, part := range r.Parts {
		s.capacityFreed(s.workers, part.Node)
	}
}

// startReserved starts the holder of a reservation on the reserved nodes, unless quota
// does not cover all tasks. It drops a reservation that is too small for them.
func (s *planner) startReserved(b *batch, r *placement.Reservation, j *job, t *task) {
	n := tasksOf(j)
	own, ok := s.gangQuota(j, n)
	if !ok {
		return
	}
	nodes := make([]*placement.Node, 0, n)
	for _, part := range r.Parts {
		for i := 0; i < part.Tasks; i++ {
			nodes = append(nodes, part.Node)
		}
	}
	if len(nodes) < n {
		s.dropReservation()
		return
	}
	s.gangs.reservation = nil
	s.workers.ReleaseReservation(r)
	s.startTogether(b, j, t, nodes, own)
}

// startTogether plans the task t, or all queued tasks of a gang, in one Assign. The
// first own of them use the team's share, the others borrow.
func (s *planner) startTogether(b *batch, j *job, t *task, nodes []*placement.Node, own int) {
	s.queues[t.queueID].Take(&t.item, int64(len(nodes)))
	t.wait = planned
	a := b.assign(j)
	if t.item.Task >= 0 {
		s.reserve(a, j, t.item.Task, s.workers, nodes[0], own == 0)
	} else {
		next := 0
		for i := range j.rec.State {
			if j.rec.State[i].Status == state.TaskQueued {
				s.reserve(a, j, i, s.workers, nodes[next], next >= own)
				next++
			}
		}
	}
	b.left -= len(nodes)
	s.releaseQuotaHold(j)
}

// gangQuota returns how many of n tasks run on the team's own share; the others borrow.
// ok is false if quota does not cover all of them.
func (s *planner) gangQuota(j *job, n int) (own int, ok bool) {
	r := &j.rec.Request
	holder := j.held || !s.teamHoldsQuota(r.Team)
	if s.ledger.fitsShare(r.Team, r.PerTask.Scale(n), holder) {
		return n, true
	}
	if !r.Repeatable {
		return 0, false
	}
	for own < n && s.ledger.fitsShare(r.Team, r.PerTask.Scale(own+1), holder) {
		own++
	}
	// The tasks on the team's own share do not change the idle shares of other teams.
	return own, s.ledger.canBorrow(r.Team, r.PerTask.Scale(n-own))
}

func (s *planner) teamHoldsQuota(team string) bool {
	return s.ledger.team(team).held != state.Resources{}
}

// holdQuota keeps the team's smaller work from using up the quota that the gang j
// waits for. It does nothing if a gang of the team holds quota already.
func (s *planner) holdQuota(j *job) {
	t := s.ledger.team(j.rec.Team)
	if j.held || s.teamHoldsQuota(j.rec.Team) {
		return
	}
	j.held = true
	t.held = j.rec.PerTask.Scale(queuedTasks(j.rec))
}

func (s *planner) releaseQuotaHold(j *job) {
	if !j.held {
		return
	}
	j.held = false
	t := s.ledger.team(j.rec.Team)
	t.held = state.Resources{}
	t.limited = true
	s.quotaFreed(j.rec.Team)
}

// planGangs starts the gangs that fit now and reserves capacity for the first one
// that does not.
func (s *planner) planGangs(b *batch) {
	q := s.queues[queueGang]
	if s.gangs.capacityWasFreed {
		s.gangs.capacityWasFreed = false
		available := s.workers.Available()
		q.Unblock(func(total state.Resources) bool { return total.FitsIn(available) })
	}
	for tries := 0; tries < gangTries && b.left > 0; tries++ {
		l := q.Best()
		if l == nil {
			return
		}
		j, t := s.taskOf(l.Head())
		if !s.tryGang(b, q, l, j, t) && !l.Parked() {
			q.Block(l.Group(), "not enough workers are free at the same time")
		}
	}
}

func (s *planner) tryGang(b *batch, q *queue.Queue, l *queue.Lane, j *job, t *task) bool {
	if r := s.gangs.reservation; r != nil && r.Key == j.rec.Key {
		return false // useReservation starts it when the reservation is ready
	}
	n := queuedTasks(j.rec)
	own, ok := s.gangQuota(j, n)
	if !ok {
		s.holdQuota(j)
		s.ledger.team(l.Team).limited = true
		q.Park(l, "the team's quota does not cover all tasks at once")
		if l.Repeatable {
			s.waitingBorrowers = append(s.waitingBorrowers, parkedLane{q, l})
		}
		return false
	}
	if nodes := s.placeAll(j, n); nodes != nil {
		s.startTogether(b, j, t, nodes, own)
		return true
	}
	if s.gangs.reservation == nil {
		s.tryReserve(b.clock, j, n)
	}
	return false
}

// placeAll returns a node for each of n tasks, or nil if they do not all fit.
func (s *planner) placeAll(j *job, n int) []*placement.Node {
	need := j.rec.PerTask
	if !need.Scale(n).FitsIn(s.workers.Available()) {
		return nil
	}
	tiers := gangTiers
	if s.clock.WallMS-j.rec.AcceptedMS > gangStragglerMS {
		tiers = fastFirst
	}
	nodes := make([]*placement.Node, 0, n)
	for len(nodes) < n {
		node := s.workers.BestFit(need, tiers, excludedNodes(nil), placement.TightFit{})
		if node == nil {
			break
		}
		s.workers.Reserve(node, need)
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		s.workers.Release(node, need)
	}
	if len(nodes) < n {
		return nil
	}
	return nodes
}

// gangStragglerMS is the time for which a gang waits for workers that are not
// stragglers. Without this bound it would never start in a domain with too few of them.
const gangStragglerMS = 60_000

// gangTiers excludes stragglers, since a gang is as slow as its slowest task.
var gangTiers = []placement.Tier{placement.TierFast, placement.TierNormal, placement.TierSlow}

// tryReserve makes a reservation for n tasks of the job and reports whether that was
// possible.
func (s *planner) tryReserve(c Clock, j *job, n int) bool {
	s.gangs.checkMS = c.WallMS + reservationCheckMS
	r := s.workers.PlanReservation(j.rec.Key, j.rec.PerTask, n, c.WallMS)
	if r == nil {
		return false
	}
	s.workers.HoldReservation(r)
	s.gangs.reservation = r
	s.gangs.moveMS = moveGraceMS + min(r.LateMS, c.WallMS+moveFactor*(r.StartMS-c.WallMS))
	return true
}

// reserveForBlocked makes a reservation for the first blocked gang, or else for the
// first batch task that has been blocked for blockedBatchMS.
func (s *planner) reserveForBlocked(c Clock) {
	if s.gangs.reservation != nil || c.WallMS < s.gangs.checkMS {
		return
	}
	var first *queue.Item
	consider := func(l *queue.Lane) {
		it := l.Head()
		if j, _ := s.taskOf(it); it.Task >= 0 && c.WallMS-j.rec.AcceptedMS < blockedBatchMS {
			return
		}
		if first == nil || earlier(it, first) {
			first = it
		}
	}
	s.queues[queueGang].ScanBlocked(consider)
	if first == nil {
		s.queues[queueBatch].ScanBlocked(consider)
	}
	if first == nil {
		return
	}
	j, _ := s.taskOf(first)
	s.tryReserve(c, j, tasksOf(j))
}

// earlier reports whether a comes before b, which may be in another group.
func earlier(a, b *queue.Item) bool {
	if a.Due != b.Due {
		return a.Due < b.Due
	}
	if a.Key.Team != b.Key.Team {
		return a.Key.Team < b.Key.Team
	}
	return a.Key.ID < b.Key.ID
}
