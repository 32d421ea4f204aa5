package coordinationtest

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// Operator changes the configuration and drains endpoints.
type Operator struct {
	sim     *Simulation
	site    site
	changes int
	stopped bool
}

// NewOperator adds an operator in a failure domain.
func (sim *Simulation) NewOperator(domain string) *Operator {
	o := &Operator{sim: sim, site: site{fmt.Sprintf("operator-%d", len(sim.Operators)+1), domain}}
	sim.Operators = append(sim.Operators, o)
	return o
}

// Stop ends Load.
func (o *Operator) Stop() { o.stopped = true }

// Load reads the configuration and submits a change to it, at random times around an
// interval, until Stop.
func (o *Operator) Load(every time.Duration) {
	if o.stopped {
		return
	}
	o.read(func(version uint64) { o.Change(version, nil) })
	o.sim.After(o.sim.randomBetween(every/2, 3*every/2), func() { o.Load(every) })
}

func (o *Operator) entry() *Process { return o.sim.Processes[o.sim.rng.IntN(len(o.sim.Processes))] }

func (o *Operator) read(then func(version uint64)) {
	build := func(t coordination.Token, _ time.Duration) coordination.Event { return coordination.ReadCell{Token: t} }
	o.sim.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Code == coordination.CodeOK {
			then(a.Cell.Current.Version)
		}
	})
}

// Change resends one configuration change until it is answered. done, if not nil, is
// called once with the result.
func (o *Operator) Change(expected uint64, done func(state.ConfigureResult)) {
	o.changes++
	o.sim.nextID++
	once := func(r state.ConfigureResult) {
		if done != nil {
			done(r)
			done = nil
		}
	}
	o.resend(state.Configure{
		Actor: o.site.name, ChangeID: fmt.Sprintf("%s-%d", o.site.name, o.changes), Expected: expected, Config: configuration(o.sim.nextID),
	}, once)
}

func (o *Operator) resend(change state.Configure, done func(state.ConfigureResult)) {
	open := true
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.ConfigureCell{Token: t, Configure: change}
	}
	o.sim.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Configured == nil {
			return
		}
		open = false
		o.sim.Checks.changeAnswered(&change, *a.Configured)
		done(*a.Configured)
	})
	o.sim.After(o.sim.randomBetween(time.Second, 4*time.Second), func() {
		if open && !o.sim.Checks.historyEnded {
			o.resend(change, done)
		}
	})
}

// Drain asks an entry process to drain an endpoint. Once the call has succeeded, the
// endpoint must get no new work.
func (o *Operator) Drain(e *Endpoint) {
	incarnation := e.incarnation
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.DrainEndpoint{Token: t, Domain: e.Domain, Name: e.Name, Actor: o.site.name}
	}
	o.sim.callThrough(o.site, o.entry(), true, build, func(a coordination.Answer) {
		if a.Code == coordination.CodeOK && a.Endpoints[0].Incarnation == incarnation {
			o.sim.Checks.leaving(e.Name, incarnation)
		}
	})
}
