package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state/job"
)

// Bounds are limits that the deployment sets.
type Bounds struct {
	MaxLease           time.Duration // that a worker grants
	StopTime           time.Duration // that a stop may take
	GangWait           time.Duration // that a member of a gang waits for the others
	StatusRetention    time.Duration // time for which the phase of a final job can be read
	RemoteDataFactor   float64       // run time of a task away from its data, as a multiple of the time near it
	CheckpointInterval time.Duration // time between two checkpoints of a task
	MinAvailableTime   time.Duration // time for which a service task must have been at work to count as available
	MaintenanceTime    time.Duration // time for which a VM is down for maintenance
}

const (
	// leaseTarget is the lease that workers are given, if they grant it. Tasks outlast a
	// partition or an outage of the group that is shorter, which costs less than running
	// them again; after it the tasks of a silent worker run elsewhere.
	leaseTarget = 10 * time.Second
	// clockDrift is how much slower a worker's clock may be, with a margin over the 2%
	// that the platform states.
	clockDrift = 0.03
	// scheduleInterval is the least time between two passes over the waiting steps.
	scheduleInterval = 8 * time.Millisecond
	// sweepInterval is the period of the checks that need no better precision.
	sweepInterval = 250 * time.Millisecond
	// forgetBatch bounds the jobs that one command forgets.
	forgetBatch = 500
)

// Leader decides for one term. It is used by one goroutine.
type Leader struct {
	host   Host
	state  *job.State
	bounds Bounds
	term   uint64
	now    time.Duration
	wallMS int64

	workers  map[string]*worker
	byID     []*worker // the same, sorted
	steps    map[job.StepRef]*step
	due      *queue.Timeline[job.StepRef] // occurrences that are not due yet
	suspects map[string]suspicion         // by failure domain
	queued   map[job.ID]string            // jobs of which no task is known to have started, with their queue
	begun    map[job.ID]bool              // open jobs of which a start was confirmed
	finals   []job.ID                     // final jobs, by the time at which this leader learned of it
	forgetAt map[job.ID]int64
	agents   agents
	advised  map[string]*goodShare
	speeds   *estimate.Estimator
	waves    waves

	adopting     bool // the state that earlier leaders left is being taken over
	dirty        bool // a pass over the waiting steps may place something
	turn         int  // of the waiting steps that are not tried in each pass
	nextSchedule time.Duration
	nextSweep    time.Duration
}

// NewLeader takes over a state at the start of a term.
func NewLeader(host Host, st *job.State, b Bounds, term uint64, now time.Duration, wallMS int64) *Leader {
	l := &Leader{
		host: host, state: st, bounds: b, term: term, now: now, wallMS: wallMS,
		workers: map[string]*worker{}, steps: map[job.StepRef]*step{}, due: queue.NewTimeline[job.StepRef](),
		suspects: map[string]suspicion{}, queued: map[job.ID]string{}, begun: map[job.ID]bool{}, forgetAt: map[job.ID]int64{},
		advised: map[string]*goodShare{}, speeds: estimate.New(), dirty: true, adopting: true,
	}
	for _, w := range st.Workers() {
		l.adopt(w)
	}
	st.Jobs(func(j *job.Job) bool {
		l.jobChanged(j)
		return true
	})
	l.adopting = false
	l.log("info", "take over", "", "", "leads the job group", "workers", len(l.workers), "open_jobs", len(l.queued))
	return l
}

// lease returns the lease that workers are given.
func (l *Leader) lease() time.Duration { return min(leaseTarget, l.bounds.MaxLease) }

// Advance sets the clock. It is called before Handle and Work.
func (l *Leader) Advance(now time.Duration, wallMS int64) { l.now, l.wallMS = now, wallMS }

// Handle performs one event.
func (l *Leader) Handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		l.submit(e)
	case Lookup:
		l.lookup(e)
	case Cancel:
		l.cancel(e)
	case Configure:
		l.configure(e)
	case ReadConfiguration:
		l.readConfiguration(e)
	case StartWave:
		l.startWave(e)
	case ReadWave:
		l.readWave(e)
	case ProcessHeartbeat:
		l.processHeartbeat(e)
	case WorkerHeartbeat:
		l.workerHeartbeat(e)
	case DeregisterWorker:
		l.deregisterWorker(e)
	case StartAnswered:
		l.startAnswered(e)
	case StopAnswered:
		l.stopAnswered(e)
	case PaceAnswered:
		l.paceAnswered(e)
	case Observed:
		l.observed(e)
	case AdviceAnswered:
		l.adviceAnswered(e)
	case MaintenanceAnswered:
		l.maintenanceAnswered(e)
	}
}

// Work does what time and the last events ask for.
func (l *Leader) Work() {
	if l.now >= l.nextSweep {
		l.nextSweep = l.now + sweepInterval
		l.sweep()
	}
	l.activateDue()
	for _, w := range l.byID {
		l.tend(w)
	}
	if l.dirty && l.now >= l.nextSchedule {
		l.dirty = false
		l.nextSchedule = l.now + scheduleInterval
		l.schedule()
	}
}

// NextWake returns when Work has to be called next.
func (l *Leader) NextWake() time.Duration {
	wake := l.nextSweep
	if l.dirty {
		wake = min(wake, l.nextSchedule)
	}
	for _, w := range l.byID {
		if w.next > 0 {
			wake = min(wake, w.next)
		}
	}
	if at, ok := l.due.Next(); ok {
		wake = min(wake, l.now+time.Duration(max(0, at-l.wallMS))*time.Millisecond)
	}
	return wake
}

// sweep does the periodic checks.
func (l *Leader) sweep() {
	l.dirty = true
	l.checkAdvice()
	l.checkGangs()
	l.checkProgress()
	l.workWaves()
	l.prune()
}

// Applied tells of a command that was applied in this term, whoever proposed it.
func (l *Leader) Applied(c *job.Command, a job.Applied) {
	for _, j := range a.Jobs {
		l.jobChanged(j)
	}
	switch {
	case c.Join != nil && a.Rejected == nil:
		l.workerJoined(c.Join)
	case c.Leave != nil && a.Rejected == nil:
		l.workerLeft(c.Leave)
	}
	l.dirty = true
}

// prune deletes final jobs whose retention has expired.
func (l *Leader) prune() {
	var old []job.ID
	for len(l.finals) > 0 && len(old) < forgetBatch && l.forgetAt[l.finals[0]] <= l.wallMS {
		id := l.finals[0]
		l.finals = l.finals[1:]
		delete(l.forgetAt, id)
		old = append(old, id)
	}
	if len(old) > 0 {
		l.propose(&job.Command{Prune: &job.Prune{Jobs: old}}, nil)
	}
}

func (l *Leader) propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	return l.host.Propose(c, done)
}

func (l *Leader) log(level, step, request, peer, message string, fields ...any) {
	l.host.Log(LogLine{Level: level, Step: step, Request: request, Peer: peer, Message: message, Fields: fields})
}
