package httpapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primrosereach/primrosereach/protocol"
)

const (
	// submitTimeout is how long an entry process holds a submission. A refusal blocks
	// its ID for more than twice as long, see docs/design.md 4.1.
	submitTimeout = 25 * time.Second
	// callTimeout bounds the other calls, without the time for which they wait for an
	// outcome.
	callTimeout = 10 * time.Second
	// retryMin and retryMax bound the delay between attempts while a group has no
	// leader. An election takes up to 2 s.
	retryMin = 20 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// maxHops bounds the redirects of one attempt: leadership may move while a call
	// is under way.
	maxHops = 4
	// forwardTimeout bounds one forwarded attempt, so that a dead process costs a call
	// a moment and not its whole time.
	forwardTimeout = 3 * time.Second
	// waitPart is the part of a caller's wait that is asked of one process at once. A
	// leader that is paused or cut off does not break its connections: without parts,
	// a caller would hear nothing until its whole wait had passed.
	waitPart = 3 * time.Second
)

// Forwarder sends operations to other processes.
type Forwarder interface {
	// Forward performs op at the process of the given peer address. An error means
	// that it is not known whether op took effect.
	Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error)
}

// Route performs an operation here or at the process that owns its subject, and
// tries again while leadership changes. All operations are idempotent. An operation
// that waits is performed in parts, each at the leader of that moment.
func (s *Server) Route(ctx context.Context, op protocol.Operation) protocol.Result {
	hold := callTimeout
	if op.Name == protocol.OpSubmit {
		hold = submitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, hold+op.Wait)
	defer cancel()
	began := time.Now()
	r := route{op: op, began: began, until: began.Add(op.Wait), failing: began, hold: hold, delay: retryMin}
	for {
		res := s.attempt(ctx, r.part(s.ending))
		if !res.Retryable() && !r.goesOn(res) {
			return res
		}
		if res.Retryable() && (r.exhausted() || !pause(ctx, r.delay)) {
			return s.giveUp(&r, res)
		}
	}
}

// route is the state of one call of Route.
type route struct {
	op      protocol.Operation
	began   time.Time
	until   time.Time        // end of the caller's wait
	failing time.Time        // since when no process has answered
	hold    time.Duration    // how long attempts may fail
	delay   time.Duration    // before the next attempt after a failure
	open    *protocol.Result // last answer, if the outcome was not final
}

// part returns the operation of the next attempt. ending ends all waits.
func (r *route) part(ending context.Context) protocol.Operation {
	op := r.op
	op.Age += time.Since(r.began)
	op.Wait = max(0, min(time.Until(r.until), waitPart))
	if ending.Err() != nil {
		op.Wait, r.until = 0, r.began
	}
	return op
}

// goesOn reports whether the outcome is open and the caller still waits for it. A
// submission that was accepted goes on as a lookup.
func (r *route) goesOn(res protocol.Result) bool {
	if res.Status != http.StatusAccepted || !time.Now().Before(r.until) {
		return false
	}
	r.open, r.failing, r.delay = &res, time.Now(), retryMin
	if r.op.Name == protocol.OpSubmit {
		r.op.Name, r.op.Body = protocol.OpLookup, nil
	}
	return true
}

// exhausted reports whether attempts have failed for too long. It doubles the delay.
func (r *route) exhausted() bool {
	r.delay = min(2*r.delay, retryMax)
	return time.Since(r.failing) > r.hold || r.open != nil && time.Now().After(r.until)
}

// attempt follows redirects until a process answers.
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

// giveUp answers a call for which no owner could be reached in time. A submission
// may have been accepted all the same; one that was is not in doubt.
func (s *Server) giveUp(r *route, last protocol.Result) protocol.Result {
	if r.open != nil {
		return *r.open
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

// pause waits for about d. It reports false if ctx ended. The jitter keeps calls
// that failed together from coming back together.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
