package site

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/protocol"
	"github.com/primrosereach/primrosereach/state/job"
)

// forwardFunc is a Forwarder that answers every operation by calling the function.
type forwardFunc func(ctx context.Context, address string) (protocol.Result, error)

func (f forwardFunc) Forward(ctx context.Context, address string, _ protocol.Operation) (protocol.Result, error) {
	return f(ctx, address)
}

func newTestClient(t *testing.T, f forwardFunc) *Client {
	t.Helper()
	c, _ := newTestClientWithContact(t, f)
	return c
}

// newTestClientWithContact returns a client that is ready, and a flag: while it is false,
// heartbeats to the leader fail.
func newTestClientWithContact(t *testing.T, f forwardFunc) (*Client, *atomic.Bool) {
	t.Helper()
	var contact atomic.Bool
	contact.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	c := &Client{
		self: "self", tracker: newTracker([]string{"leader"}), peers: f, logger: hclog.NewNullLogger(),
		observeCall: func(string, jobs.Code, time.Duration) {}, maxStale: 100 * time.Millisecond,
	}
	c.tracker.sendHeartbeat = func(_ context.Context, target string) {
		if contact.Load() {
			c.tracker.answered(target, nil)
		}
	}
	go c.tracker.run(ctx)
	for !c.Ready() {
		time.Sleep(time.Millisecond)
	}
	return c, &contact
}

// hang simulates a member that does not answer.
func hang(ctx context.Context, _ string) (protocol.Result, error) {
	<-ctx.Done()
	return protocol.Result{}, ctx.Err()
}

// Guards against a queue lookup that is held during a leader change and is then answered
// under a newer configuration than calls that were sent later.
func TestQueueLookupIsNotHeld(t *testing.T) {
	c := newTestClient(t, hang)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	began := time.Now()
	a := c.Call(ctx, jobs.Lookup{Host: "h", Path: "/q/"})
	if a.Code != jobs.CodeUnavailable || a.RetryAfter == 0 {
		t.Errorf("answer %+v; want a refusal with a retry delay", a)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the call took %v, the bound is 100 ms", took)
	}
}

// Guards against a submission that is reported as refused although a member may have
// stored it: the first attempt is not answered, the second one is refused.
func TestLostSubmissionIsUnknown(t *testing.T) {
	for _, code := range []jobs.Code{jobs.CodeRefused, jobs.CodeUnauthenticated, jobs.CodeForbidden, jobs.CodeNoQueue, jobs.CodeInvalid} {
		t.Run(string(code), func(t *testing.T) { testLostSubmission(t, code) })
	}
}

