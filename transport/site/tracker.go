package site

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosereach/primrosereach/coordination/gateway"
)

// view is a snapshot of the router's state for traffic goroutines.
type view struct {
	target string // address of the member to call
	leader bool   // target is presumed to be the leader
	ready  bool   // the process can serve callers

	electionInProgress bool // calls should wait until the members have elected a leader
}

// tracker owns the router of a process, which it uses on one goroutine only. Traffic
// goroutines read the published view and enqueue updates for the router.
type tracker struct {
	router        *gateway.Router
	start         time.Time
	view          atomic.Pointer[view]
	updateQueue   chan func(now time.Duration)
	sendHeartbeat func(ctx context.Context, target string) // sends a heartbeat to the member at target and enqueues the result
}

// updateBuffer bounds the queued updates. Further ones are dropped, since the next call
// produces an equivalent update.
const updateBuffer = 256

// heartbeatTimeout bounds the wait for the answer to one heartbeat.
const heartbeatTimeout = 400 * time.Millisecond

func newTracker(seeds []string) *tracker {
	t := &tracker{router: gateway.New(seeds), start: time.Now(), updateQueue: make(chan func(time.Duration), updateBuffer)}
	t.publish()
	return t
}

func (t *tracker) now() time.Duration { return time.Since(t.start) }

func (t *tracker) publish() {
	now := t.now()
	t.view.Store(&view{target: t.router.Target(now), leader: t.router.Leader() != "", ready: t.router.Ready(now), electionInProgress: t.router.ElectionInProgress(now)})
}

// enqueueUpdate queues an update of the router for the tracker's goroutine. It never
// blocks.
func (t *tracker) enqueueUpdate(f func(now time.Duration)) {
	select {
	case t.updateQueue <- f:
	default:
	}
}

func (t *tracker) failed(member string) {
	t.enqueueUpdate(func(now time.Duration) { t.router.Failed(now, member) })
}

func (t *tracker) notLeader(member string) {
	t.enqueueUpdate(func(now time.Duration) { t.router.NotLeader(now, member) })
}

func (t *tracker) redirected(from, leader string) {
	t.enqueueUpdate(func(time.Duration) { t.router.Redirected(from, leader) })
}

func (t *tracker) answered(leader string, members []string) {
	t.enqueueUpdate(func(now time.Duration) { t.router.Answered(now, leader, members) })
}

// run applies updates and sends heartbeats to the leader until ctx ends.
func (t *tracker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := make(chan struct{}, 1)
	calling := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.updateQueue:
			f(t.now())
		case <-done:
			calling = false
			pause := gateway.RetryInterval
			if t.router.Leader() != "" && t.router.Ready(t.now()) {
				pause = gateway.HeartbeatInterval
			}
			timer.Reset(pause)
		case <-timer.C:
			if calling {
				continue
			}
			calling = true
			target := t.router.Target(t.now())
			go func() {
				call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
				t.sendHeartbeat(call, target)
				cancel()
				done <- struct{}{}
			}()
		}
		t.publish()
	}
}

// ready reports whether the process can serve callers.
func (t *tracker) ready() bool {
	v := t.view.Load()
	return v.ready && t.router != nil
}
