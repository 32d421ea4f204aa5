package site

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// attemptTimeout bounds one attempt of a call, so that an unreachable member does
	// not use up the whole time of the call.
	attemptTimeout = 700 * time.Millisecond
	// electionTimeout is the time since the start of a call until which the call waits
	// for a leader election. Waiting takes less time than a refusal and the retry delay
	// that follows.
	electionTimeout = 900 * time.Millisecond
	// redirectTimeout is how long a call that cannot have taken effect is retried while
	// no election is in progress, which covers a redirect to a new leader. A longer wait
	// would shorten the time in which the caller can try other gateways.
	redirectTimeout = 60 * time.Millisecond
	// unknownOutcomeShare is the share of a caller's timeout after which a call whose
	// outcome is unknown is answered as unknown. The caller can use the rest to retry.
	unknownOutcomeShare = 0.4
	// retryAfter is the retry delay sent to callers while there is no leader. An election
	// takes less, and callers give up a few seconds after their first attempt, so with a
	// longer delay they would not retry at all.
	retryAfter = time.Second
	// attemptDelay is the delay after a failed attempt.
	attemptDelay = 30 * time.Millisecond
)

// Forwarder sends operations to other processes.
type Forwarder interface {
	Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error)
}

// Client performs calls at the leader of the job group.
type Client struct {
	self    string // peer address of this process
	tracker *tracker
	peers   Forwarder
	local   func(ctx context.Context, op protocol.Operation) protocol.Result // performs an operation on this process; nil on a gateway
	// confirmWorker reports whether this process may acknowledge a heartbeat of a worker
	// without a call to the leader; nil on a gateway.
	confirmWorker func(ctx context.Context, e jobs.WorkerHeartbeat) bool
	contacts      contactList
	logger        hclog.Logger
	observeCall   func(operation string, code jobs.Code, took time.Duration)
	maxStale      time.Duration // longest time until the answer to a queue lookup, 0 for no limit
	rejections    rejections

	// epoch is the submission epoch that the leader named last. A submission carries the epoch that was
	// known when it arrived, in all its attempts, so that the leader can bound the age of a late copy.
	epoch atomic.Int64

	// lastConfiguration is the configuration that was read last. Reads send its version,
	// so that the leader sends a document, which may be large, only once.
	lastConfiguration atomic.Pointer[job.Configuration]
}

// Ready reports whether the process has recent contact with the leader.
func (c *Client) Ready() bool { return c.tracker.ready() }

// Call performs an event at the current leader. It retries until the leader answers, ctx
// ends, the process loses contact with the leader, or the time for retries is over. All
// events are idempotent, so an attempt with an unknown outcome can be repeated. Except for
// a queue lookup, which changes nothing, the answer has the code "unavailable" or
// "refused" only if no attempt can have taken effect.
func (c *Client) Call(ctx context.Context, ev jobs.Event) jobs.Answer {
	if e, ok := ev.(jobs.WorkerHeartbeat); ok && c.confirmWorker != nil && c.Ready() && c.confirmWorker(ctx, e) {
		c.contacts.add(&e)
		return jobs.Answer{Code: jobs.CodeOK}
	}
	known := c.lastConfiguration.Load()
	if e, ok := ev.(jobs.ReadConfiguration); ok && known != nil {
		e.KnownVersion = known.Version
		ev = e
	}
	if e, ok := ev.(jobs.Submit); ok {
		e.Epoch = c.epoch.Load()
		ev = e
	}
	op, err := protocol.EncodeJobEvent(ev)
	if err != nil {
		return jobs.Answer{Code: jobs.CodeInvalid, Message: err.Error()}
	}
	if isQueueLookup(ev) && c.maxStale > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.maxStale)
		defer cancel()
	}
	began := time.Now()
	a := c.callWithRetries(ctx, op, began)
	if isQueueLookup(ev) && a.Code == jobs.CodeUnknown {
		a = jobs.Answer{Code: jobs.CodeUnavailable, Message: a.Message, RetryAfter: retryAfter} // a lookup changes nothing, so its outcome does not matter
	}
	a.Configuration = c.completeConfiguration(a.Configuration, known)
	took := time.Since(began)
	c.observeCall(string(op.Name), a.Code, took)
	c.logCall(ev, op, a, took)
	return a
}

