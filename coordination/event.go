package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Token names a call that waits for a Reply. The transport draws it; it is unique
// within the process.
type Token uint64

// Event is an input of Node.Step.
type Event interface{ event() }

type (
	// Tick lets time-driven work happen. The caller sends it at Node.NextWake.
	Tick struct{}

	// PeerMessage is a replication message from another process.
	PeerMessage struct {
		Group   string
		Message replication.Message
	}

	// Persisted reports that a Persist and those before it are synced.
	Persisted struct {
		Group string
		Batch uint64
	}

	// SnapshotSaved reports that a snapshot is synced.
	SnapshotSaved struct {
		Group    string
		Snapshot *state.Snapshot
	}

	// StorageFailed reports that the data folder can no longer be written.
	StorageFailed struct {
		Step string // the step that failed
		Err  error
	}

	// Submit asks to accept a request. Age is how long entry processes have held it.
	Submit struct {
		Token      Token
		Key        state.Key
		Submission Submission
		Age        time.Duration
	}

	// ChooseDomain asks which failure domain a new request ID should name.
	ChooseDomain struct{ Token Token }

	// Lookup asks for a request's record. With Wait it is answered when the record is
	// final or when the caller gives up.
	Lookup struct {
		Token Token
		Key   state.Key
		Wait  bool
	}

	// List asks for the records of a team in a domain.
	List struct {
		Token  Token
		Domain string
		Team   string
	}

	// CancelRequest asks to cancel a request.
	CancelRequest struct {
		Token Token
		Key   state.Key
		Actor string
	}

	// CallerDisconnected drops the wait of a call whose caller has disconnected or was answered.
	CallerDisconnected struct{ Token Token }

	// Heartbeat is an endpoint's announcement and sign of life.
	Heartbeat struct {
		Token    Token
		Domain   string         // failure domain that the endpoint belongs to
		Endpoint state.Endpoint // Status is ready or leaving
		Running  []Running
	}

	// TaskReport is an endpoint's report on the end of an attempt.
	TaskReport struct {
		Token  Token
		Domain string
		Report state.Report
	}

	// StartAnswered tells how an endpoint answered a StartTask.
	StartAnswered struct {
		Start  StartTask
		Result StartResult
		Reason string // of Declined or Unreachable
	}

	// ConfigureCell asks for a change of the configuration.
	ConfigureCell struct {
		Token     Token
		Configure state.Configure
	}

	// ReadCell asks for the current configuration and the audit records.
	ReadCell struct{ Token Token }

	// ListEndpoints asks for the endpoints of a domain.
	ListEndpoints struct {
		Token  Token
		Domain string
	}

	// DrainEndpoint asks to give an endpoint no new work.
	DrainEndpoint struct {
		Token  Token
		Domain string
		Name   string
		Actor  string
	}

	// ReadStatus asks for the process's view of itself and its groups.
	ReadStatus struct {
		Token Token
		Brief bool // without the groups
	}

	// Shutdown starts a graceful stop: leadership is passed on and new submissions
	// are sent to other processes.
	Shutdown struct{}
)

func (Tick) event()               {}
func (PeerMessage) event()        {}
func (Persisted) event()          {}
func (SnapshotSaved) event()      {}
func (StorageFailed) event()      {}
func (Submit) event()             {}
func (ChooseDomain) event()       {}
func (Lookup) event()             {}
func (List) event()               {}
func (CancelRequest) event()      {}
func (CallerDisconnected) event() {}
func (Heartbeat) event()          {}
func (TaskReport) event()         {}
func (StartAnswered) event()      {}
func (ConfigureCell) event()      {}
func (ReadCell) event()           {}
func (ListEndpoints) event()      {}
func (DrainEndpoint) event()      {}
func (ReadStatus) event()         {}
func (Shutdown) event()           {}

// Submission is what a caller sends. Fields left out take the defaults of the
// kind.
type Submission struct {
	Kind       string
	Tasks      int              // 0 for 1
	PerTask    *state.Resources // nil for the kind's default
	Payload    []byte           // JSON
	DeadlineMS int64            // from acceptance, 0 for the kind's
	EstimateMS int64            // run time of a task, 0 for the kind's
	Digest     uint64           // of the body
}

// Running is an attempt that an endpoint holds: it runs, or its report has not
// been acknowledged.
type Running struct {
	state.TaskRef
	Seq uint64
}

// StartResult is an endpoint's answer to a start.
type StartResult int

// Start results.
const (
	StartAccepted    StartResult = iota // the attempt runs or has run
	StartDeclined                       // it did not start and never will
	StartUnreachable                    // not known; the start is sent again
)
