package job

import (
	"fmt"
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Applied is the effect of one command.
type Applied struct {
	Rejected error  // why the command changed nothing, or nil
	Jobs     []*Job // jobs whose tasks or phase changed
}

func rejected(format string, args ...any) Applied {
	return Applied{Rejected: fmt.Errorf(format, args...)}
}

// Apply performs a command at a log index, or rejects it without any change.
func (s *State) Apply(index uint64, c *Command) Applied {
	s.applied = index
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(c.Submit)
	case c.Cancel != nil:
		return s.cancel(c.Cancel)
	case c.FailJob != nil:
		return s.failJob(c.FailJob)
	case c.Assign != nil:
		return s.assign(c.Assign)
	case c.EndRuns != nil:
		return s.endRuns(c.EndRuns)
	case c.Join != nil:
		return s.join(c.Join)
	case c.SetSpeeds != nil:
		return s.setSpeeds(c.SetSpeeds)
	case c.Drain != nil:
		return s.drain(c.Drain)
	case c.Leave != nil:
		return s.leave(c.Leave)
	case c.Prune != nil:
		return s.prune(c.Prune)
	case c.Wave != nil:
		return s.wave(c.Wave)
	case c.RequestMaintenance != nil:
		return s.requestMaintenance(c.RequestMaintenance)
	case c.MaintenanceStarted != nil:
		return s.maintenanceStarted(c.MaintenanceStarted)
	case c.Tombstone != nil:
		return s.addTombstone(c.Tombstone)
	case c.AdvanceEpoch != nil:
		return s.advanceEpoch(c.AdvanceEpoch)
	}
	return Applied{}
}

// configure replaces the configuration, unless the version in force is equal or higher.
func (s *State) configure(c *Configuration) Applied {
	if c.Version <= s.config.Version {
		return rejected("version %d is not above version %d in force", c.Version, s.config.Version)
	}
	for _, q := range s.config.Queues {
		s.retired[q.Name] = q
	}
	for _, q := range c.Queues {
		delete(s.retired, q.Name)
	}
	s.config = *c
	s.queues = s.config.index()
	s.teams = indexTeams(s.config.Teams)
	return Applied{}
}

// submit stores a job. It rejects the resend of a stored job.
func (s *State) submit(c *Submit) Applied {
	if s.jobs[c.ID] != nil {
		return rejected("job %s was accepted before", c.ID)
	}
	if s.queues.byName[c.Queue] == nil {
		return rejected("queue %s is not configured", c.Queue)
	}
	j := &Job{Submission: c.Submission, Queue: c.Queue, Team: c.Team, Borrowed: c.Borrowed, AcceptedMS: c.AtMS, Phase: Queued}
	s.jobs[c.ID] = j
	return Applied{Jobs: []*Job{j}}
}

func (s *State) cancel(c *Cancel) Applied {
	j := s.jobs[c.Job]
	if j == nil {
		return rejected("job %s is not known", c.Job)
	}
	if j.Phase.Final() {
		return rejected("job %s is %s", c.Job, j.Phase)
	}
	s.finish(j, Cancelled, c.AtMS, "")
	return Applied{Jobs: []*Job{j}}
}

func (s *State) failJob(c *FailJob) Applied {
	j := s.jobs[c.Job]
	if j == nil || j.Phase.Final() {
		return rejected("job %s is not open", c.Job)
	}
	s.finish(j, Failed, c.AtMS, c.Reason)
	return Applied{Jobs: []*Job{j}}
}

// finish sets the final phase of a job. Tasks that reserve capacity of a worker are kept
// until their ends are recorded.
func (s *State) finish(j *Job, p Phase, atMS int64, reason string) {
	j.Phase, j.FinalMS, j.Reason = p, atMS, reason
	j.trim()
}

// trim removes the tasks, steps and spec of a final job once no task reserves
// capacity, to keep its record small.
func (j *Job) trim() {
	if j.Phase.Final() && j.AssignedTasks == 0 {
		j.Occurrences, j.FinishedOccurrences, j.Steps, j.Spec = nil, nil, nil, ""
	}
}

// assign binds tasks to workers if all preconditions of all assignments still hold.
func (s *State) assign(c *Assign) Applied {
	j := s.jobs[c.Job]
	if j == nil || j.Phase.Final() {
		return rejected("assign %s: the job is not open", c.StepRef)
	}
	if err := s.checkAssign(j, c); err != nil {
		return Applied{Rejected: err}
	}
	o, need := j.occurrence(c.Occurrence), j.Steps[c.Step].Reserved()
	for _, it := range c.Items {
		t := &o.Steps[c.Step][it.Index]
		t.Status, t.Run, t.Worker = TaskAssigned, it.Run, it.Worker
		w := s.workers[it.Worker]
		w.Reserved = w.Reserved.Add(need)
		w.Tasks[TaskRef{c.StepRef, it.Index}] = it.Run
		j.AssignedTasks++
		s.addUsage(j, need)
	}
	j.Phase = Running
	return Applied{Jobs: []*Job{j}}
}

