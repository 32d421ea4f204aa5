package protocol

import (
	"time"
)

// Role tells what a caller of the API is.
type Role string

// Roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RoleEndpoint Role = "endpoint"
)

// Identity is who makes a call.
type Identity struct {
	Role Role
	Name string
	Team string // of a caller
}

// OperationName names a call independently of the front end that received it.
type OperationName string

// Operations.
const (
	OpSubmit            OperationName = "submit"
	OpLookup            OperationName = "lookup"
	OpCancel            OperationName = "cancel"
	OpList              OperationName = "list"
	OpConfigure         OperationName = "configure"
	OpReadConfiguration OperationName = "read configuration"
	OpCellAudit         OperationName = "read cell audit"
	OpEndpoints         OperationName = "list endpoints"
	OpDomainAudit       OperationName = "read domain audit"
	OpDomainStatus      OperationName = "read domain status"
	OpDrain             OperationName = "drain"
	OpHeartbeat         OperationName = "heartbeat"
	OpReport            OperationName = "report"
)

// Operation is one call of the API. It can be carried out by the process that
// received it or forwarded to the one that owns its subject.
type Operation struct {
	Name     OperationName
	Identity Identity
	Target   string        // request ID or endpoint name
	Domain   string        // failure domain, for operations on endpoints and lists
	Wait     time.Duration // for a final outcome, 0 for not at all
	Body     []byte        // JSON
	Age      time.Duration // how long entry processes have held the call
}

// Result answers an operation.
type Result struct {
	Status int // HTTP status
	Body   []byte
	Code   Code // of an error, "" for none

	// RedirectName and RedirectAddress name the process to ask instead.
	RedirectName    string
	RedirectAddress string
}

// Retryable reports whether another attempt, perhaps at another process, may do
// better.
func (r *Result) Retryable() bool { return r.Code == CodeUnavailable }
