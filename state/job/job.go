package job

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state/resource"
)

// ID identifies a job. Callers choose it.
type ID string

// Submission is a job as its caller submits it.
type Submission struct {
	ID         ID     `json:"id"`
	Spec       string `json:"spec,omitempty"` // passed to workers unchanged
	Steps      []Step `json:"steps"`
	Repeats    int    `json:"times,omitempty"`       // number of occurrences of a scheduled job, 0 for a job that runs at once
	FirstMS    int64  `json:"first_ms,omitempty"`    // due time of occurrence 0, Unix milliseconds
	IntervalMS int64  `json:"interval_ms,omitempty"` // time between the due times of occurrences, milliseconds
}

// Occurrences returns the number of times that the steps run.
func (s *Submission) Occurrences() int { return max(1, s.Repeats) }

// DueMS returns when an occurrence may start, in Unix milliseconds; 0 means at once.
func (s *Submission) DueMS(occurrence int) int64 {
	if s.Repeats == 0 {
		return 0
	}
	return s.FirstMS + int64(occurrence)*s.IntervalMS
}

// Step is a set of equal tasks.
type Step struct {
	Count         int             `json:"count"`
	PerTask       resource.Amount `json:"per_task"`
	EstimateMS    int64           `json:"estimate_ms,omitempty"`    // run time of one task as declared by the caller
	After         []int           `json:"after,omitempty"`          // indexes of the steps that must be done first
	Checkpointing bool            `json:"checkpointing,omitempty"`  // tasks report checkpoints, from which a later run resumes
	Gang          bool            `json:"gang,omitempty"`           // all tasks start together or none
	RackSensitive bool            `json:"rack_sensitive,omitempty"` // runs slower if its tasks are on more than one rack
	Speculative   bool            `json:"speculative,omitempty"`    // several copies of a task may run at the same time
	Service       bool            `json:"service,omitempty"`        // runs until it is cancelled; its tasks are restarted after any end
	BestEffort    bool            `json:"filler,omitempty"`         // runs on cores that other tasks leave idle
	RequiredLabel string          `json:"required_label,omitempty"` // label that a worker must have, empty for none
	DataRack      string          `json:"data_rack,omitempty"`      // rack of the input data; tasks run slower on other racks
	MaxPerWorker  int             `json:"max_per_worker,omitempty"` // largest number of tasks on one worker, 0 for no limit
	Image         string          `json:"image,omitempty"`          // image that the tasks run; tasks of the same image behave alike
	TailTargetMS  int64           `json:"tail_target_ms,omitempty"` // target for the tail latency of a service's responses
	Disruptions   int             `json:"disruptions,omitempty"`    // number of tasks of a service that the system may make unavailable at the same time
}

// Reserved returns the capacity that a task reserves on its worker. A best-effort task
// runs on idle cores and reserves no cores.
func (s *Step) Reserved() resource.Amount {
	r := s.PerTask
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Validate returns the first error found in a submission.
func (s *Submission) Validate() error {
	if err := s.ID.Validate(); err != nil {
		return err
	}
	if len(s.Steps) == 0 {
		return fmt.Errorf("job %q: the steps are missing", s.ID)
	}
	if err := s.CheckLimits(); err != nil {
		return err
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count == 0 {
			return fmt.Errorf("job %s: step %d has no tasks", s.ID, i)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("job %s: step %d waits for step %d, which is not an earlier one", s.ID, i, a)
			}
		}
	}
	return nil
}

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        ID  `json:"job"`
	Occurrence int `json:"occ,omitempty"`
	Step       int `json:"step,omitempty"`
}

// TaskRef identifies a task.
type TaskRef struct {
	StepRef
	Index int `json:"index,omitempty"`
}

// String returns job.occurrence.step, for log lines and errors.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// String returns job.occurrence.step.index, for log lines and errors.
func (r TaskRef) String() string { return fmt.Sprintf("%s.%d", r.StepRef, r.Index) }

// TaskStatus is the state of a task.
type TaskStatus uint8

// Task states.
const (
	TaskWaiting  TaskStatus = iota
	TaskAssigned            // a worker runs it or may run it
	TaskDone
)

// Task is one task of an occurrence.
type Task struct {
	Status     TaskStatus `json:"status,omitempty"`
	Run        int        `json:"run,omitempty"`        // number of the latest run, increasing from 1; 0 before the first
	Failures   int        `json:"failures,omitempty"`   // number of runs that failed
	Worker     string     `json:"worker,omitempty"`     // ID of the worker whose capacity it reserves, empty if none
	Checkpoint string     `json:"checkpoint,omitempty"` // checkpoint from which the next run starts

	// FailedRun is the number of the last run whose failure was counted, 0 if none or not known.
	// No command depends on it. A leader reads from it which failures of a gang were counted.
	FailedRun int `json:"failed_run,omitempty"`
}

// Occurrence is one run of a job's steps.
type Occurrence struct {
	Steps [][]Task `json:"steps"`
	Open  []int    `json:"open"` // number of tasks of each step that are not done
}

// Phase is the state of a job as its caller sees it.
type Phase string

// Phases. Completed, Failed and Cancelled are final.
const (
	Queued    Phase = "queued" // no task has been assigned
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether a phase cannot change any more.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// Job is the record of a submission.
type Job struct {
	Submission
	Queue               string              `json:"queue"`
	Team                string              `json:"team,omitempty"`     // owner, empty if the call needed no key
	Borrowed            bool                `json:"borrowed,omitempty"` // accepted beyond the rate of its team; yields to all other work
	AcceptedMS          int64               `json:"accepted_ms"`        // Unix milliseconds
	FinalMS             int64               `json:"final_ms,omitempty"` // time at which Phase became final, Unix milliseconds; 0 before
	Phase               Phase               `json:"phase"`
	Reason              string              `json:"reason,omitempty"` // why the job failed
	Occurrences         map[int]*Occurrence `json:"occurrences,omitempty"`
	FinishedOccurrences map[int]bool        `json:"finished,omitempty"` // occurrences whose tasks are all done
	AssignedTasks       int                 `json:"held,omitempty"`     // number of tasks that reserve capacity of a worker
}

// Occurrence returns an occurrence, or nil if no task of it has been assigned.
func (j *Job) Occurrence(k int) *Occurrence { return j.Occurrences[k] }

// Task returns a task. It returns nil if no task of its occurrence has been assigned, if
// the job is final and its tasks have been removed, or if r is out of range.
func (j *Job) Task(r TaskRef) *Task {
	o := j.Occurrences[r.Occurrence]
	if o == nil || r.Step < 0 || r.Step >= len(o.Steps) || r.Index < 0 || r.Index >= len(o.Steps[r.Step]) {
		return nil
	}
	return &o.Steps[r.Step][r.Index]
}

// StepReady reports whether all steps that a step depends on are done and the
// occurrence is not finished.
func (j *Job) StepReady(r StepRef) bool {
	if j.FinishedOccurrences[r.Occurrence] {
		return false
	}
	o := j.Occurrences[r.Occurrence]
	for _, a := range j.Steps[r.Step].After {
		if o == nil || o.Open[a] > 0 {
			return false
		}
	}
	return true
}

func (j *Job) occurrence(k int) *Occurrence {
	if o := j.Occurrences[k]; o != nil {
		return o
	}
	o := &Occurrence{}
	for i := range j.Steps {
		o.Steps = append(o.Steps, make([]Task, j.Steps[i].Count))
		o.Open = append(o.Open, j.Steps[i].Count)
	}
	if j.Occurrences == nil {
		j.Occurrences = map[int]*Occurrence{}
	}
	j.Occurrences[k] = o
	return o
}
