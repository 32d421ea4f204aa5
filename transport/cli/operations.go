package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (*state.VersionedConfiguration, error) {
	var v state.VersionedConfiguration
	err := c.do(ctx, call{step: "read the configuration", method: http.MethodGet, path: protocol.PathConfiguration, into: &v, readOnly: true})
	return &v, err
}

// NewChangeID returns a random ID for a configuration change.
func NewChangeID() string { return "change-" + rand.Text() }

// Configure replaces the configuration by compare-and-set. If another change was applied
// first, the error is a *protocol.Error with code conflict.
func (c *Client) Configure(ctx context.Context, r protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	var answer protocol.ConfigureResponse
	step := "apply change " + r.ChangeID
	err := c.do(ctx, call{step: step, method: http.MethodPut, path: protocol.PathConfiguration, body: r, into: &answer})
	if err == nil && !answer.Applied {
		err = &protocol.Error{Code: protocol.CodeConflict, Step: step, Message: answer.Reason}
	}
	return &answer, err
}

// Endpoints returns the endpoints of the cell.
func (c *Client) Endpoints(ctx context.Context) (*protocol.EndpointList, error) {
	var l protocol.EndpointList
	err := c.do(ctx, call{step: "list endpoints", method: http.MethodGet, path: protocol.PathEndpoints, into: &l, readOnly: true})
	return &l, err
}

// Drain stops the assignment of new tasks to an endpoint. Running tasks finish there.
func (c *Client) Drain(ctx context.Context, name string) error {
	return c.do(ctx, call{step: "drain " + name, method: http.MethodPost, path: protocol.PathEndpoint + url.PathEscape(name) + "/drain"})
}

// Audit returns the audit records, oldest first.
func (c *Client) Audit(ctx context.Context) (*protocol.AuditList, error) {
	var l protocol.AuditList
	err := c.do(ctx, call{step: "read the audit records", method: http.MethodGet, path: protocol.PathAudit, into: &l, readOnly: true})
	return &l, err
}

// SystemStatus returns the status object of the process that answers.
func (c *Client) SystemStatus(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	err := c.do(ctx, call{step: "read the status", method: http.MethodGet, path: protocol.PathStatus, into: &raw, readOnly: true})
	return raw, err
}
