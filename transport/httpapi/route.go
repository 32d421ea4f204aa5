package httpapi

import (
	"context"
	"math/rand/v2"
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
)

// Forwarder sends operations to other processes.
type Forwarder interface {
	// Forward performs op at the process of the given peer address. An error means
	// that it is not known whether op took effect.
	Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error)
}

// Route performs an operation here or at the process that owns its subject, and
// tries again while leadership changes. All operations are idempotent.
func (s *Server) Route(ctx context.Context, op protocol.Operation) protocol.Result {
	hold := callTimeout
	if op.Name == protocol.OpSubmit {
		hold = submitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, hold+op.Wait)
	defer cancel()
	began, age, delay := time.Now(), op.Age, retryMin
	for {
		op.Age = age + time.Since(began)
		res := s.attempt(ctx, op)
		if !res.Retryable() {
			return res
		}
		if time.Since(began) > hold || !pause(ctx, delay) {
			return s.exhausted(op, res)
		}
		delay = min(2*delay, retryMax)
	}
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

// exhausted answers a call for which no owner could be reached in time. A
// submission may have been accepted all the same.
func (s *Server) exhausted(op protocol.Operation, last protocol.Result) protocol.Result {
	if op.Name != protocol.OpSubmit && op.Name != protocol.OpCancel && op.Name != protocol.OpConfigure {
		return last
	}
	return s.fail(op, &protocol.Error{
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
