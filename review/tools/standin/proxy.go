package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes connections to a runner on. It can hold one order back: the bytes of that
// connection reach the runner later, and what it answers reaches nobody.
type Proxy struct {
	mu       sync.Mutex
	rec      *Record
	listener net.Listener
	target   string
	hold     []byte        // an order that contains these bytes is held back, nil for none
	delay    time.Duration // for which it is held back
	Held     int           // orders that were held back
	Orders   int           // requests that were passed on or held back
}

// NewProxy starts a proxy without a target.
func NewProxy(rec *Record) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{rec: rec, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// SetTarget sets the address to which new connections are passed on.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// HoldNext holds back the next order that contains some text.
func (p *Proxy) HoldNext(text string, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold, p.delay = []byte(text), delay
}

func (p *Proxy) dial() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.DialTimeout("tcp", target, time.Second)
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	up, err := p.dial()
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		_, _ = io.Copy(c, up) // ends with either connection
		c.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 && p.isHeld(buf[:n]) {
			p.late(bytes.Clone(buf[:n]))
			_, _ = io.Copy(io.Discard, c) // until the caller gives up
			return
		}
		if n > 0 {
			if _, err := up.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isHeld reports whether an order is held back.
func (p *Proxy) isHeld(b []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Orders += bytes.Count(b, []byte("POST /"))
	if p.hold == nil || !bytes.Contains(b, p.hold) {
		return false
	}
	p.hold = nil
	p.Held++
	return true
}

// late delivers an order after the delay, to whatever life of the runner is then at the address.
func (p *Proxy) late(b []byte) {
	p.rec.Printf("disruption: an order gets no answer and is carried out %v later: %q", p.delay, b)
	time.AfterFunc(p.delay, func() {
		up, err := p.dial()
		if err != nil {
			p.rec.Printf("the late order is lost: %v", err)
			return
		}
		defer up.Close()
		p.rec.Printf("the late order arrives")
		_, _ = up.Write(b)
		_ = up.SetReadDeadline(time.Now().Add(time.Second))
		answer := make([]byte, 4096)
		n, _ := up.Read(answer)
		p.rec.Printf("its answer, which nobody gets: %q", answer[:n])
	})
}
