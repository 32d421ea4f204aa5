package scheduling

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// maxPlanItems bounds the assignments of one Plan call, so that a long queue does
	// not hold up the other events of the control goroutine.
	maxPlanItems = 256
	// workerItems of them are left to worker classes when slots could use all.
	workerItems = 64
	// settlingTime is how long endpoints may still be joining after a term begins;
	// work that no known endpoint can run waits that long.
	settlingTime = 30 * time.Second
	// rejectedDelayMS keeps a plan that the state rejects from being proposed again at
	// every step until the view of the state has caught up.
	rejectedDelayMS = 100
)

// planner is the Scheduler made by New.
type planner struct {
	opt      Options
	cfg      state.Configuration
	ledger   *ledger
	runners  *placement.Pool
	workers  *placement.Pool
	jobs     map[state.Key]*job
	queues   [bandCount]*queue.Queue
	delayed  *queue.Timeline[*task]     // by not-before time
	aging    *queue.Timeline[*task]     // deferrable work by time of promotion
	expiry   *queue.Timeline[state.Key] // by time of the next look at Expired
	plans    map[*state.Assign][]reserved
	slots    slotUse
	running  map[state.Class]int // tasks, planned ones included
	gangs    gangState
	lenders  []parkedLane // lanes that wait for idle quota of other teams
	lenient  bool         // idle quota has grown since lenders were woken
	trials   *queue.Timeline[string]
	released []string // quarantined endpoints to make ready
	started  bool
	bornAt   time.Duration
	clock    Clock // of the latest call that carried one
	more     bool  // the last plan reached its bound
	tries    int   // failed attempts left in this plan
	parked   []parkedLane
	picks    picks
	filter   timely // reused by each search
}

type parkedLane struct {
	q *queue.Queue
	l *queue.Lane
}

// reserved is what one assignment of an unsettled plan uses.
type reserved struct {
	job      *job
	task     int
	node     *placement.Node
	pool     *placement.Pool
	borrowed bool
}

// New returns a Scheduler. Plan proposes at most 256 assignments in a call, one
// state.Assign for each request, so that the rejection of one leaves the others
// standing; all tasks of a gang are in one.
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
		s.queues[b] = queue.New(bandOrder[b])
	}
	s.picks = s.newPicks()
	return s
}

func (s *planner) start(c Clock) {
	if !s.started {
		s.started, s.bornAt = true, c.Now
	}
	s.clock = c
}

// settled reports whether the endpoints have had time to join.
func (s *planner) settled(c Clock) bool { return s.started && c.Now-s.bornAt >= settlingTime }

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
			if band(b) >= bandService {
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
	s.start(c)
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

// capacityFreed makes the groups ready that may fit on the node now.
func (s *planner) capacityFreed(p *placement.Pool, n *placement.Node) {
	free := n.Free()
	fits := func(need state.Resources) bool { return need.FitsIn(free) }
	if p == s.runners {
		for b := bandUrgent; b <= bandDeferrable; b++ {
			s.queues[b].Wake(fits)
		}
		return
	}
	s.queues[bandService].Wake(fits)
	s.queues[bandBatch].Wake(fits)
	s.gangs.freed = true
}

// quotaFreed makes the lanes of a team ready that waited for its quota or borrowed.
func (s *planner) quotaFreed(team string) {
	s.lenient = true
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

// wakeLenders tries a few of the lanes that wait for idle quota of other teams.
func (s *planner) wakeLenders() {
	const perPlan = 8 // the others follow as quota keeps being returned
	if !s.lenient {
		return
	}
	s.lenient = false
	n := min(perPlan, len(s.lenders))
	for _, w := range s.lenders[:n] {
		if w.l.Parked() {
			w.q.Unpark(w.l, true)
		}
	}
	s.lenders = append(s.lenders[:0], s.lenders[n:]...)
}

// Settled implements Scheduler.
func (s *planner) Settled(p *state.Assign, applied bool) {
	items := s.plans[p]
	delete(s.plans, p)
	for _, it := range items {
		r := &it.job.rec.Request
		it.pool.Release(it.node, r.PerTask)
		s.ledger.add(r.Team, r.PerTask, it.borrowed, -1)
		s.countRunning(it.job, -1)
		s.countRack(it.job, it.node, -1)
		it.job.inPlans--
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
	s.sync(s.clock, j)
	s.forgetIfDone(j)
}

// reserve notes the use of an assignment until it is settled and appends it to the
// plan.
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
	j.inPlans++
	s.plans[a] = append(s.plans[a], reserved{job: j, task: i, node: n, pool: p, borrowed: borrowed})
}

// Observe implements Scheduler.
func (s *planner) Observe(c Clock, o Observation) FailureAdvice {
	s.start(c)
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
	s.start(c)
	var out []*state.SetEndpointStatus
	changes := s.opt.Health.Transitions(c)
	for _, name := range s.released {
		changes = append(changes, Transition{name, state.EndpointReady})
	}
	s.released = s.released[:0]
	for _, t := range changes {
		n := s.runners.Node(t.Endpoint)
		if n == nil {
			n = s.workers.Node(t.Endpoint)
		}
		if n == nil || n.Endpoint.Status == t.Status || !n.Endpoint.TakesWork() {
			continue
		}
		out = append(out, &state.SetEndpointStatus{AtMS: c.WallMS, Name: t.Endpoint, Incarnation: n.Endpoint.Incarnation, Status: t.Status})
	}
	return out
}

// Visited returns how many endpoints and racks the searches have looked at, a
// measure of control cost that does not depend on the machine.
func (s *planner) Visited() uint64 { return s.runners.Visited + s.workers.Visited }
