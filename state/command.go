package state

import (
	"encoding/json"

	"github.com/primrosereach/primrosereach/state/job"
)

// Command is one change to replicated state. Exactly one field is set, except in a
// membership entry and in the first entry of a new leader, where none is. The leader
// that proposes a command sets all times in it, so that Apply gives the same result on
// every replica.
type Command struct {
	// Domain group.
	Bootstrap        *Bootstrap          `json:"bootstrap,omitempty"`
	Accept           *Accept             `json:"accept,omitempty"`
	Refuse           *Refuse             `json:"refuse,omitempty"`
	Assign           *Assign             `json:"assign,omitempty"`
	Report           *Report             `json:"report,omitempty"`
	Cancel           *Cancel             `json:"cancel,omitempty"`
	Expire           *Expire             `json:"expire,omitempty"`
	RegisterEndpoint *RegisterEndpoint   `json:"announce,omitempty"`
	EndpointStatus   *SetEndpointStatus  `json:"endpoint_status,omitempty"`
	EndpointRemoved  *RemoveEndpoint     `json:"endpoint_removed,omitempty"`
	Adopt            *AdoptConfiguration `json:"adopt,omitempty"`
	Prune            *Prune              `json:"forget,omitempty"`

	// Cell group.
	Configure *Configure `json:"configure,omitempty"`
	Transfer  *Transfer  `json:"transfer,omitempty"`

	// Job group.
	Job *job.Command `json:"job,omitempty"`
}

// Bootstrap is the first command of a domain group. It sets the request horizon.
type Bootstrap struct {
	HorizonS int64 `json:"horizon_s"` // request horizon, Unix seconds; request IDs issued before it are refused
}

// Accept stores a request. It is rejected if the key exists or the ID was issued
// before the request horizon.
type Accept struct {
	Request Request `json:"request"`
}

// Refuse blocks the ID of a refused request, so that a delayed copy of the submission
// cannot be accepted after the caller has received the answer "not run". It is
// rejected if the request has already been accepted.
type Refuse struct {
	Key
	AtMS         int64  `json:"at_ms"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"` // advised pause before a retry, 0 if a retry cannot succeed or there is no advice
}

// Assignment binds one queued task to an endpoint.
type Assignment struct {
	Key
	Task        int    `json:"task"`
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
	Borrowed    bool   `json:"borrowed,omitempty"` // uses idle quota of other teams
}

// Assign binds tasks to endpoints, all of them or none. The leader submits its plan
// in this form, and Apply verifies it again.
type Assign struct {
	AtMS  int64        `json:"at_ms"`
	Items []Assignment `json:"items"`
}

// Report ends the current attempt of a task.
type Report struct {
	TaskRef
	AtMS            int64           `json:"at_ms"`
	Endpoint        string          `json:"endpoint"`
	Incarnation     uint64          `json:"incarnation"`
	Status          TaskStatus      `json:"status"` // done, failed, not_run or cancelled
	Result          json.RawMessage `json:"result,omitempty"`
	Error           string          `json:"error,omitempty"`
	Requeue         bool            `json:"requeue,omitempty"`       // queue the task again; ignored for unrepeatable work that ran
	EndpointAtFault bool            `json:"endpoint_bad,omitempty"`  // the failure is attributed to the endpoint and uses no retry of the task
	NotBeforeMS     int64           `json:"not_before_ms,omitempty"` // earliest next attempt, Unix milliseconds
}

// Cancel ends the queued tasks of a request and marks the request as cancelled, so
// that its running tasks are stopped.
type Cancel struct {
	Key
	AtMS  int64  `json:"at_ms"`
	Actor string `json:"actor"`
}

// Expire ends the queued tasks of a request whose result would come too late or that
// can never run.
type Expire struct {
	Key
	AtMS   int64  `json:"at_ms"`
	Reason string `json:"reason"`
}

// RegisterEndpoint adds an endpoint, updates it, or replaces an earlier incarnation
// of it. The restart of an endpoint ends the tasks of its earlier incarnation.
type RegisterEndpoint struct {
	AtMS     int64    `json:"at_ms"`
	Endpoint Endpoint `json:"endpoint"` // Reserved, Assigned and LastSeq are ignored
}

// SetEndpointStatus changes the membership state of an endpoint. Status lost also
// ends the leases of its tasks: unrepeatable tasks become unknown, and repeatable tasks
// are queued again, or become cancelled if their request was cancelled.
type SetEndpointStatus struct {
	AtMS        int64          `json:"at_ms"`
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Status      EndpointStatus `json:"status"`
	Actor       string         `json:"actor,omitempty"` // operator who requested the change, if any
}

// RemoveEndpoint deletes the record of a lost endpoint.
type RemoveEndpoint struct {
	AtMS        int64  `json:"at_ms"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// AdoptConfiguration makes a configuration the one in force in the domain. It is
// rejected unless its version is above the version in force.
type AdoptConfiguration struct {
	AtMS   int64                  `json:"at_ms"`
	Config VersionedConfiguration `json:"config"`           // without content if Change is set
	Change *ConfigurationChange   `json:"change,omitempty"` // difference from version From
	From   uint64                 `json:"from,omitempty"`   // if Change is set: its base, which must be the version in force
	Shares map[string]Resources   `json:"shares"`           // the domain's part of the quota of each team; if Change is set, of the changed teams only
}

// Prune removes final records and moves the request horizon past the issue times of
// their IDs.
type Prune struct {
	Keys     []Key `json:"keys"`
	HorizonS int64 `json:"horizon_s"` // new request horizon, Unix seconds; an earlier one has no effect
}

// Configure replaces the configuration of the cell by compare-and-set.
type Configure struct {
	AtMS     int64         `json:"at_ms"`
	Actor    string        `json:"actor"`
	ChangeID string        `json:"change_id"`       // a resend carries the same ID
	Expected uint64        `json:"expected"`        // version that the operator's change is based on
	Config   Configuration `json:"config,omitzero"` // the whole content, unless Change is set

	// Change is the difference from version Expected. The log carries it instead of
	// Config, because with 400 teams the whole content is hundreds of kilobytes, while
	// most changes concern one team.
	Change *ConfigurationChange `json:"change,omitempty"`
}

// Transfer records quota that one domain has released and another domain may take.
type Transfer struct {
	ID     string    `json:"id"`
	Team   string    `json:"team"`
	From   string    `json:"from"` // failure domain
	To     string    `json:"to"`   // failure domain
	Amount Resources `json:"amount"`
}

// EncodeCommand returns the stored and transmitted form of a command.
func EncodeCommand(c Command) ([]byte, error) { return json.Marshal(c) }

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(b, &c)
	return c, err
}
