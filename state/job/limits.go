package job

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Limits of stored records. The record of a job holds an entry for each task, so a count out of
// all proportion would use up the memory of every member. Within the limits no sum overflows.
const (
	// MaxAmount is the largest amount of one resource of a worker or a task, in the units of
	// resource.Amount, and the largest value of other counts.
	MaxAmount = 1_000_000_000
	// MaxTasks is the largest number of tasks of one occurrence of a job.
	MaxTasks = 20_000
	// MaxOccurrences is the largest number of occurrences of a job.
	MaxOccurrences = 10_000
	// MaxTimeMS is the largest time or duration, in milliseconds. A Unix time up to it, and
	// MaxOccurrences times such a duration, fit into an int64.
	MaxTimeMS = 100_000_000_000_000
	// maxIDBytes is the length of the longest ID of a job.
	maxIDBytes = 64
)

// Validate returns an error if an ID is empty, too long, or has characters other than letters,
// digits, "-" and "_". Names of tasks join the ID of their job and numbers with dots.
func (id ID) Validate() error {
	if id == "" || len(id) > maxIDBytes {
		return fmt.Errorf("the ID of the job has %d characters, 1 to %d are allowed", len(id), maxIDBytes)
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return fmt.Errorf("job %q: the ID may have letters, digits, \"-\" and \"_\" only", id)
		}
	}
	return nil
}

// CheckLimits returns an error if a count, size or time of a submission is out of range.
func (s *Submission) CheckLimits() error {
	switch {
	case s.Repeats < 0 || s.Repeats > MaxOccurrences:
		return fmt.Errorf("job %s: %d occurrences, at most %d are allowed", s.ID, s.Repeats, MaxOccurrences)
	case !isTime(s.FirstMS) || !isTime(s.IntervalMS):
		return fmt.Errorf("job %s: the first due time or the interval is out of range", s.ID)
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count < 0 || st.Count > MaxTasks-tasks {
			return fmt.Errorf("job %s: step %d has %d tasks, a job may have at most %d", s.ID, i, st.Count, MaxTasks)
		}
		tasks += st.Count
		if err := st.checkLimits(); err != nil {
			return fmt.Errorf("job %s: step %d: %w", s.ID, i, err)
		}
	}
	return nil
}

func (s *Step) checkLimits() error {
	switch {
	case !isAmount(s.PerTask):
		return fmt.Errorf("the size %+v of a task is out of range", s.PerTask)
	case !isTime(s.EstimateMS) || !isTime(s.TailTargetMS):
		return fmt.Errorf("an estimate of %d ms or a target of %d ms is out of range", s.EstimateMS, s.TailTargetMS)
	case s.MaxPerWorker < 0 || s.MaxPerWorker > MaxAmount || s.Disruptions < 0 || s.Disruptions > MaxAmount:
		return fmt.Errorf("%d tasks on a worker or %d disruptions are out of range", s.MaxPerWorker, s.Disruptions)
	}
	return nil
}

// CheckLimits returns an error if the capacity or the start time of a worker is out of range.
// The record of such a worker was stored by an earlier version.
func (w *Worker) CheckLimits() error {
	if !isAmount(w.Capacity) || w.StartedMS < 0 || w.StartedMS > MaxTimeMS {
		return fmt.Errorf("worker %s: the capacity %+v or the start time %d is out of range", w.ID, w.Capacity, w.StartedMS)
	}
	return nil
}

func isTime(ms int64) bool { return ms >= 0 && ms <= MaxTimeMS }

func isAmount(a resource.Amount) bool {
	limit := resource.Amount{Slots: MaxAmount, MilliCores: MaxAmount, MemoryMB: MaxAmount, Accelerators: MaxAmount}
	return !a.IsNegative() && a.FitsIn(limit)
}
