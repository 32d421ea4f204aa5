package protocol

import (
	"time"
)

// Role is the kind of client that makes a call.
type Role string

// Roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RoleEndpoint Role = "endpoint"
)

// Identity identifies the client that makes a call.
type Identity struct {
	Role Role
	Name string
	Team string // team of a caller, "" for other roles
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

// Operation is one call of the API. The process that received the call from the client (an
// entry process) performs it or forwards it to the process that is responsible for the
// target.
type Operation struct {
	Name     OperationName
	Identity Identity
	Target   string        // request ID or endpoint name
	Domain   string        // failure domain, for operations on endpoints and lists
	Wait     time.Duration // longest wait for a final outcome, 0 for none
	Body     []byte        // JSON
	Age      time.Duration // time for which entry processes have held the call; a submission that is too old is not accepted
}

// Result answers an operation.
type Result struct {
	Status int // HTTP status
	Body   []byte
	Code   Code // error code, "" if there is no error

	// RedirectName and RedirectAddress name the process to which the call should be sent
	// instead.
	RedirectName    string
	RedirectAddress string
}

// Retryable reports whether the operation had no effect and another attempt, perhaps
// at another process, may succeed.
func (r *Result) Retryable() bool { return r.Code == CodeUnavailable }
