package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/estimate"
	"github.com/primrosereach/primrosereach/coordination/queue"
	"github.com/primrosereach/primrosereach/state/job"
)

// Bounds are limits and times that the deployment sets.
type Bounds struct {
	MaxLease           time.Duration // longest lease that a worker grants
	StopTime           time.Duration // longest time that a worker takes to end a run once it must stop
	GangWait           time.Duration // time for which a member of a gang waits for the others
	StatusRetention    time.Duration // time for which the phase of a final job can be read
	RemoteDataFactor   float64       // run time of a task away from its data, as a multiple of the time near it
	CheckpointInterval time.Duration // time between two checkpoints of a task
	MinAvailableTime   time.Duration // time for which a service task must have run before it counts as available
	MaintenanceTime    time.Duration // time for which a VM is down for maintenance
}

const (
	// leaseTarget is the requested length of a worker's lease, limited by Bounds.MaxLease.
	// Tasks survive a partition or an outage of the group that is shorter than the lease,
	// which costs less than running them again. After the lease, the tasks of an
	// unresponsive worker run elsewhere.
	leaseTarget = 10 * time.Second
	// clockDrift is the largest fraction by which a worker's clock may run slower than the
	// leader's. It has a margin over the 2% that the platform states.
	clockDrift = 0.03
	// scheduleInterval is the minimum time between two scheduling passes.
	scheduleInterval = 8 * time.Millisecond
	// periodicCheckInterval is the period of the checks that need no better precision.
	periodicCheckInterval = 250 * time.Millisecond
	// maxTimerMS bounds the time until the next tick, in milliseconds: the due time of an
	// occurrence may be too far ahead for a time.Duration.
	maxTimerMS = int64(time.Hour / time.Millisecond)
)

// Leader makes the decisions of one term. It is not safe for concurrent use: one
// goroutine calls all its methods.
type Leader struct {
	host   Host
	state  *job.State
	bounds Bounds
	term   uint64
	now    time.Duration // current time for delays and timeouts
	wallMS int64         // current time in Unix milliseconds

	workers           map[string]*worker
	byID              []*worker // the values of workers, sorted by ID
	steps             map[job.StepRef]*step
	holding           map[job.StepRef]*step        // gangs for which capacity is held
	futureOccurrences *queue.Timeline[job.StepRef] // occurrences that are not due yet
	keptIdle          map[string]keptIdle          // by pool
	suspectDomains    map[string]domainSuspicion   // by failure domain
	queued            map[job.ID]string            // queue of each open job that does not repeat and has no task that is known to have started
	objectives        map[job.ID]int64             // milliseconds from acceptance to the objective of the last active occurrence, for log lines about open jobs
	startedJobs       map[job.ID]bool              // open jobs with a task whose start was confirmed
	finalJobs         []job.ID                     // final jobs, in the order in which they became final for this leader
	retained          map[job.ID]retention         // how long final jobs are kept
	agents            agents                       // processes that can call the advice service
	lastAdviceID      uint64                       // ID of the last call for advice
	approvalRates     map[string]*approvalRate     // by queue
	speeds            *estimate.Estimator
	waves             waves
	waitingStats      waitingStats
	overload          overload
	starts            startWindow
	relays            relays
	lateStarts        lateStarts
	earlierStartsEnd  time.Duration // time from which no worker executes a start of an earlier leader
	teams             teamLedger
	submitting        map[job.ID]int // number of attempts to store a job that are being committed
	cancels           cancels
	epoch             submissionEpoch
	joinChecks        map[claim]*joinCheck
	foreign           foreignHeartbeats
	exhaustedTasks    []job.TaskRef // waiting tasks that have no attempt left in the configuration in force
	invalidJobs       []job.ID      // stored jobs beyond the limits, which an earlier version accepted

	takingOver        bool // NewLeader is loading the replicated state
	needsSchedule     bool // a scheduling pass may be able to place tasks
	withheldOffset    int  // index of the waiting step that releaseWithheldWorkers checks next
	roundRobinOffset  int  // index of the step that is tried next, among the waiting steps after the first ones
	nextSchedule      time.Duration
	nextSpeeds        time.Duration // earliest time of the next command that saves learned speeds
	nextPeriodicCheck time.Duration
}

