package coordination

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/coordination/health"
	"github.com/primrosereach/primrosereach/coordination/jobs"
	"github.com/primrosereach/primrosereach/coordination/scheduling"
	"github.com/primrosereach/primrosereach/state"
)

const (
	// sweepInterval is the period of the checks that need no better precision:
	// silent endpoints, expired requests, old records.
	sweepInterval = 500 * time.Millisecond
	// retention is how long a final record is kept.
	retention = 7 * 24 * time.Hour
	// forgetInterval and forgetBatch bound the work of one retention sweep.
	forgetInterval = 10 * time.Minute
	forgetBatch    = 1000
)

// outsideTerm is how long an outside member leads before it passes leadership back.
// The member that it got it from may be stopping, which takes up to 30 s, and would
// return it at once.
const outsideTerm = 35 * time.Second

// leadership is what a leader knows beyond the replicated state. It is rebuilt
// when a term begins.
type leadership struct {
	term          uint64
	since         time.Duration
	sched         scheduling.Scheduler // nil but in a domain group
	jobs          *jobs.Leader         // nil but in the job group
	starts        map[state.TaskRef]*dispatch
	health        *health.Tracker
	changes       map[string]*statusChange // not yet committed, by endpoint
	announcing    map[string]uint64        // incarnation whose RegisterEndpoint is in the log, by endpoint
	waiters       map[state.Key][]Token    // calls that wait for a final record
	waitingFor    map[Token]state.Key
	reporting     map[state.TaskRef]bool // attempts whose report is in the log
	adopting      bool
	bootstrapping bool // the group's Bootstrap command is in the log
	nextSweep     time.Duration
	nextForget    time.Duration
}

// statusChange is a change of endpoint status that the tracker asked for.
type statusChange struct {
	health.Transition
	proposed bool
}

// dispatch is a start that its endpoint has not acknowledged.
type dispatch struct {
	start StartTask
	next  time.Duration // of the next try
}

func (l *leadership) nextWake() time.Duration {
	wake := l.nextSweep
	if l.sched != nil {
		wake = earlier(wake, l.sched.NextWake())
	}
	if l.jobs != nil {
		wake = earlier(wake, l.jobs.NextWake())
	}
	if at, ok := l.health.NextDeadline(); ok {
		wake = earlier(wake, at)
	}
	return wake
}

// watchLeadership starts or ends the work of a leader.
func (n *Node) watchLeadership(r *replica) {
	_, term := r.raft.Leader()
	leads := r.raft.IsLeader() && r.appliedTerm == term && n.failed == nil
	if r.lead != nil && (!leads || r.lead.term != term) {
		n.resign(r)
	}
	if leads && r.lead == nil {
		n.takeOver(r, term)
	}
	if !r.raft.IsLeader() && len(r.proposals) > 0 {
		n.dropProposals(r)
	}
}

// takeOver rebuilds the leader's view from the replicated state. Starts that were
// not reported are sent again: the former leader may have died before it sent them,
// and endpoints recognise duplicates.
func (n *Node) takeOver(r *replica, term uint64) {
	l := &leadership{
		term: term, since: n.clock.Now,
		starts: map[state.TaskRef]*dispatch{}, health: health.New(), changes: map[string]*statusChange{},
		announcing: map[string]uint64{}, waiters: map[state.Key][]Token{}, waitingFor: map[Token]state.Key{},
		reporting: map[state.TaskRef]bool{},
		nextSweep: n.clock.Now + sweepInterval, nextForget: n.clock.Now + forgetInterval,
	}
	r.lead = l
	n.log("info", "take over", "", "leads group "+r.group)
	if r.jobs != nil {
		n.leadJobs(r, l)
	}
	if r.domain == nil {
		return
	}
	l.sched = n.cfg.NewScheduler(l.health, history(r.domain))
	l.sched.Configure(r.domain.Configuration().Configuration, r.domain.Shares())
	for _, e := range r.domain.Endpoints() {
		l.health.Changed(n.clock.Now, e)
		l.sched.EndpointChanged(n.clock, e)
	}
	for _, rec := range r.domain.OpenRecords() {
		l.sched.RecordChanged(n.clock, rec)
		n.redispatch(r, rec)
	}
}

