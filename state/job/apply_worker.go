package job

import (
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// join adds a worker. It ends all runs of an earlier incarnation of the worker, and of
// another worker at its address, because their processes have stopped.
func (s *State) join(c *Worker) Applied {
	var changed []*Job
	for _, w := range s.Workers() {
		if w.ID != c.ID && w.Address != c.Address {
			continue
		}
		if w.StartedMS >= c.StartedMS {
			return rejected("worker %s: the same or a later incarnation is known under its ID or address", c.ID)
		}
		changed = append(changed, s.endAllRuns(w, EndLeaseExpired)...)
		delete(s.workers, w.ID)
	}
	w := *c
	w.Reserved, w.AckedEnd, w.Tasks, w.SpeedPercent = resource.Amount{}, 0, map[TaskRef]int{}, 0
	s.workers[w.ID] = &w
	return Applied{Jobs: changed}
}

// maxSpeedPercent bounds the learned speed of a worker.
const maxSpeedPercent = 10_000

// setSpeeds records the speeds of the incarnations that are still known.
func (s *State) setSpeeds(c *SetSpeeds) Applied {
	for i := range c.Items {
		x := &c.Items[i]
		if w := s.workers[x.ID]; w != nil && w.StartedMS == x.StartedMS {
			w.SpeedPercent = max(0, min(x.Percent, maxSpeedPercent))
		}
	}
	return Applied{}
}

func (s *State) drain(c *Incarnation) Applied {
	w := s.workers[c.ID]
	if w == nil || w.StartedMS != c.StartedMS {
		return rejected("worker %s: unknown incarnation", c.ID)
	}
	w.Draining = true
	return Applied{}
}

func (s *State) leave(c *Leave) Applied {
	w := s.workers[c.ID]
	if w == nil || w.StartedMS != c.StartedMS {
		return rejected("worker %s: unknown incarnation", c.ID)
	}
	changed := s.endAllRuns(w, EndLeaseExpired)
	if !c.KeepWorker {
		delete(s.workers, w.ID)
	}
	return Applied{Jobs: changed}
}

// endAllRuns ends every run on a worker and returns the changed jobs.
func (s *State) endAllRuns(w *Worker, kind EndKind) []*Job {
	var changed []*Job
	for _, r := range w.SortedTasks() {
		e := RunEnd{TaskRef: r, Run: w.Tasks[r], Kind: kind}
		if j := s.endRun(w, &e, 0); j != nil && !slices.Contains(changed, j) {
			changed = append(changed, j)
		}
	}
	return changed
}

// SortedTasks returns the tasks that a worker may be running, in a fixed order.
func (w *Worker) SortedTasks() []TaskRef {
	out := make([]TaskRef, 0, len(w.Tasks))
	for r := range w.Tasks {
		out = append(out, r)
	}
	slices.SortFunc(out, CompareTasks)
	return out
}

// CompareTasks orders tasks by job, occurrence, step and index.
func CompareTasks(a, b TaskRef) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	}
	return a.Index - b.Index
}
