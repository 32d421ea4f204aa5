package coordinationtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// endpointDrift is the largest relative deviation of the rate of an endpoint's
	// clock.
	endpointDrift = 0.1
	// stopMargin is how long before the end of its lease an endpoint begins to stop
	// repeatable tasks, and maxStopTime the longest time that a task takes to stop.
	// stopMargin exceeds maxStopTime plus leaseCheckInterval, so that the tasks have
	// stopped when the lease ends.
	stopMargin          = 500 * time.Millisecond
	maxStopTime         = 350 * time.Millisecond
	leaseCheckInterval  = 100 * time.Millisecond
	reportInterval      = 200 * time.Millisecond
	endpointCallTimeout = 3 * time.Second
)

// EndpointGuards disables checks of the simulated endpoints, so that tests can show that
// Checks detects a missing one. DeclineAfterRestart makes endpoints decline starts for
// another incarnation, although that incarnation may have run the task.
type EndpointGuards struct {
	NoTerm, NoIncarnation, NoLease, NoDuplicates, NoWatermark, NoStopAtLeaseEnd, DeclineAfterRestart bool
}

// Endpoint is a simulated runner or worker that follows the same protocol as
// demo/standin.
type Endpoint struct {
	sim         *Simulation
	Name        string
	Domain      string
	Kind        state.EndpointKind
	Capacity    state.Resources
	Speed       float64 // factor on the speed of executions, 1 by default
	FailAll     bool    // every task fails
	address     string
	incarnation uint64
	up          bool
	generation  int           // incremented by every start and crash; events scheduled for an earlier generation are dropped
	rate        float64       // seconds of the endpoint's clock for each simulated second
	term        uint64        // newest term received
	leaseUntil  time.Duration // simulated time at which the lease ends
	settledUpTo uint64        // low watermark: all assignments up to this sequence number are settled
	assigner    *Process      // process to which heartbeats and reports are sent, nil if not known
	nextServer  int           // index of the entry process for the next call without an assigner
	interval    time.Duration // interval between heartbeats
	leaving     bool
	used        state.Resources     // resources of the running attempts
	attempts    map[uint64]*attempt // by sequence number
}

// attempt is a start that was answered, or a stop that arrived before its start.
type attempt struct {
	ref     state.TaskRef
	seq     uint64
	start   coordination.StartTask
	started bool
	ending  bool          // it is being stopped
	report  *state.Report // nil until the attempt has ended
	acked   bool          // the report was acknowledged
	exec    *Execution
}

func newEndpoint(sim *Simulation, name, domain string, kind state.EndpointKind, capacity state.Resources) *Endpoint {
	e := &Endpoint{sim: sim, Name: name, Domain: domain, Kind: kind, Capacity: capacity, Speed: 1, address: "ep:" + name, rate: 1 + endpointDrift*(2*sim.rng.Float64()-1)}
	e.Restart()
	return e
}

func (sim *Simulation) endpointAt(address string) *Endpoint {
	for _, e := range sim.Endpoints {
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
	e.generation++
	e.incarnation = max(e.incarnation+1, uint64(e.sim.wallMS())<<20|e.sim.rng.Uint64N(1<<20))
	e.term, e.leaseUntil, e.settledUpTo, e.assigner, e.interval = 0, 0, 0, nil, 200*time.Millisecond
	e.leaving, e.FailAll = false, false
	e.used, e.attempts = state.Resources{}, map[uint64]*attempt{}
	e.sim.Checks.endpointRestarted(e)
	generation := e.generation
	e.sim.After(e.sim.randomBetween(0, 100*time.Millisecond), func() { e.heartbeat(generation) })
	e.sim.After(leaseCheckInterval, func() { e.checkLease(generation) })
}

// Crash stops the endpoint and all its executions.
func (e *Endpoint) Crash() {
	if !e.up {
		return
	}
	for _, a := range e.running() {
		e.sim.Checks.ended(a.exec, "killed")
	}
	e.up = false
	e.generation++
}

// Leave makes the endpoint report that it is leaving, so that it gets no new work.
func (e *Endpoint) Leave() { e.leaving = true }

// running returns the running attempts, ordered by sequence number.
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
	return e.sim.Now < e.leaseUntil-time.Duration(float64(stopMargin)/e.rate)
}

