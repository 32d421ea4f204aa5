package cli

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// longPoll is how long one blocking query waits. The server waits 30 s at most.
const longPoll = 25 * time.Second

// pollPause keeps Wait from calling without a break if a server answers a
// blocking query at once.
const pollPause = 200 * time.Millisecond

// NewID asks for a request ID. This writes nothing.
func (c *Client) NewID(ctx context.Context) (state.RequestID, error) {
	var r protocol.RequestIDResponse
	err := c.do(ctx, call{step: "get a request ID", method: http.MethodPost, path: protocol.PathRequestIDs, into: &r, harmless: true})
	return r.ID, err
}

// Submit sends a request under an ID, and sends it again under the same ID while
// no answer arrives.
func (c *Client) Submit(ctx context.Context, id state.RequestID, r protocol.SubmitRequest) (*protocol.RequestStatus, error) {
	return c.aboutRequest(ctx, call{step: "submit " + string(id), method: http.MethodPut, body: r}, id)
}

// Status returns the status of a request.
func (c *Client) Status(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	return c.aboutRequest(ctx, call{step: "status of " + string(id), method: http.MethodGet, harmless: true}, id)
}

// Cancel asks to cancel a request.
func (c *Client) Cancel(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	return c.aboutRequest(ctx, call{step: "cancel " + string(id), method: http.MethodDelete}, id)
}

// Wait returns the status of a request when its outcome is settled, or the last
// known status and the context's error when ctx ends before.
func (c *Client) Wait(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	var last *protocol.RequestStatus
	for {
		s, err := c.aboutRequest(ctx, call{
			step: "wait for " + string(id), method: http.MethodGet, harmless: true,
			wait: longPoll, query: url.Values{"wait": {longPoll.String()}},
		}, id)
		if err != nil && ctx.Err() != nil {
			return last, ctx.Err()
		}
		if err != nil || s.Final() {
			return s, err
		}
		last = s
		if err := c.Pause(ctx, pollPause); err != nil {
			return last, err
		}
	}
}

// List returns the requests of the caller's team.
func (c *Client) List(ctx context.Context) (*protocol.RequestList, error) {
	var l protocol.RequestList
	err := c.do(ctx, call{step: "list requests", method: http.MethodGet, path: protocol.PathRequests, into: &l, harmless: true})
	return &l, err
}

// aboutRequest makes a call about one request.
func (c *Client) aboutRequest(ctx context.Context, k call, id state.RequestID) (*protocol.RequestStatus, error) {
	var s protocol.RequestStatus
	k.path, k.into = protocol.PathRequest+url.PathEscape(string(id)), &s
	if err := c.do(ctx, k); err != nil {
		return nil, err
	}
	return &s, nil
}
