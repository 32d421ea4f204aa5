package coordinationtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// endpointDrift is the largest deviation of the rate of an endpoint's clock.
	endpointDrift = 0.1
	// stopMargin is how long before the end of its lease an endpoint begins to stop
	// repeatable tasks, and stopTime the longest that a task takes to stop.
	stopMargin     = 500 * time.Millisecond
	stopTime       = 350 * time.Millisecond
	leaseWatch     = 100 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	endpointCall   = 3 * time.Second
)

// EndpointGuards switches off checks of the fake endpoints, so that tests can show
// that the invariants notice.
type EndpointGuards struct {
	NoTerm, NoIncarnation, NoLease, NoDuplicates, NoWatermark, NoStopAtLeaseEnd, DeclineAfterRestart bool
}

// Endpoint is a runner or worker that follows the contract of demo/standin.
type Endpoint struct {
	w           *World
	Name        string
	Domain      string
	Kind        state.EndpointKind
	Capacity    state.Resources
	Speed       float64
	FailAll     bool
	address     string
	incarnation uint64
	up          bool
	life        int
	rate        float64
	term        uint64
	leaseUntil  time.Duration // true time
	low         uint64
	assigner    *Process
	nextServer  int
	interval    time.Duration
	leaving     bool
	used        state.Resources
	attempts    map[uint64]*attempt
}

// attempt is a start that was answered, or a stop that came before its start.
type attempt struct {
	ref     state.TaskRef
	seq     uint64
	start   coordination.StartTask
	started bool
	ending  bool
	report  *state.Report // nil while it runs
	acked   bool
	exec    *Execution
}

func newEndpoint(w *World, name, domain string, kind state.EndpointKind, capacity state.Resources) *Endpoint {
	e := &Endpoint{w: w, Name: name, Domain: domain, Kind: kind, Capacity: capacity, Speed: 1, address: "ep:" + name, rate: 1 + endpointDrift*(2*w.rng.Float64()-1)}
	e.Restart()
	return e
}

func (w *World) endpointAt(address string) *Endpoint {
	for _, e := range w.Endpoints {
		if e.address == address {
			return e
		}
	}
	return nil
}

func (e *Endpoint) site() site { return site{e.Name, e.Domain} }

// Restart starts the endpoint as a new incarnation.
func (e *Endpoint) Restart() {
	if e.up {
		e.Crash()
	}
	e.up = true
	e.life++
	e.incarnation = max(e.incarnation+1, uint64(e.w.wallMS())<<20|e.w.rng.Uint64N(1<<20))
	e.term, e.leaseUntil, e.low, e.assigner, e.interval = 0, 0, 0, nil, 200*time.Millisecond
	e.leaving, e.FailAll = false, false
	e.used, e.attempts = state.Resources{}, map[uint64]*attempt{}
	e.w.Checks.endpointRestarted(e)
	life := e.life
	e.w.After(e.w.between(0, 100*time.Millisecond), func() { e.heartbeat(life) })
	e.w.After(leaseWatch, func() { e.watchLease(life) })
}

// Crash ends the endpoint and everything that runs on it.
func (e *Endpoint) Crash() {
	if !e.up {
		return
	}
	for _, a := range e.running() {
		e.w.Checks.ended(a.exec, "killed")
	}
	e.up = false
	e.life++
}

// Leave asks for no new work.
func (e *Endpoint) Leave() { e.leaving = true }

// running lists the attempts under way by sequence number.
func (e *Endpoint) running() []*attempt {
	var out []*attempt
	for _, a := range e.attempts {
		if a.started && a.report == nil {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return int(a.seq) - int(b.seq) })
	return out
}

func (e *Endpoint) hasLease() bool {
	return e.w.Now < e.leaseUntil-time.Duration(float64(stopMargin)/e.rate)
}

