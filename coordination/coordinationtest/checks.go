package coordinationtest

import (
	"bytes"
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination"
	"github.com/primrosereach/primrosereach/state"
)

// leavingGrace is how long after its leaving was answered an endpoint may still get
// new work.
const leavingGrace = 3 * time.Second

// Execution is one run of a task on an endpoint.
type Execution struct {
	Ref      state.TaskRef
	Endpoint string
	At       time.Duration
	ended    bool
	req      *Request
}

// Checks holds what must stay true. The first violation stops the world.
type Checks struct {
	w        *World
	Err      error
	requests map[state.Key]*Request
	over     bool

	Executions int
	Trail      []string // the latest events, for the report of a violation

	applied    map[appliedKey]uint64
	newest     map[string]versionAt // by domain group
	inForce    map[string]uint64    // by process, of its home domain in this life
	leavingAt  map[string]leavingSince
	sent       map[sentKey]bool
	Late       int // starts of earlier assignments resent to leaving endpoints
	changes    map[string]state.ConfigureResult
	winners    map[uint64]string // change ID by expected version
	lastAssign map[state.TaskRef]time.Duration
}

type appliedKey struct {
	process string
	life    int
	group   string
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

func newChecks(w *World) *Checks {
	return &Checks{
		w: w, requests: map[state.Key]*Request{}, applied: map[appliedKey]uint64{}, newest: map[string]versionAt{}, inForce: map[string]uint64{},
		leavingAt: map[string]leavingSince{}, sent: map[sentKey]bool{}, changes: map[string]state.ConfigureResult{}, winners: map[uint64]string{},
		lastAssign: map[state.TaskRef]time.Duration{},
	}
}

func (c *Checks) fail(guarantee, format string, args ...any) {
	if c.Err == nil {
		c.Err = fmt.Errorf("%s violated at %v (seed %d): %s", guarantee, c.w.Now, c.w.opt.Seed, fmt.Sprintf(format, args...))
	}
}

// trailLength bounds the events kept for the report of a violation.
const trailLength = 4000

// Note keeps an event for the report of a violation.
func (c *Checks) Note(format string, args ...any) {
	if len(c.Trail) >= trailLength {
		c.Trail = append(c.Trail[:0], c.Trail[trailLength/2:]...)
	}
	c.Trail = append(c.Trail, fmt.Sprintf("%v ", c.w.Now)+fmt.Sprintf(format, args...))
}

func (c *Checks) started(p *Process) { delete(c.inForce, p.Peer.Name) }

// stepped checks the groups in which a step has applied something.
func (c *Checks) stepped(p *Process) {
	for _, v := range p.node.Views(p.clock().Now) {
		if v.Domain == nil {
			continue
		}
		k := appliedKey{p.Peer.Name, p.life, v.Group}
		if at := v.Domain.Applied(); at != c.applied[k] {
			c.applied[k] = at
			c.checkCapacity(v.Domain)
			c.checkVersion(p, &v)
		}
	}
}

// checkCapacity is G1 as the assigner sees it.
func (c *Checks) checkCapacity(d *state.Domain) {
	for _, e := range d.Endpoints() {
		if e.Free().IsNegative() {
			c.fail("G1", "endpoint %s has %+v, reserved %+v", e.Name, e.Capacity, e.Reserved)
		}
	}
}

// checkVersion is G8: the version in force goes back neither with the log of a
// domain nor on a running process.
func (c *Checks) checkVersion(p *Process, v *coordination.View) {
	version, index := v.Domain.Configuration().Version, v.Domain.Applied()
	newest := c.newest[v.Group]
	if index >= newest.index {
		if version < newest.version {
			c.fail("G8", "%s is at version %d at index %d, it was at %d", v.Group, version, index, newest.version)
		}
		c.newest[v.Group] = versionAt{index, version}
	}
	if v.DomainName == p.Peer.Domain {
		if version < c.inForce[p.Peer.Name] {
			c.fail("G8", "process %s went back from version %d to %d", p.Peer.Name, c.inForce[p.Peer.Name], version)
		}
		c.inForce[p.Peer.Name] = version
	}
}

// noRoom is G1 as the endpoint sees it.
func (c *Checks) noRoom(e *Endpoint, s *coordination.StartTask) {
	c.fail("G1", "endpoint %s uses %+v of %+v and got a start of %+v (%s)", e.Name, e.used, e.Capacity, s.PerTask, s.Ref)
}

// began checks G2, G4 and G5 when an execution starts.
func (c *Checks) began(e *Endpoint, a *attempt) *Execution {
	r := c.requests[a.ref.Key]
	x := &Execution{Ref: a.ref, Endpoint: e.Name, At: c.w.Now, req: r}
	c.Executions++
	c.Note("start %s seq %d term %d on %s", a.ref, a.seq, a.start.Term, e.Name)
	if r == nil {
		c.fail("G3", "endpoint %s started %s, which nobody submitted", e.Name, a.ref)
		return x
	}
	r.starts[a.ref.Task]++
	r.running[a.ref.Task]++
	if r.running[a.ref.Task] > 1 {
		c.fail("G2", "%s (%s) runs on %s and elsewhere at once", a.ref, r.Class, e.Name)
	}
	if r.NotRun {
		c.fail("G4", "%s started on %s after its caller was told that it did not run", a.ref, e.Name)
	}
	if !r.Repeatable && r.starts[a.ref.Task] > 1 {
		c.fail("G5", "unrepeatable %s started again on %s", a.ref, e.Name)
	}
	return x
}

func (c *Checks) ended(x *Execution, how string) {
	if x.ended {
		return
	}
	x.ended = true
	c.Note("end %s on %s: %s", x.Ref, x.Endpoint, how)
	if x.req != nil {
		x.req.running[x.Ref.Task]--
		if how == string(state.TaskDone) {
			x.req.completed[x.Ref.Task] = true
		}
	}
}

// answered checks what a caller is told in answer to a call that it sent at a time:
// G3 and G4. Answers may overtake each other, so only a call that was sent after an
// answer had arrived must agree with it.
func (c *Checks) answered(r *Request, a coordination.Answer, sent time.Duration) {
	accepted := r.Accepted && sent >= r.AcceptedAt
	if a.Code != coordination.CodeOK && a.Code != coordination.CodeUnavailable {
		c.Note("answer to %s: %s %s", r.Key.ID, a.Code, a.Message)
	}
	switch a.Code {
	case coordination.CodeOK:
		if a.Record != nil {
			c.told(r, a.Record, sent)
		}
	case coordination.CodeRefused:
		if r.Accepted {
			c.fail("G3", "accepted request %s was refused later: %s", r.Key.ID, a.Message)
		}
		c.toldNotRun(r, a.Message)
	case coordination.CodeNotFound, coordination.CodeTooOld:
		if accepted {
			c.fail("G3", "accepted request %s is answered %s", r.Key.ID, a.Code)
		}
	case coordination.CodeInvalid, coordination.CodeConflict:
		c.fail("G3", "request %s is answered %s: %s", r.Key.ID, a.Code, a.Message)
	}
}

func (c *Checks) told(r *Request, rec *state.Record, sent time.Duration) {
	if rec.Key != r.Key {
		c.fail("G3", "the caller of %s got the answer to %s", r.Key.ID, rec.ID)
		return
	}
	if !rec.Final() {
		if r.Done && sent >= r.DoneAt {
			c.fail("G3", "request %s is open again after %s", r.Key.ID, r.Outcome)
		}
		return
	}
	outcome := rec.Outcome()
	if r.Done && outcome == state.OutcomeUnknown && sent < r.DoneAt {
		return
	}
	if r.Done && outcome != r.Outcome && r.Outcome != state.OutcomeUnknown {
		c.fail("G3", "request %s was %s and is %s", r.Key.ID, r.Outcome, outcome)
	}
	if !r.Done {
		r.DoneAt = c.w.Now
		c.Note("answer to %s: %s", r.Key.ID, outcome)
	}
	r.Done, r.Outcome = true, outcome
	switch outcome {
	case state.OutcomeDone:
		c.checkResults(r, rec)
	case state.OutcomeNotRun:
		c.toldNotRun(r, rec.Reason)
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

func (c *Checks) toldNotRun(r *Request, reason string) {
	r.NotRun = true
	for task, n := range r.starts {
		if n > 0 {
			c.fail("G4", "the caller of %s was told that it did not run (%s), but task %d has started", r.Key.ID, reason, task)
		}
	}
}

// leaving notes that an endpoint knows that it gets no new work, or its operator
// does.
func (c *Checks) leaving(name string, incarnation uint64) {
	if old, ok := c.leavingAt[name]; ok && old.incarnation == incarnation {
		return
	}
	c.Note("endpoint %s is leaving", name)
	c.leavingAt[name] = leavingSince{incarnation, c.w.Now}
}

func (c *Checks) endpointRestarted(e *Endpoint) {
	c.Note("endpoint %s is incarnation %x", e.Name, e.incarnation)
	delete(c.leavingAt, e.Name)
}

// startSent is G6. A start that is sent again belongs to an earlier assignment.
func (c *Checks) startSent(p *Process, s *coordination.StartTask) {
	c.Note("%s sends start %s seq %d term %d try %d to %s", p.Peer.Name, s.Ref, s.Seq, s.Term, s.Try, s.Endpoint)
	k := sentKey{s.Endpoint, s.Incarnation, s.Seq}
	l, leaving := c.leavingAt[s.Endpoint]
	late := leaving && l.incarnation == s.Incarnation && c.w.Now > l.at+leavingGrace
	switch {
	case late && !c.sent[k]:
		c.fail("G6", "endpoint %s got the new start %s %v after it was leaving", s.Endpoint, s.Ref, c.w.Now-l.at)
	case late:
		c.Late++
	}
	if !c.sent[k] {
		c.lastAssign[s.Ref] = c.w.Now
	}
	c.sent[k] = true
}

// configured checks G8: a resend gets the first answer, and of several changes of
// one version exactly one is applied.
func (c *Checks) configured(change *state.Configure, r state.ConfigureResult) {
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
	if other, ok := c.winners[change.Expected]; ok && other != change.ChangeID {
		c.fail("G8", "changes %s and %s of version %d were both applied", other, change.ChangeID, change.Expected)
	}
	c.winners[change.Expected] = change.ChangeID
}
