package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Effect is something that the leader wants done.
type Effect interface{ jobEffect() }

// Order is what every order to a worker carries.
type Order struct {
	Worker  job.Incarnation
	Address string // host:port
	Term    uint64 // fencing token
	SentAt  time.Duration
}

type (
	// StartRun asks a worker to start a run. It is answered with StartAnswered.
	StartRun struct {
		Order
		job.TaskRef
		Run        int
		Spec       string
		UntilMS    int64 // end of the lease, on the worker's clock
		Ticket     string
		Checkpoint string
	}

	// StopRun asks a worker to stop a run, or never to start it. It is answered with
	// StopAnswered.
	StopRun struct {
		Order
		job.TaskRef
		Run int
	}

	// PaceRun limits the share of its speed at which a task works. It is answered with
	// PaceAnswered.
	PaceRun struct {
		Order
		job.TaskRef
		Run     int
		Percent int
	}

	// Observe asks a worker what runs and what has ended, acknowledges ends, and
	// extends the lease. It is answered with Observed.
	Observe struct {
		Order
		UntilMS  int64 // end of the lease on the worker's clock, 0 to leave it
		AckedEnd int64 // number of the last end that is acknowledged and need not be listed again
		WaitMS   int   // how long the worker may wait for an end before it answers
	}

	// RequestAdvice asks which workers may run a step. It is answered with AdviceAnswered.
	RequestAdvice struct {
		Agent   string // peer address of the process that makes the call
		Step    job.StepRef
		Workers []string
		Timeout time.Duration
	}

	// Measure reports one measurement.
	Measure struct {
		Metric Metric
		Queue  string
		Phase  job.Phase // for MetricTotal
		Value  time.Duration
	}

	// StartMaintenance takes a VM down for maintenance. It is answered with
	// MaintenanceAnswered.
	StartMaintenance struct {
		VM   string
		Wave int
		Term uint64
	}
)

func (StartRun) jobEffect()         {}
func (StopRun) jobEffect()          {}
func (PaceRun) jobEffect()          {}
func (Observe) jobEffect()          {}
func (RequestAdvice) jobEffect()    {}
func (StartMaintenance) jobEffect() {}
func (Measure) jobEffect()          {}

// Metric names what a Measure measures.
type Metric string

// Metrics.
const (
	MetricWait  Metric = "wait"  // from the time at which a step could run to the assignment of its tasks
	MetricTotal Metric = "total" // from acceptance, or the due time, to the final phase
)

// LogLine is a structured log line of a decision.
type LogLine struct {
	Level   string // debug, info, warn or error
	Step    string // what was decided
	Request string // job or task, if any
	Peer    string // worker or process, if any
	Message string
	Fields  []any // alternating names and values of the inputs
}

// Host carries out what a Leader decides.
type Host interface {
	// Propose replicates a command. done is called exactly once if it returns true,
	// with committed false if the outcome is not known.
	Propose(c *job.Command, done func(a job.Applied, committed bool)) bool
	Emit(e Effect)
	Reply(t Token, a Answer)
	Log(l LogLine)
	// Members returns the peer addresses of the group's members.
	Members() []string
}
