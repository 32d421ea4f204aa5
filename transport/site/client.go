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
	// attemptTimeout bounds one attempt of a call, so that a member that is cut off
	// costs a call a moment and not its whole time.
	attemptTimeout = 700 * time.Millisecond
	// electionPatience is how long a call that has not been delivered waits while members
	// elect a leader. That takes less than the pause after a refusal.
	electionPatience = 900 * time.Millisecond
	// redirectPatience is the same while none does: it covers a redirect to a new leader.
	// Callers have other gateways to try, and waiting takes from the time in which they can.
	redirectPatience = 60 * time.Millisecond
	// unknownShare is the share of a caller's time after which a call whose outcome is not
	// known is answered as such. The rest is left for sending it again.
	unknownShare = 0.4
	// retryAfter is what callers are told while there is no leader: an election takes less,
	// and they give up a few seconds after their first try, so longer pauses lose them.
	retryAfter = time.Second
	// attemptPause is the pause after a failed attempt.
	attemptPause = 30 * time.Millisecond
)

// Forwarder sends operations to other processes.
type Forwarder interface {
	Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error)
}

// Client performs calls at the leader of the job group.
type Client struct {
	self     string // peer address of this process
	tracker  *tracker
	peers    Forwarder
	local    func(ctx context.Context, op protocol.Operation) protocol.Result // nil on a gateway
	logger   hclog.Logger
	called   func(operation string, code jobs.Code, took time.Duration)
	maxStale time.Duration // that the answer about a queue may be late, 0 for no limit

	document atomic.Pointer[job.Configuration] // last one read, to be sent only once
}

// Ready reports whether the process is in contact with the leader.
func (c *Client) Ready() bool { return c.tracker.ready() }

// Call performs an event at the leader, whichever member that is, until ctx ends. All
// events are idempotent, so an attempt whose outcome is not known is repeated. The
// answer says "unavailable" or "refused" only if no attempt can have taken effect.
func (c *Client) Call(ctx context.Context, ev jobs.Event) jobs.Answer {
	known := c.document.Load()
	if e, ok := ev.(jobs.ReadConfiguration); ok && known != nil {
		e.KnownVersion = known.Version
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
	a := c.repeat(ctx, op, began)
	if isQueueLookup(ev) && a.Code == jobs.CodeUnknown {
		a = jobs.Answer{Code: jobs.CodeUnavailable, Message: a.Message, RetryAfter: retryAfter} // it changes nothing
	}
	a.Configuration = c.withDocument(a.Configuration, known)
	took := time.Since(began)
	c.called(string(op.Name), a.Code, took)
	c.logCall(ev, op, a, took)
	return a
}

// withDocument completes an answer that leaves out the known document, and remembers a
// new one.
func (c *Client) withDocument(answer, known *job.Configuration) *job.Configuration {
	switch {
	case answer == nil:
		return nil
	case known != nil && answer.Version == known.Version:
		return known
	}
	c.document.Store(answer)
	return answer
}

// isQueueLookup reports whether a call asks about a queue as a whole. Its answer tells
// which configuration is in force. One that is held while the leader changes would be
// answered under a newer configuration than calls that were sent later, which looks as
// if the process had gone back to an older one.
func isQueueLookup(ev jobs.Event) bool {
	e, ok := ev.(jobs.Lookup)
	return ok && strings.HasSuffix(e.Path, "/")
}

// logCall writes a line for each call about a job that did not succeed, and for each
// accepted job.
func (c *Client) logCall(ev jobs.Event, op protocol.Operation, a jobs.Answer, took time.Duration) {
	var path string
	switch e := ev.(type) {
	case jobs.Submit:
		path = e.Path
	case jobs.Lookup:
		path = e.Path
	case jobs.Cancel:
		path = e.Path
	default:
		if a.Code == jobs.CodeOK {
			return
		}
	}
	if _, isLookup := ev.(jobs.Lookup); isLookup && a.Code == jobs.CodeOK {
		return
	}
	c.logger.Info("answered a call", "step", string(op.Name), "request", path[strings.LastIndex(path, "/")+1:], "code", string(a.Code),
		"reason", a.Message, "phase", string(a.Phase), "took_ms", took.Milliseconds(), "leader", c.tracker.view.Load().target)
}

// repeat attempts an operation until it is answered or its patience ends.
func (c *Client) repeat(ctx context.Context, op protocol.Operation, began time.Time) jobs.Answer {
	unknown := false
	last := jobs.Answer{Code: jobs.CodeUnavailable, Message: "no leader of the job group is known", RetryAfter: retryAfter}
	c.awaitElection(ctx, began)
	for c.Ready() { // else the tracker looks for a leader; trying here would only hold the caller
		a, outcome := c.attempt(ctx, op)
		switch {
		case outcome == answered && a.Code != jobs.CodeUnavailable && a.Code != jobs.CodeUnknown:
			if unknown && a.Code == jobs.CodeRefused {
				a.Code = jobs.CodeUnknown
			}
			return a
		case outcome == answered:
			last = a
			unknown = unknown || a.Code == jobs.CodeUnknown
		case outcome == lost:
			unknown = true
		case outcome == undelivered:
			last.Message = "no member of the job group that leads was reached"
		}
		patience := redirectPatience
		if unknown {
			patience = unknownPatience(ctx, began)
		}
		if outcome == redirected {
			continue
		}
		elected := c.awaitElection(ctx, began)
		if !elected && time.Since(began) >= patience || !pause(ctx, attemptPause) {
			break
		}
	}
	if unknown {
		return jobs.Answer{Code: jobs.CodeUnknown, Message: "the leader did not answer in time"}
	}
	return last
}

// awaitElection waits while members elect a leader, without calling them, and reports
// whether one was elected meanwhile.
func (c *Client) awaitElection(ctx context.Context, began time.Time) bool {
	waited := false
	for c.tracker.view.Load().electing && time.Since(began) < electionPatience && pause(ctx, attemptPause) {
		waited = true
	}
	return waited && c.Ready()
}

// unknownPatience returns how long a call whose outcome is not known is repeated.
func unknownPatience(ctx context.Context, began time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return time.Duration(unknownShare * float64(deadline.Sub(began)))
}

type outcome uint8

const (
	answered    outcome = iota
	redirected          // another member was named
	undelivered         // nothing was done
	lost                // it is not known whether anything was done
)

// attempt performs an operation once.
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
		return jobs.Answer{}, lost
	case res.RedirectAddress != "":
		c.tracker.redirected(target, res.RedirectAddress)
		res, err = c.forward(ctx, res.RedirectAddress, op)
		if err != nil {
			return jobs.Answer{}, lost
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
		c.logger.Warn("an answer cannot be read", "step", string(op.Name), "peer", target, "error", err.Error())
		return jobs.Answer{}, lost
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

// isDialError reports whether a call failed before anything was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attend tells the leader that this process forwards calls and can ask for advice.
func (c *Client) attend(name string) func(ctx context.Context, target string) {
	return func(ctx context.Context, target string) {
		op, err := protocol.EncodeJobEvent(jobs.ProcessHeartbeat{Name: name, Address: c.self})
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
			c.tracker.answered(target, a.Members)
		}
	}
}

// newPeerTransport returns the transport for calls between processes of the site.
func newPeerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 32, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

const (
	// dialTimeout bounds a connection attempt. A VM without power does not answer.
	dialTimeout = 400 * time.Millisecond
	idleTimeout = 60 * time.Second
)
