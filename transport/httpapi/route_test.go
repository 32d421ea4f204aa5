package httpapi

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/protocol"
)

// followerLoop is the control goroutine of a process that leads no group: it redirects
// every call.
type followerLoop struct{}

func (followerLoop) Call(context.Context, func(coordination.Token) coordination.Event) (coordination.Answer, bool) {
	return coordination.Answer{Code: coordination.CodeRedirect, Redirect: &coordination.Redirect{Name: "b", Address: "b:1"}}, true
}

// leaderForwarder is a Forwarder that simulates the process that leads.
type leaderForwarder func(ctx context.Context, op protocol.Operation) (protocol.Result, error)

func (f leaderForwarder) Forward(ctx context.Context, _ string, op protocol.Operation) (protocol.Result, error) {
	return f(ctx, op)
}

var (
	running = protocol.Result{Status: http.StatusAccepted, Body: []byte("running")}
	done    = protocol.Result{Status: http.StatusOK, Body: []byte("done")}
)

func neverAnswers(ctx context.Context) (protocol.Result, error) {
	<-ctx.Done()
	return protocol.Result{}, ctx.Err()
}

func answersAfterWait(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
	select {
	case <-time.After(op.Wait):
		return running, nil
	case <-ctx.Done():
		return protocol.Result{}, ctx.Err()
	}
}

// routeIn performs an operation with the given leader in virtual time.
func routeIn(t *testing.T, name protocol.OperationName, wait, cancelWaitsAfter time.Duration, f func(began time.Time) leaderForwarder) (res protocol.Result, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := New(Config{Name: "a", PeerAddress: "a:1", Loop: followerLoop{}, Forwarder: f(began), Timeout: time.Minute})
		if cancelWaitsAfter > 0 {
			time.AfterFunc(cancelWaitsAfter, s.CancelWaits)
		}
		op := protocol.Operation{Name: name, Target: "north.1.1", Wait: wait, Body: []byte(`{"kind":"k"}`)}
		res, took = s.Route(t.Context(), op), time.Since(began)
	})
	return res, took
}

// Guards against a waiting caller that gets no answer because the leader stops answering
// during the wait. It must get the outcome from the new leader soon afterwards.
func TestWaitSurvivesLeaderFailure(t *testing.T) {
	res, took := routeIn(t, protocol.OpLookup, 30*time.Second, 0, func(began time.Time) leaderForwarder {
		return func(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
			switch at := time.Since(began); {
			case at < 14*time.Second:
				return answersAfterWait(ctx, op)
			case at < 16*time.Second:
				return neverAnswers(ctx)
			default:
				return done, nil
			}
		}
	})
	if string(res.Body) != "done" || took > 25*time.Second {
		t.Errorf("after %v: status %d: %s", took, res.Status, res.Body)
	}
}

// Guards against an accepted submission that is reported as not executed or as unknown
// because the leader fails afterwards.
func TestAcceptedSubmissionHasKnownOutcome(t *testing.T) {
	res, _ := routeIn(t, protocol.OpSubmit, 20*time.Second, 0, func(began time.Time) leaderForwarder {
		return func(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
			ctx, cancel := context.WithDeadline(ctx, began.Add(5*time.Second)) // the leader fails
			defer cancel()
			return answersAfterWait(ctx, op)
		}
	})
	if string(res.Body) != "running" {
		t.Errorf("status %d: %s", res.Status, res.Body)
	}
}

// Guards against a stopping process that leaves its waiting callers without an answer. It
// must answer them with the current outcome.
func TestCancelWaitsAnswersWaitingCallers(t *testing.T) {
	res, took := routeIn(t, protocol.OpLookup, 30*time.Second, 5*time.Second, func(time.Time) leaderForwarder { return answersAfterWait })
	if string(res.Body) != "running" || took > 10*time.Second {
		t.Errorf("after %v: status %d: %s", took, res.Status, res.Body)
	}
}
