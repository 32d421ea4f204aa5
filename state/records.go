package state

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/primrosereach/primrosereach/state/resource"
)

// Class selects the scheduling policy of a request.
type Class string

// Classes. The first three run in runner slots and are served in this order when slots
// are short; the others run on workers.
const (
	ClassUrgent      Class = "urgent"      // served before all work that may wait
	ClassInteractive Class = "interactive" // a person waits for the answer
	ClassDeferrable  Class = "deferrable"  // runs in slots that are left over, within a bound on waiting
	ClassBatch       Class = "batch"       // ordered by deadline, packed tightly
	ClassGang        Class = "gang"        // all tasks start together or none
	ClassService     Class = "service"     // long-running, spread over racks
)

// Classes lists every class once.
var Classes = []Class{ClassUrgent, ClassInteractive, ClassDeferrable, ClassBatch, ClassGang, ClassService}

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool {
	for _, k := range Classes {
		if c == k {
			return true
		}
	}
	return false
}

// UsesSlots reports whether requests of the class run in runner slots. The
// others run on workers.
func (c Class) UsesSlots() bool {
	return c == ClassUrgent || c == ClassInteractive || c == ClassDeferrable
}

// RequestID names a request and its home domain:
// "<domain>.<issue time, Unix seconds, hex>.<random>". Only the group of the home
// domain can accept the request.
type RequestID string

// NewRequestID builds an ID from its parts. random must not contain a dot.
func NewRequestID(domain string, issued int64, random string) RequestID {
	return RequestID(domain + "." + strconv.FormatInt(issued, 16) + "." + random)
}

// Parse returns the home domain and the issue time in Unix seconds.
func (id RequestID) Parse() (domain string, issued int64, err error) {
	parts := strings.Split(string(id), ".")
	if len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return "", 0, fmt.Errorf("request ID %q: want <domain>.<hex seconds>.<random>", string(id))
	}
	issued, err = strconv.ParseInt(parts[1], 16, 64)
	if err != nil || issued < 0 {
		return "", 0, fmt.Errorf("request ID %q: issue time %q is not a hexadecimal number of seconds", string(id), parts[1])
	}
	return parts[0], issued, nil
}

// Key identifies a request. Each team is a separate name space, so that no team can
// see or block another team's requests.
type Key struct {
	Team string    `json:"team"`
	ID   RequestID `json:"id"`
}

// Resources is an amount of endpoint capacity.
type Resources = resource.Amount

// Request is a submission of a caller, with the defaults of its kind filled in from
// the configuration.
type Request struct {
	Key
	Kind       string          `json:"kind"`
	Class      Class           `json:"class"`
	Repeatable bool            `json:"repeatable"`
	Tasks      int             `json:"tasks"`                 // at least 1
	PerTask    Resources       `json:"per_task"`              // reserved for each task
	Payload    json.RawMessage `json:"payload,omitempty"`     // passed to the endpoint unchanged
	Digest     uint64          `json:"digest"`                // hash of the submitted body; distinguishes a resend from a conflicting request
	AcceptedMS int64           `json:"accepted_ms"`           // Unix milliseconds
	DeadlineMS int64           `json:"deadline_ms,omitempty"` // Unix milliseconds, 0 for none
	EstimateMS int64           `json:"estimate_ms,omitempty"` // declared run time of a task
	Retries    int             `json:"retries,omitempty"`     // further attempts after a failure
}

// TaskStatus is the state of one task of a request.
type TaskStatus string

// Task states. TaskQueued and TaskAssigned can change. The others are final, except
// that a late report may still replace TaskUnknown.
const (
	TaskQueued    TaskStatus = "queued"
	TaskAssigned  TaskStatus = "assigned"
	TaskDone      TaskStatus = "done"
	TaskFailed    TaskStatus = "failed"
	TaskNotRun    TaskStatus = "not_run"
	TaskCancelled TaskStatus = "cancelled"
	TaskUnknown   TaskStatus = "unknown"
)

// Reserves reports whether the task counts against its endpoint's capacity. An
// unrepeatable task on a lost endpoint may still be running there, so it keeps
// its reservation until it is reported or the endpoint restarts.
func (t *Task) Reserves() bool { return t.Status == TaskAssigned || t.HoldsCapacity }

// Final reports whether the status ends the task.
func (s TaskStatus) Final() bool { return s != TaskQueued && s != TaskAssigned }

