package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
)

const (
	// submitTimeout bounds how long an entry process tries to route a submission, in
	// addition to the time for which the caller waits for an outcome. A refusal blocks
	// the request's ID for more than twice as long, see docs/design.md 4.1.
	submitTimeout = 25 * time.Second
	// callTimeout is the corresponding limit for all other operations.
	callTimeout = 10 * time.Second
	// retryMin and retryMax bound the delay between attempts while a group has no
	// leader, before jitter is applied. An election takes up to 2 s.
	retryMin = 20 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// maxHops bounds the redirects of one attempt. Leadership may change during a call.
	maxHops = 4
	// forwardTimeout bounds one forwarded attempt, in addition to its wait for an
	// outcome, so that an unresponsive process does not use up the whole time of the
	// call. It also bounds a call that gathers the answers of all failure domains.
	forwardTimeout = 3 * time.Second
	// maxWaitPerAttempt bounds how long one attempt waits for an outcome; a longer wait
	// of a caller is split into several attempts. The connections to a leader that is
	// suspended or partitioned stay open, so a single attempt would get no answer until
	// the caller's whole wait had passed.
	maxWaitPerAttempt = 3 * time.Second
)

// Forwarder sends operations to other processes.
type Forwarder interface {
	// Forward performs op at the process with the given peer address. An error means
	// that it is unknown whether op took effect.
	Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error)
}

// Route performs an operation at the leader of its group, which may be this process, and
// retries while leadership changes. All operations are idempotent. An operation that
// waits for an outcome is split into several attempts, each at the current leader.
func (s *Server) Route(ctx context.Context, op protocol.Operation) protocol.Result {
	maxFailing := callTimeout
	if op.Name == protocol.OpSubmit {
		maxFailing = submitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, maxFailing+op.Wait)
	defer cancel()
	began := time.Now()
	r := routedCall{op: op, began: began, waitUntil: began.Add(op.Wait), failingSince: began, maxFailing: maxFailing, retryDelay: retryMin}
	for {
		res := s.attempt(ctx, r.nextOperation(s.waitsCtx))
		if !res.Retryable() && !r.continuesWaiting(res) {
			return res
		}
		if res.Retryable() && (r.backOffExhausted() || !sleepWithJitter(ctx, r.retryDelay)) {
			return s.giveUp(&r, res)
		}
	}
}

// routedCall is the state of one call of Route.
type routedCall struct {
	op           protocol.Operation
	began        time.Time
	waitUntil    time.Time        // end of the caller's wait
	failingSince time.Time        // time since which no process has answered
	maxFailing   time.Duration    // longest time for which attempts may fail
	retryDelay   time.Duration    // delay before the next attempt after a failure
	lastPending  *protocol.Result // last answer with an outcome that is not final; nil if none
}

// nextOperation returns the operation for the next attempt, with its current age and the
// wait for this attempt. Once waitsCtx is done, it no longer waits for an outcome.
func (r *routedCall) nextOperation(waitsCtx context.Context) protocol.Operation {
	op := r.op
	op.Age += time.Since(r.began)
	op.Wait = max(0, min(time.Until(r.waitUntil), maxWaitPerAttempt))
	if waitsCtx.Err() != nil {
		op.Wait, r.waitUntil = 0, r.began
	}
	return op
}

// continuesWaiting reports whether the outcome is not final and the caller still waits
// for it. It turns an accepted submission into a lookup.
func (r *routedCall) continuesWaiting(res protocol.Result) bool {
	if res.Status != http.StatusAccepted || !time.Now().Before(r.waitUntil) {
		return false
	}
	r.lastPending, r.failingSince, r.retryDelay = &res, time.Now(), retryMin
	if r.op.Name == protocol.OpSubmit {
		r.op.Name, r.op.Body = protocol.OpLookup, nil
	}
	return true
}

// backOffExhausted doubles the delay before the next attempt, up to retryMax. It reports
// whether attempts have failed for longer than maxFailing, or an earlier attempt returned
// an outcome that is not final and the caller's wait has ended.
func (r *routedCall) backOffExhausted() bool {
	r.retryDelay = min(2*r.retryDelay, retryMax)
	return time.Since(r.failingSince) > r.maxFailing || r.lastPending != nil && time.Now().After(r.waitUntil)
}

// attempt performs an operation at this process and follows redirects, at most maxHops,
// until a process answers without one.
func (s *Server) attempt(ctx context.Context, op protocol.Operation) protocol.Result {
	res := s.Perform(ctx, op)
	for hop := 0; res.RedirectName != ""; hop++ {
		if hop == maxHops {
			return s.fail(op, &protocol.Error{Code: protocol.CodeUnavailable, Message: "leadership is changing"})
		}
		name := res.RedirectName
		var err error
		res, err = s.forward(ctx, res.RedirectAddress, op)
		if err != nil {
			return s.fail(op, &protocol.Error{Code: protocol.CodeUnavailable, Message: err.Error(), Peer: name})
		}
	}
	return res
}

func (s *Server) forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error) {
	if address == s.peerAddress {
		return s.Perform(ctx, op), nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout+op.Wait)
	defer cancel()
	return s.forwarder.Forward(ctx, address, op)
}

// giveUp returns the result of a call for which no leader could be reached in time. Once
// the request was reported as accepted, this is its last known status. Otherwise, a call
// that changes state has an unknown outcome, since an attempt may have taken effect.
func (s *Server) giveUp(r *routedCall, last protocol.Result) protocol.Result {
	if r.lastPending != nil {
		return *r.lastPending
	}
	if r.op.Name != protocol.OpSubmit && r.op.Name != protocol.OpCancel && r.op.Name != protocol.OpConfigure {
		return last
	}
	return s.fail(r.op, &protocol.Error{
		Code:         protocol.CodeUnknownOutcome,
		Message:      "the owner could not be reached in time: the outcome is not known, send the same call again later",
		RetryAfterMS: 1000,
	})
}

// sleepWithJitter waits for 0.5 to 1.5 times d. It reports false if ctx ended first. The
// jitter prevents calls that failed together from being retried together.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
