package schedulingbench

import (
	"fmt"

	"github.com/primrosereach/primrosereach/state"
)

// scheduleFaults schedules the cancellations and the loss of a failure domain.
func (d *driver) scheduleFaults() {
	if d.sc.CancelAt > 0 {
		d.at(d.sc.CancelAt, d.cancelWave)
	}
	if d.sc.LoseAt > 0 {
		d.at(d.sc.LoseAt, d.loseDomain)
		d.at(d.sc.LoseAt+d.sc.LoseFor, d.returnDomain)
	}
}

// cancelWave cancels all requests in waiting that have not ended.
func (d *driver) cancelWave() {
	for _, k := range d.waiting {
		if d.work[k] != nil {
			d.res.Cancelled++
			d.apply(state.Command{Cancel: &state.Cancel{Key: k, AtMS: d.clock().WallMS, Actor: "caller"}})
		}
	}
	d.waiting = nil
}

// loseDomain sets the endpoints of domain 0 to lost, as happens when their leases expire.
func (d *driver) loseDomain() {
	for _, m := range d.order {
		if m.domain == 0 {
			m.lost = true
			d.apply(state.Command{EndpointStatus: &state.SetEndpointStatus{AtMS: d.clock().WallMS, Name: m.endpoint.Name, Incarnation: m.endpoint.Incarnation, Status: state.EndpointLost}})
		}
	}
}

// returnDomain registers the lost endpoints again, as after a restart.
func (d *driver) returnDomain() {
	for _, m := range d.order {
		if m.lost {
			m.lost = false
			m.endpoint.Incarnation++
			d.apply(state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: d.clock().WallMS, Endpoint: m.endpoint}})
		}
	}
}

// check verifies the invariants of the state and that every team stays within its share.
func (d *driver) check() {
	d.res.Checks++
	if err := d.domain.Check(); err != nil {
		d.fail(err)
	}
	for name, share := range d.sc.Shape.shares() {
		if own := d.domain.TeamUsage(name).Own; !own.FitsIn(share) {
			d.fail(fmt.Errorf("team %s uses %+v of its share %+v", name, own, share))
		}
	}
}

// checkBorrowing verifies that a plan, on top of what is borrowed already, borrows no more
// than the other teams leave idle when it is committed.
func (d *driver) checkBorrowing(p *state.Assign) {
	borrows := false
	for i := range p.Items {
		borrows = borrows || p.Items[i].Borrowed
	}
	if !borrows {
		return
	}
	r := d.domain.Record(p.Items[0].Key)
	if r == nil {
		return
	}
	var idle, borrowed state.Resources
	for i := range d.sc.Shape.Teams {
		name := teamName(i)
		u := d.domain.TeamUsage(name)
		borrowed = borrowed.Add(u.Borrowed)
		if name != r.Team {
			idle = idle.Add(atLeastZero(d.domain.Share(name).Sub(u.Own)))
		}
	}
	for i := range p.Items {
		if p.Items[i].Borrowed {
			d.res.Borrowed++
			borrowed = borrowed.Add(r.PerTask)
		}
	}
	if !r.Repeatable || !borrowed.FitsIn(idle) {
		d.fail(fmt.Errorf("team %s borrows up to %+v, idle is %+v, repeatable %v", r.Team, borrowed, idle, r.Repeatable))
	}
}

// fail counts a violation and stores the first one as the error of the run.
func (d *driver) fail(err error) {
	d.res.Violations++
	if d.err == nil {
		d.err = fmt.Errorf("%s at %v: %w", d.sc.Name, d.now, err)
	}
}

func atLeastZero(r state.Resources) state.Resources {
	return state.Resources{Slots: max(0, r.Slots), MilliCores: max(0, r.MilliCores), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators)}
}