// start answers a start according to the rules of docs/design.md 5.2.
func (e *Endpoint) start(s *coordination.StartTask) (coordination.StartResult, string) {
	g := &e.sim.options.Guards
	if !e.up {
		return coordination.StartUnreachable, "connection refused"
	}
	if s.Incarnation != e.incarnation && !g.NoIncarnation {
		if g.DeclineAfterRestart {
			return coordination.StartDeclined, "the endpoint has restarted"
		}
		// The previous incarnation may have run the task, so the answer must not state
		// that it did not run.
		return coordination.StartUnreachable, "the endpoint has restarted"
	}
	if a := e.attempts[s.Seq]; a != nil && !g.NoDuplicates {
		if a.started {
			return coordination.StartAccepted, ""
		}
		return coordination.StartDeclined, "the start was declined before"
	}
	if s.Seq <= e.settledUpTo && !g.NoWatermark {
		return coordination.StartDeclined, "the assignment is settled"
	}
	if s.Term < e.term && !g.NoTerm {
		return coordination.StartUnreachable, "the endpoint has received a newer term"
	}
	a := &attempt{ref: s.Ref, seq: s.Seq, start: *s}
	e.attempts[s.Seq] = a
	e.term = max(e.term, s.Term)
	switch {
	case !e.hasLease() && !g.NoLease:
		return coordination.StartDeclined, "the endpoint has no lease"
	case !e.used.Add(s.PerTask).FitsIn(e.Capacity):
		e.sim.Checks.capacityExceeded(e, s)
		return coordination.StartDeclined, "the endpoint has no free capacity"
	}
	e.run(a)
	return coordination.StartAccepted, ""
}

func (e *Endpoint) run(a *attempt) {
	a.started = true
	e.used = e.used.Add(a.start.PerTask)
	a.exec = e.sim.Checks.executionStarted(e, a)
	work := parseWork(a.start.Payload)
	generation := e.generation
	e.sim.After(time.Duration(float64(work.Run)/e.Speed), func() {
		switch {
		case e.generation != generation || a.report != nil:
		case work.Fail || e.FailAll:
			e.finish(a, state.TaskFailed, "the work failed")
		default:
			e.finish(a, state.TaskDone, "")
		}
	})
}

func (e *Endpoint) finish(a *attempt, status state.TaskStatus, message string) {
	e.sim.Checks.ended(a.exec, string(status))
	e.used = e.used.Sub(a.start.PerTask)
	a.report = &state.Report{TaskRef: a.ref, Endpoint: e.Name, Incarnation: e.incarnation, Status: status, Error: message}
	if status == state.TaskDone {
		a.report.Result = resultOf(a.ref.Key, a.ref.Task)
	}
	e.deliver(a, e.generation)
}

// resultOf returns the result that a completed task reports.
func resultOf(k state.Key, task int) []byte {
	return fmt.Appendf(nil, `{"team":%q,"id":%q,"task":%d}`, k.Team, string(k.ID), task)
}

// deliver resends a report until it is acknowledged.
func (e *Endpoint) deliver(a *attempt, generation int) {
	if e.generation != generation || a.acked {
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
		e.sim.After(reportInterval, func() { e.deliver(a, generation) })
	})
}

// stopAttempt stops an attempt. If its start has not arrived or was declined it
// reports that the task did not run, and a later start is declined.
func (e *Endpoint) stopAttempt(ref state.TaskRef, seq uint64) {
	a := e.attempts[seq]
	if a == nil && seq > e.settledUpTo {
		a = &attempt{ref: ref, seq: seq}
		a.report = e.notRun(ref)
		e.attempts[seq] = a
		e.deliver(a, e.generation)
		return
	}
	switch {
	case a == nil || a.report != nil:
	case a.started:
		e.stopExecution(a)
	default:
		// The answer that declined the start may have been lost.
		a.report = e.notRun(ref)
		e.deliver(a, e.generation)
	}
}

