// Package peer implements the calls between processes over Connect: replication messages
// and forwarded operations.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/protocol/peerv1"
	"github.com/primrosereach/primrosereach/protocol/peerv1/peerv1connect"
)

const (
	// queueLength bounds the replication messages that are queued for one peer. Further
	// ones are dropped: replication sends them again, and outdated ones are useless.
	queueLength = 1024
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

// Client sends replication messages and operations to other processes.
type Client struct {
	http   connect.HTTPClient
	scheme string
	token  string
	logger hclog.Logger
	ctx    context.Context
	// OnCall, if set, is called with the operation of each call to another process. It
	// must be set before the first call and must not block.
	OnCall func(operation string)

	mu      sync.Mutex
	queues  map[string]chan replication.Message // messages to send, by address
	clients map[string]peerv1connect.PeerServiceClient
	wg      sync.WaitGroup
}

// NewClient returns a client whose sender goroutines run until ctx ends. The token is
// sent to peers as bearer token, "" for none; scheme is http or https.
func NewClient(ctx context.Context, httpClient connect.HTTPClient, scheme, token string, logger hclog.Logger) *Client {
	return &Client{
		http: httpClient, scheme: scheme, token: token, logger: logger, ctx: ctx,
		queues: map[string]chan replication.Message{}, clients: map[string]peerv1connect.PeerServiceClient{},
	}
}

// Send queues a replication message for the process at an address. It never blocks: the
// message is dropped if the queue is full.
func (c *Client) Send(address string, m replication.Message) {
	c.mu.Lock()
	q := c.queues[address]
	if q == nil {
		q = make(chan replication.Message, queueLength)
		c.queues[address] = q
		c.wg.Go(func() { c.runSender(address, q) })
	}
	c.mu.Unlock()
	select {
	case q <- m:
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

// runSender delivers the queued messages to one peer, in batches of at most batchSize.
func (c *Client) runSender(address string, q <-chan replication.Message) {
	for {
		var batch []replication.Message
		select {
		case <-c.ctx.Done():
			return
		case m := <-q:
			batch = append(batch, m)
		}
		for len(batch) < batchSize && len(q) > 0 {
			batch = append(batch, <-q)
		}
		if err := c.deliverBatch(address, batch); err != nil && c.ctx.Err() == nil {
			c.logger.Debug("messages were not delivered", "step", "deliver", "peer", address, "count", len(batch), "error", err.Error())
		}
	}
}

func (c *Client) deliverBatch(address string, batch []replication.Message) error {
	timeout := deliverTimeout
	req := &peerv1.DeliverRequest{Messages: make([]*peerv1.Message, len(batch))}
	for i := range batch {
		m, err := protocol.EncodeMessage(&batch[i])
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		req.Messages[i] = m
		if batch[i].Snapshot != nil {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	c.count(deliverOperation)
	_, err := c.client(address).Deliver(ctx, c.request(req))
	return err
}

// deliverOperation is the name under which OnCall counts calls that deliver replication
// messages.
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