// start answers a start by the rules of docs/design.md 5.2.
func (e *Endpoint) start(s *coordination.StartTask) (coordination.StartResult, string) {
	g := &e.w.opt.Guards
	if !e.up {
		return coordination.StartUnreachable, "connection refused"
	}
	if s.Incarnation != e.incarnation && !g.NoIncarnation {
		if g.DeclineAfterRestart {
			return coordination.StartDeclined, "the endpoint has restarted"
		}
		// The earlier incarnation may have run it: nothing is known here.
		return coordination.StartUnreachable, "the endpoint has restarted"
	}
	if a := e.attempts[s.Seq]; a != nil && !g.NoDuplicates {
		if a.started {
			return coordination.StartAccepted, ""
		}
		return coordination.StartDeclined, "declined before"
	}
	if s.Seq <= e.low && !g.NoWatermark {
		return coordination.StartDeclined, "the assignment is settled"
	}
	if s.Term < e.term && !g.NoTerm {
		return coordination.StartUnreachable, "a newer leader is known"
	}
	a := &attempt{ref: s.Ref, seq: s.Seq, start: *s}
	e.attempts[s.Seq] = a
	e.term = max(e.term, s.Term)
	switch {
	case !e.hasLease() && !g.NoLease:
		return coordination.StartDeclined, "the endpoint has no lease"
	case !e.used.Add(s.PerTask).FitsIn(e.Capacity):
		e.w.Checks.noRoom(e, s)
		return coordination.StartDeclined, "the endpoint has no room"
	}
	e.run(a)
	return coordination.StartAccepted, ""
}

func (e *Endpoint) run(a *attempt) {
	a.started = true
	e.used = e.used.Add(a.start.PerTask)
	a.exec = e.w.Checks.began(e, a)
	work := parseWork(a.start.Payload)
	life := e.life
	e.w.After(time.Duration(float64(work.Run)/e.Speed), func() {
		switch {
		case e.life != life || a.report != nil:
		case work.Fail || e.FailAll:
			e.finish(a, state.TaskFailed, "the work failed")
		default:
			e.finish(a, state.TaskDone, "")
		}
	})
}

func (e *Endpoint) finish(a *attempt, status state.TaskStatus, message string) {
	e.w.Checks.ended(a.exec, string(status))
	e.used = e.used.Sub(a.start.PerTask)
	a.report = &state.Report{TaskRef: a.ref, Endpoint: e.Name, Incarnation: e.incarnation, Status: status, Error: message}
	if status == state.TaskDone {
		a.report.Result = resultOf(a.ref.Key, a.ref.Task)
	}
	e.deliver(a, e.life)
}

// resultOf is the complete result of a task.
func resultOf(k state.Key, task int) []byte {
	return fmt.Appendf(nil, `{"team":%q,"id":%q,"task":%d}`, k.Team, string(k.ID), task)
}

// deliver repeats a report until it is acknowledged.
func (e *Endpoint) deliver(a *attempt, life int) {
	if e.life != life || a.acked {
		return
	}
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		return coordination.TaskReport{Token: t, Domain: e.Domain, Report: *a.report}
	}
	e.post(build, func(answer coordination.Answer) {
		if answer.Code == coordination.CodeOK {
			a.acked = true
		}
	}, func() {
		e.w.After(reportInterval, func() { e.deliver(a, life) })
	})
}

// stopAttempt stops an attempt, or makes sure that it never starts.
func (e *Endpoint) stopAttempt(ref state.TaskRef, seq uint64) {
	a := e.attempts[seq]
	if a == nil && seq > e.low {
		a = &attempt{ref: ref, seq: seq}
		a.report = e.notRun(ref)
		e.attempts[seq] = a
		e.deliver(a, e.life)
		return
	}
	switch {
	case a == nil || a.report != nil:
	case a.started:
		e.end(a)
	default:
		// The answer that declined it may be lost.
		a.report = e.notRun(ref)
		e.deliver(a, e.life)
	}
}

func (e *Endpoint) notRun(ref state.TaskRef) *state.Report {
	return &state.Report{TaskRef: ref, Endpoint: e.Name, Incarnation: e.incarnation, Status: state.TaskNotRun, Error: "stopped before it started"}
}

// end stops a running task, which takes a moment.
func (e *Endpoint) end(a *attempt) {
	if a.ending {
		return
	}
	a.ending = true
	life := e.life
	e.w.After(e.w.between(0, stopTime), func() {
		if e.life == life && a.report == nil {
			e.finish(a, state.TaskCancelled, "stopped")
		}
	})
}

