package jobs

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state/job"
)

// configurationApplied brings the steps in line with the configuration that has come into force.
// Assignments that were proposed under the earlier one are rejected when they are applied, and
// their tasks are placed again.
func (l *Leader) configurationApplied() {
	l.teamsChanged()
	l.agents.configured(l.state.Configuration())
	for _, s := range l.sortedSteps() {
		if s.job.Phase.Final() {
			continue // its record may have no steps any more
		}
		if q := l.state.QueueOf(s.job); !q.Equal(&s.queue) {
			l.setQueue(s, q)
		}
	}
}

// setQueue replaces the settings of a step's queue and drops what was derived from the earlier
// ones. Runs that are assigned go on.
func (l *Leader) setQueue(s *step, q job.Queue) {
	earlier := s.queue
	s.queue = q
	s.setObjective()
	l.objectives[s.ref.Job] = s.objectiveMS - s.job.AcceptedMS
	l.findExhausted(s)
	if earlier.Pool == q.Pool && job.EqualAdvice(earlier.Advice, q.Advice) {
		return
	}
	l.dropHold(s)
	s.nextTry, s.reservation = 0, nil
	s.advice = advice{} // an answer under way is stored, but the step does not wait for it
	l.log("info", "queue changed", s.ref.String(), "", "the step goes on with other settings of its queue", "queue", q.Name,
		"pool", q.Pool, "earlier_pool", earlier.Pool, "advice", q.Advice != nil, "waiting", len(s.waiting()))
}

// A configuration may allow fewer attempts than a task that waits has failed already. The task
// cannot be started any more, so its job has failed.

// findExhausted notes the first waiting task of a step that has no attempt left. While such a task
// runs, the step is checked again when its job changes.
func (l *Leader) findExhausted(s *step) {
	s.exhausted = false
	o := s.job.Occurrence(s.ref.Occurrence)
	if s.job.Phase.Final() || s.spec.Service || o == nil {
		return
	}
	for i := range o.Steps[s.ref.Step] {
		t := &o.Steps[s.ref.Step][i]
		if t.Status == job.TaskDone || !usedAllAttempts(t, &s.queue) {
			continue
		}
		s.exhausted = true
		if t.Status == job.TaskWaiting && t.Worker == "" {
			l.exhaustedTasks = append(l.exhaustedTasks, job.TaskRef{StepRef: s.ref, Index: i})
			return
		}
	}
}

// usedAllAttempts reports whether a task, other than that of a service, has failed as often as its
// queue allows.
func usedAllAttempts(t *job.Task, q *job.Queue) bool {
	return q.MaxAttempts > 0 && t.Failures >= q.MaxAttempts
}

// recheckExhausted checks the steps of a changed job again whose tasks had no attempt left while
// they ran.
func (l *Leader) recheckExhausted(j *job.Job) {
	for k := range j.Occurrences {
		for i := range j.Steps {
			if s := l.steps[job.StepRef{Job: j.ID, Occurrence: k, Step: i}]; s != nil && s.exhausted {
				l.findExhausted(s)
			}
		}
	}
}

// failExhausted proposes to fail the jobs that have a task without an attempt left, unless a later
// configuration allows more attempts again. A leader that takes over finds such tasks as well.
func (l *Leader) failExhausted() {
	list := l.exhaustedTasks
	l.exhaustedTasks = nil
	for _, ref := range list {
		j := l.state.Job(ref.Job)
		if j == nil || j.Phase.Final() {
			continue
		}
		t, q := j.Task(ref), l.state.QueueOf(j)
		if t == nil || !usedAllAttempts(t, &q) {
			continue
		}
		reason := fmt.Sprintf("task %s failed %d times, queue %s allows %d", ref, t.Failures, q.Name, q.MaxAttempts)
		if !l.propose(&job.Command{FailJob: &job.FailJob{Job: ref.Job, AtMS: l.wallMS, Reason: reason}}, nil) {
			l.exhaustedTasks = append(l.exhaustedTasks, ref)
		}
	}
}
