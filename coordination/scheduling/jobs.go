package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// band is a queue of the scheduler. Each class has one; deferrable work that has
// waited long has another.
type band uint8

const (
	bandUrgent band = iota
	bandInteractive
	bandPromoted
	bandDeferrable
	bandService
	bandBatch
	bandGang
	bandCount
)

var bandOrder = [bandCount]queue.Order{
	bandUrgent:      queue.ByTeam,
	bandInteractive: queue.ByDue,
	bandPromoted:    queue.ByDue,
	bandDeferrable:  queue.ByTeam,
	bandService:     queue.ByTeam,
	bandBatch:       queue.ByDue,
	bandGang:        queue.ByDue,
}

func bandOf(c state.Class) band {
	switch c {
	case state.ClassUrgent:
		return bandUrgent
	case state.ClassInteractive:
		return bandInteractive
	case state.ClassDeferrable:
		return bandDeferrable
	case state.ClassService:
		return bandService
	case state.ClassGang:
		return bandGang
	default:
		return bandBatch
	}
}

const (
	// urgentStartMS is the requirement on the start of urgent work.
	urgentStartMS = 1100
	// interactiveWaitMS is how long a caller at the screen is assumed to wait.
	interactiveWaitMS = 2000
	// deferrableBoundMS bounds the wait of deferrable work whose kind states no bound.
	deferrableBoundMS = 60_000
	// defaultDueMS orders batch work without a deadline among work with one.
	defaultDueMS = 24 * 3600 * 1000
	// longMS separates long from short work on slots. Work up to it ends within the
	// time in which urgent work must start.
	longMS = 1000
)

type waitState uint8

const (
	notWaiting waitState = iota
	delayed              // until its not-before time
	queued
	planned // part of a plan that is not settled
)

// task is what the scheduler knows of a task beyond its record.
type task struct {
	item queue.Item
	wait waitState
	band band
}

// job is a request with a task that waits, is planned or reserves capacity.
type job struct {
	rec      *state.Record
	est      Estimate
	long     bool
	tasks    []task
	one      [1]task        // backs tasks for a request of one task
	gang     *task          // stands for all queued tasks, for gangs
	racks    map[string]int // tasks in each rack, for services
	held     bool           // the team's quota is held for this gang
	inPlans  int            // tasks in plans that are not settled
	retryMS  int64          // after a rejected plan, Unix milliseconds
	checking bool           // in the timeline of jobs that may never run
}

func (s *planner) newJob(r *state.Record) *job {
	j := &job{rec: r, est: s.opt.Estimator.Estimate(&r.Request)}
	j.long = j.est.RunMS > longMS
	if len(r.State) == 1 {
		j.tasks = j.one[:]
	} else {
		j.tasks = make([]task, len(r.State))
	}
	for i := range j.tasks {
		j.tasks[i].item = queue.Item{Key: r.Key, Task: i, Due: s.due(&r.Request), Cost: j.est.RunMS}
	}
	switch r.Class {
	case state.ClassGang:
		j.gang = &task{item: queue.Item{Key: r.Key, Task: queue.AllTasks, Due: s.due(&r.Request), Cost: j.est.RunMS}}
	case state.ClassService:
		j.racks = map[string]int{}
	}
	return j
}

// due returns the time that orders a request within its class. Deferrable work must
// start by it.
func (s *planner) due(r *state.Request) int64 {
	switch r.Class {
	case state.ClassUrgent:
		return r.AcceptedMS + urgentStartMS
	case state.ClassDeferrable:
		return r.AcceptedMS + s.bound(r)
	case state.ClassService:
		return r.AcceptedMS
	case state.ClassInteractive:
		if r.DeadlineMS == 0 {
			return r.AcceptedMS + interactiveWaitMS
		}
	}
	if r.DeadlineMS == 0 {
		return r.AcceptedMS + defaultDueMS
	}
	return r.DeadlineMS
}

// bound returns the longest wait of deferrable work.
func (s *planner) bound(r *state.Request) int64 {
	if k, ok := s.cfg.Teams[r.Team].Kinds[r.Kind]; ok && k.MaxWaitMS > 0 {
		return k.MaxWaitMS
	}
	return deferrableBoundMS
}

func reserves(r *state.Record) bool {
	for i := range r.State {
		if r.State[i].Reserves() {
			return true
		}
	}
	return false
}

// RecordChanged implements Scheduler.
func (s *planner) RecordChanged(c Clock, r *state.Record) {
	s.start(c)
	j := s.jobs[r.Key]
	if j == nil {
		if r.Final() && !reserves(r) {
			return
		}
		j = s.newJob(r)
		s.jobs[r.Key] = j
		s.account(j, nil, r)
	} else {
		old := j.rec
		j.rec = r
		s.account(j, old, r)
	}
	s.sync(c, j)
	s.forgetIfDone(j)
}

func (s *planner) forgetIfDone(j *job) {
	if j.inPlans > 0 || !j.rec.Final() || reserves(j.rec) {
		return
	}
	s.expiry.Remove(j.rec.Key)
	s.releaseQuotaHold(j)
	delete(s.jobs, j.rec.Key)
}

