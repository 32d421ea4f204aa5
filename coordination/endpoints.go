package coordination

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// heartbeatInterval is the period of endpoint heartbeats: about 0.5 KB/s for each
	// endpoint, against a budget of 4 KB/s.
	heartbeatInterval = 2 * time.Second
	// taskLease is how long an endpoint may work after the sending of a heartbeat that
	// was answered, by its own clock. On a clock that is 10% slow this takes 8.9 s; a
	// leader whose clock is 10% fast ends the lease after 10 s, which it counts as
	// health.LostAfter. The difference is for stopping the tasks.
	taskLease = 8 * time.Second
	// removeAfter is how long a lost endpoint is remembered, in milliseconds.
	removeAfterMS = int64(retention / time.Millisecond)
)

func (n *Node) heartbeat(e Heartbeat) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	known := r.domain.Endpoint(e.Endpoint.Name)
	switch {
	case known == nil && len(e.Running) > 0:
		// Its reservations are not known, so new work could exceed its capacity.
		n.reply(e.Token, Answer{Code: CodeConflict, Message: "an unknown endpoint with running tasks is not admitted: stop them or restart it"})
	case known == nil || known.Incarnation != e.Endpoint.Incarnation:
		n.registerEndpoint(r, e)
	default:
		n.renewLease(r, e, known)
	}
}

// registerEndpoint adds an endpoint and answers its heartbeat once that is committed.
func (n *Node) registerEndpoint(r *replica, e Heartbeat) {
	l := r.lead
	if l.announcing[e.Endpoint.Name] == e.Endpoint.Incarnation {
		n.reply(e.Token, unavailable("the announcement is being committed"))
		return
	}
	l.announcing[e.Endpoint.Name] = e.Endpoint.Incarnation
	ok := n.propose(r, state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: n.clock.WallMS, Endpoint: e.Endpoint}}, func(a state.Applied, committed bool) {
		delete(l.announcing, e.Endpoint.Name)
		switch {
		case !committed:
			n.reply(e.Token, unavailable("the announcement was not committed"))
			return
		case a.Rejected != nil:
			n.reply(e.Token, Answer{Code: CodeConflict, Message: a.Rejected.Error()})
			return
		}
		n.log("info", "announce", e.Endpoint.Name, string(e.Endpoint.Kind)+" announced")
		n.renewLease(r, e, a.Endpoint)
	})
	if !ok {
		delete(l.announcing, e.Endpoint.Name)
		n.reply(e.Token, unavailable("the log of "+r.group+" takes no entries now"))
	}
}