func (e *Endpoint) notRun(ref state.TaskRef) *state.Report {
	return &state.Report{TaskRef: ref, Endpoint: e.Name, Incarnation: e.incarnation, Status: state.TaskNotRun, Error: "stopped before it started"}
}

// stopExecution stops a running task, which takes up to maxStopTime.
func (e *Endpoint) stopExecution(a *attempt) {
	if a.ending {
		return
	}
	a.ending = true
	generation := e.generation
	e.sim.After(e.sim.randomBetween(0, maxStopTime), func() {
		if e.generation == generation && a.report == nil {
			e.finish(a, state.TaskCancelled, "stopped")
		}
	})
}

func (e *Endpoint) checkLease(generation int) {
	if e.generation != generation {
		return
	}
	if !e.hasLease() && !e.sim.options.Guards.NoStopAtLeaseEnd {
		for _, a := range e.running() {
			if a.start.Repeatable {
				e.stopExecution(a)
			}
		}
	}
	e.sim.After(leaseCheckInterval, func() { e.checkLease(generation) })
}

func (e *Endpoint) heartbeat(generation int) {
	if e.generation != generation {
		return
	}
	ev := e.heartbeatEvent()
	sent := e.sim.Now
	build := func(t coordination.Token, _ time.Duration) coordination.Event {
		h := ev
		h.Token = t
		return h
	}
	e.post(build, func(a coordination.Answer) {
		if e.generation == generation && a.Code == coordination.CodeOK {
			e.renewLease(sent, a.Lease, ev.Endpoint.Status == state.EndpointLeaving)
		}
	}, func() {
		e.sim.After(time.Duration(float64(e.interval)/e.rate), func() { e.heartbeat(generation) })
	})
}

func (e *Endpoint) heartbeatEvent() coordination.Heartbeat {
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

func (e *Endpoint) renewLease(sent time.Duration, l *coordination.Lease, leaving bool) {
	e.term = max(e.term, l.Term)
	e.leaseUntil = max(e.leaseUntil, sent+time.Duration(float64(l.LeaseMS)*float64(time.Millisecond)/e.rate))
	e.interval = time.Duration(l.IntervalMS) * time.Millisecond
	e.settledUpTo = max(e.settledUpTo, l.LowWatermark)
	for _, p := range e.sim.Processes {
		if p.Peer.PublicAddress == l.Assigner {
			e.assigner = p
		}
	}
	for seq, a := range e.attempts {
		if seq <= e.settledUpTo && (!a.started || a.acked) {
			delete(e.attempts, seq)
		}
	}
	for _, s := range l.Stop {
		e.stopAttempt(s.TaskRef, s.Seq)
	}
	if leaving {
		e.sim.Checks.leaving(e.Name, e.incarnation)
	}
}

// post sends a call to the assigner. After a failed call or a timeout the assigner is
// unknown and the next call goes to the next entry process. next is called once, after
// the answer or the timeout.
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
	e.sim.callThrough(e.site(), to, true, build, func(a coordination.Answer) { finish(a, true) })
	e.sim.After(endpointCallTimeout, func() { finish(coordination.Answer{}, false) })
}

// servers returns the entry processes that are configured for the endpoint: all
// processes of its domain and one of another domain.
func (e *Endpoint) servers() []*Process {
	var out []*Process
	outside := false
	for _, p := range e.sim.Processes {
		if p.Peer.Domain == e.Domain {
			out = append(out, p)
		} else if !outside {
			outside = true
			out = append(out, p)
		}
	}
	return out
}

// Work is the payload that the simulated endpoints interpret.
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