// account brings usage, slots and running tasks up to date with a new record.
func (s *planner) account(j *job, old, r *state.Record) {
	for i := range r.State {
		now := &r.State[i]
		var was *state.Task
		if old != nil {
			was = &old.State[i]
		}
		before, after := was != nil && was.Reserves(), now.Reserves()
		if before && after && was.Attempt == now.Attempt {
			continue
		}
		if before {
			s.taskEnded(j, i, was)
		}
		if after {
			s.taskStarted(j, i, now)
		}
	}
}

func (s *planner) taskStarted(j *job, i int, t *state.Task) {
	r := &j.rec.Request
	s.ledger.add(r.Team, r.PerTask, t.Borrowed, 1)
	s.countRunning(j, 1)
	n := s.poolOf(r.Class).Node(t.Endpoint)
	if n == nil {
		return
	}
	run := placement.Running{Key: r.Key, Task: i, PerTask: r.PerTask, StartMS: t.AssignedMS, EndMS: placement.Forever, EarlyMS: placement.Forever, LateMS: placement.Forever}
	if r.Class != state.ClassService {
		expected := float64(j.est.RunMS) / n.Speed
		run.EndMS = t.AssignedMS + int64(expected)
		run.EarlyMS = t.AssignedMS + int64(expected*j.est.Reliability)
		run.LateMS = t.AssignedMS + int64(float64(j.est.UpperMS)/n.Speed)
	}
	n.AddRunning(run)
	s.countRack(j, n, 1)
}

func (s *planner) taskEnded(j *job, i int, t *state.Task) {
	r := &j.rec.Request
	s.ledger.add(r.Team, r.PerTask, t.Borrowed, -1)
	s.countRunning(j, -1)
	s.quotaFreed(r.Team)
	if n := s.poolOf(r.Class).Node(t.Endpoint); n != nil {
		n.RemoveRunning(r.Key, i)
		s.countRack(j, n, -1)
	}
}

func (s *planner) countRack(j *job, n *placement.Node, by int) {
	if j.racks == nil {
		return
	}
	j.racks[n.Rack()] += by
	if j.racks[n.Rack()] <= 0 {
		delete(j.racks, n.Rack())
	}
}

// sync queues the tasks that wait and takes out those that no longer do.
func (s *planner) sync(c Clock, j *job) {
	if j.gang != nil {
		s.syncGang(c, j)
		return
	}
	for i := range j.tasks {
		want := j.rec.State[i].Status == state.TaskQueued && !j.rec.Cancel
		s.setWaiting(c, j, &j.tasks[i], want, j.rec.State[i].NotBeforeMS)
	}
}

func (s *planner) syncGang(c Clock, j *job) {
	want, notBefore := false, int64(0)
	for i := range j.rec.State {
		if t := &j.rec.State[i]; t.Status == state.TaskQueued && !j.rec.Cancel {
			want, notBefore = true, max(notBefore, t.NotBeforeMS)
		}
	}
	if j.inPlans > 0 {
		return
	}
	s.setWaiting(c, j, j.gang, want, notBefore)
	if !want {
		s.releaseQuotaHold(j)
	}
}

func (s *planner) setWaiting(c Clock, j *job, t *task, want bool, notBefore int64) {
	switch {
	case want && t.wait == notWaiting:
		if at := max(notBefore, j.retryMS); at > c.WallMS {
			t.wait = delayed
			s.delayed.Set(t, at)
			return
		}
		s.enqueue(c, j, t)
	case !want && t.wait != planned:
		s.dequeue(t)
	}
}

func (s *planner) enqueue(c Clock, j *job, t *task) {
	r := &j.rec.Request
	k := queue.LaneKey{Team: r.Team, Kind: r.Kind, PerTask: r.PerTask, Repeatable: r.Repeatable}
	t.wait, t.band = queued, bandOf(r.Class)
	switch t.band {
	case bandGang:
		k.PerTask = r.PerTask.Scale(queuedTasks(j.rec))
	case bandDeferrable:
		promoteAt := r.AcceptedMS + s.bound(r)/2
		if promoteAt <= c.WallMS {
			t.band = bandPromoted
		} else {
			s.aging.Set(t, promoteAt)
		}
	}
	s.queues[t.band].Push(k, &t.item)
	s.watchLimits(c, j)
}

func (s *planner) dequeue(t *task) {
	switch t.wait {
	case delayed:
		s.delayed.Remove(t)
	case queued:
		s.aging.Remove(t)
		s.queues[t.band].Remove(&t.item)
	}
	t.wait = notWaiting
}

func queuedTasks(r *state.Record) int {
	n := 0
	for i := range r.State {
		if r.State[i].Status == state.TaskQueued {
			n++
		}
	}
	return n
}

// taskOf returns the task that an item of a queue stands for.
func (s *planner) taskOf(it *queue.Item) (*job, *task) {
	j := s.jobs[it.Key]
	if it.Task == queue.AllTasks {
		return j, j.gang
	}
	return j, &j.tasks[it.Task]
}
