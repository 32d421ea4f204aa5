package job

import (
	"slices"

	"github.com/primrosereach/primrosereach/state/resource"
)

// join adds a worker. An earlier life of it, or of another worker at its address, has
// ended with everything that ran there.
func (s *State) join(c *Worker) Applied {
	var touched []*Job
	for _, w := range s.Workers() {
		if w.ID != c.ID && w.Address != c.Address {
			continue
		}
		if w.StartedMS >= c.StartedMS {
			return rejected("worker %s: a later life of it, or of its address, is known", c.ID)
		}
		touched = append(touched, s.endAll(w, EndLeaseExpired)...)
		delete(s.workers, w.ID)
	}
	w := *c
	w.Reserved, w.AckedEnd, w.Tasks = resource.Amount{}, 0, map[TaskRef]int{}
	s.workers[w.ID] = &w
	return Applied{Jobs: touched}
}

func (s *State) drain(c *Incarnation) Applied {
	w := s.workers[c.ID]
	if w == nil || w.StartedMS != c.StartedMS {
		return rejected("worker %s: this life of it is not known", c.ID)
	}
	w.Draining = true
	return Applied{}
}

func (s *State) leave(c *Leave) Applied {
	w := s.workers[c.ID]
	if w == nil || w.StartedMS != c.StartedMS {
		return rejected("worker %s: this life of it is not known", c.ID)
	}
	touched := s.endAll(w, EndLeaseExpired)
	if !c.Keep {
		delete(s.workers, w.ID)
	}
	return Applied{Jobs: touched}
}

// endAll ends every run on a worker.
func (s *State) endAll(w *Worker, kind EndKind) []*Job {
	var touched []*Job
	for _, r := range w.SortedTasks() {
		e := RunEnd{TaskRef: r, Run: w.Tasks[r], Kind: kind}
		if j := s.endRun(w, &e, 0); j != nil && !slices.Contains(touched, j) {
			touched = append(touched, j)
		}
	}
	return touched
}

// SortedTasks returns the tasks that a worker may hold, in a fixed order.
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
