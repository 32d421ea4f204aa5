// Package control runs the control goroutine of a process. It alone owns the
// coordination.Node; all other goroutines send it events and carry out its
// effects.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
)

// eventBuffer bounds the events that wait for the control goroutine. Goroutines
// that carry traffic block when it is full.
const eventBuffer = 4096

// Executor carries out effects. Its methods are called by the control goroutine,
// so they must hand the work on and return at once.
type Executor interface {
	Execute(e coordination.Effect)
}

// Loop connects the control goroutine to the goroutines that carry traffic.
type Loop struct {
	// Stepped, if set, is told how long each step took. It is set before Run.
	Stepped func(time.Duration)

	events chan coordination.Event
	clock  *clock
	tokens atomic.Uint64
	done   chan struct{}

	mu    sync.Mutex
	calls map[coordination.Token]chan coordination.Answer
}

// NewLoop returns a loop whose clock starts now.
func NewLoop() *Loop {
	return &Loop{
		events: make(chan coordination.Event, eventBuffer),
		clock:  systemClock(),
		done:   make(chan struct{}),
		calls:  map[coordination.Token]chan coordination.Answer{},
	}
}

// Waiting returns the number of events that wait, and their bound.
func (l *Loop) Waiting() (n, most int) { return len(l.events), cap(l.events) }

// Clock returns the time of a step that begins now. After Run has been called only the
// control goroutine may use it.
func (l *Loop) Clock() scheduling.Clock { return l.clock.now() }

// Run steps the node until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context, node *coordination.Node, x Executor) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev coordination.Event
		select {
		case <-ctx.Done():
			return
		case ev = <-l.events:
		case <-timer.C:
			ev = coordination.Tick{}
		}
		began := l.Clock()
		for _, e := range node.Step(began, ev) {
			l.execute(e, x)
		}
		now := l.Clock().Now
		if l.Stepped != nil {
			l.Stepped(now - began.Now)
		}
		timer.Reset(max(0, node.NextWake()-now))
	}
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
		c <- r.Answer // has room for the only answer
	}
}

// Send hands an event to the control goroutine. It reports false if ctx or the
// loop ended first.
func (l *Loop) Send(ctx context.Context, ev coordination.Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

// Call sends the event that build makes for a token and waits for the reply. It
// reports false if ctx or the loop ended first: whether the event takes effect is
// then not known.
func (l *Loop) Call(ctx context.Context, build func(coordination.Token) coordination.Event) (coordination.Answer, bool) {
	token := coordination.Token(l.tokens.Add(1))
	c := make(chan coordination.Answer, 1)
	l.mu.Lock()
	l.calls[token] = c
	l.mu.Unlock()
	if !l.Send(ctx, build(token)) {
		l.forget(token)
		return coordination.Answer{}, false
	}
	select {
	case a := <-c:
		return a, true
	case <-ctx.Done():
	case <-l.done:
		return coordination.Answer{}, false
	}
	if l.forget(token) {
		l.Send(context.Background(), coordination.CallerDisconnected{Token: token})
	}
	select {
	case a := <-c: // the reply came at the same moment
		return a, true
	default:
		return coordination.Answer{}, false
	}
}

// forget reports whether the call was still waiting.
func (l *Loop) forget(t coordination.Token) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, waiting := l.calls[t]
	delete(l.calls, t)
	return waiting
}
