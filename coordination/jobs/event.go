package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Token names a call that waits for an Answer.
type Token uint64

// Event is an input of Leader.Handle.
type Event interface{ jobEvent() }

// Events of callers and operators. Only the leader can answer them.
type (
	// Submit hands in a job to the queue of a host and path.
	Submit struct {
		Token      Token
		Host       string
		Path       string
		Submission job.Submission // its ID is the rest of the path
	}

	// Lookup asks for the phase of a job, or for the number of waiting jobs of a queue
	// if the path names no job.
	Lookup struct {
		Token Token
		Host  string
		Path  string
	}

	// Cancel asks to end a job.
	Cancel struct {
		Token Token
		Host  string
		Path  string
	}

	// Configure puts a configuration in force.
	Configure struct {
		Token         Token
		Configuration job.Configuration
	}

	// ReadConfiguration asks for the configuration in force. The document is left out of
	// the answer if the asking process has it: it may be large and is asked for often.
	ReadConfiguration struct {
		Token        Token
		KnownVersion int64 // version whose document the asking process has, 0 for none
	}

	// StartWave asks for maintenance of several VMs.
	StartWave struct {
		Token Token
		Wave  job.Wave
	}

	// ReadWave asks how far a wave is.
	ReadWave struct {
		Token  Token
		Number int
	}

	// ProcessHeartbeat is the heartbeat of a process that forwards calls and requests advice.
	ProcessHeartbeat struct {
		Token   Token
		Name    string
		Address string // of its peer listener, host:port
	}
)

// Events of workers.
type (
	// WorkerHeartbeat is the periodic report of a worker about itself.
	WorkerHeartbeat struct {
		Token    Token
		Worker   job.Worker
		Leaving  bool
		ClockMS  int64 // of the worker, 0 if not told
		Sequence int64 // rises with each report of one life
	}

	// DeregisterWorker reports that a worker is stopping now.
	DeregisterWorker struct {
		Token Token
		ID    string
	}

	// StartAnswered is the result of a StartRun.
	StartAnswered struct {
		Start   StartRun
		Result  OrderResult
		ClockMS int64
	}

	// StopAnswered is the result of a StopRun.
	StopAnswered struct {
		Stop    StopRun
		Result  OrderResult
		ClockMS int64
	}

	// PaceAnswered is the result of a PaceRun.
	PaceAnswered struct {
		Pace   PaceRun
		Result OrderResult
	}

	// Observed is the result of an Observe.
	Observed struct {
		Observe Observe
		Result  OrderResult
		ClockMS int64
		Running []RunningTask
		Ended   []EndedRun
	}

	// AdviceAnswered is the result of a RequestAdvice.
	AdviceAnswered struct {
		Request RequestAdvice
		Err     error
		Good    []Ticket
		ValidMS int64
	}

	// MaintenanceAnswered is the result of a StartMaintenance.
	MaintenanceAnswered struct {
		Start  StartMaintenance
		Result OrderResult
	}
)

func (Submit) jobEvent()              {}
func (Lookup) jobEvent()              {}
func (Cancel) jobEvent()              {}
func (Configure) jobEvent()           {}
func (ReadConfiguration) jobEvent()   {}
func (StartWave) jobEvent()           {}
func (ReadWave) jobEvent()            {}
func (ProcessHeartbeat) jobEvent()    {}
func (WorkerHeartbeat) jobEvent()     {}
func (DeregisterWorker) jobEvent()    {}
func (StartAnswered) jobEvent()       {}
func (StopAnswered) jobEvent()        {}
func (PaceAnswered) jobEvent()        {}
func (Observed) jobEvent()            {}
func (AdviceAnswered) jobEvent()      {}
func (MaintenanceAnswered) jobEvent() {}

// OrderResult classifies the answer to an order.
type OrderResult uint8

// Results of orders.
const (
	OrderDone             OrderResult = iota // carried out, now or earlier
	OrderUnanswered                          // the result is not known; the order may still be executed
	OrderFenced                              // the worker has seen a higher term
	OrderSuperseded                          // this run or a higher one has been stopped or has ended there
	OrderLeaseExpired                        // the lease in the order had expired
	OrderNoRoom                              // the worker has no capacity left
	OrderNoTicket                            // the ticket is missing or has expired
	OrderInvalid                             // the worker does not understand the order
	OrderUnavailable                         // the worker is unhealthy and has done nothing
	OrderWrongIncarnation                    // the address belongs to another worker, or to another incarnation of the worker
	OrderBusy                                // the VM is not in a state in which that is possible
)

var orderResultNames = [...]string{
	"done", "no answer", "fenced", "superseded", "late", "no room", "no ticket", "invalid", "unavailable", "other life", "busy",
}

// String returns the name used in log lines.
func (r OrderResult) String() string { return orderResultNames[r] }

// RunningTask is an entry of a worker's list of what runs.
type RunningTask struct {
	job.TaskRef
	Run        int
	Checkpoint string
	Percent    int // of the task's work
	Usage      int // milliseconds of tail latency of a service, thousandths of a core of any other task
}

// EndedRun is an entry of a worker's list of ends that were not acknowledged.
type EndedRun struct {
	Number int64 // rising within one life
	job.RunEnd
}

// Ticket allows a worker to run a step.
type Ticket struct {
	Worker string
	Ticket string
}

// Answer is the outcome of a call.
type Answer struct {
	Code          Code
	Message       string
	RetryAfter    time.Duration
	Phase         job.Phase
	Waiting       int
	Configuration *job.Configuration
	WaveCompleted bool
	Members       []string // peer addresses of the group's members, for ProcessHeartbeat
}

// Code classifies an Answer.
type Code string

// Codes of answers.
const (
	CodeOK          Code = "ok"
	CodeInvalid     Code = "invalid"     // the input is wrong; nothing was done
	CodeNoQueue     Code = "no_queue"    // no queue has this host and path
	CodeNoJob       Code = "no_job"      // no such job
	CodeRefused     Code = "refused"     // the job was not accepted and never runs
	CodeUnavailable Code = "unavailable" // nothing was done; another attempt may do better
	CodeUnknown     Code = "unknown"     // it is not known whether the call takes effect
)
