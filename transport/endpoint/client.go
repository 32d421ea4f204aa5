// Package endpoint sends requests to start and stop tasks to endpoints.
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
	// connectionsPerEndpoint bounds the connections from one process to an endpoint.
	// Together with those of the new leader during a leader change, they stay far below
	// the 60 connections that a runner accepts in total.
	connectionsPerEndpoint = 8
	// maxConcurrentCalls bounds the concurrent calls to endpoints. At 130 starts per
	// second of 20 ms each, 3 are in use; the rest is for endpoints that do not answer.
	maxConcurrentCalls = 128
	// queueLength bounds the queued calls.
	queueLength = 8192
	// callTimeout bounds one call. A start that timed out is sent again; the endpoint
	// recognises a repeated start.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of an endpoint's answer.
	maxAnswerBytes = 64 << 10
)

// Sender sends events to the control goroutine.
type Sender interface {
	Send(ctx context.Context, ev coordination.Event) bool
}

// Client sends starts and stops of tasks to endpoints.
type Client struct {
	http   *http.Client
	scheme string
	loop   Sender
	logger hclog.Logger
	queue  chan coordination.Effect
	wg     sync.WaitGroup

	mu      sync.Mutex
	dropped []coordination.StartTask // starts that found the queue full and are not yet answered; bounded by the open tasks
	signal  chan struct{}            // signals that dropped is not empty; has capacity 1
}

// NewClient returns a client whose goroutines run until ctx ends. It sets the connection
// limits of transport.
func NewClient(ctx context.Context, transport *http.Transport, scheme string, loop Sender, logger hclog.Logger) *Client {
	transport.MaxConnsPerHost = connectionsPerEndpoint
	transport.MaxIdleConnsPerHost = connectionsPerEndpoint
	c := &Client{
		http: &http.Client{Transport: transport, Timeout: callTimeout}, scheme: scheme,
		loop: loop, logger: logger, queue: make(chan coordination.Effect, queueLength),
		signal: make(chan struct{}, 1),
	}
	c.wg.Go(func() { c.answerDropped(ctx) })
	for range maxConcurrentCalls {
		c.wg.Go(func() { c.processQueue(ctx) })
	}
	return c
}

// Enqueue queues a StartTask or StopTask. It never blocks. If the queue is full, a start
// is answered as unreachable, so that it is sent again, and a stop is dropped, because
// answers to heartbeats repeat it.
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

// answerDropped answers the starts that found the queue full. It runs on its own
// goroutine, because the control goroutine must not block on its own event queue.
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

// QueueLength returns the number of queued calls and the capacity of the queue.
func (c *Client) QueueLength() (n, most int) { return len(c.queue), cap(c.queue) }

// Wait blocks until all goroutines of the client have ended.
func (c *Client) Wait() { c.wg.Wait() }

func (c *Client) processQueue(ctx context.Context) {
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
		out.Result, out.Reason = coordination.StartUnreachable, "the endpoint neither started nor declined the task"
	}
	return out
}

// stop ignores the answer: the endpoint reports how the attempt ended, and answers to
// heartbeats repeat the stop.
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
