package state

import (
	"fmt"
	"slices"
)

// registerEndpoint adds, updates or replaces an endpoint. The incarnations of an
// endpoint increase, and an earlier one is rejected, so that a delayed heartbeat of an
// earlier incarnation does not end the work of the current one.
func (d *Domain) registerEndpoint(c *RegisterEndpoint) Applied {
	e := c.Endpoint
	e.Reserved, e.Assigned, e.LastSeq = Resources{}, 0, 0
	e.SinceMS, e.Draining = c.AtMS, e.Status == EndpointLeaving
	var a Applied
	if old := d.endpoints[e.Name]; old != nil {
		if old.Incarnation == e.Incarnation {
			// The same incarnation registers again, for example with a new address.
			e.Reserved, e.Assigned, e.LastSeq = old.Reserved, old.Assigned, old.LastSeq
			e.Draining = e.Draining || old.Draining
			if e.Draining {
				e.Status = EndpointLeaving
			}
			if e.Free().IsNegative() {
				return Applied{Rejected: fmt.Errorf("endpoint %s registers with less capacity than is reserved: %w", e.Name, ErrNoCapacity)}
			}
		} else {
			if e.Incarnation < old.Incarnation {
				return Applied{Rejected: fmt.Errorf("endpoint %s registers with an earlier incarnation: %w", e.Name, ErrStale)}
			}
			a.Records = d.endLeases(e.Name, c.AtMS, true, "endpoint restarted")
		}
	}
	d.endpoints[e.Name] = &e
	a.Endpoint = &e
	return a
}

// endLeases ends every attempt on an endpoint whose lease has certainly expired.
// Repeatable tasks are queued again, or become cancelled if their request was cancelled.
// Unrepeatable tasks may have run and become unknown. They keep their reservation, since
// they may still run on a partitioned endpoint and would still be running there when it
// reconnects. releaseAll, which is set if the endpoint restarted or is removed, releases
// their reservation too.
func (d *Domain) endLeases(name string, atMS int64, releaseAll bool, reason string) []*Record {
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
				d.endLease(r, i, atMS, releaseAll, reason)
			}
		}
		d.store(r, atMS)
		out = append(out, r)
	}
	slices.SortFunc(out, compareRecords) // a fixed order, so that callers behave the same in every run
	return out
}

func (d *Domain) endLease(r *Record, task int, atMS int64, releaseAll bool, reason string) {
	t := &r.State[task]
	if r.Repeatable || releaseAll {
		d.release(r, task)
	}
	if t.Status != TaskAssigned {
		return
	}
	t.Error = reason
	switch {
	case !r.Repeatable:
		t.Status, t.FinalMS, t.HoldsCapacity = TaskUnknown, atMS, !releaseAll
	case r.CancelRequested:
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
		e.Status = EndpointLeaving // a draining endpoint stays leaving until it is lost or restarts
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
