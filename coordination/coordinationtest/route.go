package coordinationtest

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination"
)

const (
	// holdTime is how long an entry process keeps trying, as in transport/httpapi.
	holdTime       = 25 * time.Second
	forwardTimeout = 3 * time.Second
	maxHops        = 4
)

// builder makes the event of a call. age is how long entry processes have held it.
type builder func(t coordination.Token, age time.Duration) coordination.Event

// route is a call under way at the entry process that took it.
type route struct {
	w     *World
	entry *Process
	life  int
	began time.Duration
	hold  time.Duration
	build builder
	done  func(coordination.Answer)
	open  bool
	delay time.Duration
	retry bool
	// patience bounds one forwarded attempt. It is longer for calls that wait for an outcome.
	patience time.Duration
}

// callThrough sends a call from a site through an entry process. done is called at
// most once; a lost call is never answered.
// Calls that wait for an outcome are not retried.
func (w *World) callThrough(from site, entry *Process, retry bool, build builder, done func(coordination.Answer)) {
	answered := false
	w.Net.send(from, entry.site(), func() {
		if !entry.Running() {
			return
		}
		r := &route{w: w, entry: entry, life: entry.life, began: w.Now, hold: holdTime, build: build, delay: 20 * time.Millisecond, open: true, retry: retry, patience: forwardTimeout}
		if !retry {
			r.patience += holdTime
		}
		r.done = func(a coordination.Answer) {
			w.Net.send(entry.site(), from, func() {
				if !answered {
					answered = true
					done(a)
				}
			})
		}
		r.attempt()
	})
}

func (r *route) age() time.Duration { return time.Duration(float64(r.w.Now-r.began) * r.entry.rate) }

func (r *route) alive() bool { return r.open && r.entry.life == r.life && r.entry.Running() }

// attempt asks the entry process itself and follows redirects from there.
func (r *route) attempt() {
	if !r.alive() {
		return
	}
	age := r.age()
	r.entry.call(func(t coordination.Token) coordination.Event { return r.build(t, age) }, func(a coordination.Answer) { r.answered(a, 0) })
}

func (r *route) answered(a coordination.Answer, hop int) {
	switch {
	case !r.alive():
	case a.Code == coordination.CodeRedirect && hop < maxHops:
		r.forward(a.Redirect.Name, hop)
	case (a.Code == coordination.CodeRedirect || a.Code == coordination.CodeUnavailable) && r.retry:
		r.again(a)
	default:
		r.open = false
		r.done(a)
	}
}

func (r *route) again(a coordination.Answer) {
	if r.w.Now-r.began > r.hold {
		r.open = false
		a.Code = coordination.CodeUnavailable
		r.done(a)
		return
	}
	r.w.After(r.w.between(r.delay/2, 3*r.delay/2), r.attempt)
	r.delay = min(2*r.delay, 400*time.Millisecond)
}

func (r *route) forward(name string, hop int) {
	to := r.w.Process(name)
	open := true
	age := r.age()
	finish := func(a coordination.Answer) {
		if open {
			open = false
			r.answered(a, hop+1)
		}
	}
	if to != nil {
		r.w.Net.send(r.entry.site(), to.site(), func() {
			to.call(func(t coordination.Token) coordination.Event { return r.build(t, age) }, func(a coordination.Answer) {
				r.w.Net.send(to.site(), r.entry.site(), func() { finish(a) })
			})
		})
	}
	r.w.After(r.patience, func() {
		finish(coordination.Answer{Code: coordination.CodeUnavailable, Message: "no answer from " + name})
	})
}
