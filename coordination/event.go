package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Token identifies a call that waits for a Reply. The transport assigns it; it is
// unique within the process.
type Token uint64

// Event is an input of Node.Step.
type Event interface{ event() }

type (
	// Tick triggers the work that is due by time. It must be passed to Node.Step at the
	// time that Node.NextTick returns.
	Tick struct{}

	// PeerMessage is a replication message from another process.
	PeerMessage struct {
		Group   string
		Message replication.Message
	}

	// Persisted reports that a Persist effect and all earlier ones of the group are
	// synced.
	Persisted struct {
		Group string
		Batch uint64
	}

	// SnapshotSaved reports that a snapshot is synced.
	SnapshotSaved struct {
		Group    string
		Snapshot *state.Snapshot
	}

	// StorageFailed reports that the data directory can no longer be written.
	StorageFailed struct {
		Step string // operation that failed, for the log line
		Err  error
	}

	// Submit submits a request. Age is the time for which entry processes have held
	// it.
	Submit struct {
		Token      Token
		Key        state.Key
		Submission Submission
		Age        time.Duration
	}

	// ChooseDomain asks which failure domain a new request ID should name.
	ChooseDomain struct{ Token Token }

	// Lookup asks for the record of a request. With Wait, the answer for an accepted
	// request is sent when its record is final; CallerDisconnected ends the wait
	// without an answer.
	Lookup struct {
		Token Token
		Key   state.Key
		Wait  bool
	}

	// List asks for the records of a team in a domain, the latest accepted first. With
	// Team "" it asks for those of all teams.
	List struct {
		Token  Token
		Domain string
		Team   string
	}

	// CancelRequest asks to cancel a request. If the request has not been accepted, its
	// ID is blocked in the same way as the ID of a refused request.
	CancelRequest struct {
		Token Token
		Key   state.Key
		Actor string
	}

	// CallerDisconnected ends the wait of a call whose caller has disconnected or has
	// been answered.
	CallerDisconnected struct{ Token Token }

	// Heartbeat registers an endpoint or renews its lease.
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

	// StartAnswered reports how an endpoint answered a StartTask.
	StartAnswered struct {
		Start  StartTask
		Result StartResult
		Reason string // reason for StartDeclined or StartUnreachable
	}

	// ConfigureCell requests a change of the configuration.
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

	// DrainEndpoint requests that an endpoint get no new work.
	DrainEndpoint struct {
		Token  Token
		Domain string
		Name   string
		Actor  string
	}

	// ReadStatus asks for the status of the process and of its groups.
	ReadStatus struct {
		Token Token
		Brief bool // without the groups
	}

	// Shutdown starts a graceful stop: leadership is transferred, and the process
	// accepts no new submissions.
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

// Submission is the content of a submitted request. Omitted fields take the defaults
// of the kind.
type Submission struct {
	Kind       string
	Tasks      int              // 0 for 1
	PerTask    *state.Resources // nil for the kind's default
	Payload    []byte           // JSON
	DeadlineMS int64            // milliseconds from acceptance to the deadline, 0 for the kind's default
	EstimateMS int64            // expected run time of a task in milliseconds, 0 for the kind's default
	Digest     uint64           // hash of the request body
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
	StartDeclined                       // the attempt did not start and never will
	StartUnreachable                    // outcome unknown; the start is sent again
)
