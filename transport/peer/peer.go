// Package peer implements the calls between processes over Connect: replication messages,
// relayed orders to workers and forwarded operations.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/protocol/peerv1/peerv1connect"
)

const (
	// queueLength bounds the messages, orders and reports that are queued for one peer.
	// Further ones are dropped: replication and the leader send them again, and outdated ones
	// are useless.
	queueLength = 1024
	// orderBatchDelay is the time for which an order or report waits for others to the same
	// peer. A replication message takes along all that wait.
	orderBatchDelay = 3 * time.Millisecond
	// batchSize bounds the number of messages in one call.
	batchSize = 128
	// deliverTimeout bounds one call that delivers messages. It is well above a round
	// trip between domains. It is not much longer than an election, because later
	// messages to the same peer wait until the call ends when the peer stops answering.
	deliverTimeout = time.Second
	// snapshotTimeout replaces deliverTimeout for a call that carries a snapshot. It is
	// long enough for a snapshot of the largest state.
	snapshotTimeout = 5 * time.Second
)

// Client sends replication messages, orders, reports and operations to other processes.
type Client struct {
	http   connect.HTTPClient
	scheme string
	token  string
	logger hclog.Logger
	ctx    context.Context
	// OnCall, if set, is called with the operation of each call to another process. It
	// must be set before the first call and must not block.
	OnCall func(operation string)
	// Self describes this process to those that relay its orders. It must be set before the
	// first order.
	Self Self

	mu      sync.Mutex
	queues  map[string]chan outgoing // by address
	clients map[string]peerv1connect.PeerServiceClient
	clocks  map[string]clockEstimate // by address
	wg      sync.WaitGroup
}

// Self describes a process to the relays of its orders.
type Self struct {
	Address string // peer address, to which the results are sent
	ClockID uint64 // identifies the clock, random at each start
	// Now reads the clock. It includes the time for which the VM was suspended.
	Now func() time.Duration
}

// NewClient returns a client whose sender goroutines run until ctx ends. The token is
// sent to peers as bearer token, "" for none; scheme is http or https.
func NewClient(ctx context.Context, httpClient connect.HTTPClient, scheme, token string, logger hclog.Logger) *Client {
	return &Client{
		http: httpClient, scheme: scheme, token: token, logger: logger, ctx: ctx,
		queues: map[string]chan outgoing{}, clients: map[string]peerv1connect.PeerServiceClient{},
		clocks: map[string]clockEstimate{},
	}
}

// outgoing is one part of a call that delivers messages. Exactly one field is set.
type outgoing struct {
	message *replication.Message
	order   jobs.Effect
	report  *jobs.OrderReported
	at      time.Duration // time at which the order was issued
}

// Send queues a replication message for the process at an address. It never blocks: the
// message is dropped if the queue is full.
func (c *Client) Send(address string, m replication.Message) {
	c.enqueue(address, outgoing{message: &m})
}

// SendOrder queues an order to a worker that the process at an address is to send. Like Send,
// it never blocks and may drop the order.
func (c *Client) SendOrder(address string, order jobs.Effect) {
	c.enqueue(address, outgoing{order: order, at: c.Self.Now()})
}

// SendReport queues the result of an order for the process at an address. Like Send, it never
// blocks and may drop the report.
func (c *Client) SendReport(address string, r jobs.OrderReported) {
	c.enqueue(address, outgoing{report: &r})
}

func (c *Client) enqueue(address string, x outgoing) {
	c.mu.Lock()
	q := c.queues[address]
	if q == nil {
		q = make(chan outgoing, queueLength)
		c.queues[address] = q
		c.wg.Go(func() { c.runSender(address, q) })
	}
	c.mu.Unlock()
	select {
	case q <- x:
	default:
	}
}

// Wait blocks until all sender goroutines have ended.
func (c *Client) Wait() { c.wg.Wait() }

