package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// step is the leader's state of a ready step: within one occurrence of the job, all steps
// that it depends on are done.
type step struct {
	ref                job.StepRef
	job                *job.Job
	spec               *job.Step
	queue              job.Queue
	runs               map[int]*run    // by task index, from the commit of the assignment to the commit of the end
	pendingAssignments map[int]string  // worker IDs by index of the tasks whose assignment is being committed
	avoided            map[string]bool // IDs of workers on which a task of the step failed, stalled or was not started
	failedStarts       map[string]bool // IDs of those that have not started a task of the step
	advice             advice
	readyAt            time.Duration // time at which the step became ready
	triedAt            time.Duration // time at which a pass last tried to place tasks of the step, or at which it became ready
	lastTry            placementOutcome
	ranUntil           time.Duration // time at which a run that its worker had started last ended, 0 if none has
	runEndedAt         time.Duration // time at which a run last ended, started or not, 0 if none has
	lastEnd            lastEnd

	workTimes   []float64     // logarithms of the run times of tasks of the step in ms, as on a worker of speed 1
	predicted   time.Duration // expected run time of a task on a worker of speed 1, 0 if not predicted yet
	predictedAt time.Duration // time of that prediction
	exhausted   bool          // a running task has failed as often as the queue allows now
	failedRun   int           // last run of a gang for which a failed end is committed or being committed in this term, 0 for none
	preempted   map[int]int   // number of preemptions by task index
	hold        *hold         // capacity held for a gang, nil for none
	nextTry     time.Duration // earliest time at which a gang that lacked room is tried again
	reservation *reservation  // plan of the room to keep for a gang that lacked room, nil for none

	objectiveMS int64 // Unix milliseconds by which the whole job should be done
	deadlineMS  int64 // Unix milliseconds after which completion of the job has no value
	remainingMS int64 // expected run time from this step to the end of the job

	withheldWait time.Duration // time since which only withheld workers have had room for the step, 0 if others have
}

// deadlineFactor is the multiple of a job's objective time after which completion of the
// job has no value. Both times count from acceptance, or from the due time of an occurrence.
const deadlineFactor = 3

// jobChanged updates the leader's state after a command has changed a job or its tasks. It
// activates the occurrences that are due and records when the others are.
func (l *Leader) jobChanged(j *job.Job) {
	l.trackQueued(j)
	if j.Phase.Final() {
		l.jobBecameFinal(j)
		return
	}
	l.recheckExhausted(j)
	if j.CheckLimits() != nil {
		l.invalidJobs = append(l.invalidJobs, j.ID)
		return
	}
	if j.Repeats == 0 {
		l.activate(j, 0)
		return
	}
	for k := 0; k < j.Repeats; k++ {
		switch ref := (job.StepRef{Job: j.ID, Occurrence: k}); {
		case j.FinishedOccurrences[k]:
		case j.DueMS(k) <= l.wallMS || j.Occurrence(k) != nil:
			l.activate(j, k)
		default:
			l.futureOccurrences.Set(ref, j.DueMS(k))
		}
	}
}

// trackQueued updates whether a job counts as queued: it is open, does not repeat, and none
// of its tasks is known to have started. A task that is only assigned does not count as
// started: its start may be in flight, or its worker partitioned.
func (l *Leader) trackQueued(j *job.Job) {
	switch {
	case j.Phase.Final():
		delete(l.startedJobs, j.ID)
		delete(l.queued, j.ID)
	case j.Repeats == 0 && !l.startedJobs[j.ID] && !hasProgress(j):
		l.queued[j.ID] = j.Queue
	default:
		delete(l.queued, j.ID)
	}
}

// hasProgress reports whether ends or checkpoints show that a task has started.
func hasProgress(j *job.Job) bool {
	for _, o := range j.Occurrences {
		for _, tasks := range o.Steps {
			for i := range tasks {
				if t := &tasks[i]; t.Status == job.TaskDone || t.Failures > 0 || t.Checkpoint != "" {
					return true
				}
			}
		}
	}
	return len(j.FinishedOccurrences) > 0
}

// taskStarted records that a worker has confirmed the start of a task of a job.
func (l *Leader) taskStarted(id job.ID) {
	if !l.startedJobs[id] {
		l.startedJobs[id] = true
		delete(l.queued, id)
	}
}

