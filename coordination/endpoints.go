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
	// was answered, by its own clock. On a clock that is 10% slow this takes 8.9 s; a
	// leader whose clock is 10% fast ends the lease after 10 s, which it counts as
	// health.LostAfter. The difference is for stopping the tasks.
	taskLease = 8 * time.Second
	// startRetry is the delay before a start is sent again to an endpoint that could
	// not be reached.
	startRetry = 500 * time.Millisecond
	// declinedDelay is the delay before a task is assigned again that its endpoint has
	// not run. An endpoint without a lease declines at once, for up to 6 s.
	declinedDelay = 250 * time.Millisecond
	// startTimeout is the delay before a start or stop without any answer is sent
	// again: the transport drops calls when its queue is full. It is above the limit
	// of one call, 2 s.
	startTimeout = 5 * time.Second
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
	if e.Endpoint.Status != state.EndpointLeaving || known.Leaves {
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
		if rec := r.domain.Record(ref.Key); rec.State[ref.Task].Held && !listed[seq] {
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
// Held tasks do not lower it: they are never started again, and the starts of
// repeatable work after them, which was queued again, must be rejected.
func lowWatermark(d *state.Domain, e *state.Endpoint) uint64 {
	low := e.LastSeq
	d.AssignedTo(e.Name, func(seq uint64, ref state.TaskRef) {
		if !d.Record(ref.Key).State[ref.Task].Held {
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
			p.NotBeforeMS = n.clock.WallMS + declinedDelay.Milliseconds()
		}
	}
	l := r.lead
	l.reporting[p.TaskRef] = true
	ok := n.propose(r, state.Command{Report: &p}, func(a state.Applied, committed bool) {
		delete(l.reporting, p.TaskRef)
		if committed {
			delete(l.starts, p.TaskRef)
		}
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
	d := &dispatch{start: n.startOf(r, rec, task, e), next: n.clock.Now + startTimeout}
	r.lead.starts[d.start.Ref] = d
	n.emit(d.start)
}

func (n *Node) startOf(r *replica, rec *state.Record, task int, e *state.Endpoint) StartTask {
	t := &rec.State[task]
	return StartTask{
		Group: r.group, Domain: r.domainName, Term: r.lead.term,
		Ref:      state.TaskRef{Key: rec.Key, Task: task, Attempt: t.Attempt},
		Endpoint: e.Name, Address: e.Address, Incarnation: e.Incarnation, Seq: t.Seq,
		Kind: rec.Kind, Class: rec.Class, Repeatable: rec.Repeatable, PerTask: rec.PerTask, Payload: rec.Payload,
	}
}

// resendStarts sends the starts again that no endpoint has answered, as long as they
// are still wanted, or the stops of those that were cancelled meanwhile: the endpoint
// may know nothing of the attempt and then reports nothing without a stop.
func (n *Node) resendStarts(r *replica) {
	for ref, d := range r.lead.starts {
		rec := r.domain.Record(ref.Key)
		if rec == nil || rec.State[ref.Task].Status != state.TaskAssigned || rec.State[ref.Task].Attempt != ref.Attempt {
			delete(r.lead.starts, ref)
			continue
		}
		if n.clock.Now < d.next {
			continue
		}
		d.next = n.clock.Now + startTimeout
		if rec.Cancel {
			n.stopTask(r, rec, ref.Task)
			continue
		}
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
		n.retryStart(r, e.Start.Ref)
	case StartDeclined:
		n.startDeclined(r, e)
	}
}

func (n *Node) retryStart(r *replica, ref state.TaskRef) {
	if r.lead == nil {
		return
	}
	if d := r.lead.starts[ref]; d != nil {
		d.next = n.clock.Now + startRetry
	}
}

// startDeclined ends an attempt that never runs. If the log takes no entry now, the
// start is sent again to get the same answer.
func (n *Node) startDeclined(r *replica, e StartAnswered) {
	p := state.Report{TaskRef: e.Start.Ref, Endpoint: e.Start.Endpoint, Incarnation: e.Start.Incarnation, Status: state.TaskNotRun, Error: e.Reason}
	if _, ok := currentTask(r.domain, &p); !ok {
		delete(r.lead.starts, e.Start.Ref)
		return
	}
	if r.lead.reporting[p.TaskRef] {
		return
	}
	n.endAttempt(r, p, func(committed bool) {
		if !committed {
			n.retryStart(r, e.Start.Ref)
		}
	})
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

// watchStop has a stop sent again until the attempt has ended.
func (n *Node) watchStop(r *replica, rec *state.Record, task int) {
	if e := r.domain.Endpoint(rec.State[task].Endpoint); e != nil {
		s := n.startOf(r, rec, task, e)
		r.lead.starts[s.Ref] = &dispatch{start: s, next: n.clock.Now + startTimeout}
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
