package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// step is a step of one occurrence that can run now.
type step struct {
	ref     job.StepRef
	job     *job.Job
	spec    *job.Step
	queue   job.Queue
	runs    map[int]*run    // by task, from the commit of the assignment to that of the end
	planned map[int]string  // workers of the tasks whose assignment is being committed
	avoid   map[string]bool // workers on which a task of the step has failed
	advice  advice
	ready   time.Duration // when the step became ready

	preempted    map[int]int    // how often a task was stopped for other steps
	claims       map[string]int // tasks for which a worker is kept free, after others were stopped for it
	claimedUntil time.Duration

	objectiveMS int64 // Unix milliseconds at which the whole job should be done
	uselessMS   int64 // after which its completion is worth nothing
	remainingMS int64 // expected run time from here to the end of the job
}

// latestFactor times the objective is when a late job loses all value.
const latestFactor = 3

// jobChanged follows a job whose tasks or phase have changed.
func (l *Leader) jobChanged(j *job.Job) {
	l.countWaiting(j)
	if j.Phase.Final() {
		l.finalChanged(j)
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
			l.due.Set(ref, j.DueMS(k))
		}
	}
}

// countWaiting keeps the jobs of which no task is known to have started. A task that is
// assigned has not started yet: its start may be under way, or its worker cut off.
func (l *Leader) countWaiting(j *job.Job) {
	switch {
	case j.Phase.Final():
		delete(l.begun, j.ID)
		delete(l.queued, j.ID)
	case j.Repeats == 0 && !l.begun[j.ID] && !hasProgress(j):
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

// taskBegun notes that a worker has confirmed a start.
func (l *Leader) taskBegun(id job.ID) {
	if !l.begun[id] {
		l.begun[id] = true
		delete(l.queued, id)
	}
}

// finalChanged stops what a final job still runs and remembers when to forget it.
func (l *Leader) finalChanged(j *job.Job) {
	if _, ok := l.forgetAt[j.ID]; !ok {
		l.forgetAt[j.ID] = l.wallMS + l.retention().Milliseconds()
		l.finals = append(l.finals, j.ID)
		l.reportFinal(j)
	}
	if j.Phase == job.Completed {
		return // the ends of the last gang's other members are on their way
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

// reportFinal logs and measures the end of a job. A new leader does not repeat that for
// jobs that ended before its term.
func (l *Leader) reportFinal(j *job.Job) {
	if l.adopting {
		return
	}
	l.host.Emit(Measure{Metric: MetricTotal, Queue: j.Queue, Phase: j.Phase, Value: time.Duration(l.wallMS-j.AcceptedMS) * time.Millisecond})
	l.log("info", "job final", string(j.ID), "", "the job is "+string(j.Phase), "queue", j.Queue, "after_ms", l.wallMS-j.AcceptedMS, "reason", j.Reason)
}

// retention is how long the phase of a final job can be read.
func (l *Leader) retention() time.Duration { return l.bounds.StatusRetention + 30*time.Second }

// activateDue starts the occurrences whose time has come.
func (l *Leader) activateDue() {
	for {
		ref, ok := l.due.PopDue(l.wallMS)
		if !ok {
			return
		}
		if j := l.state.Job(ref.Job); j != nil && !j.Phase.Final() {
			l.activate(j, ref.Occurrence)
		}
	}
}

// activate makes the ready steps of an occurrence known to the scheduler.
func (l *Leader) activate(j *job.Job, occurrence int) {
	o := j.Occurrence(occurrence)
	for i := range j.Steps {
		ref := job.StepRef{Job: j.ID, Occurrence: occurrence, Step: i}
		if l.steps[ref] != nil || !j.StepReady(ref) || o != nil && o.Open[i] == 0 && !l.holds(o, i) {
			continue
		}
		s := &step{
			ref: ref, job: j, spec: &j.Steps[i], queue: l.state.QueueOf(j), ready: l.now,
			runs: map[int]*run{}, planned: map[int]string{}, avoid: map[string]bool{}, preempted: map[int]int{},
		}
		s.setObjective()
		if o != nil {
			l.attachRuns(s, o)
		}
		l.steps[ref] = s
		l.dirty = true
	}
}

func (l *Leader) holds(o *job.Occurrence, step int) bool {
	for i := range o.Steps[step] {
		if o.Steps[step][i].Worker != "" {
			return true
		}
	}
	return false
}

// attachRuns finds the runs that an earlier leader assigned.
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

// setObjective derives the times by which the job should and must be done.
func (s *step) setObjective() {
	base := s.job.AcceptedMS
	if due := s.job.DueMS(s.ref.Occurrence); due > 0 {
		base = due
	}
	chain, after := criticalPath(s.job.Steps)
	objective := int64(max(1, s.queue.Stretch)*float64(chain)) + s.queue.TargetLatencyMS
	s.objectiveMS = base + objective
	s.uselessMS = base + latestFactor*objective
	s.remainingMS = after[s.ref.Step]
}

// criticalPath returns the longest chain of estimates through the steps, and for each
// step the longest chain that begins with it.
func criticalPath(steps []job.Step) (longest int64, from []int64) {
	from = make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		from[i] += steps[i].EstimateMS
		for _, a := range steps[i].After {
			from[a] = max(from[a], from[i])
		}
		longest = max(longest, from[i])
	}
	return longest, from
}

// waiting returns the tasks that can be placed.
func (s *step) waiting() []int {
	var out []int
	o := s.job.Occurrence(s.ref.Occurrence)
	for i := 0; i < s.spec.Count; i++ {
		if s.planned[i] != "" {
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

// sortedRuns returns the runs by task.
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

// over reports whether the step needs no more work.
func (s *step) over() bool {
	if len(s.runs) > 0 || len(s.planned) > 0 {
		return false
	}
	return s.job.Phase.Final() || s.done()
}

// done reports whether all tasks of the step are done; the ends of some members of a
// gang may not be listed yet.
func (s *step) done() bool {
	o := s.job.Occurrence(s.ref.Occurrence)
	return s.job.FinishedOccurrences[s.ref.Occurrence] || o != nil && o.Open[s.ref.Step] == 0
}

// compareWaiting orders the steps that wait. A job that cannot be done before it loses
// its value comes after all that can. Then the queue's priority decides, then the
// time by which the job should be done, so that long jobs are not overtaken for ever.
func compareWaiting(a, b waitingStep) int {
	return cmp.Or(
		cmp.Compare(a.useless, b.useless),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(a.objectiveMS, b.objectiveMS),
		cmp.Compare(a.ref.Job, b.ref.Job),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
		cmp.Compare(a.ref.Step, b.ref.Step),
	)
}

func (l *Leader) useless(s *step) int {
	if !s.spec.Service && l.wallMS+s.remainingMS > s.uselessMS {
		return 1
	}
	return 0
}