// redispatch sends the starts of a record's assigned tasks, or their stops if it
// was cancelled.
func (n *Node) redispatch(r *replica, rec *state.Record) {
	for i := range rec.State {
		if t := &rec.State[i]; t.Status == state.TaskAssigned {
			if rec.Cancel {
				n.stopTask(r, rec, i)
				n.watchStop(r, rec, i)
			} else {
				n.dispatch(r, rec, i)
			}
		}
	}
}

// resign ends the work of a leader. Waiting calls are sent elsewhere: the
// successor has every accepted request.
func (n *Node) resign(r *replica) {
	l := r.lead
	r.lead = nil
	for token := range l.waitingFor {
		n.reply(token, unavailable("leadership of "+r.group+" changed"))
	}
	n.dropProposals(r)
	n.log("info", "resign", "", "no longer leads group "+r.group)
}

func (n *Node) dropProposals(r *replica) {
	dropped := r.proposals
	r.proposals = map[uint64]proposal{}
	for _, p := range dropped {
		p.done(state.Applied{}, false)
	}
}

// leadStep does the leader's own work: plans, expiry, silent endpoints.
func (n *Node) leadStep(r *replica) {
	l := r.lead
	if !r.raft.HasLease(n.clock.Now) {
		return
	}
	if n.clock.Now >= l.nextSweep {
		l.nextSweep = n.clock.Now + sweepInterval
		n.sweep(r)
	}
	if l.jobs != nil {
		l.jobs.Advance(n.clock.Now, n.clock.WallMS)
		l.jobs.Work()
	}
	if r.domain == nil {
		return
	}
	if r.domain.HorizonS() == 0 {
		n.setHorizon(r)
		return
	}
	n.adoptConfiguration(r)
	n.followHealth(r)
	for _, plan := range l.sched.Plan(n.clock) {
		n.proposePlan(r, plan)
	}
}

// historyLength bounds the attempts that a new leader learns from.
const historyLength = 5000

// history returns the last attempts that ran to completion, oldest first.
func history(d *state.Domain) []scheduling.Observation {
	var out []scheduling.Observation
	d.Records(func(rec *state.Record) bool {
		for i := range rec.State {
			if t := &rec.State[i]; t.Status == state.TaskDone {
				out = append(out, scheduling.Observation{Record: rec, Task: i, Endpoint: t.Endpoint, RunMS: t.FinalMS - t.AssignedMS, Status: t.Status})
			}
		}
		return true
	})
	slices.SortFunc(out, func(a, b scheduling.Observation) int {
		return cmp.Or(cmp.Compare(a.Record.State[a.Task].FinalMS, b.Record.State[b.Task].FinalMS),
			cmp.Compare(a.Record.ID, b.Record.ID), cmp.Compare(a.Task, b.Task))
	})
	return out[max(0, len(out)-historyLength):]
}

// setHorizon makes a new group refuse IDs that an earlier one may have run. Until it
// is applied, the leader answers nothing.
func (n *Node) setHorizon(r *replica) {
	if r.lead.bootstrapping {
		return
	}
	horizon := max(1, n.clock.WallMS/1000) // 0 means not set
	r.lead.bootstrapping = n.propose(r, state.Command{Bootstrap: &state.Bootstrap{HorizonS: horizon}}, nil)
}

func (n *Node) proposePlan(r *replica, plan *state.Assign) {
	sched := r.lead.sched
	ok := n.propose(r, state.Command{Assign: plan}, func(a state.Applied, committed bool) {
		if committed && a.Rejected != nil {
			n.log("debug", "assign", "", a.Rejected.Error())
		}
		sched.Settled(plan, committed && a.Rejected == nil)
	})
	if !ok {
		sched.Settled(plan, false)
	}
}