func (c *Client) client(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.clients[address]
	if p == nil {
		p = peerv1connect.NewPeerServiceClient(c.http, c.scheme+"://"+address)
		c.clients[address] = p
	}
	return p
}

// runSender delivers what is queued for one peer, in batches of at most batchSize.
func (c *Client) runSender(address string, q <-chan outgoing) {
	delay := time.NewTimer(0)
	defer delay.Stop()
	for {
		var batch []outgoing
		select {
		case <-c.ctx.Done():
			return
		case x := <-q:
			batch = append(batch, x)
		}
		delay.Reset(orderBatchDelay)
		batch = c.fillBatch(batch, q, delay.C)
		if err := c.deliverBatch(address, batch); err != nil && c.ctx.Err() == nil {
			c.logger.Debug("messages were not delivered", "step", "deliver", "peer", address, "count", len(batch), "error", err.Error())
		}
	}
}

// fillBatch adds what is queued to a batch. As long as that holds no replication message, it
// waits for more until the delay is over.
func (c *Client) fillBatch(batch []outgoing, q <-chan outgoing, delay <-chan time.Time) []outgoing {
	urgent := batch[0].message != nil
	for len(batch) < batchSize {
		if urgent && len(q) == 0 {
			break
		}
		select {
		case x := <-q:
			batch = append(batch, x)
			urgent = urgent || x.message != nil
		case <-delay:
			urgent = true
		case <-c.ctx.Done():
			return batch
		}
	}
	return batch
}

func (c *Client) deliverBatch(address string, batch []outgoing) error {
	timeout := deliverTimeout
	req := &peerv1.DeliverRequest{Sender: c.Self.Address, ClockId: c.Self.ClockID}
	for i := range batch {
		if err := addToRequest(req, &batch[i]); err != nil {
			return errors.Wrap(err, "encode")
		}
		if m := batch[i].message; m != nil && m.Snapshot != nil {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	c.count(deliverOperation)
	if c.Self.Now == nil {
		_, err := c.client(address).Deliver(ctx, c.request(req))
		return err
	}
	sentAt := c.Self.Now()
	res, err := c.client(address).Deliver(ctx, c.request(req))
	if err == nil {
		c.updateClock(address, res.Msg, sentAt)
	}
	return err
}

func addToRequest(req *peerv1.DeliverRequest, x *outgoing) error {
	switch {
	case x.message != nil:
		m, err := protocol.EncodeMessage(x.message)
		if err != nil {
			return err
		}
		req.Messages = append(req.Messages, m)
	case x.order != nil:
		o, err := protocol.EncodeOrder(x.order)
		if err != nil {
			return err
		}
		o.SentAtNs = int64(x.at)
		req.Orders = append(req.Orders, o)
	default:
		req.Reports = append(req.Reports, protocol.EncodeOrderReport(x.report))
	}
	return nil
}

// deliverOperation is the name under which OnCall counts calls that deliver messages, orders
// and reports.
const deliverOperation = "deliver"

func (c *Client) count(operation string) {
	if c.OnCall != nil {
		c.OnCall(operation)
	}
}

func (c *Client) request(m *peerv1.DeliverRequest) *connect.Request[peerv1.DeliverRequest] {
	r := connect.NewRequest(m)
	c.authorize(r.Header())
	return r
}

func (c *Client) authorize(h http.Header) {
	if c.token != "" {
		h.Set("Authorization", "Bearer "+c.token)
	}
}

// Forward performs an operation at the process at an address. An error means that it is
// unknown whether the operation took effect.
func (c *Client) Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error) {
	r := connect.NewRequest(protocol.EncodeOperation(op))
	c.authorize(r.Header())
	c.count(string(op.Name))
	res, err := c.client(address).Forward(ctx, r)
	if err != nil {
		return protocol.Result{}, errors.Wrapf(err, "forward %s to %s", op.Name, address)
	}
	return protocol.DecodeResult(res.Msg), nil
}