func (s *State) checkAssign(j *Job, c *Assign) error {
	if c.Step < 0 || c.Step >= len(j.Steps) || c.Occurrence < 0 || c.Occurrence >= j.Submission.Occurrences() || !j.StepReady(c.StepRef) {
		return fmt.Errorf("assign %s: the step is not ready", c.StepRef)
	}
	if err := j.CheckLimits(); err != nil {
		return fmt.Errorf("assign %s: %w", c.StepRef, err) // the record of its tasks would use up the memory
	}
	st := &j.Steps[c.Step]
	if st.Gang && len(c.Items) != st.Count {
		return fmt.Errorf("assign %s: %d of the %d tasks of a gang", c.StepRef, len(c.Items), st.Count)
	}
	if err := s.checkTeamLimit(j, st.Reserved().Scale(len(c.Items))); err != nil {
		return fmt.Errorf("assign %s: %w", c.StepRef, err)
	}
	queue := s.QueueOf(j)
	attempts, pool := queue.MaxAttempts, queue.Pool
	planned := map[string]resource.Amount{}
	perWorker := map[string]int{}
	for _, it := range c.Items {
		if it.Index < 0 || it.Index >= st.Count {
			return fmt.Errorf("assign %s: no task %d", c.StepRef, it.Index)
		}
		var t Task
		if p := j.Task(TaskRef{c.StepRef, it.Index}); p != nil {
			t = *p
		}
		w := s.workers[it.Worker]
		switch {
		case t.Status != TaskWaiting || t.Worker != "" || it.Run <= t.Run:
			return fmt.Errorf("assign %s: task %d is not waiting or run %d is not new", c.StepRef, it.Index, it.Run)
		case !st.Service && attempts > 0 && t.Failures >= attempts:
			return fmt.Errorf("assign %s: task %d has no attempt left", c.StepRef, it.Index)
		case w == nil || w.StartedMS != it.StartedMS || w.Draining || w.Pool != pool || !w.HasLabel(st.RequiredLabel):
			return fmt.Errorf("assign %s: worker %s does not accept tasks of the step", c.StepRef, it.Worker)
		}
		planned[w.ID] = planned[w.ID].Add(st.Reserved())
		if !planned[w.ID].FitsIn(w.Free()) {
			return fmt.Errorf("assign %s: worker %s does not have enough free capacity", c.StepRef, it.Worker)
		}
		perWorker[w.ID]++
		if st.MaxPerWorker > 0 && perWorker[w.ID]+j.countOnWorker(c.StepRef, w.ID) > st.MaxPerWorker {
			return fmt.Errorf("assign %s: worker %s would run more than %d tasks of the step", c.StepRef, it.Worker, st.MaxPerWorker)
		}
	}
	return nil
}

// countOnWorker returns the number of tasks of a step that reserve capacity of a worker.
func (j *Job) countOnWorker(r StepRef, worker string) int {
	o := j.Occurrences[r.Occurrence]
	if o == nil {
		return 0
	}
	n := 0
	for i := range o.Steps[r.Step] {
		if o.Steps[r.Step][i].Worker == worker {
			n++
		}
	}
	return n
}

func (s *State) endRuns(c *EndRuns) Applied {
	w := s.workers[c.ID]
	if w == nil || w.StartedMS != c.StartedMS {
		return rejected("run ends of worker %s: unknown incarnation", c.ID)
	}
	w.AckedEnd = max(w.AckedEnd, c.AckedEnd)
	var changed []*Job
	for i := range c.Runs {
		if j := s.endRun(w, &c.Runs[i], c.AtMS); j != nil && !slices.Contains(changed, j) {
			changed = append(changed, j)
		}
	}
	return Applied{Jobs: changed}
}

// endRun records the end of a run. It returns the job, or nil if the end is not of the
// run that the worker has been assigned, in which case nothing changes.
func (s *State) endRun(w *Worker, e *RunEnd, atMS int64) *Job {
	j := s.jobs[e.Job]
	if run, ok := w.Tasks[e.TaskRef]; !ok || run != e.Run || j == nil {
		return nil
	}
	t := j.Task(e.TaskRef)
	st := &j.Steps[e.Step]
	delete(w.Tasks, e.TaskRef)
	w.Reserved = w.Reserved.Sub(st.Reserved())
	s.subUsage(j, st.Reserved())
	t.Worker = ""
	j.AssignedTasks--
	if e.Checkpoint != "" {
		s.saveCheckpoint(j, e)
	}
	if t.Status == TaskAssigned {
		t.Status = TaskWaiting
		switch {
		case e.Kind == EndDone && !st.Service:
			s.taskDone(j, e.TaskRef, atMS)
		case e.Kind == EndFailed && !st.Service:
			s.taskFailed(j, e.TaskRef, atMS)
		}
	}
	if j.Phase.Final() {
		j.trim()
	}
	return j
}

