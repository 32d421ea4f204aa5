package coordinationtest

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination"
)

const (
	// retryPeriod is how long an entry process retries a call, as in
	// transport/httpapi.
	retryPeriod    = 25 * time.Second
	forwardTimeout = 3 * time.Second
	maxHops        = 4 // largest number of redirects that one attempt follows
)

// builder returns the event of a call. age is how long entry processes have held the
// call.
type builder func(t coordination.Token, age time.Duration) coordination.Event

// route is the state of a call at the entry process that accepted it.
type route struct {
	sim        *Simulation
	entry      *Process
	generation int           // generation of entry when it received the call
	began      time.Duration // simulated time at which the entry process received the call
	retryFor   time.Duration // how long the call is retried
	build      builder
	done       func(coordination.Answer)
	open       bool          // not answered yet
	delay      time.Duration // mean delay before the next retry
	retry      bool          // unavailable answers, and redirects beyond maxHops, are retried
	// responseTimeout is the timeout of one forwarded attempt. It is longer for calls
	// that wait for an outcome.
	responseTimeout time.Duration
}

// callThrough sends a call from a site to an entry process, which forwards it to the
// leader. done is called at most once, and not at all if the call or its answer is
// lost. With retry the entry process retries redirects and unavailable answers for
// retryPeriod; calls that wait for an outcome are not retried.
func (sim *Simulation) callThrough(from site, entry *Process, retry bool, build builder, done func(coordination.Answer)) {
	answered := false
	sim.Net.send(from, entry.site(), func() {
		if !entry.Running() {
			return
		}
		r := &route{sim: sim, entry: entry, generation: entry.generation, began: sim.Now, retryFor: retryPeriod, build: build, delay: 20 * time.Millisecond, open: true, retry: retry, responseTimeout: forwardTimeout}
		if !retry {
			r.responseTimeout += retryPeriod
		}
		r.done = func(a coordination.Answer) {
			sim.Net.send(entry.site(), from, func() {
				if !answered {
					answered = true
					done(a)
				}
			})
		}
		r.attempt()
	})
}

func (r *route) age() time.Duration { return time.Duration(float64(r.sim.Now-r.began) * r.entry.rate) }

func (r *route) active() bool {
	return r.open && r.entry.generation == r.generation && r.entry.Running()
}

// attempt submits the call to the entry process itself and follows redirects from
// there.
func (r *route) attempt() {
	if !r.active() {
		return
	}
	age := r.age()
	r.entry.call(func(t coordination.Token) coordination.Event { return r.build(t, age) }, func(a coordination.Answer) { r.answered(a, 0) })
}

func (r *route) answered(a coordination.Answer, hop int) {
	switch {
	case !r.active():
	case a.Code == coordination.CodeRedirect && hop < maxHops:
		r.forward(a.Redirect.Name, hop)
	case (a.Code == coordination.CodeRedirect || a.Code == coordination.CodeUnavailable) && r.retry:
		r.retryLater(a)
	default:
		r.open = false
		r.done(a)
	}
}

func (r *route) retryLater(a coordination.Answer) {
	if r.sim.Now-r.began > r.retryFor {
		r.open = false
		a.Code = coordination.CodeUnavailable
		r.done(a)
		return
	}
	r.sim.After(r.sim.randomBetween(r.delay/2, 3*r.delay/2), r.attempt)
	r.delay = min(2*r.delay, 400*time.Millisecond)
}

func (r *route) forward(name string, hop int) {
	to := r.sim.Process(name)
	open := true
	age := r.age()
	finish := func(a coordination.Answer) {
		if open {
			open = false
			r.answered(a, hop+1)
		}
	}
	if to != nil {
		r.sim.Net.send(r.entry.site(), to.site(), func() {
			to.call(func(t coordination.Token) coordination.Event { return r.build(t, age) }, func(a coordination.Answer) {
				r.sim.Net.send(to.site(), r.entry.site(), func() { finish(a) })
			})
		})
	}
	r.sim.After(r.responseTimeout, func() {
		finish(coordination.Answer{Code: coordination.CodeUnavailable, Message: "no answer from process " + name})
	})
}
