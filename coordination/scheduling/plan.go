package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// maxTries bounds how often one plan tries a lane without starting a task, because the
// class uses its share of the slots or no node has room.
const maxTries = 64

// Tier orders of the searches.
var (
	fastFirst   = []placement.Tier{placement.TierFast, placement.TierNormal, placement.TierSlow, placement.TierStraggler}
	normalFirst = []placement.Tier{placement.TierNormal, placement.TierSlow, placement.TierFast, placement.TierStraggler}
)

// Plan implements Scheduler.
func (s *planner) Plan(c Clock) []*state.Assign {
	s.updateClock(c)
	s.releaseDelayed(c)
	s.retryBorrowers()
	s.triesLeft, s.limitReached = maxTries, false
	b := &batch{clock: c, left: maxPlanItems - workerItems}
	s.planSlots(b)
	b.left += workerItems
	s.planTrials(b)
	s.planWorkers(b)
	s.limitReached = b.left <= 0
	for _, w := range s.skippedLanes {
		w.q.Unpark(w.l, w.l.Borrows())
	}
	s.skippedLanes = s.skippedLanes[:0]
	return b.out
}

// batch collects the assignments of one call of Plan. It is unrelated to the class batch.
type batch struct {
	clock Clock
	left  int // number of assignments that may still be added; negative if a gang has exceeded it
	out   []*state.Assign
	last  *job // job of the last element of out
}

// assign returns the Assign to which the next assignment of the job is added: the last
// one of this plan if it is of the same job, and otherwise a new one.
func (b *batch) assign(j *job) *state.Assign {
	if b.last == j {
		return b.out[len(b.out)-1]
	}
	a := &state.Assign{AtMS: b.clock.WallMS}
	b.out = append(b.out, a)
	b.last = j
	return a
}

// releaseDelayed queues tasks whose delay has passed and promotes deferrable work that
// has waited for half of its bound.
func (s *planner) releaseDelayed(c Clock) {
	for {
		t, ok := s.delayed.PopDue(c.WallMS)
		if !ok {
			break
		}
		j := s.jobs[t.item.Key]
		t.wait = notWaiting
		s.enqueue(c, j, t)
	}
	for {
		t, ok := s.aging.PopDue(c.WallMS)
		if !ok {
			return
		}
		k := t.item.Lane().LaneKey
		s.queues[queueDeferrable].Remove(&t.item)
		t.queueID = queuePromoted
		s.queues[queuePromoted].Push(k, &t.item)
	}
}

// lanePolicy decides how the lanes of a queue are served. allowed reports whether the
// first task of a lane may start (ok) and whether to stop serving the queue in this plan
// (stop); find returns the node for the task, or nil.
type lanePolicy struct {
	allowed func(l *queue.Lane, j *job) (ok, stop bool)
	find    func(c Clock, j *job, it *queue.Item) *placement.Node
	reason  string // why a group of the queue waits if find returns nil
}

// policies holds the policies by which serve plans the queues; planGangs plans gangs
// without one. They are created once, since a method value costs an allocation.
type policies struct {
	prompt, promotedMin, promoted, deferrable lanePolicy
	service, batch                            lanePolicy
}

func (s *planner) newPolicies() policies {
	const noSlot = "no runner has a free slot that would finish it in time"
	const noRoom = "no worker has enough free capacity"
	always := func(*queue.Lane, *job) (ok, stop bool) { return true, false }
	return policies{
		prompt:      lanePolicy{allowed: s.promptAllowed, find: s.findFastFirst, reason: noSlot},
		promotedMin: lanePolicy{allowed: s.promotedMinAllowed, find: s.findNormalFirst, reason: noSlot},
		promoted:    lanePolicy{allowed: s.promotedAllowed, find: s.findNormalFirst, reason: noSlot},
		deferrable:  lanePolicy{allowed: s.deferrableAllowed, find: s.findNormalFirst, reason: noSlot},
		service:     lanePolicy{allowed: always, find: s.findForService, reason: noRoom},
		batch:       lanePolicy{allowed: always, find: s.findForBatch, reason: noRoom},
	}
}

// serve plans tasks of a queue in its order until no more can start, the policy stops, or
// a limit of the plan is reached.
func (s *planner) serve(b *batch, id queueID, p *lanePolicy) {
	q := s.queues[id]
	for b.left > 0 && s.triesLeft > 0 {
		l := q.Best()
		if l == nil {
			return
		}
		it := l.Head()
		j, t := s.taskOf(it)
		ok, stop := p.allowed(l, j)
		if stop {
			return
		}
		if !ok {
			s.skip(q, l, "the class uses its share of the slots")
			continue
		}
		borrowed, ok := s.quota(q, l, j.rec.PerTask)
		if !ok {
			continue
		}
		n := p.find(b.clock, j, it)
		if n == nil {
			n = s.findFallback(b.clock, j, it)
		}
		if n == nil {
			s.triesLeft--
			if len(s.excludedFor(j, it.Task)) > 0 {
				s.postpone(b.clock, t)
			} else {
				q.Block(l.Group(), p.reason)
			}
			continue
		}
		s.startTask(b, q, j, t, n, borrowed)
	}
}

