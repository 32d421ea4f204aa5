package cli

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state"
)

// longPoll is how long one blocking query waits. The server limits a wait to 30 s.
const longPoll = 25 * time.Second

// pollPause is the delay between blocking queries, so that Wait does not call in a tight
// loop if a server answers at once.
const pollPause = 200 * time.Millisecond

// NewID returns a new request ID from a server. The server stores nothing.
func (c *Client) NewID(ctx context.Context) (state.RequestID, error) {
	var r protocol.RequestIDResponse
	err := c.do(ctx, call{step: "get a request ID", method: http.MethodPost, path: protocol.PathRequestIDs, into: &r, readOnly: true})
	return r.ID, err
}

// Submit submits a request with an ID. It retries with the same ID while no server
// answers, for at most MaxRounds rounds.
func (c *Client) Submit(ctx context.Context, id state.RequestID, r protocol.SubmitRequest) (*protocol.RequestStatus, error) {
	return c.requestCall(ctx, call{step: "submit " + string(id), method: http.MethodPut, body: r}, id)
}

// Status returns the status of a request.
func (c *Client) Status(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	return c.requestCall(ctx, call{step: "status of " + string(id), method: http.MethodGet, readOnly: true}, id)
}

// Cancel requests the cancellation of a request and returns its status.
func (c *Client) Cancel(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	return c.requestCall(ctx, call{step: "cancel " + string(id), method: http.MethodDelete}, id)
}

// Wait waits until a request has its final outcome and returns its status. If ctx ends
// first, it returns the last known status and the error of ctx.
func (c *Client) Wait(ctx context.Context, id state.RequestID) (*protocol.RequestStatus, error) {
	var last *protocol.RequestStatus
	for {
		s, err := c.requestCall(ctx, call{
			step: "wait for " + string(id), method: http.MethodGet, readOnly: true,
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
	err := c.do(ctx, call{step: "list requests", method: http.MethodGet, path: protocol.PathRequests, into: &l, readOnly: true})
	return &l, err
}

// requestCall makes a call for one request and returns its status.
func (c *Client) requestCall(ctx context.Context, k call, id state.RequestID) (*protocol.RequestStatus, error) {
	var s protocol.RequestStatus
	k.path, k.into = protocol.PathRequest+url.PathEscape(string(id)), &s
	if err := c.do(ctx, k); err != nil {
		return nil, err
	}
	return &s, nil
}
