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

// elsewhere is a control goroutine that leads nothing.
type elsewhere struct{}

func (elsewhere) Call(context.Context, func(coordination.Token) coordination.Event) (coordination.Answer, bool) {
	return coordination.Answer{Code: coordination.CodeRedirect, Redirect: &coordination.Redirect{Name: "b", Address: "b:1"}}, true
}

// leader is a process that answers forwarded operations.
type leader func(ctx context.Context, op protocol.Operation) (protocol.Result, error)

func (f leader) Forward(ctx context.Context, _ string, op protocol.Operation) (protocol.Result, error) {
	return f(ctx, op)
}

var (
	running = protocol.Result{Status: http.StatusAccepted, Body: []byte("running")}
	done    = protocol.Result{Status: http.StatusOK, Body: []byte("done")}
)

func silent(ctx context.Context) (protocol.Result, error) {
	<-ctx.Done()
	return protocol.Result{}, ctx.Err()
}

func waits(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
	select {
	case <-time.After(op.Wait):
		return running, nil
	case <-ctx.Done():
		return protocol.Result{}, ctx.Err()
	}
}

// routeIn performs an operation with the given leader in virtual time.
func routeIn(t *testing.T, name protocol.OperationName, wait, endWaits time.Duration, f func(began time.Time) leader) (res protocol.Result, took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := New(Config{Name: "a", PeerAddress: "a:1", Loop: elsewhere{}, Forwarder: f(began), Timeout: time.Minute})
		if endWaits > 0 {
			time.AfterFunc(endWaits, s.CancelWaits)
		}
		op := protocol.Operation{Name: name, Target: "north.1.1", Wait: wait, Body: []byte(`{"kind":"k"}`)}
		res, took = s.Route(t.Context(), op), time.Since(began)
	})
	return res, took
}

// A caller that waits must hear the outcome from the successor soon after the leader
// fell silent, however late in its wait that happens.
func TestWaitOutlivesItsLeader(t *testing.T) {
	res, took := routeIn(t, protocol.OpLookup, 30*time.Second, 0, func(began time.Time) leader {
		return func(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
			switch at := time.Since(began); {
			case at < 14*time.Second:
				return waits(ctx, op)
			case at < 16*time.Second:
				return silent(ctx)
			default:
				return done, nil
			}
		}
	})
	if string(res.Body) != "done" || took > 25*time.Second {
		t.Errorf("after %v: status %d: %s", took, res.Status, res.Body)
	}
}

// A caller whose submission was accepted must not be told that nothing was done, or
// that the outcome is in doubt, because the leader is lost afterwards.
func TestAcceptedSubmissionIsNotInDoubt(t *testing.T) {
	res, _ := routeIn(t, protocol.OpSubmit, 20*time.Second, 0, func(began time.Time) leader {
		return func(ctx context.Context, op protocol.Operation) (protocol.Result, error) {
			ctx, cancel := context.WithDeadline(ctx, began.Add(5*time.Second)) // the leader dies
			defer cancel()
			return waits(ctx, op)
		}
	})
	if string(res.Body) != "running" {
		t.Errorf("status %d: %s", res.Status, res.Body)
	}
}

// A process that stops must tell its waiting callers the current outcome.
func TestEndWaits(t *testing.T) {
	res, took := routeIn(t, protocol.OpLookup, 30*time.Second, 5*time.Second, func(time.Time) leader { return waits })
	if string(res.Body) != "running" || took > 10*time.Second {
		t.Errorf("after %v: status %d: %s", took, res.Status, res.Body)
	}
}
