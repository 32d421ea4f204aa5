package scheduling

import (
	"github.com/primrosereach/primrosereach/coordination/placement"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state"
)

// queueID identifies one of the scheduler's queues. Each class has one; deferrable work
// that has waited for half of its bound has a second one.
type queueID uint8

const (
	queueUrgent queueID = iota
	queueInteractive
	queuePromoted
	queueDeferrable
	queueService
	queueBatch
	queueGang
	queueCount
)

var queueOrders = [queueCount]queue.Order{
	queueUrgent:      queue.ByTeam,
	queueInteractive: queue.ByDue,
	queuePromoted:    queue.ByDue,
	queueDeferrable:  queue.ByTeam,
	queueService:     queue.ByTeam,
	queueBatch:       queue.ByDue,
	queueGang:        queue.ByDue,
}

func queueOf(c state.Class) queueID {
	switch c {
	case state.ClassUrgent:
		return queueUrgent
	case state.ClassInteractive:
		return queueInteractive
	case state.ClassDeferrable:
		return queueDeferrable
	case state.ClassService:
		return queueService
	case state.ClassGang:
		return queueGang
	default:
		return queueBatch
	}
}

const (
	// urgentStartMS is the time within which urgent work is required to start.
	urgentStartMS = 1100
	// interactiveWaitMS is the time for which the user of interactive work without a
	// deadline is assumed to wait.
	interactiveWaitMS = 2000
	// deferrableBoundMS bounds the wait of deferrable work whose kind sets no bound.
	deferrableBoundMS = 60_000
	// defaultDueMS is the time to the deadline that is assumed for work without one, so
	// that it can be ordered among work with a deadline.
	defaultDueMS = 24 * 3600 * 1000
	// longMS is the expected run time above which work on slots counts as long. Shorter
	// work ends within the time in which urgent work must start.
	longMS = 1000
)

// waitState is the position of a task between being queued and being assigned.
type waitState uint8

const (
	notWaiting waitState = iota
	delayed              // waits for its not-before time
	queued               // in the queue that task.queueID names
	planned              // part of a plan that is not settled
)

// task holds the scheduler's own state of a task, beyond its record.
type task struct {
	item    queue.Item
	wait    waitState
	queueID queueID
}

// job holds the scheduler's own state of a request of which a task waits, is planned or
// reserves capacity.
type job struct {
	rec           *state.Record // latest version
	est           Estimate
	long          bool // expected to run longer than longMS
	tasks         []task
	single        [1]task        // backing array of tasks for a request of one task, which saves an allocation
	gang          *task          // for a gang: stands for all of its queued tasks
	racks         map[string]int // for a service: number of tasks in each rack
	held          bool           // quota of the team is held for this gang
	plannedTasks  int            // number of tasks in plans that are not settled
	retryMS       int64          // earliest time of the next plan after a rejected one, Unix milliseconds
	expiryWatched bool           // the job has an entry in planner.expiry
}

func (s *planner) newJob(r *state.Record) *job {
	j := &job{rec: r, est: s.opt.Estimator.Estimate(&r.Request)}
	j.long = j.est.RunMS > longMS
	if len(r.State) == 1 {
		j.tasks = j.single[:]
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

// due returns the request's place in the order of its class, a time in Unix
// milliseconds: for deferrable work the latest start, for a service the time at which it
// was accepted, and for other work the deadline or, without one, an assumed due time.
// Urgent work is due urgentStartMS after it was accepted, whatever its deadline.
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

// bound returns the longest wait of deferrable work, in milliseconds.
func (s *planner) bound(r *state.Request) int64 {
	if k, ok := s.cfg.Teams[r.Team].Kinds[r.Kind]; ok && k.MaxWaitMS > 0 {
		return k.MaxWaitMS
	}
	return deferrableBoundMS
}

// reservesCapacity reports whether any task of the record reserves capacity.
func reservesCapacity(r *state.Record) bool {
	for i := range r.State {
		if r.State[i].Reserves() {
			return true
		}
	}
	return false
}

// RecordChanged implements Scheduler.
func (s *planner) RecordChanged(c Clock, r *state.Record) {
	s.updateClock(c)
	j := s.jobs[r.Key]
	if j == nil {
		if r.Final() && !reservesCapacity(r) {
			return
		}
		j = s.newJob(r)
		s.jobs[r.Key] = j
		s.updateUsage(j, nil, r)
	} else {
		old := j.rec
		j.rec = r
		s.updateUsage(j, old, r)
	}
	s.syncQueues(c, j)
	s.pruneIfDone(j)
}

// pruneIfDone deletes a job whose record is final, if no task of it is in an unsettled
// plan or reserves capacity.
func (s *planner) pruneIfDone(j *job) {
	if j.plannedTasks > 0 || !j.rec.Final() || reservesCapacity(j.rec) {
		return
	}
	s.expiry.Remove(j.rec.Key)
	s.releaseQuotaHold(j)
	delete(s.jobs, j.rec.Key)
}

// updateUsage adjusts quota usage, slot counts and the nodes' running tasks to the
// tasks that started or ended between two versions of a record.
func (s *planner) updateUsage(j *job, old, r *state.Record) {
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

// syncQueues adds the tasks of a job that wait to the queues and removes those that no
// longer wait.
func (s *planner) syncQueues(c Clock, j *job) {
	if j.gang != nil {
		s.syncGang(c, j)
		return
	}
	for i := range j.tasks {
		want := j.rec.State[i].Status == state.TaskQueued && !j.rec.CancelRequested
		s.setWaiting(c, j, &j.tasks[i], want, j.rec.State[i].NotBeforeMS)
	}
}

// syncGang is syncQueues for a gang, which waits as a whole until the latest
// not-before time of its queued tasks.
func (s *planner) syncGang(c Clock, j *job) {
	want, notBefore := false, int64(0)
	for i := range j.rec.State {
		if t := &j.rec.State[i]; t.Status == state.TaskQueued && !j.rec.CancelRequested {
			want, notBefore = true, max(notBefore, t.NotBeforeMS)
		}
	}
	if j.plannedTasks > 0 {
		return
	}
	s.setWaiting(c, j, j.gang, want, notBefore)
	if !want {
		s.releaseQuotaHold(j)
	}
}

// setWaiting makes a task wait if want is set, and otherwise removes it from its queue.
// A task that may not start before a later time is delayed until then.
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
	t.wait, t.queueID = queued, queueOf(r.Class)
	switch t.queueID {
	case queueGang:
		k.PerTask = r.PerTask.Scale(queuedTasks(j.rec))
	case queueDeferrable:
		promoteAt := r.AcceptedMS + s.bound(r)/2
		if promoteAt <= c.WallMS {
			t.queueID = queuePromoted
		} else {
			s.aging.Set(t, promoteAt)
		}
	}
	s.queues[t.queueID].Push(k, &t.item)
	s.watchExpiry(c, j)
}

func (s *planner) dequeue(t *task) {
	switch t.wait {
	case delayed:
		s.delayed.Remove(t)
	case queued:
		s.aging.Remove(t)
		s.queues[t.queueID].Remove(&t.item)
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

// taskOf returns the job and the task of an item of a queue. The item of a gang stands
// for all of its queued tasks.
func (s *planner) taskOf(it *queue.Item) (*job, *task) {
	j := s.jobs[it.Key]
	if it.Task == queue.AllTasks {
		return j, j.gang
	}
	return j, &j.tasks[it.Task]
}
