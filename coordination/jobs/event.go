package jobs

import (
	"time"

	"github.com/primrosereach/primrosereach/state/job"
)

// Token identifies a call that waits for an Answer.
type Token uint64

// Event is an input of Leader.Handle.
type Event interface{ jobEvent() }

// Events from callers, operators and other processes. Only the leader can answer them.
type (
	// Submit submits a job to the queue that serves a host and path.
	Submit struct {
		Token      Token
		Host       string
		Path       string
		Credential Credential
		Submission job.Submission // Handle sets the submission's ID to the part of Path after the queue's own path
		Epoch      int64          // submission epoch that the sender knew before the first attempt, 0 if the sender knows none
	}

	// Lookup requests the phase of a job, or the number of waiting jobs of a queue if the
	// path names no job.
	Lookup struct {
		Token      Token
		Host       string
		Path       string
		Credential Credential
	}

	// Cancel cancels a job.
	Cancel struct {
		Token      Token
		Host       string
		Path       string
		Credential Credential
	}

	// Configure puts a configuration in force.
	Configure struct {
		Token         Token
		Configuration job.Configuration
	}

	// ReadConfiguration requests the configuration in force. The answer omits the document
	// if the requesting process has it: it may be large and is requested often.
	ReadConfiguration struct {
		Token        Token
		KnownVersion int64 // version whose document the requesting process has, 0 for none
	}

	// StartWave requests maintenance of several VMs.
	StartWave struct {
		Token Token
		Wave  job.Wave
	}

	// ReadWave requests the progress of a wave.
	ReadWave struct {
		Token  Token
		Number int
	}

	// ProcessHeartbeat is the heartbeat of a process that forwards calls and requests advice.
	ProcessHeartbeat struct {
		Token   Token
		Name    string
		Address string          // address of its peer listener, host:port
		Workers []WorkerContact // heartbeats of workers that the process has acknowledged since its last one
	}
)

// Events from workers, and results of effects.
type (
	// WorkerHeartbeat is the periodic report of a worker about itself.
	WorkerHeartbeat struct {
		Token    Token
		Worker   job.Worker
		Draining bool  // the worker reports that it is draining
		ClockMS  int64 // clock of the worker in milliseconds, 0 if not reported
		Sequence int64 // increases with each report of one incarnation
	}

	// WorkerContact is a heartbeat of a worker that changes nothing in the replicated record.
	WorkerContact struct {
		Worker   job.Incarnation `json:"worker"`
		ClockMS  int64           `json:"clock_ms"` // clock of the worker in milliseconds, 0 if not reported
		Sequence int64           `json:"sequence"` // increases with each report of one incarnation
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
		ClockMS int64 // clock of the worker in milliseconds
	}

	// StopAnswered is the result of a StopRun.
	StopAnswered struct {
		Stop    StopRun
		Result  OrderResult
		ClockMS int64 // clock of the worker in milliseconds
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
		ClockMS int64 // clock of the worker in milliseconds
		Running []RunningTask
		Ended   []EndedRun // ends that are not acknowledged yet
	}

	// OrderReported is the result of an order that another member has sent for the leader.
	OrderReported struct {
		ID      uint64 // of the order
		Term    uint64
		Result  OrderResult
		ClockMS int64         // reading of the worker's clock in milliseconds
		Running []RunningTask // as in Observed
		Ended   []EndedRun
	}

	// AdviceAnswered is the result of a RequestAdvice.
	AdviceAnswered struct {
		Request  RequestAdvice
		Err      error
		Approved []Ticket // tickets of the workers that may run the step
		ValidMS  int64    // validity of the tickets in milliseconds, limited by the queue's setting; 0 for that setting
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
func (OrderReported) jobEvent()       {}
func (AdviceAnswered) jobEvent()      {}
func (MaintenanceAnswered) jobEvent() {}

// OrderResult classifies the answer to an order.
type OrderResult uint8

// Results of orders.
const (
	OrderDone             OrderResult = iota // executed, now or earlier
	OrderUnanswered                          // the result is not known; the order may still be executed
	OrderFenced                              // the worker has seen a higher term
	OrderSuperseded                          // this run or a higher one has been stopped or has ended there
	OrderLeaseExpired                        // the lease in the order had expired on the worker's clock
	OrderNoRoom                              // the worker has no capacity left
	OrderNoTicket                            // the ticket is missing or has expired
	OrderInvalid                             // the worker does not understand the order
	OrderUnavailable                         // the worker is unhealthy and has done nothing
	OrderWrongIncarnation                    // the address belongs to another worker, or to another incarnation of the worker
	OrderBusy                                // the VM is not in a state that allows maintenance
	OrderLost                                // the relay did not report the result; the order may have been executed
	OrderNotSent                             // the order was too old when it was to be sent, and was not
)

var orderResultNames = [...]string{
	"done", "no answer", "fenced", "superseded", "late", "no room", "no ticket", "invalid", "unavailable", "other life", "busy", "lost by the relay", "not sent",
}

// isAnswer reports whether the worker has answered.
func (r OrderResult) isAnswer() bool {
	return r != OrderUnanswered && r != OrderLost && r != OrderNotSent
}

// rejectsStart reports whether it is the result of a start that the worker has rejected.
func (r OrderResult) rejectsStart() bool {
	switch r {
	case OrderSuperseded, OrderNoRoom, OrderNoTicket, OrderInvalid, OrderUnavailable, OrderBusy:
		return true
	}
	return false
}

// isUnknown reports whether the worker may have executed the order, now or later.
func (r OrderResult) isUnknown() bool { return r == OrderUnanswered || r == OrderLost }

// String returns the name used in log lines.
func (r OrderResult) String() string { return orderResultNames[r] }

// RunningTask is an entry of a worker's list of running tasks.
type RunningTask struct {
	job.TaskRef
	Run        int
	Checkpoint string
	Percent    int // completed share of the task's work
	Usage      int // tail latency in milliseconds for a service, thousandths of a core for other tasks
}

// EndedRun is an entry of a worker's list of ends that are not acknowledged yet.
type EndedRun struct {
	Number int64 // increases within one incarnation
	job.RunEnd
}

// Ticket allows a worker to run a step.
type Ticket struct {
	Worker string // ID
	Ticket string
}

// Answer is the outcome of a call.
type Answer struct {
	Code          Code
	Message       string
	RetryAfter    time.Duration      // delay before a retry, for CodeUnavailable and CodeRefused
	Phase         job.Phase          // phase of the job, for Submit, Lookup and Cancel
	Waiting       int                // number of jobs that wait in the queue, for Lookup
	Configuration *job.Configuration // for ReadConfiguration
	WaveCompleted bool               // for ReadWave
	Members       []string           // peer addresses of the group's members, for ProcessHeartbeat
	Epoch         int64              // submission epoch in force, for ProcessHeartbeat
	DryRun        *DryRunResult      // for DryRun
}

// Code classifies an Answer.
type Code string

// Codes of answers.
const (
	CodeOK              Code = "ok"
	CodeInvalid         Code = "invalid"         // the input is wrong; nothing was done
	CodeNoQueue         Code = "no_queue"        // no queue has this host and path
	CodeNoJob           Code = "no_job"          // no such job
	CodeUnauthenticated Code = "unauthenticated" // the key is missing or unknown; nothing was done
	CodeForbidden       Code = "forbidden"       // the job belongs to another team; nothing was done
	CodeRefused         Code = "refused"         // the job was not accepted and never runs
	CodeUnavailable     Code = "unavailable"     // nothing was done; a retry may succeed
	CodeUnknown         Code = "unknown"         // the outcome is unknown; the call may take effect
)