// postponeMS is the delay of a task that is excluded from the endpoints with room because
// it failed there. Delaying it keeps it from blocking other tasks of its size, which may
// use these endpoints.
const postponeMS = 100

func (s *planner) postpone(c Clock, t *task) {
	s.dequeue(t)
	t.wait = delayed
	s.delayed.Set(t, c.WallMS+postponeMS)
}

// excludedFor returns the endpoints on which a task must not run again because it failed
// there. A task that has failed on as many endpoints as the pool has may use any of them,
// and so may a gang.
func (s *planner) excludedFor(j *job, i int) excludedNodes {
	if i < 0 {
		return nil
	}
	failed := j.rec.State[i].FailedOn
	if len(failed) >= s.poolOf(j.rec.Class).Len() {
		return nil
	}
	return failed
}

// skip sets a lane aside for the rest of the plan. Plan unparks it at the end.
func (s *planner) skip(q *queue.Queue, l *queue.Lane, reason string) {
	q.Park(l, reason)
	s.skippedLanes = append(s.skippedLanes, parkedLane{q, l})
	s.triesLeft--
}

// startTask takes a task out of its queue and plans it on the node.
func (s *planner) startTask(b *batch, q *queue.Queue, j *job, t *task, n *placement.Node, borrowed bool) {
	s.aging.Remove(t)
	q.Take(&t.item, 1)
	s.reserve(b.assign(j), j, t.item.Task, s.poolOf(j.rec.Class), n, borrowed)
	b.left--
}

// quota decides whether a task of the lane may start, and whether it borrows. If it may
// not start, quota has moved the lane behind the lanes that need not borrow, or parked it
// until quota is returned.
func (s *planner) quota(q *queue.Queue, l *queue.Lane, need state.Resources) (borrowed, ok bool) {
	if s.ledger.fitsShare(l.Team, need, false) {
		return false, true
	}
	s.ledger.team(l.Team).limited = true
	switch {
	case !l.Repeatable:
		q.Park(l, "the team's quota is used up")
	case !l.Borrows():
		q.SetBorrows(l, true)
	case s.ledger.canBorrow(l.Team, need):
		return true, true
	default:
		q.Park(l, "the team's quota is used up and no other team's is idle")
		s.waitingBorrowers = append(s.waitingBorrowers, parkedLane{q, l})
	}
	return false, false
}

// excludedNodes is a filter that rejects the named endpoints, on which the task has
// failed.
type excludedNodes []string

// Allows implements placement.Filter.
func (a excludedNodes) Allows(n *placement.Node) bool {
	for _, name := range a {
		if name == n.Name() {
			return false
		}
	}
	return true
}

// deadlineFilter rejects slow endpoints that would make the task late, and the endpoints
// on which it has failed.
type deadlineFilter struct {
	excludedNodes
	nowMS, dueMS int64
	runMS        int64
}

// stragglerMargin is the factor by which the remaining time must exceed the run time on a
// straggler, since the speed of stragglers is the least certain.
const stragglerMargin = 2

// Allows implements placement.Filter.
func (f *deadlineFilter) Allows(n *placement.Node) bool {
	if n.Tier() < placement.TierSlow {
		return f.excludedNodes.Allows(n)
	}
	run := int64(float64(f.runMS) / n.Speed)
	if n.Tier() == placement.TierStraggler {
		run *= stragglerMargin
	}
	return f.nowMS+run <= f.dueMS && f.excludedNodes.Allows(n)
}

// findFallback searches for a node without regard to earlier failures and to the due time
// if these rule out every ready endpoint that is large enough. Without it, the task and
// all tasks queued behind it would wait indefinitely.
func (s *planner) findFallback(c Clock, j *job, it *queue.Item) *placement.Node {
	p, f := s.poolOf(j.rec.Class), s.deadlineFilter(c, j, it)
	usable := false
	p.Nodes(func(n *placement.Node) {
		usable = usable || n.Ready() && j.rec.PerTask.FitsIn(n.Endpoint.Capacity) && f.Allows(n)
	})
	if usable {
		return nil
	}
	return p.MostFree(j.rec.PerTask, fastFirst, excludedNodes(nil))
}

// NextPlanTime implements Scheduler.
func (s *planner) NextPlanTime() time.Duration {
	if s.limitReached {
		return max(1, s.clock.Now)
	}
	at := int64(0)
	earliest := func(t int64, ok bool) {
		if ok && (at == 0 || t < at) {
			at = t
		}
	}
	earliest(s.delayed.Next())
	earliest(s.aging.Next())
	earliest(s.expiry.Next())
	earliest(s.trials.Next())
	earliest(s.gangs.next())
	if at == 0 {
		return 0
	}
	return max(1, s.clock.Now+time.Duration(max(0, at-s.clock.WallMS))*time.Millisecond)
}
