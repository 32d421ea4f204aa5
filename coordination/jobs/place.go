package jobs

import (
	"slices"
	"strings"

	"github.com/primrosereach/primrosereach/state/job"
)

// placeTasks assigns as many waiting tasks as fit and reports whether that was all.
func (l *Leader) placeTasks(p *pass, s *step, waiting []int) bool {
	var items []job.Assignment
	rest := waiting
	for _, c := range l.candidates(p, s, l.admitted(p, s), s.admits(l.now)) {
		for n := 0; n < c.room && len(rest) > 0; n++ {
			items = append(items, job.Assignment{Index: rest[0], Run: s.task(rest[0]).Run + 1, Worker: c.w.ID, StartedMS: c.w.StartedMS})
			rest = rest[1:]
		}
	}
	if len(items) > 0 {
		l.assign(s, items)
	}
	if len(rest) > 0 {
		l.consult(p, s, len(rest))
	}
	return len(rest) == 0
}

// assign commits an assignment; the starts are sent after that.
func (l *Leader) assign(s *step, items []job.Assignment) {
	need := s.spec.Reserved()
	release := func() {
		for _, it := range items {
			delete(s.planned, it.Index)
			if w := l.workers[it.Worker]; w != nil && w.StartedMS == it.StartedMS {
				w.pending = w.pending.Sub(need)
			}
		}
	}
	for _, it := range items {
		s.planned[it.Index] = it.Worker
		w := l.workers[it.Worker]
		w.pending = w.pending.Add(need)
	}
	cmd := &job.Command{Assign: &job.Assign{StepRef: s.ref, AtMS: l.wallMS, Items: items}}
	ok := l.propose(cmd, func(a job.Applied, committed bool) {
		release()
		l.dirty = true
		switch {
		case committed && a.Rejected == nil:
			l.log("info", "assign", s.ref.String(), "", "tasks were assigned", "tasks", len(items), "workers", namesOf(items), "queue", s.queue.Name, "ready_ms", (l.now - s.ready).Milliseconds(), "age_ms", l.wallMS-s.job.AcceptedMS)
			l.host.Emit(Measure{Metric: MetricWait, Queue: s.queue.Name, Value: l.now - s.ready})
			l.startRuns(s, items)
		case committed:
			l.log("info", "assign", s.ref.String(), "", "the assignment no longer holds", "reason", a.Rejected.Error())
		}
	})
	if !ok {
		release()
	}
}

// maxNamed bounds the workers that a log line names.
const maxNamed = 6

// namesOf lists the workers of an assignment for the log.
func namesOf(items []job.Assignment) string {
	var names []string
	for _, it := range items {
		if !slices.Contains(names, it.Worker) {
			names = append(names, it.Worker)
		}
	}
	if len(names) > maxNamed {
		names = append(names[:maxNamed], "...")
	}
	return strings.Join(names, ",")
}