// testLostSubmission submits a job whose first attempt is lost and whose second one is rejected.
func testLostSubmission(t *testing.T, code jobs.Code) {
	refused, err := json.Marshal(map[string]any{"code": code})
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	c := newTestClient(t, func(ctx context.Context, address string) (protocol.Result, error) {
		calls++
		if calls == 1 {
			return hang(ctx, address)
		}
		return protocol.Result{Body: refused}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if a := c.Call(ctx, jobs.Submit{Host: "h", Path: "/q/1"}); a.Code != jobs.CodeUnknown {
		t.Errorf("answer %+v after %d attempts; the first one may have been executed", a, calls)
	}
}

// Guards against a call that is answered as unknown although the answer to its second attempt holds for the
// first one as well: the queue of a lookup or a cancel does not exist.
func TestAnswerAboutAQueueHoldsForALostCall(t *testing.T) {
	for name, ev := range map[string]jobs.Event{"lookup": jobs.Lookup{Host: "h", Path: "/q/1"}, "cancel": jobs.Cancel{Host: "h", Path: "/q/1"}} {
		calls := 0
		c := newTestClient(t, func(ctx context.Context, address string) (protocol.Result, error) {
			if calls++; calls == 1 {
				return hang(ctx, address)
			}
			return protocol.EncodeJobAnswer(jobs.Answer{Code: jobs.CodeNoQueue})
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if a := c.Call(ctx, ev); a.Code != jobs.CodeNoQueue {
			t.Errorf("%s: answer %+v after %d attempts", name, a, calls)
		}
	}
}

// Guards against a submission that is retried until its timeout although no attempt was
// sent.
func TestUndeliveredSubmissionIsRefusedAtOnce(t *testing.T) {
	c := newTestClient(t, func(context.Context, string) (protocol.Result, error) {
		return protocol.Result{}, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	a := c.Call(ctx, jobs.Submit{Host: "h", Path: "/q/1"})
	if a.Code != jobs.CodeUnavailable || a.RetryAfter == 0 || time.Since(began) > time.Second {
		t.Errorf("answer %+v after %v", a, time.Since(began))
	}
}

// Guards against a large configuration that is sent again for each read, and against an
// answer with the document of an older version.
func TestConfigurationIsSentOnce(t *testing.T) {
	version, sent := int64(3), 0
	c := newTestClient(t, nil)
	c.self, c.local = "leader", func(_ context.Context, op protocol.Operation) protocol.Result {
		ev, err := protocol.DecodeJobEvent(op, 1)
		if err != nil {
			t.Fatal(err)
		}
		answer := job.Configuration{Version: version}
		if ev.(jobs.ReadConfiguration).KnownVersion != version {
			sent++
			answer.Document = []byte{byte(version)}
		}
		res, err := protocol.EncodeJobAnswer(jobs.Answer{Code: jobs.CodeOK, Configuration: &answer})
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	for _, version = range []int64{3, 3, 4, 4, 4} {
		a := c.Call(t.Context(), jobs.ReadConfiguration{})
		if a.Configuration == nil || a.Configuration.Version != version || string(a.Configuration.Document) != string([]byte{byte(version)}) {
			t.Errorf("version %d: %+v", version, a.Configuration)
		}
	}
	if sent != 2 {
		t.Errorf("two documents were sent %d times", sent)
	}
}

// Guards against a gateway that holds a call before it refuses it although it has had no
// contact with the leader for some time. The caller could have tried another gateway.
func TestGatewayWithoutContactRefusesAtOnce(t *testing.T) {
	c, contact := newTestClientWithContact(t, hang)
	contact.Store(false)
	for c.Ready() {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	a := c.Call(t.Context(), jobs.Submit{Host: "h", Path: "/q/1"})
	if took := time.Since(began); a.Code != jobs.CodeUnavailable || a.RetryAfter == 0 || took > 50*time.Millisecond {
		t.Errorf("answer %+v after %v", a, took)
	}
}

// Guards against a call with an unknown outcome that is held until its caller gives up
// while no member answers. The caller needs the rest of its time to retry.
func TestUnknownOutcomeLeavesTimeToSendAgain(t *testing.T) {
	c := newTestClient(t, hang)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	a := c.Call(ctx, jobs.Submit{Host: "h", Path: "/q/1"})
	if took := time.Since(began); a.Code != jobs.CodeUnknown || took > 1500*time.Millisecond {
		t.Errorf("answer %+v after %v; want it within 1.5 s, half of the caller's timeout", a, took)
	}
}

// epochForwarder answers heartbeats with an epoch, and leaves the first attempts of submissions unanswered.
type epochForwarder struct {
	epoch    int64   // named in the next answer to a heartbeat
	lost     int     // attempts of submissions that are left unanswered
	received []int64 // epochs of the submissions
}

// Forward implements Forwarder.
func (f *epochForwarder) Forward(ctx context.Context, address string, op protocol.Operation) (protocol.Result, error) {
	ev, err := protocol.DecodeJobEvent(op, 1)
	if err != nil {
		return protocol.Result{}, err
	}
	e, ok := ev.(jobs.Submit)
	if !ok {
		return protocol.EncodeJobAnswer(jobs.Answer{Code: jobs.CodeOK, Epoch: f.epoch})
	}
	f.received = append(f.received, e.Epoch)
	if f.lost--; f.lost >= 0 {
		return hang(ctx, address)
	}
	return protocol.EncodeJobAnswer(jobs.Answer{Code: jobs.CodeOK, Phase: job.Queued})
}

// Guards against a late copy of a submission that the leader takes for a new one: each attempt of a call
// has to carry the epoch that was known when the call began.
func TestAttemptsOfASubmissionCarryTheEpochOfItsStart(t *testing.T) {
	f := &epochForwarder{epoch: 4, lost: 1}
	c := newTestClient(t, nil)
	c.peers = f
	heartbeat := c.sendHeartbeat("self")
	heartbeat(t.Context(), "leader")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	time.AfterFunc(attemptTimeout/2, func() { c.epoch.Store(5) }) // a heartbeat between the attempts
	if a := c.Call(ctx, jobs.Submit{Host: "h", Path: "/q/1"}); a.Code != jobs.CodeOK {
		t.Errorf("answer %+v", a)
	}
	if a := c.Call(ctx, jobs.Submit{Host: "h", Path: "/q/2"}); a.Code != jobs.CodeOK {
		t.Errorf("answer %+v", a)
	}
	if want := []int64{4, 4, 5}; !slices.Equal(f.received, want) {
		t.Errorf("submissions carry the epochs %v, want %v", f.received, want)
	}
}