// renewLease answers a heartbeat. An endpoint that leaves is answered when that is
// committed, so that a successor of this leader gives it no new work either.
func (n *Node) renewLease(r *replica, e Heartbeat, known *state.Endpoint) {
	if e.Endpoint.Status != state.EndpointLeaving || known.Draining {
		n.grantLease(r, e, known)
		return
	}
	cmd := state.Command{EndpointStatus: &state.SetEndpointStatus{
		AtMS: n.clock.WallMS, Name: known.Name, Incarnation: known.Incarnation, Status: state.EndpointLeaving,
	}}
	ok := n.propose(r, cmd, func(a state.Applied, committed bool) {
		if !committed || a.Rejected != nil {
			n.reply(e.Token, unavailable("the change to leaving was not committed"))
			return
		}
		n.grantLease(r, e, a.Endpoint)
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of "+r.group+" takes no entries now"))
	}
}

// grantLease is called only by a leader that still has its own lease. It grants none
// while the loss of the endpoint is being committed: a start that is under way could
// otherwise run although its task is about to be queued again.
func (n *Node) grantLease(r *replica, e Heartbeat, known *state.Endpoint) {
	l := r.lead
	if l == nil || !r.raft.HasLease(n.clock.Now) {
		n.reply(e.Token, unavailable("the leader of "+r.group+" has no contact to a majority"))
		return
	}
	if c, ok := l.changes[known.Name]; ok && c.Status == state.EndpointLost {
		n.reply(e.Token, unavailable("the end of the endpoint's leases is being committed"))
		return
	}
	l.health.Answered(n.clock.Now, known.Name)
	n.settleHeld(r, e, known)
	answer := Lease{
		Term: l.term, LeaseMS: taskLease.Milliseconds(), IntervalMS: heartbeatInterval.Milliseconds(),
		LowWatermark: lowWatermark(r.domain, known), Stop: n.staleAttempts(r, e),
		Assigner: n.publicAddress(n.self.Name),
	}
	n.reply(e.Token, Answer{Code: CodeOK, Lease: &answer})
}

// settleHeld asks a returned endpoint about the unknown tasks that it does not list:
// their starts may never have reached it, and nothing would release their capacity.
// The start is sent again. The low watermark of the first heartbeat answer after the
// return is above it, so the endpoint declines it unless it has run it.
func (n *Node) settleHeld(r *replica, e Heartbeat, known *state.Endpoint) {
	if known.Status == state.EndpointLost || known.Assigned == 0 {
		return
	}
	listed := make(map[uint64]bool, len(e.Running))
	for i := range e.Running {
		listed[e.Running[i].Seq] = true
	}
	r.domain.AssignedTo(known.Name, func(seq uint64, ref state.TaskRef) {
		if rec := r.domain.Record(ref.Key); rec.State[ref.Task].HoldsCapacity && !listed[seq] {
			n.emit(n.startOf(r, rec, ref.Task, known))
		}
	})
}

// staleAttempts lists what an endpoint holds although the state does not, or
// although it was cancelled.
func (n *Node) staleAttempts(r *replica, e Heartbeat) []Running {
	var out []Running
	for _, run := range e.Running {
		rec := r.domain.Record(run.Key)
		current := false
		if rec != nil && run.Task >= 0 && run.Task < len(rec.State) {
			t := &rec.State[run.Task]
			current = t.Attempt == run.Attempt && t.Endpoint == e.Endpoint.Name && t.Incarnation == e.Endpoint.Incarnation &&
				(t.Status == state.TaskAssigned || t.Status == state.TaskUnknown)
		}
		if !current || rec.Cancel {
			out = append(out, run)
		}
	}
	return out
}

// lowWatermark returns the highest sequence number up to which no start is wanted any
// more. The endpoint forgets the settled ones and rejects late copies of their starts.
// Tasks with HoldsCapacity do not lower it: they are never started again, and the starts of
// repeatable work after them, which was queued again, must be rejected.
func lowWatermark(d *state.Domain, e *state.Endpoint) uint64 {
	low := e.LastSeq
	d.AssignedTo(e.Name, func(seq uint64, ref state.TaskRef) {
		if !d.Record(ref.Key).State[ref.Task].HoldsCapacity {
			low = min(low, seq-1)
		}
	})
	return low
}

// followHealth proposes the changes of endpoint status that the tracker asks for.
// A change stays in l.changes until it is committed.
func (n *Node) followHealth(r *replica) {
	l := r.lead
	for _, t := range l.health.Transitions(n.clock.Now) {
		c := &statusChange{Transition: t}
		l.changes[t.Name] = c
		n.proposeStatus(r, c)
	}
}

func (n *Node) proposeStatus(r *replica, c *statusChange) {
	l := r.lead
	cmd := state.Command{EndpointStatus: &state.SetEndpointStatus{
		AtMS: n.clock.WallMS, Name: c.Name, Incarnation: c.Incarnation, Status: c.Status,
	}}
	c.proposed = n.propose(r, cmd, func(a state.Applied, committed bool) {
		if !committed {
			return // the leader has resigned, and its successor looks anew
		}
		if l.changes[c.Name] == c {
			delete(l.changes, c.Name)
		}
		if a.Rejected == nil {
			n.log("info", "endpoint status", c.Name, "endpoint is now "+string(c.Status))
		}
	})
}

// sweepEndpoints forgets endpoints that were lost long ago and does what earlier
// steps could not propose.
func (n *Node) sweepEndpoints(r *replica) {
	for _, e := range r.domain.Endpoints() {
		if e.Status == state.EndpointLost && n.clock.WallMS-e.SinceMS > removeAfterMS {
			n.propose(r, state.Command{EndpointRemoved: &state.RemoveEndpoint{AtMS: n.clock.WallMS, Name: e.Name, Incarnation: e.Incarnation}}, nil)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.lead.changes)) {
		if c := r.lead.changes[name]; !c.proposed {
			n.proposeStatus(r, c)
		}
	}
	for _, s := range r.lead.sched.EndpointTransitions(n.clock) {
		n.propose(r, state.Command{EndpointStatus: s}, nil)
	}
}

func (n *Node) listEndpoints(e ListEndpoints) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	n.reply(e.Token, Answer{Code: CodeOK, Endpoints: r.domain.Endpoints(), Audit: r.domain.Audit()})
}

func (n *Node) drainEndpoint(e DrainEndpoint) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	known := r.domain.Endpoint(e.Name)
	if known == nil {
		n.reply(e.Token, Answer{Code: CodeNotFound, Message: "no endpoint " + e.Name + " in " + e.Domain})
		return
	}
	cmd := state.Command{EndpointStatus: &state.SetEndpointStatus{
		AtMS: n.clock.WallMS, Name: known.Name, Incarnation: known.Incarnation, Status: state.EndpointLeaving, Actor: e.Actor,
	}}
	ok := n.propose(r, cmd, func(a state.Applied, committed bool) {
		if !committed || a.Rejected != nil {
			n.reply(e.Token, unavailable("the drain was not committed"))
			return
		}
		n.reply(e.Token, Answer{Code: CodeOK, Endpoints: []*state.Endpoint{a.Endpoint}})
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of "+r.group+" takes no entries now"))
	}
}

func (n *Node) publicAddress(name string) string {
	for _, p := range n.cfg.Peers {
		if p.Name == name {
			return p.PublicAddress
		}
	}
	return ""
}