// completeConfiguration returns the known configuration if the answer has its version
// and thus leaves out the document. A new configuration is stored for later calls.
func (c *Client) completeConfiguration(answer, known *job.Configuration) *job.Configuration {
	switch {
	case answer == nil:
		return nil
	case known != nil && answer.Version == known.Version:
		return known
	}
	c.lastConfiguration.Store(answer)
	return answer
}

// isQueueLookup reports whether a call asks about a queue as a whole. Its answer shows
// which configuration is in force. If such a call were held during a leader change, it
// could be answered under a newer configuration than calls that were sent later, as if
// the process had returned to an older configuration.
func isQueueLookup(ev jobs.Event) bool {
	e, ok := ev.(jobs.Lookup)
	return ok && strings.HasSuffix(e.Path, "/")
}

// logCall writes a log line for each submission and cancellation, and for every other call
// that did not succeed.
func (c *Client) logCall(ev jobs.Event, op protocol.Operation, a jobs.Answer, took time.Duration) {
	var path, worker string
	switch e := ev.(type) {
	case jobs.Submit:
		path = e.Path
	case jobs.Lookup:
		path = e.Path
	case jobs.Cancel:
		path = e.Path
	case jobs.WorkerHeartbeat:
		worker = e.Worker.ID
	case jobs.DeregisterWorker:
		worker = e.ID
	}
	if path == "" && a.Code == jobs.CodeOK {
		return
	}
	if _, isLookup := ev.(jobs.Lookup); isLookup && a.Code == jobs.CodeOK {
		return
	}
	c.logger.Info("answered a call", "step", string(op.Name), "request", path[strings.LastIndex(path, "/")+1:], "peer", worker, "code", string(a.Code),
		"reason", a.Message, "phase", string(a.Phase), "took_ms", took.Milliseconds(), "leader", c.tracker.view.Load().target)
}

// callWithRetries attempts an operation until it is answered or the time for retries is
// over.
func (c *Client) callWithRetries(ctx context.Context, op protocol.Operation, began time.Time) jobs.Answer {
	unknown := false
	last := jobs.Answer{Code: jobs.CodeUnavailable, Message: "no leader of the job group is known", RetryAfter: retryAfter}
	c.awaitElection(ctx, began)
	for c.Ready() { // otherwise the tracker looks for a leader, and attempts here would only delay the caller
		a, outcome := c.attempt(ctx, op)
		switch {
		case outcome == answered && a.Code != jobs.CodeUnavailable && a.Code != jobs.CodeUnknown:
			if unknown && saysNotAccepted(op.Name, a.Code) {
				a.Code = jobs.CodeUnknown
			}
			return a
		case outcome == answered:
			last = a
			unknown = unknown || a.Code == jobs.CodeUnknown
		case outcome == outcomeUnknown:
			unknown = true
		case outcome == undelivered:
			last.Message = "the leader of the job group could not be reached"
		}
		timeout := redirectTimeout
		if unknown {
			timeout = unknownOutcomeTimeout(ctx, began)
		}
		if outcome == redirected {
			continue
		}
		elected := c.awaitElection(ctx, began)
		if !elected && time.Since(began) >= timeout || !sleepContext(ctx, attemptDelay) {
			break
		}
	}
	if unknown {
		return jobs.Answer{Code: jobs.CodeUnknown, Message: "the leader did not answer in time"}
	}
	return last
}

// saysNotAccepted reports whether a code means that a call was not accepted, which holds for one attempt
// only: an earlier one may have been, with a key that was withdrawn or for a queue that was removed since.
func saysNotAccepted(op protocol.OperationName, c jobs.Code) bool {
	switch c {
	case jobs.CodeRefused, jobs.CodeUnauthenticated, jobs.CodeForbidden:
		return true
	case jobs.CodeNoQueue, jobs.CodeInvalid:
		return op == protocol.OpJobSubmit // other calls store nothing that depends on the queue
	}
	return false
}

// awaitElection waits, without calling any member, while an election is in progress. It
// reports whether it waited and a leader was elected.
func (c *Client) awaitElection(ctx context.Context, began time.Time) bool {
	waited := false
	for c.tracker.view.Load().electionInProgress && time.Since(began) < electionTimeout && sleepContext(ctx, attemptDelay) {
		waited = true
	}
	return waited && c.Ready()
}

