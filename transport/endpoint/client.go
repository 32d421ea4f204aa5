// Package endpoint sends starts and stops to endpoints.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
)

const (
	// connectionsPerEndpoint keeps the connections of one assigner, and of its
	// successor during a leader change, far below the 60 that a runner takes in all.
	connectionsPerEndpoint = 8
	// workers bounds the calls to endpoints under way at once. At 130 starts a second
	// and 20 ms each, 3 are busy; the rest is for endpoints that do not answer.
	workers = 128
	// queueLength bounds the calls that wait for a worker.
	queueLength = 8192
	// callTimeout bounds one call. A start that timed out is sent again and is
	// recognised by the endpoint.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds the answer of an endpoint.
	maxAnswerBytes = 64 << 10
)

// Sender hands events to the control goroutine.
type Sender interface {
	Send(ctx context.Context, ev coordination.Event) bool
}

// Client calls endpoints.
type Client struct {
	http   *http.Client
	scheme string
	loop   Sender
	logger hclog.Logger
	queue  chan coordination.Effect
	wg     sync.WaitGroup

	mu      sync.Mutex
	dropped []coordination.StartTask // not answered yet; at most the open tasks
	signal  chan struct{}            // has room for one
}

// NewClient returns a client whose workers run until ctx ends.
func NewClient(ctx context.Context, transport *http.Transport, scheme string, loop Sender, logger hclog.Logger) *Client {
	transport.MaxConnsPerHost = connectionsPerEndpoint
	transport.MaxIdleConnsPerHost = connectionsPerEndpoint
	c := &Client{
		http: &http.Client{Transport: transport, Timeout: callTimeout}, scheme: scheme,
		loop: loop, logger: logger, queue: make(chan coordination.Effect, queueLength),
		signal: make(chan struct{}, 1),
	}
	c.wg.Go(func() { c.answerDropped(ctx) })
	for range workers {
		c.wg.Go(func() { c.work(ctx) })
	}
	return c
}

// Enqueue queues a StartTask or StopTask. It never blocks. A start for which the
// queue has no room is answered as not delivered, so that it is sent again; heartbeat
// answers repeat such a stop.
func (c *Client) Enqueue(e coordination.Effect) {
	select {
	case c.queue <- e:
		return
	default:
	}
	s, ok := e.(coordination.StartTask)
	if !ok {
		return
	}
	c.mu.Lock()
	c.dropped = append(c.dropped, s)
	c.mu.Unlock()
	select {
	case c.signal <- struct{}{}:
	default:
	}
}

// answerDropped answers the starts that found the queue full. The control goroutine
// cannot do that itself: it must not wait for room among its own events.
func (c *Client) answerDropped(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.signal:
		}
		c.mu.Lock()
		dropped := c.dropped
		c.dropped = nil
		c.mu.Unlock()
		for _, s := range dropped {
			c.loop.Send(ctx, coordination.StartAnswered{Start: s, Result: coordination.StartUnreachable, Reason: "too many calls to endpoints are waiting"})
		}
	}
}

// Waiting returns the number of calls that wait for a worker, and their bound.
func (c *Client) Waiting() (n, most int) { return len(c.queue), cap(c.queue) }

// Wait returns when all workers have ended.
func (c *Client) Wait() { c.wg.Wait() }

func (c *Client) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.queue:
			switch e := e.(type) {
			case coordination.StartTask:
				c.loop.Send(ctx, c.start(ctx, e))
			case coordination.StopTask:
				c.stop(ctx, e)
			}
		}
	}
}

func (c *Client) start(ctx context.Context, s coordination.StartTask) coordination.StartAnswered {
	req := protocol.NewStartRequest(&s)
	var res protocol.StartResponse
	out := coordination.StartAnswered{Start: s}
	if err := c.post(ctx, s.Address, protocol.PathTasks, req, &res); err != nil {
		c.logger.Debug("start not delivered", "step", "start task", "peer", s.Endpoint, "request", string(s.Ref.ID), "error", err.Error())
		out.Result, out.Reason = coordination.StartUnreachable, err.Error()
		return out
	}
	switch {
	case res.Declined:
		out.Result, out.Reason = coordination.StartDeclined, res.Reason
	case res.Started:
		out.Result = coordination.StartAccepted
	default:
		out.Result, out.Reason = coordination.StartUnreachable, "neither started nor declined"
	}
	return out
}

// stop needs no answer: the endpoint reports how the attempt ended, and heartbeat
// answers repeat the stop.
func (c *Client) stop(ctx context.Context, s coordination.StopTask) {
	if err := c.post(ctx, s.Address, protocol.PathTasksStop, protocol.NewStopRequest(&s), &struct{}{}); err != nil {
		c.logger.Debug("stop not delivered", "step", "stop task", "peer", s.Endpoint, "request", string(s.Ref.ID), "error", err.Error())
	}
}

func (c *Client) post(ctx context.Context, address, path string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+address+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call %s", address)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", address)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("call %s: status %d", address, res.StatusCode)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrapf(err, "decode answer of %s", address)
	}
	return nil
}