func (e *Endpoint) watchLease(life int) {
	if e.life != life {
		return
	}
	if !e.hasLease() && !e.w.opt.Guards.NoStopAtLeaseEnd {
		for _, a := range e.running() {
			if a.start.Repeatable {
				e.end(a)
			}
		}
	}
	e.w.After(leaseWatch, func() { e.watchLease(life) })
}

func (e *Endpoint) heartbeat(life int) {
	if e.life != life {
		return
	}
	ev := e.announcement()
	sent := e.w.Now
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		h := ev
		h.Token = t
		return h
	}
	e.post(build, func(a coordination.Answer) {
		if e.life == life && a.Code == coordination.CodeOK {
			e.renew(sent, a.Lease, ev.Endpoint.Status == state.EndpointLeaving)
		}
	}, func() {
		e.w.After(time.Duration(float64(e.interval)/e.rate), func() { e.heartbeat(life) })
	})
}

func (e *Endpoint) announcement() coordination.Heartbeat {
	h := coordination.Heartbeat{Domain: e.Domain, Endpoint: state.Endpoint{
		Name: e.Name, Kind: e.Kind, Address: e.address, Incarnation: e.incarnation, Capacity: e.Capacity,
		Rack: e.Domain + "-rack", Status: state.EndpointReady,
	}}
	if e.leaving {
		h.Endpoint.Status = state.EndpointLeaving
	}
	for _, a := range e.attempts {
		if a.started && !a.acked {
			h.Running = append(h.Running, coordination.Running{TaskRef: a.ref, Seq: a.seq})
		}
	}
	slices.SortFunc(h.Running, func(a, b coordination.Running) int { return int(a.Seq) - int(b.Seq) })
	return h
}

func (e *Endpoint) renew(sent time.Duration, l *coordination.Lease, leaving bool) {
	e.term = max(e.term, l.Term)
	e.leaseUntil = max(e.leaseUntil, sent+time.Duration(float64(l.LeaseMS)*float64(time.Millisecond)/e.rate))
	e.interval = time.Duration(l.IntervalMS) * time.Millisecond
	e.low = max(e.low, l.LowWatermark)
	for _, p := range e.w.Processes {
		if p.Peer.PublicAddress == l.Assigner {
			e.assigner = p
		}
	}
	for seq, a := range e.attempts {
		if seq <= e.low && (!a.started || a.acked) {
			delete(e.attempts, seq)
		}
	}
	for _, s := range l.Stop {
		e.stopAttempt(s.TaskRef, s.Seq)
	}
	if leaving {
		e.w.Checks.leaving(e.Name, e.incarnation)
	}
}

// post sends to the assigner, or to the next entry process if it does not answer.
// next is called once, after the answer or the timeout.
func (e *Endpoint) post(build builder, answered func(coordination.Answer), next func()) {
	to := e.assigner
	if to == nil {
		servers := e.servers()
		to = servers[e.nextServer%len(servers)]
		e.nextServer++
	}
	open := true
	finish := func(a coordination.Answer, ok bool) {
		if !open {
			return
		}
		open = false
		if !ok || a.Code != coordination.CodeOK {
			e.assigner = nil
		}
		if ok {
			answered(a)
		}
		next()
	}
	e.w.callThrough(e.site(), to, true, build, func(a coordination.Answer) { finish(a, true) })
	e.w.After(endpointCall, func() { finish(coordination.Answer{}, false) })
}

// servers lists the entry processes that the endpoint knows: those of its domain
// and one outside.
func (e *Endpoint) servers() []*Process {
	var out []*Process
	outside := false
	for _, p := range e.w.Processes {
		if p.Peer.Domain == e.Domain {
			out = append(out, p)
		} else if !outside {
			outside = true
			out = append(out, p)
		}
	}
	return out
}

// Work is the payload that the fake endpoints understand.
type Work struct {
	Run  time.Duration
	Fail bool
}

func (k Work) payload() []byte {
	return fmt.Appendf(nil, `{"run_ms":%d,"fail":%t}`, k.Run.Milliseconds(), k.Fail)
}

func parseWork(b []byte) Work {
	var ms int64
	var fail bool
	if _, err := fmt.Sscanf(string(b), `{"run_ms":%d,"fail":%t}`, &ms, &fail); err != nil {
		return Work{}
	}
	return Work{Run: time.Duration(ms) * time.Millisecond, Fail: fail}
}
