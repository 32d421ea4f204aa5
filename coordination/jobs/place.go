package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// placeTasks assigns as many waiting tasks as fit, and requests advice for the rest. It
// reports whether all fit.
func (l *Leader) placeTasks(p *schedulingPass, s *step, waiting []int) bool {
	waiting = waiting[:l.tasksWithinLimit(s, len(waiting))]
	// Small tasks would otherwise use up the room that a gang of the same team waits for.
	isBehindGang := p.limitedTeams[s.job.Team] && !s.spec.Service
	if len(waiting) == 0 || isBehindGang {
		s.lastTry = atTeamLimit
		return true
	}
	items := l.planTasks(p, s, waiting)
	rest := waiting[len(items):]
	if len(items) > 0 {
		l.assign(s, items)
		s.lastTry = placedSome
	}
	if len(rest) > 0 {
		s.lastTry = l.requestAdvice(p, s, len(rest))
	}
	return len(rest) == 0
}

// maxAvoidWait is how long a step waits for other workers than those that it avoids: a task that has failed
// on a worker would use up its attempts there while the others are busy. The rest of the 3 s within which
// work has to start beside room is for a call for advice, a commit and the start.
const maxAvoidWait = 1500 * time.Millisecond

// avoidedRetry is the time between two tries on workers that a step avoids if no others may run it. One that
// rejects each start would otherwise be tried with each commit.
const avoidedRetry = 200 * time.Millisecond

// mustAvoid reports whether a step does not use the workers that it avoids yet: a run of it has ended within
// avoidedRetry, or within maxAvoidWait if others may run it.
func (l *Leader) mustAvoid(p *schedulingPass, s *step) bool {
	switch {
	case len(s.avoided) == 0 || l.now-max(s.readyAt, s.runEndedAt) >= maxAvoidWait:
		return false
	case s.runEndedAt > 0 && l.now-s.runEndedAt < avoidedRetry:
		return true
	}
	return slices.ContainsFunc(p.usable, func(w *worker) bool {
		v, asked := s.advice.verdicts[w.ID]
		refused := s.queue.Advice != nil && asked && v.startedMS == w.StartedMS && !v.approved
		return !s.avoided[w.ID] && !refused && matchesWorker(s, w) && s.spec.Reserved().FitsIn(w.rec.Capacity)
	})
}

// planTasks returns assignments for as many waiting tasks as fit.
func (l *Leader) planTasks(p *schedulingPass, s *step, waiting []int) []job.Assignment {
	var items []job.Assignment
	avoids := l.mustAvoid(p, s)
	for _, c := range l.candidates(p, s, l.workersWithTicket(p, s), s.ticketFilter(l.now)) {
		if avoids && s.avoided[c.w.ID] {
			continue
		}
		for n := 0; n < c.tasksThatFit && len(items) < len(waiting); n++ {
			i := waiting[len(items)]
			items = append(items, job.Assignment{Index: i, Run: s.task(i).Run + 1, Worker: c.w.ID, StartedMS: c.w.StartedMS})
		}
	}
	return items
}

// assign replicates an assignment and sends the starts after the commit.
func (l *Leader) assign(s *step, items []job.Assignment) {
	need := s.spec.Reserved()
	l.starts.committing += len(items)
	l.addPending(s.job.Team, need.Scale(len(items)))
	releasePending := func() {
		l.addPending(s.job.Team, need.Scale(-len(items)))
		l.starts.committing -= len(items)
		for _, it := range items {
			delete(s.pendingAssignments, it.Index)
			if w := l.workers[it.Worker]; w != nil && w.StartedMS == it.StartedMS {
				w.pendingAmount = w.pendingAmount.Sub(need)
				w.pendingTasks--
			}
		}
	}
	for _, it := range items {
		s.pendingAssignments[it.Index] = it.Worker
		w := l.workers[it.Worker]
		w.pendingAmount = w.pendingAmount.Add(need)
		w.pendingTasks++
	}
	cmd := &job.Command{Assign: &job.Assign{StepRef: s.ref, AtMS: l.wallMS, Items: items}}
	ok := l.propose(cmd, func(a job.Applied, committed bool) {
		releasePending()
		l.needsSchedule = true
		switch {
		case committed && a.Rejected == nil:
			l.log("info", "assign", s.ref.String(), "", "tasks were assigned", "tasks", len(items), "workers", workerNames(items), "queue", s.queue.Name, "ready_ms", (l.now - s.readyAt).Milliseconds(), "age_ms", l.wallMS-s.job.AcceptedMS)
			l.host.Emit(Measure{Metric: MetricWait, Queue: s.queue.Name, Value: l.now - s.readyAt})
			l.startRuns(s, items)
		case committed:
			s.lastTry = assignmentFailed
			l.log("info", "assign", s.ref.String(), "", "the assignment was rejected", "reason", a.Rejected.Error())
		}
	})
	if !ok {
		s.lastTry = assignmentFailed
		releasePending()
	}
}

// maxLoggedWorkers bounds the number of workers that a log line lists.
const maxLoggedWorkers = 6

// workerNames returns the workers of an assignment for a log line, separated by commas.
func workerNames(items []job.Assignment) string {
	var names []string
	for _, it := range items {
		if !slices.Contains(names, it.Worker) {
			names = append(names, it.Worker)
		}
	}
	if len(names) > maxLoggedWorkers {
		names = append(names[:maxLoggedWorkers], "...")
	}
	return strings.Join(names, ",")
}