// jobBecameFinal schedules the pruning of a final job and stops the tasks that still run.
func (l *Leader) jobBecameFinal(j *job.Job) {
	if _, ok := l.retained[j.ID]; !ok {
		l.retained[j.ID] = retention{untilMS: l.wallMS + l.retention().Milliseconds(), epoch: l.state.Epoch()}
		l.finalJobs = append(l.finalJobs, j.ID)
		l.reportFinal(j)
	}
	if j.Phase == job.Completed {
		return // the ends of the last gang's other members are in flight
	}
	for _, k := range slices.Sorted(maps.Keys(j.Occurrences)) {
		for i := range j.Steps {
			s := l.steps[job.StepRef{Job: j.ID, Occurrence: k, Step: i}]
			if s == nil {
				continue
			}
			for _, r := range s.sortedRuns() {
				if w := l.holder(r); w != nil {
					l.stopRun(w, r, "the job is "+string(j.Phase))
				}
			}
		}
	}
}

// reportFinal logs the end of a job and records its total time. A new leader skips jobs that
// ended before its term.
func (l *Leader) reportFinal(j *job.Job) {
	if l.takingOver {
		return
	}
	l.host.Emit(Measure{Metric: MetricTotal, Queue: j.Queue, Phase: j.Phase, Value: time.Duration(l.wallMS-j.AcceptedMS) * time.Millisecond})
	l.log("info", "job final", string(j.ID), "", "the job is "+string(j.Phase), "queue", j.Queue, "after_ms", l.wallMS-j.AcceptedMS,
		"objective_ms", l.objectives[j.ID], "reason", j.Reason)
	delete(l.objectives, j.ID)
}

// activateDue activates the occurrences that are due.
func (l *Leader) activateDue() {
	for {
		ref, ok := l.futureOccurrences.PopDue(l.wallMS)
		if !ok {
			return
		}
		if j := l.state.Job(ref.Job); j != nil && !j.Phase.Final() {
			l.activate(j, ref.Occurrence)
		}
	}
}

// activate starts to track the ready steps of an occurrence that have open or assigned
// tasks, so that they are scheduled.
func (l *Leader) activate(j *job.Job, occurrence int) {
	o := j.Occurrence(occurrence)
	for i := range j.Steps {
		ref := job.StepRef{Job: j.ID, Occurrence: occurrence, Step: i}
		if l.steps[ref] != nil || !j.StepReady(ref) || o != nil && o.Open[i] == 0 && !l.hasAssignedTasks(o, i) {
			continue
		}
		s := &step{
			ref: ref, job: j, spec: &j.Steps[i], queue: l.state.QueueOf(j), readyAt: l.now, triedAt: l.now, lastTry: notTried,
			runs: map[int]*run{}, pendingAssignments: map[int]string{}, avoided: map[string]bool{}, failedStarts: map[string]bool{}, preempted: map[int]int{},
		}
		s.setObjective()
		l.objectives[j.ID] = s.objectiveMS - j.AcceptedMS
		if o != nil {
			l.attachRuns(s, o)
			l.findExhausted(s)
		}
		l.steps[ref] = s
		l.needsSchedule = true
	}
}

// hasAssignedTasks reports whether any task of a step is assigned to a worker.
func (l *Leader) hasAssignedTasks(o *job.Occurrence, step int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Worker != "" {
			return true
		}
	}
	return false
}

// attachRuns adds the runs that an earlier leader assigned to a step.
func (l *Leader) attachRuns(s *step, o *job.Occurrence) {
	for i := range o.Steps[s.ref.Step] {
		w := l.workers[o.Steps[s.ref.Step][i].Worker]
		if w == nil {
			continue
		}
		if r := w.runs[job.TaskRef{StepRef: s.ref, Index: i}]; r != nil {
			s.runs[i] = r
		}
	}
}

// setObjective sets the time by which the job should be done, its deadline, and its
// remaining run time.
func (s *step) setObjective() {
	base := s.job.AcceptedMS
	if due := s.job.DueMS(s.ref.Occurrence); due > 0 {
		base = due
	}
	chain, fromStep := criticalPath(s.job.Steps)
	objective := int64(max(1, s.queue.Stretch)*float64(chain)) + s.queue.TargetLatencyMS
	s.objectiveMS = base + objective
	s.deadlineMS = base + deadlineFactor*objective
	s.remainingMS = fromStep[s.ref.Step]
}

// criticalPath returns the longest chain of estimates through the steps, and for each
// step the longest chain that starts with it, in milliseconds.
func criticalPath(steps []job.Step) (longest int64, fromStep []int64) {
	fromStep = make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		fromStep[i] += steps[i].EstimateMS
		for _, a := range steps[i].After {
			fromStep[a] = max(fromStep[a], fromStep[i])
		}
		longest = max(longest, fromStep[i])
	}
	return longest, fromStep
}

// mayHaveWaiting reports whether waiting may return any tasks. It compares counts only.
func (s *step) mayHaveWaiting() bool {
	open := s.spec.Count
	if o := s.job.Occurrence(s.ref.Occurrence); o != nil {
		open = o.Open[s.ref.Step]
	}
	return open > len(s.runs)+len(s.pendingAssignments)
}

