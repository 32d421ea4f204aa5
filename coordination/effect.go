package coordination

import (
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
)

// Effect is an action that Node.Step requests from its caller. The effects of one
// step must be executed in order for each group and each peer; apart from that, any
// order is allowed.
type Effect interface{ effect() }

type (
	// GroupChanged reports the leader of a group as this process knows it, and on the
	// leader the contact to the other members.
	GroupChanged struct {
		Group    string
		Leader   string // name, or ""
		Leads    bool   // this process is the leader
		Contacts replication.Contacts
	}

	// Persist requests that data be written and synced. After that, a Persisted event
	// with the same batch number must be passed to Node.Step.
	Persist struct {
		Group     string
		Batch     uint64
		Snapshot  *state.Snapshot  // received from the leader; replaces the stored log
		HardState *state.HardState // nil if unchanged
		Entries   []state.Entry    // replace the stored entries from the index of the first one on
	}

	// SaveSnapshot requests that a snapshot be stored. Once it is synced, a
	// SnapshotSaved event must be passed to Node.Step.
	SaveSnapshot struct {
		Group    string
		Snapshot *state.Snapshot
	}

	// SendPeer requests that a replication message be sent. The message may be lost.
	SendPeer struct {
		Address string // host:port
		Message replication.Message
	}

	// StartTask requests that an endpoint start an attempt. The endpoint's answer, or
	// the failure to reach it, must be passed to Node.Step as a StartAnswered event.
	StartTask struct {
		Group        string
		Domain       string // failure domain of the group
		Term         uint64
		Ref          state.TaskRef
		Endpoint     string
		Address      string
		Incarnation  uint64
		Seq          uint64
		Kind         string
		Class        state.Class
		Repeatable   bool
		PerTask      state.Resources
		Payload      []byte
		Transmission int // number of the transmission, 0 for the first
	}

	// StopTask requests that an endpoint stop an attempt, or never start it. The
	// endpoint answers with a TaskReport.
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

	// Reply returns Answer to the call that Token identifies.
	Reply struct {
		Token  Token
		Answer Answer
	}

	// Log requests that a log line be written.
	Log struct {
		Level   string // debug, info, warn or error
		Step    string
		Peer    string // the process or endpoint concerned, if any
		Request string // the request concerned, if any
		Message string
	}
)

func (GroupChanged) effect() {}
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
	CodeNotFound    Code = "not_found"       // the owning group has no such object
	CodeConflict    Code = "conflict"        // the same ID with other content, or another version
	CodeRefused     Code = "refused_not_run" // refused; the work did not and will not run
	CodeTooOld      Code = "too_old"         // the request ID is so old that its record may have been deleted; an earlier outcome is not known
	CodeUnavailable Code = "unavailable"     // the owner cannot be reached or cannot answer now; the outcome is unknown
	CodeRedirect    Code = "redirect"        // another process has to be asked
)

// Answer is the outcome of a call. Only the fields that belong to the call are
// set.
type Answer struct {
	Code         Code
	Message      string
	RetryAfterMS int64     // milliseconds after which the call may be repeated, 0 if not stated
	Redirect     *Redirect // for CodeRedirect

	Domain     string // for ChooseDomain
	Record     *state.Record
	WhyWaiting string              // for Lookup, the reason why the request has not started
	Records    []*state.Record     // for List
	Cell       *state.CellSnapshot // for ReadCell
	Adopted    *state.VersionedConfiguration
	Configured *state.ConfigureResult // for ConfigureCell
	Endpoints  []*state.Endpoint      // for ListEndpoints and DrainEndpoint
	Audit      []state.AuditRecord    // for ListEndpoints
	Lease      *Lease                 // for Heartbeat
	Status     *Status                // for ReadStatus
	Job        *jobs.Answer           // answer of the leader of the job group to a JobEvent
}

// Redirect names the process to ask instead.
type Redirect struct {
	Name    string
	Address string // peer address, host:port
}

// Lease is the answer to a heartbeat.
type Lease struct {
	Term         uint64
	LeaseMS      int64     // duration in milliseconds, from the time at which the heartbeat was sent
	IntervalMS   int64     // milliseconds until the next heartbeat
	LowWatermark uint64    // starts with this sequence number or a lower one are obsolete
	Stop         []Running // attempts that the endpoint has to stop
	Assigner     string    // public address of the process to send the next heartbeat to
}
