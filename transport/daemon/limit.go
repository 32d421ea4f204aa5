package daemon

import (
	"net"
	"sync"
)

// limitListener accepts at most n concurrent connections. Further clients wait in the
// listen queue of the operating system.
func limitListener(l net.Listener, n int) *limited {
	return &limited{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limited struct {
	net.Listener
	slots  chan struct{} // holds one element for each open connection
	closed chan struct{} // closed by Close
	once   sync.Once
}

// inUse returns the number of open connections and its limit.
func (l *limited) inUse() (n, most int) { return len(l.slots), cap(l.slots) }

// overloaded reports whether at least three quarters of the connections are in use. Idle
// connections should then be closed, so that other clients, including the checks of the
// load balancer, can still connect.
func (l *limited) overloaded() bool { return 4*len(l.slots) >= 3*cap(l.slots) }

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
