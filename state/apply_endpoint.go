package state

import (
	"fmt"
	"slices"
)

// registerEndpoint adds an endpoint. Incarnations of one endpoint increase: a delayed
// heartbeat of an earlier one must not end the work of the present one.
func (d *Domain) registerEndpoint(c *RegisterEndpoint) Applied {
	e := c.Endpoint
	e.Reserved, e.Assigned, e.LastSeq = Resources{}, 0, 0
	e.SinceMS, e.Draining = c.AtMS, e.Status == EndpointLeaving
	var a Applied
	if old := d.endpoints[e.Name]; old != nil {
		if old.Incarnation == e.Incarnation {
			// Announced again, for example with a new address.
			e.Reserved, e.Assigned, e.LastSeq = old.Reserved, old.Assigned, old.LastSeq
			e.Draining = e.Draining || old.Draining
			if e.Draining {
				e.Status = EndpointLeaving
			}
			if e.Free().IsNegative() {
				return Applied{Rejected: fmt.Errorf("endpoint %s announces less capacity than is reserved: %w", e.Name, ErrNoCapacity)}
			}
		} else {
			if e.Incarnation < old.Incarnation {
				return Applied{Rejected: fmt.Errorf("endpoint %s announces an incarnation that has ended: %w", e.Name, ErrStale)}
			}
			a.Records = d.endLeases(e.Name, c.AtMS, true, "endpoint restarted")
		}
	}
	d.endpoints[e.Name] = &e
	a.Endpoint = &e
	return a
}

// endLeases ends every attempt on an endpoint whose lease has surely ended.
// Repeatable work is queued again; unrepeatable work may have run. It keeps its
// reservation unless the endpoint is gone: it may still be running behind a
// partition and would be running when the endpoint returns.
func (d *Domain) endLeases(name string, atMS int64, gone bool, reason string) []*Record {
	changed := map[Key]*Record{}
	for _, ref := range d.assigned[name] {
		if changed[ref.Key] == nil {
			changed[ref.Key] = d.records[ref.Key].clone()
		}
	}
	out := make([]*Record, 0, len(changed))
	for _, r := range changed {
		for i := range r.State {
			if t := &r.State[i]; t.Endpoint == name && t.Reserves() {
				d.endLease(r, i, atMS, gone, reason)
			}
		}
		d.store(r, atMS)
		out = append(out, r)
	}
	slices.SortFunc(out, compareRecords) // callers act on them in this order on every run
	return out
}

func (d *Domain) endLease(r *Record, task int, atMS int64, gone bool, reason string) {
	t := &r.State[task]
	if r.Repeatable || gone {
		d.release(r, task)
	}
	if t.Status != TaskAssigned {
		return
	}
	t.Error = reason
	switch {
	case !r.Repeatable:
		t.Status, t.FinalMS, t.HoldsCapacity = TaskUnknown, atMS, !gone
	case r.Cancel:
		t.Status, t.FinalMS = TaskCancelled, atMS
	default:
		t.Status = TaskQueued
	}
}

func (d *Domain) setEndpointStatus(index uint64, c *SetEndpointStatus) Applied {
	old := d.endpoints[c.Name]
	if old == nil || old.Incarnation != c.Incarnation {
		return Applied{Rejected: fmt.Errorf("endpoint %s: %w", c.Name, ErrNoEndpoint)}
	}
	var a Applied
	if c.Status == EndpointLost {
		a.Records = d.endLeases(c.Name, c.AtMS, false, "endpoint lost")
	}
	e := *d.endpoints[c.Name]
	e.Status, e.SinceMS = c.Status, c.AtMS
	e.Draining = e.Draining || c.Status == EndpointLeaving
	if e.Draining && c.Status != EndpointLost {
		e.Status = EndpointLeaving // whatever else is found out about it
	}
	d.endpoints[c.Name] = &e
	a.Endpoint = &e
	if c.Actor != "" {
		d.audit = append(d.audit, AuditRecord{Index: index, AtMS: c.AtMS, Actor: c.Actor, Action: "endpoint " + string(c.Status), Target: c.Name, Result: "applied"})
	}
	return a
}

func (d *Domain) removeEndpoint(c *RemoveEndpoint) Applied {
	e := d.endpoints[c.Name]
	if e == nil || e.Incarnation != c.Incarnation {
		return Applied{Rejected: fmt.Errorf("endpoint %s: %w", c.Name, ErrNoEndpoint)}
	}
	if e.Status != EndpointLost {
		return Applied{Rejected: fmt.Errorf("endpoint %s is %s: only a lost endpoint is removed: %w", c.Name, e.Status, ErrNotReady)}
	}
	a := Applied{Records: d.endLeases(c.Name, c.AtMS, true, "endpoint removed")}
	delete(d.endpoints, c.Name)
	return a
}
