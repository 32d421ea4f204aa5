package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Reason says why a client was refused or its connection closed.
type Reason string

// Reasons.
const (
	ReasonConnections Reason = "too many connections"   // a new connection was closed
	ReasonStalled     Reason = "stalled"                // a connection that made no progress was closed for another one
	ReasonIdle        Reason = "idle"                   // an idle connection was closed for another one
	ReasonMemory      Reason = "too many request bytes" // a request was refused
	ReasonSlowBody    Reason = "slow body"              // a request was refused
)

// Guard bounds the connections of one listener and the requests on them. Its methods may be called
// by several goroutines.
type Guard struct {
	// AnswerTimeout bounds the time from the end of a body until the answer has been read. If it is
	// 0, the server's own timeout holds.
	AnswerTimeout time.Duration

	limit    int
	budget   *Budget
	onRefuse func(Reason)

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewGuard returns a guard for one listener with a number of connections. Request bodies are charged
// to budget. onRefuse is called for each refusal.
func NewGuard(connections int, budget *Budget, onRefuse func(Reason)) *Guard {
	return &Guard{limit: connections, budget: budget, onRefuse: onRefuse, conns: map[*conn]struct{}{}}
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Protect makes a server use the guard. Its listener must come from Listener.
func (g *Guard) Protect(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok {
			x.stateChanged(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

type connKey struct{}

// Listener returns a listener whose connections the guard bounds. While there are too many, it closes
// one that has stalled, or else one that is idle, or else the new one.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := l.guard.add(c); x != nil {
			return x, nil
		}
		_ = c.Close() // nothing was read
	}
}

// add returns a connection in place of c, or nil if there is no room for it.
func (g *Guard) add(c net.Conn) *conn {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(readBufferBytes) // without it the kernel's default applies
		_ = t.SetWriteBuffer(writeBufferBytes)
	}
	x := &conn{Conn: c, guard: g}
	x.setPhase(receivingHeader)
	g.mu.Lock()
	var victim *conn
	var reason Reason
	if len(g.conns) >= g.limit {
		victim, reason = g.victim(time.Now())
		if victim == nil {
			g.mu.Unlock()
			g.onRefuse(ReasonConnections)
			return nil
		}
		delete(g.conns, victim)
	}
	g.conns[x] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // its goroutine ends with an error
		g.onRefuse(reason)
	}
	return x
}

// victim returns the connection to close for another one, or nil: the one that has stalled for
// longest, or else the one that has been idle for longest.
func (g *Guard) victim(now time.Time) (*conn, Reason) {
	var stalled, idle *conn
	var stalledSince, idleSince time.Time
	for c := range g.conns {
		since, phase := c.since()
		switch {
		case phase == isIdle:
			if idle == nil || since.Before(idleSince) {
				idle, idleSince = c, since
			}
		case phase == isServed || now.Sub(since) < stalledAfter:
		case stalled == nil || since.Before(stalledSince):
			stalled, stalledSince = c, since
		}
	}
	if stalled != nil {
		return stalled, ReasonStalled
	}
	return idle, ReasonIdle
}

// closeStalledBody closes the connection whose body has been incomplete for longest, if that is at
// least stalledAfter. It reports whether there was one.
func (g *Guard) closeStalledBody() bool {
	now := time.Now()
	g.mu.Lock()
	var oldest *conn
	var oldestSince time.Time
	for c := range g.conns {
		since, phase := c.since()
		if phase == receivingBody && now.Sub(since) >= stalledAfter && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	delete(g.conns, oldest)
	g.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Conn.Close()
	g.onRefuse(ReasonStalled)
	return true
}

// phase is what a connection waits for.
type phase int64

const (
	receivingHeader phase = iota // the first header
	isIdle                       // another request, or the rest of its header
	receivingBody
	isServed     // the process
	isWriting    // the client reads the answer
	phaseBits    = 3
	phaseBitMask = 1<<phaseBits - 1
)

// conn is a connection of a guarded listener.
type conn struct {
	net.Conn
	guard *Guard
	state atomic.Int64 // phase, and the time since which it lasts in Unix milliseconds
	once  sync.Once
}

func (c *conn) setPhase(p phase) {
	c.state.Store(time.Now().UnixMilli()<<phaseBits | int64(p))
}

func (c *conn) since() (time.Time, phase) {
	v := c.state.Load()
	return time.UnixMilli(v >> phaseBits), phase(v & phaseBitMask)
}

func (c *conn) stateChanged(s http.ConnState) {
	switch s {
	case http.StateIdle:
		c.setPhase(isIdle)
	case http.StateActive:
		c.setPhase(isServed)
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	before := c.state.Load()
	c.setPhase(isWriting)
	n, err := c.Conn.Write(b)
	c.state.Store(before)
	return n, err
}

// CloseWrite closes the sending side, so that a client that still sends can read the answer.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.guard.mu.Lock()
		delete(c.guard.conns, c)
		c.guard.mu.Unlock()
	})
	return err
}