// Task is one task of a request and its current attempt.
type Task struct {
	Status        TaskStatus      `json:"status"`
	Attempt       int             `json:"attempt,omitempty"`       // counts assignments, 1 for the first
	Endpoint      string          `json:"endpoint,omitempty"`      // endpoint of the current attempt
	Incarnation   uint64          `json:"incarnation,omitempty"`   // incarnation of that endpoint
	Seq           uint64          `json:"seq,omitempty"`           // sequence number of the assignment at its endpoint
	AssignedMS    int64           `json:"assigned_ms,omitempty"`   // Unix milliseconds
	FinalMS       int64           `json:"final_ms,omitempty"`      // Unix milliseconds
	Borrowed      bool            `json:"borrowed,omitempty"`      // runs on idle quota of other teams
	HoldsCapacity bool            `json:"held,omitempty"`          // status unknown, and its capacity is still reserved
	Declined      int             `json:"declined,omitempty"`      // attempts that an endpoint reported as never started
	Failures      int             `json:"failures,omitempty"`      // attempts that ran and failed, with the failure attributed to the job
	FailedOn      []string        `json:"failed_on,omitempty"`     // endpoints of the attempts counted in Failures
	NotBeforeMS   int64           `json:"not_before_ms,omitempty"` // earliest next attempt, Unix milliseconds
	Result        json.RawMessage `json:"result,omitempty"`
	Error         string          `json:"error,omitempty"`
}

// Outcome is the state of a request as its caller sees it.
type Outcome string

// Outcomes. OutcomeNotRun requires the evidence listed in docs/design.md 4.2.
const (
	OutcomeWaiting   Outcome = "waiting"
	OutcomeRunning   Outcome = "running"
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeCancelled Outcome = "cancelled" // stopped after it had started
	OutcomeUnknown   Outcome = "unknown"   // may have run
)

// Record is a request with its tasks. It is immutable once stored.
type Record struct {
	Request
	State           []Task `json:"state"` // one per task, indexed by task number
	CancelRequested bool   `json:"cancel,omitempty"`
	Reason          string `json:"reason,omitempty"`
	FinalMS         int64  `json:"final_ms,omitempty"` // Unix milliseconds, 0 while any task is open
}

// Outcome derives the outcome of the request from its tasks.
func (r *Record) Outcome() Outcome {
	var n = make(map[TaskStatus]int, 4)
	for i := range r.State {
		n[r.State[i].Status]++
	}
	total := len(r.State)
	switch {
	case n[TaskAssigned] > 0:
		return OutcomeRunning
	case n[TaskQueued] > 0 && n[TaskQueued] == total:
		return OutcomeWaiting
	case n[TaskQueued] > 0:
		return OutcomeRunning
	case n[TaskDone] == total:
		return OutcomeDone
	case n[TaskUnknown] > 0:
		return OutcomeUnknown
	case n[TaskFailed] > 0:
		return OutcomeFailed
	case n[TaskNotRun] == total:
		return OutcomeNotRun
	default:
		return OutcomeCancelled
	}
}

// Final reports whether no task of the record is open.
func (r *Record) Final() bool { return r.FinalMS != 0 }

func (r *Record) clone() *Record {
	c := *r
	c.State = append([]Task(nil), r.State...)
	return &c
}

// EndpointKind distinguishes runners from workers.
type EndpointKind string

// Endpoint kinds.
const (
	KindRunner EndpointKind = "runner" // offers slots
	KindWorker EndpointKind = "worker" // offers cores, memory and accelerators
)

// EndpointStatus is the membership state of an endpoint.
type EndpointStatus string

// Endpoint states. Ready endpoints receive new work, and quarantined endpoints receive
// an occasional trial task. The others receive none.
const (
	EndpointReady       EndpointStatus = "ready"
	EndpointSuspect     EndpointStatus = "suspect"     // unresponsive, but its lease has not expired yet
	EndpointFlapping    EndpointStatus = "flapping"    // became unresponsive and returned too often; not yet stable
	EndpointQuarantined EndpointStatus = "quarantined" // the tasks that it started failed
	EndpointLeaving     EndpointStatus = "leaving"     // finishes its work and receives no more
	EndpointLost        EndpointStatus = "lost"        // its lease has certainly expired
)

// Endpoint is a registered runner or worker. It is immutable once stored.
type Endpoint struct {
	Name        string         `json:"name"`
	Kind        EndpointKind   `json:"kind"`
	Address     string         `json:"address"` // host:port, host is an IP number
	Incarnation uint64         `json:"incarnation"`
	Capacity    Resources      `json:"capacity"`
	Rack        string         `json:"rack,omitempty"`
	Status      EndpointStatus `json:"status"`
	SinceMS     int64          `json:"since_ms"`         // time at which Status was set, Unix milliseconds
	Reserved    Resources      `json:"reserved"`         // sum over the tasks that reserve capacity
	Assigned    int            `json:"assigned"`         // number of tasks that reserve capacity
	LastSeq     uint64         `json:"last_seq"`         // sequence number of the latest assignment
	Draining    bool           `json:"leaves,omitempty"` // the endpoint asked to leave or was drained; stays set until it restarts
}

// Free returns the unreserved capacity.
func (e *Endpoint) Free() Resources { return e.Capacity.Sub(e.Reserved) }

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	Key
	Task    int `json:"task"`
	Attempt int `json:"attempt"`
}

// String returns team/id#task@attempt, for log lines and errors.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s/%s#%d@%d", t.Team, t.ID, t.Task, t.Attempt)
}
