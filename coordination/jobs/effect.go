package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
	"github.com/primrosereach/primrosereach/state/resource"
)

// Effect is an action that the leader requests from its Host.
type Effect interface{ jobEffect() }

// Order holds the fields common to all orders to workers.
type Order struct {
	ID      uint64          // unique within a term
	Relay   string          // peer address of the member that sends the order, "" for this process
	Worker  job.Incarnation // incarnation that the order is meant for
	Address string          // host:port
	Term    uint64          // fencing token
	SentAt  time.Duration   // leader's time at which the order was emitted
}

func (o Order) header() Order { return o }

type (
	// StartRun asks a worker to start a run. It is answered with StartAnswered.
	StartRun struct {
		Order
		job.TaskRef
		Run        int
		Spec       string
		UntilMS    int64 // end of the lease on the worker's clock
		Ticket     string
		Checkpoint string
	}

	// StopRun asks a worker to stop a run, and not to start that run later if it has not
	// started yet. It is answered with StopAnswered.
	StopRun struct {
		Order
		job.TaskRef
		Run int
	}

	// PaceRun limits the speed of a task to a percentage of its full speed. It is answered
	// with PaceAnswered.
	PaceRun struct {
		Order
		job.TaskRef
		Run     int
		Percent int
	}

	// Observe polls a worker for its running tasks and ended runs, acknowledges ends, and
	// extends the lease. It is answered with Observed.
	Observe struct {
		Order
		UntilMS  int64 // end of the lease on the worker's clock, 0 to leave the lease unchanged
		AckedEnd int64 // number of the last acknowledged end; the worker lists later ones only
		WaitMS   int   // milliseconds for which the worker may wait for an end before it answers

		NextIncarnation bool // the next incarnation under the worker's ID may answer as well
	}

	// RequestAdvice asks which workers may run a step. It is answered with AdviceAnswered.
	RequestAdvice struct {
		Term    uint64
		ID      uint64 // unique within a term
		Agent   string // peer address of the process that calls the advice service
		Step    job.StepRef
		Workers []job.Incarnation
		Timeout time.Duration
	}

	// Measure records one measurement of a metric.
	Measure struct {
		Metric Metric
		Queue  string
		Phase  job.Phase // for MetricTotal
		Value  time.Duration
	}

	// StartMaintenance takes a VM down for maintenance. It is answered with
	// MaintenanceAnswered. It may repeat a request that was executed before.
	StartMaintenance struct {
		VM     string
		Wave   int
		Term   uint64
		Worker job.Incarnation // worker on the VM when maintenance was first requested
	}
)

// TeamReport records the use of all teams.
type TeamReport struct{ Teams []TeamUsage }

// TeamUsage is the use of one team, with the decisions since the last report.
type TeamUsage struct {
	Team         string
	Usage, Limit resource.Amount
	Weight       float64
	WaitingSteps int
	Accepted     int // jobs
	Borrowed     int // accepted jobs beyond the team's rate
	Refused      int // jobs
	Preempted    int // runs
}

func (TeamReport) jobEffect()       {}
func (StartRun) jobEffect()         {}
func (StopRun) jobEffect()          {}
func (PaceRun) jobEffect()          {}
func (Observe) jobEffect()          {}
func (RequestAdvice) jobEffect()    {}
func (StartMaintenance) jobEffect() {}
func (Measure) jobEffect()          {}

// WorkerIDs returns the IDs of the workers that a request is about.
func (r *RequestAdvice) WorkerIDs() []string {
	ids := make([]string, 0, len(r.Workers))
	for _, w := range r.Workers {
		ids = append(ids, w.ID)
	}
	return ids
}

// Metric is the quantity that a Measure records.
type Metric string

// Metrics.
const (
	MetricWait  Metric = "wait"  // time from when a step became ready to the commit of an assignment of its tasks
	MetricTotal Metric = "total" // time from acceptance of a job to its final phase
)

// LogLine is a structured log line about one decision.
type LogLine struct {
	Level   string // debug, info, warn or error
	Step    string // kind of decision
	Request string // job, step or task, if any
	Peer    string // worker, process, VM or failure domain, if any
	Message string
	Fields  []any // alternating names and values of the decision's inputs
}

// Host executes the decisions of a Leader.
type Host interface {
	// Propose replicates a command. If it returns true, done is called exactly once, with
	// committed false if the outcome is unknown. If it returns false, nothing was proposed.
	Propose(c *job.Command, done func(a job.Applied, committed bool)) bool
	// Emit executes an effect. If the effect is answered, the answer returns as the event
	// that the documentation of the effect names.
	Emit(e Effect)
	Reply(t Token, a Answer)
	Log(l LogLine)
	// Members returns the peer addresses of the group's members.
	Members() []string
	// Relays returns the other members that this process is in contact with, ordered by
	// address.
	Relays() []Relay
}
