package coordinationtest

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// Operator changes the configuration and drains endpoints.
type Operator struct {
	w       *World
	site    site
	changes int
	stopped bool
}

// NewOperator adds an operator in a failure domain.
func (w *World) NewOperator(domain string) *Operator {
	o := &Operator{w: w, site: site{fmt.Sprintf("operator-%d", len(w.Operators)+1), domain}}
	w.Operators = append(w.Operators, o)
	return o
}

// Stop ends Load.
func (o *Operator) Stop() { o.stopped = true }

// Load reads the configuration and changes it at random times around an interval.
func (o *Operator) Load(every time.Duration) {
	if o.stopped {
		return
	}
	o.read(func(version uint64) { o.Change(version, nil) })
	o.w.After(o.w.between(every/2, 3*every/2), func() { o.Load(every) })
}

func (o *Operator) entry() *Process { return o.w.Processes[o.w.rng.IntN(len(o.w.Processes))] }

func (o *Operator) read(then func(version uint64)) {
	build := func(t coordination.Token, _ time.Duration) coordination.Event { return coordination.ReadCell{Token: t} }
	o.w.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Code == coordination.CodeOK {
			then(a.Cell.Current.Version)
		}
	})
}

// Change sends one change until it is answered. done is called with the answer, if
// it is not nil.
func (o *Operator) Change(expected uint64, done func(state.ConfigureResult)) {
	o.changes++
	o.w.nextID++
	once := func(r state.ConfigureResult) {
		if done != nil {
			done(r)
			done = nil
		}
	}
	o.resend(state.Configure{
		Actor: o.site.name, ChangeID: fmt.Sprintf("%s-%d", o.site.name, o.changes), Expected: expected, Config: configuration(o.w.nextID),
	}, once)
}

func (o *Operator) resend(change state.Configure, done func(state.ConfigureResult)) {
	open := true
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.ConfigureCell{Token: t, Configure: change}
	}
	o.w.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Configured == nil {
			return
		}
		open = false
		o.w.Checks.configured(&change, *a.Configured)
		done(*a.Configured)
	})
	o.w.After(o.w.between(time.Second, 4*time.Second), func() {
		if open && !o.w.Checks.over {
			o.resend(change, done)
		}
	})
}

// Drain asks that an endpoint gets no new work.
func (o *Operator) Drain(e *Endpoint) {
	incarnation := e.incarnation
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.DrainEndpoint{Token: t, Domain: e.Domain, Name: e.Name, Actor: o.site.name}
	}
	o.w.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Code == coordination.CodeOK && a.Endpoints[0].Incarnation == incarnation {
			o.w.Checks.leaving(e.Name, incarnation)
		}
	})
}
