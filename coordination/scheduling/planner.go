package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// maxPlanItems bounds the assignments of one Plan call, so that a long queue does
	// not delay the other events of the control goroutine. A gang may exceed it, since its
	// tasks are planned together.
	maxPlanItems = 256
	// workerItems is the part of maxPlanItems that is kept for the classes that run on
	// workers, in case the classes that run in slots could use all of it.
	workerItems = 64
	// joinPeriod is the time after the start of a term during which endpoints may still
	// be registering. Work that no known endpoint can run is kept for that long.
	joinPeriod = 30 * time.Second
	// rejectedDelayMS is the delay after a rejected plan. Without it the plan would be
	// proposed again with every call of Plan until the scheduler's indexes reflect the
	// current state.
	rejectedDelayMS = 100
)

// planner implements Scheduler.
type planner struct {
	opt              Options
	cfg              state.Configuration
	ledger           *ledger
	runners          *placement.Pool
	workers          *placement.Pool
	jobs             map[state.Key]*job
	queues           [queueCount]*queue.Queue
	delayed          *queue.Timeline[*task]       // waiting tasks by not-before time
	aging            *queue.Timeline[*task]       // deferrable work by time of promotion
	expiry           *queue.Timeline[state.Key]   // jobs by the time of the next check in Expired
	plans            map[*state.Assign][]reserved // plans that are not settled
	slots            slotUse
	running          map[state.Class]int // number of running tasks, planned ones included
	gangs            gangState
	waitingBorrowers []parkedLane            // lanes that wait to borrow idle quota of other teams
	idleQuotaGrew    bool                    // idle quota may have grown since the last call of retryBorrowers
	trials           *queue.Timeline[string] // quarantined endpoints by time of the next trial
	trialReleases    []string                // quarantined endpoints that EndpointTransitions makes ready
	started          bool
	startedAt        time.Duration // monotonic time of the first call with a clock
	clock            Clock         // clock of the latest call that passed one
	limitReached     bool          // the last plan reached maxPlanItems
	triesLeft        int           // lanes that this plan may still set aside without a placement
	skippedLanes     []parkedLane  // lanes set aside until the end of the plan
	policies         policies
	filter           deadlineFilter // filter of the current search; reused to save an allocation
}

// parkedLane is a lane that is set aside, with its queue. A lane holds waiting tasks that
// are equivalent for placement and for the quota.
type parkedLane struct {
	q *queue.Queue
	l *queue.Lane
}

// reserved is the capacity and quota that one assignment of an unsettled plan uses.
type reserved struct {
	job      *job
	task     int
	node     *placement.Node
	pool     *placement.Pool
	borrowed bool
}

// New returns a Scheduler. Its Plan proposes at most 256 assignments in a call, except
// that a gang, whose tasks are planned together, may exceed this limit. Each state.Assign
// has tasks of one request only, so that its rejection does not affect other requests. All
// tasks of a gang are in one state.Assign.
func New(o Options) Scheduler {
	s := &planner{
		opt:     o.withDefaults(),
		ledger:  newLedger(),
		runners: placement.NewPool(state.KindRunner),
		workers: placement.NewPool(state.KindWorker),
		jobs:    map[state.Key]*job{},
		delayed: queue.NewTimeline[*task](),
		aging:   queue.NewTimeline[*task](),
		expiry:  queue.NewTimeline[state.Key](),
		trials:  queue.NewTimeline[string](),
		plans:   map[*state.Assign][]reserved{},
		running: map[state.Class]int{},
	}
	for b := range s.queues {
		s.queues[b] = queue.New(queueOrders[b])
	}
	s.policies = s.newPolicies()
	return s
}

// updateClock stores the clock of a call. The first call sets startedAt.
func (s *planner) updateClock(c Clock) {
	if !s.started {
		s.started, s.startedAt = true, c.Now
	}
	s.clock = c
}

// joinPeriodOver reports whether joinPeriod has passed since the first call, so that the
// endpoints have had time to register.
func (s *planner) joinPeriodOver(c Clock) bool { return s.started && c.Now-s.startedAt >= joinPeriod }

func (s *planner) poolOf(c state.Class) *placement.Pool {
	if c.UsesSlots() {
		return s.runners
	}
	return s.workers
}

func (s *planner) poolOfKind(k state.EndpointKind) *placement.Pool {
	if k == state.KindRunner {
		return s.runners
	}
	return s.workers
}

// Configure implements Scheduler.
func (s *planner) Configure(cfg state.Configuration, shares map[string]state.Resources) {
	s.cfg = cfg
	s.opt.Admitter.Configure(cfg)
	s.ledger.setShares(shares)
	for team, t := range s.ledger.teams {
		for b, q := range s.queues {
			weight := t.share.Slots
			if queueID(b) >= queueService {
				weight = t.share.MilliCores / 1000
			}
			q.SetWeight(team, int64(weight))
		}
		t.limited = true
		s.quotaFreed(team)
	}
}

// EndpointChanged implements Scheduler.
func (s *planner) EndpointChanged(c Clock, e *state.Endpoint) {
	s.updateClock(c)
	p := s.poolOfKind(e.Kind)
	n := p.Update(e, s.opt.Estimator.Speed(e.Name))
	if e.Status == state.EndpointQuarantined {
		s.trials.Set(e.Name, s.trialMS(e.Name))
	} else {
		s.trials.Remove(e.Name)
	}
	if e.Status == state.EndpointReady {
		s.capacityFreed(p, n)
	}
}

