package coordination

import (
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Effect is something that Node.Step wants done. Effects of one step are carried
// out in order for each group and each peer; otherwise the order is free.
type Effect interface{ effect() }

type (
	// Persist asks to save and sync. The answer is a Persisted event with the same
	// batch number.
	Persist struct {
		Group     string
		Batch     uint64
		Snapshot  *state.Snapshot  // received from the leader: it replaces the stored log
		HardState *state.HardState // nil if unchanged
		Entries   []state.Entry    // replace what the log holds from the first one's index on
	}

	// SaveSnapshot asks to store a snapshot. The answer is a SnapshotSaved event.
	SaveSnapshot struct {
		Group    string
		Snapshot *state.Snapshot
	}

	// SendPeer asks to send a replication message. It may be lost.
	SendPeer struct {
		Address string // host:port
		Message replication.Message
	}

	// StartTask asks to start an attempt on an endpoint. The answer is a StartAnswered
	// event.
	StartTask struct {
		Group       string
		Domain      string // failure domain of the group
		Term        uint64
		Ref         state.TaskRef
		Endpoint    string
		Address     string
		Incarnation uint64
		Seq         uint64
		Kind        string
		Class       state.Class
		Repeatable  bool
		PerTask     state.Resources
		Payload     []byte
		Try         int // 0 for the first
	}

	// StopTask asks an endpoint to stop an attempt, or never to start it. The endpoint
	// answers with a TaskReport.
	StopTask struct {
		Group       string
		Domain      string // failure domain of the group
		Term        uint64
		Ref         state.TaskRef
		Endpoint    string
		Address     string
		Incarnation uint64
		Seq         uint64
	}

	// Reply answers a call.
	Reply struct {
		Token  Token
		Answer Answer
	}

	// Log asks to write a log line.
	Log struct {
		Level   string // debug, info, warn or error
		Step    string
		Peer    string // the process or endpoint concerned, if any
		Request string // the request concerned, if any
		Message string
	}
)

func (Persist) effect()      {}
func (SaveSnapshot) effect() {}
func (SendPeer) effect()     {}
func (StartTask) effect()    {}
func (StopTask) effect()     {}
func (Reply) effect()        {}
func (Log) effect()          {}

// Code classifies an answer.
type Code string

// Codes of answers.
const (
	CodeOK          Code = "ok"
	CodeInvalid     Code = "invalid"         // the input is wrong; nothing was done
	CodeNotFound    Code = "not_found"       // no such thing in its home group
	CodeConflict    Code = "conflict"        // the same ID with other content, or another version
	CodeRefused     Code = "refused_not_run" // refused; the work did not and will not run
	CodeTooOld      Code = "too_old"         // an earlier outcome is no longer known
	CodeUnavailable Code = "unavailable"     // the owner cannot be reached now; nothing is known
	CodeRedirect    Code = "redirect"        // another process owns it
)

// Answer is the outcome of a call. Only the fields that belong to the call are
// set.
type Answer struct {
	Code         Code
	Message      string
	RetryAfterMS int64
	Redirect     *Redirect

	Domain     string // for ChooseDomain
	Record     *state.Record
	WhyWaiting string
	Records    []*state.Record
	Cell       *state.CellSnapshot
	Adopted    *state.VersionedConfiguration
	Configured *state.ConfigureResult
	Endpoints  []*state.Endpoint
	Audit      []state.AuditRecord
	Lease      *Lease
	Status     *Status
	Job        *jobs.Answer // of a JobEvent that the leader answered
}

// Redirect names the process to ask instead.
type Redirect struct {
	Name    string
	Address string // peer address, host:port
}

// Lease is the answer to a heartbeat.
type Lease struct {
	Term         uint64
	LeaseMS      int64  // from the sending of the heartbeat
	IntervalMS   int64  // until the next heartbeat
	LowWatermark uint64 // starts with this sequence number or below are settled
	Stop         []Running
	Assigner     string // public address of the process to send the next heartbeat to
}