// waiting returns the indexes of the tasks that can be placed: their status is
// TaskWaiting, and no assignment of them is committed or being committed.
func (s *step) waiting() []int {
	var out []int
	o := s.job.Occurrence(s.ref.Occurrence)
	for i := 0; i < s.spec.Count; i++ {
		if s.pendingAssignments[i] != "" {
			continue
		}
		if o != nil {
			if t := &o.Steps[s.ref.Step][i]; t.Status != job.TaskWaiting || t.Worker != "" {
				continue
			}
		}
		out = append(out, i)
	}
	return out
}

// dropRun removes a run of a worker that has ended.
func (s *step) dropRun(now time.Duration, w *worker, r *run, how job.EndKind) {
	if s.runs[r.ref.Index] != r {
		return
	}
	delete(s.runs, r.ref.Index)
	s.runEndedAt, s.lastEnd = now, lastEnd{run: r.number, worker: w.ID, how: how, reason: r.reason}
	if r.started {
		s.ranUntil = now
	}
}

// lastEnd describes the end of the last run of a step that has ended.
type lastEnd struct {
	run    int    // number of the run, 0 if none has ended
	worker string // ID
	how    job.EndKind
	reason string // reason for the stop, or why the run has not started
}

// String returns the form used in log lines.
func (e lastEnd) String() string {
	if e.run == 0 {
		return ""
	}
	return fmt.Sprintf("run %d on %s: %s %s", e.run, e.worker, e.how, e.reason)
}

// sortedRuns returns the runs ordered by task.
func (s *step) sortedRuns() []*run {
	out := make([]*run, 0, len(s.runs))
	for _, i := range slices.Sorted(maps.Keys(s.runs)) {
		out = append(out, s.runs[i])
	}
	return out
}

// sortedSteps returns the steps in a fixed order.
func (l *Leader) sortedSteps() []*step {
	out := slices.Collect(maps.Values(l.steps))
	slices.SortFunc(out, func(a, b *step) int {
		return job.CompareTasks(job.TaskRef{StepRef: a.ref}, job.TaskRef{StepRef: b.ref})
	})
	return out
}

// task returns the replicated record of a task; it is empty before the first start.
func (s *step) task(i int) job.Task {
	if t := s.job.Task(job.TaskRef{StepRef: s.ref, Index: i}); t != nil {
		return *t
	}
	return job.Task{}
}

// isRemovable reports whether the leader need not track the step any longer.
func (s *step) isRemovable() bool {
	if len(s.runs) > 0 || len(s.pendingAssignments) > 0 {
		return false
	}
	return s.job.Phase.Final() || s.done()
}

// done reports whether all tasks of the step are done. Runs of a gang may still be tracked
// then, since the ends of some members were not observed yet.
func (s *step) done() bool {
	o := s.job.Occurrence(s.ref.Occurrence)
	return s.job.FinishedOccurrences[s.ref.Occurrence] || o != nil && o.Open[s.ref.Step] == 0
}

// compareWaiting orders waiting steps. Jobs that cannot meet their deadline come last, before them
// those that were accepted beyond the rate of their team, and those of teams over their share. Next
// in order are the priority of the queue, whether the job can still be done by its objective,
// and that time, so that long jobs do not starve. Without the third, a queue that has fallen
// behind once runs only late jobs from then on: those that have just arrived wait until they
// are late too.
func compareWaiting(a, b waitingStep) int {
	if c := cmp.Compare(a.missesDeadline, b.missesDeadline); c != 0 {
		return c
	}
	if c := compareBool(a.borrowed, b.borrowed); c != 0 {
		return c
	}
	if c := compareBool(a.overShare, b.overShare); c != 0 {
		return c
	}
	if c := cmp.Compare(a.queue.Priority, b.queue.Priority); c != 0 {
		return c
	}
	if c := compareBool(a.late, b.late); c != 0 {
		return c
	}
	if c := cmp.Compare(a.objectiveMS, b.objectiveMS); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Occurrence, b.ref.Occurrence), cmp.Compare(a.ref.Step, b.ref.Step))
}

// isLate reports whether the job of a step cannot be done by its objective any more.
// Services have no objective.
func (l *Leader) isLate(s *step) bool {
	return !s.spec.Service && l.wallMS+s.remainingMS > s.objectiveMS
}

// missesDeadline returns 1 if the job of a step cannot be done by its deadline, else 0.
// Services have no deadline.
func (l *Leader) missesDeadline(s *step) int {
	if !s.spec.Service && l.wallMS+s.remainingMS > s.deadlineMS {
		return 1
	}
	return 0
}