// sweep does the periodic checks of a leader.
func (n *Node) sweep(r *replica) {
	outside := r.domainName != "" && r.domainName != n.self.Domain
	if n.stopping || outside && n.clock.Now-r.lead.since >= outsideTerm {
		// An outside member leads only while no member of the domain can: endpoints and
		// callers are closer to those.
		n.passLeadership(r)
	}
	if r.domain == nil {
		return
	}
	n.sweepEndpoints(r)
	n.resendStarts(r)
	for _, x := range r.lead.sched.Expired(n.clock) {
		n.propose(r, state.Command{Expire: x}, nil)
	}
	if n.clock.Now >= r.lead.nextForget {
		r.lead.nextForget = n.clock.Now + forgetInterval
		n.forgetOldRecords(r)
	}
}

func (n *Node) forgetOldRecords(r *replica) {
	before := n.clock.WallMS - retention.Milliseconds()
	var old []state.Key
	r.domain.Records(func(rec *state.Record) bool {
		if rec.Final() && rec.FinalMS < before {
			old = append(old, rec.Key)
		}
		return len(old) < forgetBatch
	})
	if len(old) > 0 {
		n.propose(r, state.Command{Prune: &state.Prune{Keys: old}}, nil)
	}
}

// leaderApplied tells the scheduler and waiting callers of an applied command.
func (n *Node) leaderApplied(r *replica, cmd *state.Command, a state.Applied) {
	l := r.lead
	if l.jobs != nil && cmd.Job != nil {
		l.jobs.Advance(n.clock.Now, n.clock.WallMS)
		l.jobs.Applied(cmd.Job, a.Job)
	}
	if r.domain == nil {
		return
	}
	if cmd.Adopt != nil && a.Rejected == nil {
		l.sched.Configure(r.domain.Configuration().Configuration, r.domain.Shares())
	}
	if cmd.EndpointRemoved != nil && a.Rejected == nil {
		l.sched.EndpointRemoved(cmd.EndpointRemoved.Name)
		l.health.Remove(cmd.EndpointRemoved.Name)
	}
	for _, rec := range a.Records {
		l.sched.RecordChanged(n.clock, rec)
		if rec.Final() {
			n.answerWaiters(r, rec)
		}
	}
	for _, rec := range a.Released {
		l.sched.RecordChanged(n.clock, rec)
		for i := range rec.State {
			if e := r.domain.Endpoint(rec.State[i].Endpoint); e != nil {
				l.sched.EndpointChanged(n.clock, e)
			}
		}
	}
	n.endpointsTouched(r, cmd, a)
	for _, ref := range a.Assigned {
		rec := r.domain.Record(ref.Key)
		n.emit(Measure{Metric: MetricWait, Class: rec.Class, MS: n.clock.WallMS - rec.AcceptedMS})
		n.dispatch(r, rec, ref.Task)
	}
	if cmd.Cancel != nil && a.Rejected == nil {
		for _, rec := range a.Records {
			n.redispatch(r, rec)
		}
	}
}

// endpointsTouched tells the scheduler of every endpoint whose reservation or
// status a command changed.
func (n *Node) endpointsTouched(r *replica, cmd *state.Command, a state.Applied) {
	if a.Rejected != nil {
		return
	}
	if a.Endpoint != nil {
		r.lead.health.Changed(n.clock.Now, a.Endpoint)
		r.lead.sched.EndpointChanged(n.clock, a.Endpoint)
	}
	if cmd.Assign != nil {
		for i := range cmd.Assign.Items {
			if e := r.domain.Endpoint(cmd.Assign.Items[i].Endpoint); e != nil {
				r.lead.sched.EndpointChanged(n.clock, e)
			}
		}
	}
}
