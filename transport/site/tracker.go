package site

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/primrosereach/primrosereach/coordination/gateway"
)

// view is what traffic goroutines see of the router.
type view struct {
	target string // member to ask
	leader bool   // target is believed to lead
	ready  bool

	electing bool // members are about to elect a leader
}

// tracker is the control goroutine of a process's router. Traffic goroutines read its
// view and report what they learned.
type tracker struct {
	router *gateway.Router
	start  time.Time
	view   atomic.Pointer[view]
	notes  chan func(now time.Duration)
	attend func(ctx context.Context, target string) // calls the leader and reports the result
}

// noteBuffer bounds the reports that wait. Further ones are dropped: the next call
// learns the same.
const noteBuffer = 256

// attendTimeout bounds one call to the leader.
const attendTimeout = 400 * time.Millisecond

func newTracker(seeds []string) *tracker {
	t := &tracker{router: gateway.New(seeds), start: time.Now(), notes: make(chan func(time.Duration), noteBuffer)}
	t.publish()
	return t
}

func (t *tracker) now() time.Duration { return time.Since(t.start) }

func (t *tracker) publish() {
	now := t.now()
	t.view.Store(&view{target: t.router.Target(now), leader: t.router.Leader() != "", ready: t.router.Ready(now), electing: t.router.ElectionInProgress(now)})
}

// note hands a report to the control goroutine without waiting for it.
func (t *tracker) note(f func(now time.Duration)) {
	select {
	case t.notes <- f:
	default:
	}
}

func (t *tracker) failed(member string) {
	t.note(func(now time.Duration) { t.router.Failed(now, member) })
}

func (t *tracker) notLeader(member string) {
	t.note(func(now time.Duration) { t.router.NotLeader(now, member) })
}

func (t *tracker) redirected(from, leader string) {
	t.note(func(time.Duration) { t.router.Redirected(from, leader) })
}

func (t *tracker) answered(leader string, members []string) {
	t.note(func(now time.Duration) { t.router.Answered(now, leader, members) })
}

// run keeps contact to the leader until ctx ends.
func (t *tracker) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := make(chan struct{}, 1)
	calling := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.notes:
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
				call, cancel := context.WithTimeout(ctx, attendTimeout)
				t.attend(call, target)
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
