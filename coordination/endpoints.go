package coordination

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// heartbeatInterval is the period of endpoint heartbeats: about 0.5 KB/s for each
	// endpoint, against a budget of 4 KB/s.
	heartbeatInterval = 2 * time.Second
	// taskLease is how long an endpoint may work after the sending of a heartbeat that
	// was answered. health.LostAfter is longer by the clock drift and the time that an
	// endpoint needs to stop its tasks.
	taskLease = 10 * time.Second
	// startRetry is the delay before an unanswered start is sent again.
	startRetry = 500 * time.Millisecond
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
		n.announce(r, e)
	default:
		n.renewLease(r, e, known)
	}
}

// announce adds an endpoint and answers its heartbeat once that is committed.
func (n *Node) announce(r *replica, e Heartbeat) {
	l := r.lead
	if l.announcing[e.Endpoint.Name] == e.Endpoint.Incarnation {
		n.reply(e.Token, unavailable("the announcement is being committed"))
		return
	}
	l.announcing[e.Endpoint.Name] = e.Endpoint.Incarnation
	ok := n.propose(r, state.Command{Announce: &state.Announce{AtMS: n.clock.WallMS, Endpoint: e.Endpoint}}, func(a state.Applied, committed bool) {
		delete(l.announcing, e.Endpoint.Name)
		if !committed || a.Rejected != nil {
			n.reply(e.Token, unavailable("the announcement was not committed"))
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

// renewLease answers a heartbeat. The answer is a lease, so it is given only by a
// leader that still has its own, and not while the end of the endpoint's leases is
// in the log: its tasks would be queued again under a valid lease.
func (n *Node) renewLease(r *replica, e Heartbeat, known *state.Endpoint) {
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
	if e.Endpoint.Status == state.EndpointLeaving {
		// A drain by an operator is not revoked by a heartbeat that says "ready".
		l.health.Leaving(known.Name, true)
	}
	answer := Lease{
		Term: l.term, LeaseMS: taskLease.Milliseconds(), IntervalMS: heartbeatInterval.Milliseconds(),
		LowWatermark: lowWatermark(r.domain, known), Stop: n.staleAttempts(r, e),
		Assigner: n.publicAddress(n.self.Name),
	}
	n.reply(e.Token, Answer{Code: CodeOK, Lease: &answer})
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

// lowWatermark returns the highest sequence number up to which every assignment of
// the endpoint is settled. The endpoint forgets those and rejects late copies of
// their starts.
func lowWatermark(d *state.Domain, e *state.Endpoint) uint64 {
	low := e.LastSeq
	d.AssignedTo(e.Name, func(seq uint64, _ state.TaskRef) {
		low = min(low, seq-1)
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
		if e.Status == state.EndpointLost && n.clock.WallMS-e.Since > removeAfterMS {
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

// taskReport ends an attempt. The endpoint keeps its report until it is
// acknowledged, so a report that comes twice is acknowledged twice.
func (n *Node) taskReport(e TaskReport) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	if _, ok := currentTask(r.domain, &e.Report); !ok {
		n.reply(e.Token, Answer{Code: CodeOK, Message: "the attempt is not the current one"})
		return
	}
	if r.lead.reporting[e.Report.TaskRef] {
		// The endpoint repeats a report whose answer was lost. The outcome was learned
		// from when it came first.
		n.reply(e.Token, unavailable("the report is being committed"))
		return
	}
	n.endAttempt(r, e.Report, func(committed bool) {
		if !committed {
			n.reply(e.Token, unavailable("leadership of "+r.group+" changed"))
			return
		}
		n.reply(e.Token, Answer{Code: CodeOK})
	})
}

func currentTask(d *state.Domain, p *state.Report) (*state.Record, bool) {
	rec := d.Record(p.Key)
	if rec == nil || p.Task < 0 || p.Task >= len(rec.State) {
		return nil, false
	}
	t := &rec.State[p.Task]
	open := t.Status == state.TaskAssigned || t.Status == state.TaskUnknown
	return rec, open && t.Attempt == p.Attempt && t.Endpoint == p.Endpoint && t.Incarnation == p.Incarnation
}

// endAttempt proposes a report together with the decision whether to try again.
func (n *Node) endAttempt(r *replica, p state.Report, done func(committed bool)) {
	rec := r.domain.Record(p.Key)
	t := &rec.State[p.Task]
	p.AtMS = n.clock.WallMS
	if t.Status == state.TaskAssigned {
		advice := r.lead.sched.Observe(n.clock, scheduling.Observation{
			Record: rec, Task: p.Task, Endpoint: p.Endpoint, RunMS: n.clock.WallMS - t.AssignedMS, Status: p.Status,
		})
		switch p.Status {
		case state.TaskFailed:
			p.Requeue, p.EndpointBad, p.NotBeforeMS = advice.Requeue, advice.EndpointBad, advice.NotBeforeMS
		case state.TaskNotRun, state.TaskCancelled:
			p.Requeue = true // the state queues it again only if that is safe and nobody cancelled it
		}
	}
	l := r.lead
	l.reporting[p.TaskRef] = true
	ok := n.propose(r, state.Command{Report: &p}, func(a state.Applied, committed bool) {
		delete(l.reporting, p.TaskRef)
		delete(l.starts, p.TaskRef)
		done(committed)
	})
	if !ok {
		delete(l.reporting, p.TaskRef)
		done(false)
	}
}

// dispatch sends the start of an assigned task. It is called only for a committed
// assignment.
func (n *Node) dispatch(r *replica, rec *state.Record, task int) {
	t := &rec.State[task]
	e := r.domain.Endpoint(t.Endpoint)
	if e == nil || e.Incarnation != t.Incarnation {
		return
	}
	s := StartTask{
		Group: r.group, Domain: r.domainName, Term: r.lead.term,
		Ref:      state.TaskRef{Key: rec.Key, Task: task, Attempt: t.Attempt},
		Endpoint: e.Name, Address: e.Address, Incarnation: e.Incarnation, Seq: t.Seq,
		Kind: rec.Kind, Class: rec.Class, Repeatable: rec.Repeatable, PerTask: rec.PerTask, Payload: rec.Payload,
	}
	r.lead.starts[s.Ref] = &dispatch{start: s}
	n.emit(s)
}

// resendStarts sends the starts whose endpoints could not be reached again, as
// long as they are still wanted.
func (n *Node) resendStarts(r *replica) {
	for ref, d := range r.lead.starts {
		rec := r.domain.Record(ref.Key)
		if rec == nil || rec.State[ref.Task].Status != state.TaskAssigned || rec.State[ref.Task].Attempt != ref.Attempt {
			delete(r.lead.starts, ref)
			continue
		}
		if d.next == 0 || n.clock.Now < d.next || rec.Cancel {
			continue
		}
		d.next = 0
		d.start.Try++
		n.emit(d.start)
	}
}

func (n *Node) startAnswered(e StartAnswered) {
	r := n.replicas[e.Start.Group]
	if r == nil || r.lead == nil || r.lead.term != e.Start.Term {
		return
	}
	switch e.Result {
	case StartAccepted:
		delete(r.lead.starts, e.Start.Ref)
	case StartUnreachable:
		if d := r.lead.starts[e.Start.Ref]; d != nil {
			d.next = n.clock.Now + startRetry
		}
	case StartDeclined:
		p := state.Report{TaskRef: e.Start.Ref, Endpoint: e.Start.Endpoint, Incarnation: e.Start.Incarnation, Status: state.TaskNotRun, Error: e.Reason}
		delete(r.lead.starts, e.Start.Ref)
		if _, ok := currentTask(r.domain, &p); ok && !r.lead.reporting[p.TaskRef] {
			n.endAttempt(r, p, func(bool) {})
		}
	}
}

// stopTask asks an endpoint to stop an attempt. Heartbeat answers repeat it until
// the endpoint reports.
func (n *Node) stopTask(r *replica, rec *state.Record, task int) {
	t := &rec.State[task]
	e := r.domain.Endpoint(t.Endpoint)
	if e == nil {
		return
	}
	n.emit(StopTask{
		Group: r.group, Domain: r.domainName, Term: r.lead.term, Ref: state.TaskRef{Key: rec.Key, Task: task, Attempt: t.Attempt},
		Endpoint: e.Name, Address: e.Address, Incarnation: t.Incarnation, Seq: t.Seq,
	})
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
