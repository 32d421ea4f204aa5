package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
)

// backfillReliability is the reliability of an estimate from which it may decide
// that a task ends before a reservation starts.
const backfillReliability = 0.5

// planWorkers serves the classes that run on workers. A reservation that is ready
// is used first, since others wait for the capacity that it holds.
func (s *planner) planWorkers(b *batch) {
	s.useReservation(b)
	s.serve(b, bandService, &s.picks.service)
	s.planGangs(b)
	s.serve(b, bandBatch, &s.picks.batch)
	s.reserveForBlocked(b.clock)
}

// findForService prefers the worker that the task ran on before, where its data may
// be, and otherwise the rack with the fewest tasks of the service.
func (s *planner) findForService(_ Clock, j *job, it *queue.Item) *placement.Node {
	t := &j.rec.State[it.Task]
	avoid := avoids(t.FailedOn)
	if n := s.workers.Node(t.Endpoint); n != nil && n.Ready() && j.rec.PerTask.FitsIn(n.Available()) && avoid.Allows(n) {
		return n
	}
	return s.workers.Spread(j.rec.PerTask, j.racks, avoid)
}

// findForBatch packs tightly and may use capacity held for a reservation if the
// task surely ends before the reservation starts.
func (s *planner) findForBatch(c Clock, j *job, it *queue.Item) *placement.Node {
	f := s.timely(c, j, it)
	if n := s.workers.BestFit(j.rec.PerTask, fastFirst, f, placement.TightFit{}); n != nil {
		return n
	}
	r := s.gangs.reservation
	if r == nil || r.Key == j.rec.Key || j.est.Reliability < backfillReliability {
		return nil
	}
	return r.Backfill(j.rec.PerTask, j.est.UpperMS, c.WallMS, f)
}