// NewLeader returns the leader of a new term, which takes over the replicated state.
func NewLeader(host Host, st *job.State, b Bounds, term uint64, now time.Duration, wallMS int64) *Leader {
	l := &Leader{
		host: host, state: st, bounds: b, term: term, now: now, wallMS: wallMS,
		workers: map[string]*worker{}, steps: map[job.StepRef]*step{}, holding: map[job.StepRef]*step{}, keptIdle: map[string]keptIdle{},
		futureOccurrences: queue.NewTimeline[job.StepRef](), suspectDomains: map[string]domainSuspicion{},
		queued: map[job.ID]string{}, startedJobs: map[job.ID]bool{}, objectives: map[job.ID]int64{}, retained: map[job.ID]retention{}, submitting: map[job.ID]int{}, cancels: newCancels(),
		joinChecks: map[claim]*joinCheck{}, approvalRates: map[string]*approvalRate{}, speeds: estimate.NewWithSpeedPrior(speedPrior), overload: newOverload(), starts: newStartWindow(), teams: newTeamLedger(), relays: newRelays(),
		earlierStartsEnd: now + lateStartTime, needsSchedule: true, takingOver: true,
	}
	l.agents.configured(st.Configuration())
	for _, w := range st.Workers() {
		l.trackWorker(w)
	}
	st.Jobs(func(j *job.Job) bool {
		l.jobChanged(j)
		return true
	})
	l.takingOver = false
	l.log("info", "take over", "", "", "leads the job group", "workers", len(l.workers), "open_jobs", len(l.queued))
	return l
}

// lease returns the length of the leases of workers that run no task of a service; see leaseOf.
func (l *Leader) lease() time.Duration { return min(leaseTarget, l.bounds.MaxLease) }

// SetClock sets the current time. now is the time for delays and timeouts, and wallMS is the
// time in Unix milliseconds. SetClock is called before Handle and Tick.
func (l *Leader) SetClock(now time.Duration, wallMS int64) { l.now, l.wallMS = now, wallMS }

// Handle processes one event.
func (l *Leader) Handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		l.submit(e)
	case Lookup:
		l.lookup(e)
	case DryRun:
		l.dryRun(e)
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
	case OrderReported:
		l.orderReported(e)
	case AdviceAnswered:
		l.adviceAnswered(e)
	case MaintenanceAnswered:
		l.maintenanceAnswered(e)
	}
}

// Tick runs everything that is due after the last events and at the current time:
// periodic checks, due occurrences, orders to workers and the scheduling pass.
func (l *Leader) Tick() {
	if l.now >= l.nextPeriodicCheck {
		l.nextPeriodicCheck = l.now + periodicCheckInterval
		l.runPeriodicChecks()
	}
	l.activateDue()
	l.checkRelays()
	for _, w := range l.byID {
		l.reconcileWorker(w)
	}
	if l.needsSchedule && l.now >= l.nextSchedule {
		l.needsSchedule = false
		l.nextSchedule = l.now + scheduleInterval
		l.schedule()
	}
}

// NextTick returns the time at which Tick has to be called next.
func (l *Leader) NextTick() time.Duration {
	nextTick := min(l.nextPeriodicCheck, l.relays.nextCheck)
	if l.needsSchedule {
		nextTick = min(nextTick, l.nextSchedule)
	}
	for _, w := range l.byID {
		if w.nextReconcile > 0 {
			nextTick = min(nextTick, w.nextReconcile)
		}
	}
	if at, ok := l.futureOccurrences.Next(); ok {
		nextTick = min(nextTick, l.now+time.Duration(min(max(0, at-l.wallMS), maxTimerMS))*time.Millisecond)
	}
	return nextTick
}

func (l *Leader) runPeriodicChecks() {
	l.needsSchedule = true
	l.overload.decay()
	l.updateBusyPools()
	l.reportTeams()
	l.saveSpeeds()
	l.removeAbsentWorkers()
	l.removeInvalidRecords()
	l.failExhausted()
	l.logForeignHeartbeats()
	l.logLateCalls()
	l.lateStarts.expire(l.now)
	l.checkAdvice()
	l.checkGangs()
	l.checkProgress()
	l.releaseWithheldWorkers()
	l.advanceWaves()
	l.evacuateServices()
	l.advanceEpoch()
	l.pruneJobs()
	l.logWaiting()
}

// Applied updates the leader after a command was applied to the replicated state in this
// term. The command may have been proposed by this leader or by an earlier one.
func (l *Leader) Applied(c *job.Command, a job.Applied) {
	for _, j := range a.Jobs {
		l.jobChanged(j)
	}
	switch {
	case c.Configure != nil && a.Rejected == nil:
		l.configurationApplied()
	case c.Join != nil && a.Rejected == nil:
		l.workerJoined(c.Join)
	case c.Leave != nil && a.Rejected == nil:
		l.workerLeft(c.Leave)
	}
	l.needsSchedule = true
}

func (l *Leader) propose(c *job.Command, done func(a job.Applied, committed bool)) bool {
	return l.host.Propose(c, done)
}

func (l *Leader) log(level, step, request, peer, message string, fields ...any) {
	l.host.Log(LogLine{Level: level, Step: step, Request: request, Peer: peer, Message: message, Fields: fields})
}
