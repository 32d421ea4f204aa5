package coordination

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// heartbeatInterval is the period of endpoint heartbeats: about 0.5 KB/s of traffic
	// for each endpoint, against a budget of 4 KB/s.
	heartbeatInterval = 2 * time.Second
	// taskLease is how long an endpoint may work, by its own clock, after it sent a
	// heartbeat that was answered. On a clock that is 10% slow this takes 8.9 s; a
	// leader whose clock is 10% fast measures health.LostAfter in 10 s and then
	// considers the lease expired. The difference is the time in which the endpoint
	// stops its tasks.
	taskLease = 8 * time.Second
	// removeAfterMS is the time in milliseconds after which a lost endpoint is
	// removed.
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
		// How much capacity its tasks use is not known, so new work could exceed the
		// endpoint's capacity.
		n.reply(e.Token, Answer{Code: CodeConflict, Message: "an unknown endpoint with running tasks is not admitted: stop them or restart it"})
	case known == nil || known.Incarnation != e.Endpoint.Incarnation:
		n.registerEndpoint(r, e)
	default:
		n.renewLease(r, e, known)
	}
}

// registerEndpoint adds an endpoint, or replaces its earlier incarnation, and answers
// the heartbeat once the registration is committed.
func (n *Node) registerEndpoint(r *replica, e Heartbeat) {
	l := r.leaderState
	if l.registering[e.Endpoint.Name] == e.Endpoint.Incarnation {
		n.reply(e.Token, unavailable("the registration is being committed"))
		return
	}
	l.registering[e.Endpoint.Name] = e.Endpoint.Incarnation
	ok := n.propose(r, state.Command{RegisterEndpoint: &state.RegisterEndpoint{AtMS: n.clock.WallMS, Endpoint: e.Endpoint}}, func(a state.Applied, committed bool) {
		delete(l.registering, e.Endpoint.Name)
		switch {
		case !committed:
			n.reply(e.Token, unavailable("the registration was not committed"))
			return
		case a.Rejected != nil:
			n.reply(e.Token, Answer{Code: CodeConflict, Message: a.Rejected.Error()})
			return
		}
		n.log("info", "announce", e.Endpoint.Name, string(e.Endpoint.Kind)+" announced")
		n.renewLease(r, e, a.Endpoint)
	})
	if !ok {
		delete(l.registering, e.Endpoint.Name)
		n.reply(e.Token, unavailable("the log of "+r.group+" accepts no entries now"))
	}
}

// renewLease answers the heartbeat of a registered endpoint. A heartbeat with the
// status leaving is answered only after that status is committed, so that a later
// leader does not assign new work to the endpoint either.
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
			n.reply(e.Token, unavailable("the change to status leaving was not committed"))
			return
		}
		n.grantLease(r, e, a.Endpoint)
	})
	if !ok {
		n.reply(e.Token, unavailable("the log of "+r.group+" accepts no entries now"))
	}
}

// grantLease answers a heartbeat with a lease if this leader still holds its own
// leader lease. It grants none while the change of the endpoint to lost is being
// committed: a start in flight could otherwise run although its task is about to be
// queued again.
func (n *Node) grantLease(r *replica, e Heartbeat, known *state.Endpoint) {
	l := r.leaderState
	if l == nil || !r.raft.HasLease(n.clock.Now) {
		n.reply(e.Token, unavailable("the leader of "+r.group+" has no contact to a majority"))
		return
	}
	if c, ok := l.statusChanges[known.Name]; ok && c.Status == state.EndpointLost {
		n.reply(e.Token, unavailable("the change of the endpoint to status lost is being committed"))
		return
	}
	l.health.HeartbeatAnswered(n.clock.Now, known.Name)
	n.resendHeldStarts(r, e, known)
	answer := Lease{
		Term: l.term, LeaseMS: taskLease.Milliseconds(), IntervalMS: heartbeatInterval.Milliseconds(),
		LowWatermark: lowWatermark(r.domain, known), Stop: n.staleAttempts(r, e),
		Assigner: n.publicAddress(n.self.Name),
	}
	n.reply(e.Token, Answer{Code: CodeOK, Lease: &answer})
}

// resendHeldStarts resends the starts of tasks with an unknown outcome to a recovered
// endpoint that does not list them: the starts may never have reached it, and nothing
// else would release their capacity. The low watermark of the first heartbeat answer
// after the recovery is above their sequence numbers, so the endpoint declines such a
// start unless it has run it.
func (n *Node) resendHeldStarts(r *replica, e Heartbeat, known *state.Endpoint) {
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

// staleAttempts lists the attempts that an endpoint holds and has to stop: those that
// are not current in the replicated state, and those whose request was cancelled.
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
		if !current || rec.CancelRequested {
			out = append(out, run)
		}
	}
	return out
}

// lowWatermark returns the highest sequence number up to which all starts are
// obsolete. The endpoint prunes the attempts up to it and rejects late copies of
// their starts. Tasks with an unknown outcome that hold capacity do not lower it:
// they are never started again, and late starts of repeatable work with higher
// sequence numbers, which has been queued again, must be rejected.
func lowWatermark(d *state.Domain, e *state.Endpoint) uint64 {
	low := e.LastSeq
	d.AssignedTo(e.Name, func(seq uint64, ref state.TaskRef) {
		if !d.Record(ref.Key).State[ref.Task].HoldsCapacity {
			low = min(low, seq-1)
		}
	})
	return low
}

// proposeTransitions proposes the changes of endpoint status that the health tracker
// requests. A change stays in statusChanges until it is committed.
func (n *Node) proposeTransitions(r *replica) {
	l := r.leaderState
	for _, t := range l.health.Transitions(n.clock.Now) {
		c := &statusChange{Transition: t}
		l.statusChanges[t.Name] = c
		n.proposeStatus(r, c)
	}
}

func (n *Node) proposeStatus(r *replica, c *statusChange) {
	l := r.leaderState
	cmd := state.Command{EndpointStatus: &state.SetEndpointStatus{
		AtMS: n.clock.WallMS, Name: c.Name, Incarnation: c.Incarnation, Status: c.Status,
	}}
	c.proposed = n.propose(r, cmd, func(a state.Applied, committed bool) {
		if !committed {
			return // the leader has stepped down; its successor evaluates the endpoint itself
		}
		if l.statusChanges[c.Name] == c {
			delete(l.statusChanges, c.Name)
		}
		if a.Rejected == nil {
			n.log("info", "endpoint status", c.Name, "endpoint is now "+string(c.Status))
		}
	})
}

// checkEndpoints removes endpoints that were lost long ago, proposes status changes
// whose proposal failed before, and proposes the transitions that the scheduler
// requests.
func (n *Node) checkEndpoints(r *replica) {
	for _, e := range r.domain.Endpoints() {
		if e.Status == state.EndpointLost && n.clock.WallMS-e.SinceMS > removeAfterMS {
			n.propose(r, state.Command{EndpointRemoved: &state.RemoveEndpoint{AtMS: n.clock.WallMS, Name: e.Name, Incarnation: e.Incarnation}}, nil)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.leaderState.statusChanges)) {
		if c := r.leaderState.statusChanges[name]; !c.proposed {
			n.proposeStatus(r, c)
		}
	}
	for _, s := range r.leaderState.sched.EndpointTransitions(n.clock) {
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
		n.reply(e.Token, unavailable("the log of "+r.group+" accepts no entries now"))
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
