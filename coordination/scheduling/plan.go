package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// maxTries bounds the lanes that one plan sets aside without a placement.
const maxTries = 64

// Tier orders of the searches.
var (
	fastFirst   = []placement.Tier{placement.TierFast, placement.TierNormal, placement.TierSlow, placement.TierStraggler}
	normalFirst = []placement.Tier{placement.TierNormal, placement.TierSlow, placement.TierFast, placement.TierStraggler}
)

// Plan implements Scheduler.
func (s *planner) Plan(c Clock) []*state.Assign {
	s.start(c)
	s.release(c)
	s.wakeLenders()
	s.tries, s.more = maxTries, false
	b := &batch{clock: c, left: maxPlanItems - workerItems}
	s.planSlots(b)
	b.left += workerItems
	s.planTrials(b)
	s.planWorkers(b)
	s.more = b.left <= 0
	for _, w := range s.parked {
		w.q.Unpark(w.l, w.l.Borrows())
	}
	s.parked = s.parked[:0]
	return b.out
}

// batch collects the assignments of one plan.
type batch struct {
	clock Clock
	left  int
	out   []*state.Assign
	last  *job // request of the last element of out
}

// assign returns the Assign of the job's request within this plan.
func (b *batch) assign(j *job) *state.Assign {
	if b.last == j {
		return b.out[len(b.out)-1]
	}
	a := &state.Assign{AtMS: b.clock.WallMS}
	b.out = append(b.out, a)
	b.last = j
	return a
}

// release queues tasks whose delay is over and promotes deferrable work that has
// waited half of its bound.
func (s *planner) release(c Clock) {
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
		s.queues[bandDeferrable].Remove(&t.item)
		t.band = bandPromoted
		s.queues[bandPromoted].Push(k, &t.item)
	}
}

// pick is a way to serve one lane of a queue.
type pick struct {
	allowed func(l *queue.Lane, j *job) (ok, stop bool)
	find    func(c Clock, j *job, it *queue.Item) *placement.Node
	reason  string // why a group of the queue waits when find returns nil
}

// picks holds the ways to serve each band. They are made once, since a method value
// costs an allocation.
type picks struct {
	prompt, least, promoted, leftover pick
	service, batch                    pick
}

func (s *planner) newPicks() picks {
	const noSlot = "no runner has a free slot that would finish it in time"
	const noRoom = "no worker has enough free capacity"
	always := func(*queue.Lane, *job) (ok, stop bool) { return true, false }
	return picks{
		prompt:   pick{allowed: s.promptAllowed, find: s.findPrompt, reason: noSlot},
		least:    pick{allowed: s.leastAllowed, find: s.findLeisurely, reason: noSlot},
		promoted: pick{allowed: s.promotedAllowed, find: s.findLeisurely, reason: noSlot},
		leftover: pick{allowed: s.leftoverAllowed, find: s.findLeisurely, reason: noSlot},
		service:  pick{allowed: always, find: s.findForService, reason: noRoom},
		batch:    pick{allowed: always, find: s.findForBatch, reason: noRoom},
	}
}

// serve starts tasks of a queue in its order until nothing more can start.
func (s *planner) serve(b *batch, bd band, p *pick) {
	q := s.queues[bd]
	for b.left > 0 && s.tries > 0 {
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
			n = s.lastResort(b.clock, j, it)
		}
		if n == nil {
			s.tries--
			if len(s.avoided(j, it.Task)) > 0 {
				s.postpone(b.clock, t)
			} else {
				q.Block(l.Group(), p.reason)
			}
			continue
		}
		s.startTask(b, q, j, t, n, borrowed)
	}
}

// postponeMS is how long a task that must not return to the free endpoints is passed
// over. It must not block the tasks of its size, which may use them.
const postponeMS = 100

func (s *planner) postpone(c Clock, t *task) {
	s.dequeue(t)
	t.wait = delayed
	s.delayed.Set(t, c.WallMS+postponeMS)
}

// avoided returns the endpoints to which a task must not return because it failed
// there. If it has failed on as many as there are, it may use any.
func (s *planner) avoided(j *job, i int) avoids {
	if i < 0 {
		return nil
	}
	failed := j.rec.State[i].FailedOn
	if len(failed) >= s.poolOf(j.rec.Class).Len() {
		return nil
	}
	return failed
}

// skip sets a lane aside for the rest of the plan.
func (s *planner) skip(q *queue.Queue, l *queue.Lane, reason string) {
	q.Park(l, reason)
	s.parked = append(s.parked, parkedLane{q, l})
	s.tries--
}

func (s *planner) startTask(b *batch, q *queue.Queue, j *job, t *task, n *placement.Node, borrowed bool) {
	s.aging.Remove(t)
	q.Take(&t.item, 1)
	s.reserve(b.assign(j), j, t.item.Task, s.poolOf(j.rec.Class), n, borrowed)
	b.left--
}

// quota decides whether a task of the lane may start and on whose share. If not, it
// has moved the lane: behind the lanes that need not borrow, or out until quota is
// returned.
func (s *planner) quota(q *queue.Queue, l *queue.Lane, need state.Resources) (borrowed, ok bool) {
	if s.ledger.owns(l.Team, need, false) {
		return false, true
	}
	s.ledger.team(l.Team).limited = true
	switch {
	case !l.Repeatable:
		q.Park(l, "the team's quota is used up")
	case !l.Borrows():
		q.SetBorrows(l, true)
	case s.ledger.lends(l.Team, need):
		return true, true
	default:
		q.Park(l, "the team's quota is used up and no other team's is idle")
		s.lenders = append(s.lenders, parkedLane{q, l})
	}
	return false, false
}

// avoids excludes endpoints on which the task has failed.
type avoids []string

// Allows implements placement.Filter.
func (a avoids) Allows(n *placement.Node) bool {
	for _, name := range a {
		if name == n.Name() {
			return false
		}
	}
	return true
}

// timely excludes slow endpoints that would make the task late.
type timely struct {
	avoids
	nowMS, dueMS int64
	runMS        int64
}

// stragglerMargin is the factor by which the time left must exceed the run time on a
// straggler: its speed is the least certain.
const stragglerMargin = 2

// Allows implements placement.Filter.
func (f *timely) Allows(n *placement.Node) bool {
	if n.Tier() < placement.TierSlow {
		return f.avoids.Allows(n)
	}
	run := int64(float64(f.runMS) / n.Speed)
	if n.Tier() == placement.TierStraggler {
		run *= stragglerMargin
	}
	return f.nowMS+run <= f.dueMS && f.avoids.Allows(n)
}

// lastResort looks for a node without regard to earlier failures and to the due time
// if these leave out every ready endpoint that is large enough. Otherwise the task,
// and all that is queued behind it, would wait for ever.
func (s *planner) lastResort(c Clock, j *job, it *queue.Item) *placement.Node {
	p, f := s.poolOf(j.rec.Class), s.timely(c, j, it)
	usable := false
	p.Nodes(func(n *placement.Node) {
		usable = usable || n.Ready() && j.rec.PerTask.FitsIn(n.Endpoint.Capacity) && f.Allows(n)
	})
	if usable {
		return nil
	}
	return p.MostFree(j.rec.PerTask, fastFirst, avoids(nil))
}

// NextWake implements Scheduler.
func (s *planner) NextWake() time.Duration {
	if s.more {
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
