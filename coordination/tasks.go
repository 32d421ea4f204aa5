package coordination

import (
	"time"

	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// unreachableRetryDelay is the delay before a start is sent again to an endpoint
	// that could not be reached.
	unreachableRetryDelay = 500 * time.Millisecond
	// declinedDelay is the delay before a task that its endpoint declined or stopped is
	// assigned again. An endpoint without a lease declines each start at once, for up
	// to 6 s, and the delay limits how often it is assigned the same task meanwhile.
	declinedDelay = 250 * time.Millisecond
	// startResendDelay is the delay before a start or stop without any answer is sent
	// again, because the transport drops calls when its queue is full. It is longer
	// than the time limit of one call, 2 s.
	startResendDelay = 5 * time.Second
)

// taskReport processes an endpoint's report on the end of an attempt. The endpoint
// repeats its report until it is acknowledged, so a duplicate is acknowledged again.
func (n *Node) taskReport(e TaskReport) {
	r := n.owner(DomainGroup(e.Domain), e.Token)
	if r == nil {
		return
	}
	if _, ok := currentTask(r.domain, &e.Report); !ok {
		n.reply(e.Token, Answer{Code: CodeOK, Message: "the attempt is not the current one"})
		return
	}
	if r.leaderState.reporting[e.Report.TaskRef] {
		// The endpoint repeats a report whose answer was lost. The scheduler has
		// already observed the outcome.
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

// currentTask returns the record that a report is about, and whether the report is
// about the current attempt of its task and that attempt has no reported end yet.
func currentTask(d *state.Domain, p *state.Report) (*state.Record, bool) {
	rec := d.Record(p.Key)
	if rec == nil || p.Task < 0 || p.Task >= len(rec.State) {
		return nil, false
	}
	t := &rec.State[p.Task]
	open := t.Status == state.TaskAssigned || t.Status == state.TaskUnknown
	return rec, open && t.Attempt == p.Attempt && t.Endpoint == p.Endpoint && t.Incarnation == p.Incarnation
}

// endAttempt proposes a report together with the decision whether to retry.
func (n *Node) endAttempt(r *replica, p state.Report, done func(committed bool)) {
	rec := r.domain.Record(p.Key)
	t := &rec.State[p.Task]
	p.AtMS = n.clock.WallMS
	if t.Status == state.TaskAssigned {
		advice := r.leaderState.sched.Observe(n.clock, scheduling.Observation{
			Record: rec, Task: p.Task, Endpoint: p.Endpoint, RunMS: n.clock.WallMS - t.AssignedMS, Status: p.Status,
		})
		switch p.Status {
		case state.TaskFailed:
			p.Requeue, p.EndpointAtFault, p.NotBeforeMS = advice.Requeue, advice.EndpointAtFault, advice.NotBeforeMS
		case state.TaskNotRun, state.TaskCancelled:
			p.Requeue = true // the state queues it again only if that is safe and nobody cancelled it
			p.NotBeforeMS = n.clock.WallMS + declinedDelay.Milliseconds()
		}
	}
	l := r.leaderState
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

// dispatch sends the start of an assigned task, unless the endpoint was removed or has
// restarted. It is called only for a committed assignment.
func (n *Node) dispatch(r *replica, rec *state.Record, task int) {
	t := &rec.State[task]
	e := r.domain.Endpoint(t.Endpoint)
	if e == nil || e.Incarnation != t.Incarnation {
		return
	}
	d := &dispatch{start: n.startOf(r, rec, task, e), next: n.clock.Now + startResendDelay}
	r.leaderState.starts[d.start.Ref] = d
	n.emit(d.start)
}

func (n *Node) startOf(r *replica, rec *state.Record, task int, e *state.Endpoint) StartTask {
	t := &rec.State[task]
	return StartTask{
		Group: r.group, Domain: r.domainName, Term: r.leaderState.term,
		Ref:      state.TaskRef{Key: rec.Key, Task: task, Attempt: t.Attempt},
		Endpoint: e.Name, Address: e.Address, Incarnation: e.Incarnation, Seq: t.Seq,
		Kind: rec.Kind, Class: rec.Class, Repeatable: rec.Repeatable, PerTask: rec.PerTask, Payload: rec.Payload,
	}
}

// resendStarts resends the starts that no endpoint has answered while their attempts
// are current. If the request was cancelled, the stop is sent instead: an endpoint that
// never received the start reports the attempt only when it is asked to stop it.
func (n *Node) resendStarts(r *replica) {
	for ref, d := range r.leaderState.starts {
		rec := r.domain.Record(ref.Key)
		if rec == nil || rec.State[ref.Task].Status != state.TaskAssigned || rec.State[ref.Task].Attempt != ref.Attempt {
			delete(r.leaderState.starts, ref)
			continue
		}
		if n.clock.Now < d.next {
			continue
		}
		d.next = n.clock.Now + startResendDelay
		if rec.CancelRequested {
			n.stopTask(r, rec, ref.Task)
			continue
		}
		d.start.Transmission++
		n.emit(d.start)
	}
}

func (n *Node) startAnswered(e StartAnswered) {
	r := n.replicas[e.Start.Group]
	if r == nil || r.leaderState == nil || r.leaderState.term != e.Start.Term {
		return
	}
	switch e.Result {
	case StartAccepted:
		delete(r.leaderState.starts, e.Start.Ref)
	case StartUnreachable:
		n.retryStart(r, e.Start.Ref)
	case StartDeclined:
		n.startDeclined(r, e)
	}
}

func (n *Node) retryStart(r *replica, ref state.TaskRef) {
	if r.leaderState == nil {
		return
	}
	if d := r.leaderState.starts[ref]; d != nil {
		d.next = n.clock.Now + unreachableRetryDelay
	}
}

// startDeclined ends an attempt that never runs. If its end is not committed, the start
// is sent again to get the same answer.
func (n *Node) startDeclined(r *replica, e StartAnswered) {
	p := state.Report{TaskRef: e.Start.Ref, Endpoint: e.Start.Endpoint, Incarnation: e.Start.Incarnation, Status: state.TaskNotRun, Error: e.Reason}
	if _, ok := currentTask(r.domain, &p); !ok {
		delete(r.leaderState.starts, e.Start.Ref)
		return
	}
	if r.leaderState.reporting[p.TaskRef] {
		return
	}
	n.endAttempt(r, p, func(committed bool) {
		if !committed {
			n.retryStart(r, e.Start.Ref)
		}
	})
}

// stopTask asks an endpoint to stop an attempt. Heartbeat answers repeat the request
// for as long as the endpoint lists the attempt.
func (n *Node) stopTask(r *replica, rec *state.Record, task int) {
	t := &rec.State[task]
	e := r.domain.Endpoint(t.Endpoint)
	if e == nil {
		return
	}
	n.emit(StopTask{
		Group: r.group, Domain: r.domainName, Term: r.leaderState.term, Ref: state.TaskRef{Key: rec.Key, Task: task, Attempt: t.Attempt},
		Endpoint: e.Name, Address: e.Address, Incarnation: t.Incarnation, Seq: t.Seq,
	})
}

// resendStopLater makes resendStarts send the stop of an attempt again until the
// attempt has ended.
func (n *Node) resendStopLater(r *replica, rec *state.Record, task int) {
	if e := r.domain.Endpoint(rec.State[task].Endpoint); e != nil {
		s := n.startOf(r, rec, task, e)
		r.leaderState.starts[s.Ref] = &dispatch{start: s, next: n.clock.Now + startResendDelay}
	}
}