// EndpointRemoved implements Scheduler.
func (s *planner) EndpointRemoved(name string) {
	s.runners.Remove(name)
	s.workers.Remove(name)
	s.trials.Remove(name)
}

// capacityFreed unblocks the groups of lanes whose task size fits into the free capacity
// of the node now. Gangs need several nodes, so planGangs tries them again instead.
func (s *planner) capacityFreed(p *placement.Pool, n *placement.Node) {
	free := n.Free()
	fits := func(need state.Resources) bool { return need.FitsIn(free) }
	if p == s.runners {
		for b := queueUrgent; b <= queueDeferrable; b++ {
			s.queues[b].Unblock(fits)
		}
		return
	}
	s.queues[queueService].Unblock(fits)
	s.queues[queueBatch].Unblock(fits)
	s.gangs.capacityWasFreed = true
}

// quotaFreed unparks the lanes of a team that wait for its quota. Lanes that borrow quota
// try the team's own share first again.
func (s *planner) quotaFreed(team string) {
	s.idleQuotaGrew = true
	t := s.ledger.team(team)
	if !t.limited {
		return
	}
	t.limited = false
	for _, q := range s.queues {
		for _, l := range q.TeamLanes(team) {
			if l.Parked() || l.Borrows() {
				q.Unpark(l, false)
			}
		}
	}
}

// retryBorrowers unparks a few of the lanes that wait to borrow quota of other teams, if
// idle quota may have grown since the last call.
func (s *planner) retryBorrowers() {
	const perPlan = 8 // the others follow when quota is returned again
	if !s.idleQuotaGrew {
		return
	}
	s.idleQuotaGrew = false
	n := min(perPlan, len(s.waitingBorrowers))
	for _, w := range s.waitingBorrowers[:n] {
		if w.l.Parked() {
			w.q.Unpark(w.l, true)
		}
	}
	s.waitingBorrowers = append(s.waitingBorrowers[:0], s.waitingBorrowers[n:]...)
}

// PlanSettled implements Scheduler.
func (s *planner) PlanSettled(p *state.Assign, applied bool) {
	items := s.plans[p]
	delete(s.plans, p)
	for _, it := range items {
		r := &it.job.rec.Request
		it.pool.Release(it.node, r.PerTask)
		s.ledger.add(r.Team, r.PerTask, it.borrowed, -1)
		s.countRunning(it.job, -1)
		s.countRack(it.job, it.node, -1)
		it.job.plannedTasks--
		it.job.tasks[it.task].wait = notWaiting
	}
	if len(items) == 0 {
		return
	}
	j := items[0].job
	if j.gang != nil {
		j.gang.wait = notWaiting
	}
	if !applied {
		j.retryMS = s.clock.WallMS + rejectedDelayMS
		s.quotaFreed(j.rec.Team)
		for _, it := range items {
			s.capacityFreed(it.pool, it.node)
		}
	}
	s.syncQueues(s.clock, j)
	s.pruneIfDone(j)
}

// reserve appends an assignment to the plan and reserves what it uses until the plan is
// settled.
func (s *planner) reserve(a *state.Assign, j *job, i int, p *placement.Pool, n *placement.Node, borrowed bool) {
	r := &j.rec.Request
	a.Items = append(a.Items, state.Assignment{
		Key: r.Key, Task: i, Endpoint: n.Endpoint.Name, Incarnation: n.Endpoint.Incarnation, Borrowed: borrowed,
	})
	p.Reserve(n, r.PerTask)
	s.ledger.add(r.Team, r.PerTask, borrowed, 1)
	s.countRunning(j, 1)
	s.countRack(j, n, 1)
	j.tasks[i].wait = planned
	j.plannedTasks++
	s.plans[a] = append(s.plans[a], reserved{job: j, task: i, node: n, pool: p, borrowed: borrowed})
}

// Observe implements Scheduler.
func (s *planner) Observe(c Clock, o Observation) FailureAdvice {
	s.updateClock(c)
	s.opt.Estimator.Observe(c, o)
	p := s.poolOf(o.Record.Class)
	if n := p.Node(o.Endpoint); n != nil {
		p.SetSpeed(n, s.opt.Estimator.Speed(o.Endpoint))
	}
	bad := s.opt.Health.Observe(c, o)
	if o.Status == state.TaskDone || o.Status == state.TaskCancelled {
		return FailureAdvice{}
	}
	return s.opt.Retry.Advise(c, o, bad)
}

// EndpointTransitions implements Scheduler.
func (s *planner) EndpointTransitions(c Clock) []*state.SetEndpointStatus {
	s.updateClock(c)
	var out []*state.SetEndpointStatus
	changes := s.opt.Health.Transitions(c)
	for _, name := range s.trialReleases {
		changes = append(changes, Transition{name, state.EndpointReady})
	}
	s.trialReleases = s.trialReleases[:0]
	for _, t := range changes {
		n := s.runners.Node(t.Endpoint)
		if n == nil {
			n = s.workers.Node(t.Endpoint)
		}
		if n == nil || n.Endpoint.Status == t.Status || !n.Endpoint.AcceptsWork() {
			continue
		}
		out = append(out, &state.SetEndpointStatus{AtMS: c.WallMS, Name: t.Endpoint, Incarnation: n.Endpoint.Incarnation, Status: t.Status})
	}
	return out
}

// Visited returns how many endpoints and racks the searches have examined. It measures
// the cost of planning independently of the machine.
func (s *planner) Visited() uint64 { return s.runners.Visited + s.workers.Visited }