// saveCheckpoint stores a checkpoint for the next run. The checkpoint of any member is
// valid for the whole gang, and all members must start from the same checkpoint.
func (s *State) saveCheckpoint(j *Job, e *RunEnd) {
	o := j.Occurrences[e.Occurrence]
	if !j.Steps[e.Step].Gang {
		o.Steps[e.Step][e.Index].Checkpoint = e.Checkpoint
		return
	}
	for i := range o.Steps[e.Step] {
		o.Steps[e.Step][i].Checkpoint = e.Checkpoint
	}
}

// taskDone completes a task. The members of a gang complete together, so the first
// end completes all of them.
func (s *State) taskDone(j *Job, r TaskRef, atMS int64) {
	o := j.Occurrences[r.Occurrence]
	tasks := o.Steps[r.Step]
	if j.Steps[r.Step].Gang {
		for i := range tasks {
			tasks[i].Status = TaskDone
		}
		o.Open[r.Step] = 0
	} else {
		tasks[r.Index].Status = TaskDone
		o.Open[r.Step]--
	}
	for _, open := range o.Open {
		if open > 0 {
			return
		}
	}
	if j.FinishedOccurrences == nil {
		j.FinishedOccurrences = map[int]bool{}
	}
	j.FinishedOccurrences[r.Occurrence] = true
	if len(j.FinishedOccurrences) == j.Submission.Occurrences() && !j.Phase.Final() {
		s.finish(j, Completed, atMS, "")
	}
}

// taskFailed counts a failed attempt of a task, and fails the job if the task has used
// all attempts of its queue. In a gang the attempt counts for every member with the same
// run number, because the members share their attempts. Each end counts: a leader records one
// failed end for each failed run of a gang. Members of the group that run different versions must
// come to the same state from the same commands, so the rule is the leader's and not applied here.
func (s *State) taskFailed(j *Job, r TaskRef, atMS int64) {
	tasks := j.Occurrences[r.Occurrence].Steps[r.Step]
	if j.Steps[r.Step].Gang {
		run := tasks[r.Index].Run
		for i := range tasks {
			if i == r.Index || tasks[i].Run == run {
				tasks[i].Failures++
				tasks[i].FailedRun = run
			}
		}
	} else {
		tasks[r.Index].Failures++
		tasks[r.Index].FailedRun = tasks[r.Index].Run
	}
	if n := s.QueueOf(j).MaxAttempts; n > 0 && tasks[r.Index].Failures >= n && !j.Phase.Final() {
		s.finish(j, Failed, atMS, fmt.Sprintf("task %s failed %d times", r, tasks[r.Index].Failures))
	}
}

func (s *State) prune(c *Prune) Applied {
	for _, id := range c.Jobs {
		if j := s.jobs[id]; j != nil && j.Phase.Final() && j.AssignedTasks == 0 {
			delete(s.jobs, id)
		}
	}
	return Applied{}
}

// wave stores a maintenance wave. It rejects the resend of a stored wave.
func (s *State) wave(c *Wave) Applied {
	if s.waves[c.Number] != nil {
		return rejected("wave %d was accepted before", c.Number)
	}
	w := *c
	w.Done, w.Requests = nil, nil
	s.waves[c.Number] = &w
	return Applied{}
}

// requestMaintenance stores the first request for maintenance of a VM. Later requests to the
// platform repeat it.
func (s *State) requestMaintenance(c *MaintenanceRequest) Applied {
	w := s.waves[c.Wave]
	if w == nil || w.Request(c.VM) != nil || !slices.Contains(w.VMs, c.VM) {
		return rejected("wave %d does not contain VM %s, or its maintenance was requested before", c.Wave, c.VM)
	}
	w.Requests = append(w.Requests, *c)
	return Applied{}
}

func (s *State) maintenanceStarted(c *MaintenanceStarted) Applied {
	w := s.waves[c.Wave]
	if w == nil || slices.Contains(w.Done, c.VM) || !slices.Contains(w.VMs, c.VM) {
		return rejected("wave %d does not contain VM %s, or its maintenance has started before", c.Wave, c.VM)
	}
	w.Done = append(w.Done, c.VM)
	return Applied{}
}