// unknownOutcomeTimeout returns how long a call with an unknown outcome is retried,
// counted from its start: a share of the caller's timeout, or attemptTimeout if the caller
// has none.
func unknownOutcomeTimeout(ctx context.Context, began time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return time.Duration(unknownOutcomeShare * float64(deadline.Sub(began)))
}

// outcome is the result of one attempt.
type outcome uint8

const (
	answered       outcome = iota
	redirected             // not used: attempt follows a redirect itself
	undelivered            // no member performed the operation
	outcomeUnknown         // the operation may have taken effect
)

// attempt performs an operation at the member that the tracker names and follows at most
// one redirect.
func (c *Client) attempt(ctx context.Context, op protocol.Operation) (jobs.Answer, outcome) {
	target := c.tracker.view.Load().target
	if target == "" {
		return jobs.Answer{}, undelivered
	}
	res, err := c.forward(ctx, target, op)
	switch {
	case err != nil:
		c.tracker.failed(target)
		c.logger.Info("a call was not answered", "step", string(op.Name), "peer", target, "error", err.Error())
		if isDialError(err) {
			return jobs.Answer{}, undelivered
		}
		return jobs.Answer{}, outcomeUnknown
	case res.RedirectAddress != "":
		c.tracker.redirected(target, res.RedirectAddress)
		res, err = c.forward(ctx, res.RedirectAddress, op)
		if err != nil {
			return jobs.Answer{}, outcomeUnknown
		}
		if res.RedirectAddress != "" {
			return jobs.Answer{}, undelivered
		}
	}
	if res.Code != "" {
		c.tracker.notLeader(target)
		return jobs.Answer{}, undelivered
	}
	a, err := protocol.DecodeJobAnswer(res)
	if err != nil {
		c.logger.Warn("the answer of a member cannot be decoded", "step", string(op.Name), "peer", target, "error", err.Error())
		return jobs.Answer{}, outcomeUnknown
	}
	return a, answered
}

func (c *Client) forward(ctx context.Context, target string, op protocol.Operation) (protocol.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if target == c.self && c.local != nil {
		return c.local(ctx, op), nil
	}
	return c.peers.Forward(ctx, target, op)
}

// isDialError reports whether a call failed because no connection could be made, so that
// nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sleepContext waits for d. It reports false if ctx ended first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendHeartbeat returns a function that sends a heartbeat to a member and passes the
// result to the tracker. Heartbeats register this process at the leader as one that
// forwards calls and can ask for advice.
func (c *Client) sendHeartbeat(name string) func(ctx context.Context, target string) {
	return func(ctx context.Context, target string) {
		op, err := protocol.EncodeJobEvent(jobs.ProcessHeartbeat{Name: name, Address: c.self, Workers: c.contacts.take()})
		if err != nil || target == "" {
			return
		}
		res, err := c.forward(ctx, target, op)
		switch {
		case err != nil:
			c.logger.Info("the leader was not reached", "step", "attend", "peer", target, "error", err.Error())
			c.tracker.failed(target)
		case res.RedirectAddress != "":
			c.tracker.redirected(target, res.RedirectAddress)
		case res.Code != "":
			c.tracker.notLeader(target)
		default:
			a, err := protocol.DecodeJobAnswer(res)
			if err != nil || a.Code != jobs.CodeOK {
				c.tracker.notLeader(target)
				return
			}
			c.epoch.Store(a.Epoch)
			c.tracker.answered(target, a.Members)
		}
	}
}

// maxCallConnections bounds the connections of a gateway to one member. Callers that come while all
// are in use wait for one: each would otherwise cost the leader a descriptor. Members have no such
// limit, since their replication must not wait for calls.
const maxCallConnections = 64

// newPeerTransport returns the transport for calls between processes of the site. maxConnections
// bounds the connections to one process, 0 for no limit.
func newPeerTransport(maxConnections int) *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:     maxConnections,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 32, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

const (
	// dialTimeout bounds a connection attempt. A VM that is powered off does not refuse
	// connections, so only the timeout ends the attempt.
	dialTimeout = 400 * time.Millisecond
	idleTimeout = 60 * time.Second
)
