package coordinationtest

import (
	"bytes"
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// leavingGrace is how long an endpoint may still get new work after the answer to its
// heartbeat or drain stated that it is leaving.
const leavingGrace = 3 * time.Second

// Execution is one run of a task on an endpoint.
type Execution struct {
	Ref      state.TaskRef
	Endpoint string
	At       time.Duration // simulated time of the start
	ended    bool
	req      *Request
}

// Checks checks the guarantees G1 to G6 and G8, which the comments of its methods
// describe. The first violation ends the simulation.
type Checks struct {
	sim          *Simulation
	Err          error // first violation
	requests     map[state.Key]*Request
	historyEnded bool // the final checks of the answers have passed; operators resend nothing more

	Executions int
	EventLog   []string // latest events, printed with a violation

	applied        map[appliedKey]uint64            // index of the last checked entry
	newest         map[string]versionAt             // newest configuration version, by domain group
	inForce        map[string]uint64                // configuration version in force in the process's own domain, by process; deleted when the process starts
	leavingAt      map[string]leavingSince          // by endpoint
	sent           map[sentKey]bool                 // starts that were sent at least once
	LateStarts     int                              // number of starts of earlier assignments that were resent to leaving endpoints
	changes        map[string]state.ConfigureResult // result of each change, by change ID
	appliedChanges map[uint64]string                // ID of the applied change, by expected version
	lastAssign     map[state.TaskRef]time.Duration  // by attempt: simulated time at which its start was first sent
}

type appliedKey struct {
	process    string
	generation int
	group      string
}

type versionAt struct{ index, version uint64 }

type leavingSince struct {
	incarnation uint64
	at          time.Duration
}

type sentKey struct {
	endpoint    string
	incarnation uint64
	seq         uint64
}

func newChecks(sim *Simulation) *Checks {
	return &Checks{
		sim: sim, requests: map[state.Key]*Request{}, applied: map[appliedKey]uint64{}, newest: map[string]versionAt{}, inForce: map[string]uint64{},
		leavingAt: map[string]leavingSince{}, sent: map[sentKey]bool{}, changes: map[string]state.ConfigureResult{}, appliedChanges: map[uint64]string{},
		lastAssign: map[state.TaskRef]time.Duration{},
	}
}

func (c *Checks) fail(guarantee, format string, args ...any) {
	if c.Err == nil {
		c.Err = fmt.Errorf("%s violated at %v (seed %d): %s", guarantee, c.sim.Now, c.sim.options.Seed, fmt.Sprintf(format, args...))
	}
}

// maxEventLog is the largest number of events that are kept for the report of a
// violation.
const maxEventLog = 4000

// LogEvent adds an event to the log that is printed with a violation.
func (c *Checks) LogEvent(format string, args ...any) {
	if len(c.EventLog) >= maxEventLog {
		c.EventLog = append(c.EventLog[:0], c.EventLog[maxEventLog/2:]...)
	}
	c.EventLog = append(c.EventLog, fmt.Sprintf("%v ", c.sim.Now)+fmt.Sprintf(format, args...))
}

func (c *Checks) processStarted(p *Process) { delete(c.inForce, p.Peer.Name) }

// stepped checks the state of the groups that have applied an entry in the last step
// of a process.
func (c *Checks) stepped(p *Process) {
	for _, v := range p.node.Views(p.clock().Now) {
		if v.Domain == nil {
			continue
		}
		k := appliedKey{p.Peer.Name, p.generation, v.Group}
		if at := v.Domain.Applied(); at != c.applied[k] {
			c.applied[k] = at
			c.checkCapacity(v.Domain)
			c.checkVersion(p, &v)
		}
	}
}

// checkCapacity checks G1 in the state of a domain: no endpoint has more capacity reserved
// than it has.
func (c *Checks) checkCapacity(d *state.Domain) {
	for _, e := range d.Endpoints() {
		if e.Free().IsNegative() {
			c.fail("G1", "endpoint %s has capacity %+v, reserved %+v", e.Name, e.Capacity, e.Reserved)
		}
	}
}

// checkVersion checks G8: the configuration version never decreases, neither along the
// log of a domain nor on a running process.
func (c *Checks) checkVersion(p *Process, v *coordination.View) {
	version, index := v.Domain.Configuration().Version, v.Domain.Applied()
	newest := c.newest[v.Group]
	if index >= newest.index {
		if version < newest.version {
			c.fail("G8", "%s has configuration version %d at index %d, it had version %d", v.Group, version, index, newest.version)
		}
		c.newest[v.Group] = versionAt{index, version}
	}
	if v.DomainName == p.Peer.Domain {
		if version < c.inForce[p.Peer.Name] {
			c.fail("G8", "process %s went back from configuration version %d to %d", p.Peer.Name, c.inForce[p.Peer.Name], version)
		}
		c.inForce[p.Peer.Name] = version
	}
}

// capacityExceeded reports a violation of G1 that an endpoint detects: it got a start
// that exceeds its free capacity.
func (c *Checks) capacityExceeded(e *Endpoint, s *coordination.StartTask) {
	c.fail("G1", "endpoint %s uses %+v of %+v and got a start that needs %+v (%s)", e.Name, e.used, e.Capacity, s.PerTask, s.Ref)
}

// executionStarted checks the start of an execution: that its request exists (G3),
// that the task does not run elsewhere (G2), that no answer stated that the request
// did not run (G4), and that unrepeatable work starts once only (G5).
func (c *Checks) executionStarted(e *Endpoint, a *attempt) *Execution {
	r := c.requests[a.ref.Key]
	x := &Execution{Ref: a.ref, Endpoint: e.Name, At: c.sim.Now, req: r}
	c.Executions++
	c.LogEvent("start %s seq %d term %d on %s", a.ref, a.seq, a.start.Term, e.Name)
	if r == nil {
		c.fail("G3", "endpoint %s started %s, which nobody submitted", e.Name, a.ref)
		return x
	}
	r.starts[a.ref.Task]++
	r.running[a.ref.Task]++
	if r.running[a.ref.Task] > 1 {
		c.fail("G2", "%s (%s) runs on %s and on another endpoint at the same time", a.ref, r.Class, e.Name)
	}
	if r.NotRun {
		c.fail("G4", "%s started on %s after an answer to its caller stated that it did not run", a.ref, e.Name)
	}
	if !r.Repeatable && r.starts[a.ref.Task] > 1 {
		c.fail("G5", "unrepeatable %s started again on %s", a.ref, e.Name)
	}
	return x
}

// ended records the end of an execution. how is its status, or "killed" if the endpoint
// stopped.
func (c *Checks) ended(x *Execution, how string) {
	if x.ended {
		return
	}
	x.ended = true
	c.LogEvent("end %s on %s: %s", x.Ref, x.Endpoint, how)
	if x.req != nil {
		x.req.running[x.Ref.Task]--
		if how == string(state.TaskDone) {
			x.req.completed[x.Ref.Task] = true
		}
	}
}

// callAnswered checks G3 and G4 on the answer to a call that a caller sent at the
// given time. Answers may overtake each other, so an answer must agree with an earlier
// one only if its call was sent after the earlier one arrived.
func (c *Checks) callAnswered(r *Request, a coordination.Answer, sent time.Duration) {
	accepted := r.Accepted && sent >= r.AcceptedAt
	if a.Code != coordination.CodeOK && a.Code != coordination.CodeUnavailable {
		c.LogEvent("answer to %s: %s %s", r.Key.ID, a.Code, a.Message)
	}
	switch a.Code {
	case coordination.CodeOK:
		if a.Record != nil {
			c.checkRecord(r, a.Record, sent)
		}
	case coordination.CodeRefused:
		if r.Accepted {
			c.fail("G3", "accepted request %s was refused later: %s", r.Key.ID, a.Message)
		}
		c.checkNotRun(r, a.Message)
	case coordination.CodeNotFound, coordination.CodeTooOld:
		if accepted {
			c.fail("G3", "accepted request %s is answered %s", r.Key.ID, a.Code)
		}
	case coordination.CodeInvalid, coordination.CodeConflict:
		c.fail("G3", "request %s is answered %s: %s", r.Key.ID, a.Code, a.Message)
	}
}

// checkRecord checks G3 and G4 on a record that answers a call sent at the given time, and
// keeps its outcome if it is final: an outcome never changes, except from unknown.
func (c *Checks) checkRecord(r *Request, rec *state.Record, sent time.Duration) {
	if rec.Key != r.Key {
		c.fail("G3", "the caller of request %s got the answer to request %s", r.Key.ID, rec.ID)
		return
	}
	if !rec.Final() {
		if r.Done && sent >= r.DoneAt {
			c.fail("G3", "request %s has no final outcome after the outcome %s", r.Key.ID, r.Outcome)
		}
		return
	}
	outcome := rec.Outcome()
	if r.Done && outcome == state.OutcomeUnknown && sent < r.DoneAt {
		return
	}
	if r.Done && outcome != r.Outcome && r.Outcome != state.OutcomeUnknown {
		c.fail("G3", "the outcome of request %s changed from %s to %s", r.Key.ID, r.Outcome, outcome)
	}
	if !r.Done {
		r.DoneAt = c.sim.Now
		c.LogEvent("answer to %s: %s", r.Key.ID, outcome)
	}
	r.Done, r.Outcome = true, outcome
	switch outcome {
	case state.OutcomeDone:
		c.checkResults(r, rec)
	case state.OutcomeNotRun:
		c.checkNotRun(r, rec.Reason)
	}
}

func (c *Checks) checkResults(r *Request, rec *state.Record) {
	if len(rec.State) != max(1, r.Submission.Tasks) {
		c.fail("G3", "request %s of %d tasks has %d results", r.Key.ID, r.Submission.Tasks, len(rec.State))
	}
	for i := range rec.State {
		if !bytes.Equal(rec.State[i].Result, resultOf(r.Key, i)) {
			c.fail("G3", "task %d of %s has the result %q", i, r.Key.ID, rec.State[i].Result)
		}
		if !r.completed[i] {
			c.fail("G3", "task %d of %s is done, but no execution has completed", i, r.Key.ID)
		}
	}
}

func (c *Checks) checkNotRun(r *Request, reason string) {
	r.NotRun = true
	for task, n := range r.starts {
		if n > 0 {
			c.fail("G4", "an answer stated that request %s did not run (%s), but task %d has started", r.Key.ID, reason, task)
		}
	}
}

// leaving records the time at which an endpoint or its operator received the answer
// that the endpoint gets no new work.
func (c *Checks) leaving(name string, incarnation uint64) {
	if old, ok := c.leavingAt[name]; ok && old.incarnation == incarnation {
		return
	}
	c.LogEvent("endpoint %s is leaving", name)
	c.leavingAt[name] = leavingSince{incarnation, c.sim.Now}
}

func (c *Checks) endpointRestarted(e *Endpoint) {
	c.LogEvent("endpoint %s is incarnation %x", e.Name, e.incarnation)
	delete(c.leavingAt, e.Name)
}

// startSent checks G6: a leaving endpoint gets no new start after leavingGrace. A
// start that is resent belongs to an earlier assignment and is only counted.
func (c *Checks) startSent(p *Process, s *coordination.StartTask) {
	c.LogEvent("%s sends start %s seq %d term %d try %d to %s", p.Peer.Name, s.Ref, s.Seq, s.Term, s.Transmission, s.Endpoint)
	k := sentKey{s.Endpoint, s.Incarnation, s.Seq}
	l, leaving := c.leavingAt[s.Endpoint]
	late := leaving && l.incarnation == s.Incarnation && c.sim.Now > l.at+leavingGrace
	switch {
	case late && !c.sent[k]:
		c.fail("G6", "leaving endpoint %s got the new start %s %v after it began to leave", s.Endpoint, s.Ref, c.sim.Now-l.at)
	case late:
		c.LateStarts++
	}
	if !c.sent[k] {
		c.lastAssign[s.Ref] = c.sim.Now
	}
	c.sent[k] = true
}

// changeAnswered checks G8: a resent change gets the same answer as the first time,
// and of several changes that are based on one version at most one is applied.
func (c *Checks) changeAnswered(change *state.Configure, r state.ConfigureResult) {
	if first, ok := c.changes[change.ChangeID]; ok && first != r {
		c.fail("G8", "change %s was answered %+v and then %+v", change.ChangeID, first, r)
	}
	c.changes[change.ChangeID] = r
	if !r.Applied {
		return
	}
	if r.Version != change.Expected+1 {
		c.fail("G8", "change %s of version %d made version %d", change.ChangeID, change.Expected, r.Version)
	}
	if other, ok := c.appliedChanges[change.Expected]; ok && other != change.ChangeID {
		c.fail("G8", "changes %s and %s of version %d were both applied", other, change.ChangeID, change.Expected)
	}
	c.appliedChanges[change.Expected] = change.ChangeID
}
