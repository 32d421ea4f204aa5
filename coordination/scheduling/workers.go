package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
)

// backfillReliability is the lowest Estimate.Reliability with which a task may use
// capacity held for a reservation, since it must end before the reservation starts.
const backfillReliability = 0.5

// planWorkers plans the classes that run on workers. A reservation that is ready
// is used first, since other work waits for the capacity that it holds.
func (s *planner) planWorkers(b *batch) {
	s.useReservation(b)
	s.serve(b, queueService, &s.policies.service)
	s.planGangs(b)
	s.serve(b, queueBatch, &s.policies.batch)
	s.reserveForBlocked(b.clock)
}

// findForService prefers the worker on which the task ran before, since its data may
// still be there, and otherwise the rack with the fewest tasks of the service.
func (s *planner) findForService(_ Clock, j *job, it *queue.Item) *placement.Node {
	t := &j.rec.State[it.Task]
	avoid := s.excludedFor(j, it.Task)
	if n := s.workers.Node(t.Endpoint); n != nil && n.Ready() && j.rec.PerTask.FitsIn(n.Available()) && avoid.Allows(n) {
		return n
	}
	return s.workers.Spread(j.rec.PerTask, j.racks, avoid)
}

// findForBatch returns the worker on which the task fits most tightly. If none has room,
// it returns a worker on which the task may use capacity held for a reservation, provided
// that the task ends before the reservation may start even by its upper estimate, and
// that the estimate is reliable.
func (s *planner) findForBatch(c Clock, j *job, it *queue.Item) *placement.Node {
	f := s.deadlineFilter(c, j, it)
	if n := s.workers.BestFit(j.rec.PerTask, fastFirst, f, placement.TightFit{}); n != nil {
		return n
	}
	r := s.gangs.reservation
	if r == nil || r.Key == j.rec.Key || j.est.Reliability < backfillReliability {
		return nil
	}
	return r.Backfill(j.rec.PerTask, j.est.UpperMS, c.WallMS, f)
}
