// Package control runs the control goroutine of a process, which alone accesses the
// coordination.Node. All other goroutines send it events and execute its effects.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// eventBuffer is the largest number of events that are queued for the control goroutine.
// Senders block while the queue is full.
const eventBuffer = 4096

// Executor executes effects. It is called by the control goroutine, so it must pass the
// work to other goroutines and return at once.
type Executor interface {
	Execute(e coordination.Effect)
}

// Loop connects the control goroutine, which calls Run, to all other goroutines, which
// call Send and Call.
type Loop struct {
	// OnStep, if set, is called after each step with the time for which its event was
	// queued and the duration of the step. It must be set before Run.
	OnStep func(queued, took time.Duration)

	events chan queuedEvent
	clock  *clock
	tokens atomic.Uint64
	done   chan struct{} // closed when Run returns

	mu    sync.Mutex
	calls map[coordination.Token]chan coordination.Answer // calls that wait for their reply
}

// queuedEvent is an event with the time at which it was queued.
type queuedEvent struct {
	ev coordination.Event
	at time.Time
}

// NewLoop returns a loop whose clock starts now.
func NewLoop() *Loop {
	return &Loop{
		events: make(chan queuedEvent, eventBuffer),
		clock:  systemClock(),
		done:   make(chan struct{}),
		calls:  map[coordination.Token]chan coordination.Answer{},
	}
}

// QueueLength returns the number of queued events and the capacity of the queue.
func (l *Loop) QueueLength() (n, most int) { return len(l.events), cap(l.events) }

// Clock returns the time of a step that begins now. After Run has been called, only the
// control goroutine may call it.
func (l *Loop) Clock() scheduling.Clock { return l.clock.now() }

// Run steps the node with incoming events and timers until ctx ends. It must be called
// at most once.
func (l *Loop) Run(ctx context.Context, node *coordination.Node, x Executor) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e := queuedEvent{ev: coordination.Tick{}}
		select {
		case <-ctx.Done():
			return
		case e = <-l.events:
		case <-timer.C:
		}
		queued := e.waited()
		began := l.Clock()
		for _, e := range node.Step(began, e.ev) {
			l.execute(e, x)
		}
		now := l.Clock().Now
		if l.OnStep != nil {
			l.OnStep(queued, now-began.Now)
		}
		timer.Reset(max(0, node.NextTick()-now))
	}
}

// waited returns the time for which the event has been queued, 0 for a tick.
func (e *queuedEvent) waited() time.Duration {
	if e.at.IsZero() {
		return 0
	}
	return time.Since(e.at)
}

func (l *Loop) execute(e coordination.Effect, x Executor) {
	r, ok := e.(coordination.Reply)
	if !ok {
		x.Execute(e)
		return
	}
	l.mu.Lock()
	c := l.calls[r.Token]
	delete(l.calls, r.Token)
	l.mu.Unlock()
	if c != nil {
		c <- r.Answer // never blocks: the channel is buffered and gets one answer
	}
}

// Send queues an event for the control goroutine and blocks while the queue is full. It
// reports false if ctx or the loop ended first.
func (l *Loop) Send(ctx context.Context, ev coordination.Event) bool {
	select {
	case l.events <- queuedEvent{ev, time.Now()}:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

// Call sends the event that build returns for a new token and waits for the reply. It
// reports false if ctx or the loop ended first; it is then unknown whether the event
// takes effect.
func (l *Loop) Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool) {
	token := coordination.Token(l.tokens.Add(1))
	c := make(chan coordination.Answer, 1)
	l.mu.Lock()
	l.calls[token] = c
	l.mu.Unlock()
	if !l.Send(ctx, build(token)) {
		l.removeCall(token)
		return coordination.Answer{}, false
	}
	select {
	case a := <-c:
		return a, true
	case <-ctx.Done():
	case <-l.done:
		return coordination.Answer{}, false
	}
	if l.removeCall(token) {
		l.Send(context.Background(), coordination.CallerDisconnected{Token: token})
	}
	select {
	case a := <-c: // the reply arrived at the same time
		return a, true
	default:
		return coordination.Answer{}, false
	}
}

// removeCall removes a call and reports whether it was still waiting for its reply.
func (l *Loop) removeCall(t coordination.Token) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, waiting := l.calls[t]
	delete(l.calls, t)
	return waiting
}
