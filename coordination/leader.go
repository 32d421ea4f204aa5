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
	// periodicCheckInterval is the period of the checks that need no finer resolution:
	// unresponsive endpoints, expired requests, old records.
	periodicCheckInterval = 500 * time.Millisecond
	// retention is how long a final record is kept.
	retention = 7 * 24 * time.Hour
	// pruneInterval and pruneBatch bound the work of deleting old records: at most
	// pruneBatch records in each interval.
	pruneInterval = 10 * time.Minute
	pruneBatch    = 1000
)

// maxOutsideLeadership is how long an outside member leads before it transfers
// leadership back to a member of the domain. The member that transferred leadership to
// it may be stopping, which takes up to 30 s, and during that time would at once
// transfer leadership away again.
const maxOutsideLeadership = 35 * time.Second

// leadership is the state of a leader that is not replicated. It is rebuilt when a
// term begins.
type leadership struct {
	term          uint64
	since         time.Duration               // time at which this leadership began
	sched         scheduling.Scheduler        // nil except in a domain group
	jobs          *jobs.Leader                // nil except in the job group
	starts        map[state.TaskRef]*dispatch // starts and stops without an answer
	health        *health.Tracker
	statusChanges map[string]*statusChange // changes that are not committed yet, by endpoint
	registering   map[string]uint64        // incarnation whose registration was proposed and has no outcome yet, by endpoint
	waiters       map[state.Key][]Token    // calls that wait for a final record
	waitingFor    map[Token]state.Key      // request that a call waits for, by call
	reporting     map[state.TaskRef]bool   // attempts whose report was proposed and has no outcome yet
	adopting      bool                     // an AdoptConfiguration command was proposed and has no outcome yet
	bootstrapping bool                     // the group's Bootstrap command was proposed in this term
	nextCheck     time.Duration            // time of the next periodic check
	nextPrune     time.Duration            // earliest time at which old records are deleted again
}

// statusChange is a change of endpoint status that the health tracker requested.
type statusChange struct {
	health.Transition
	proposed bool // false if the log accepted no entry; the periodic check proposes it again
}

// dispatch is a start, or the stop of the same attempt after a cancel, that its
// endpoint has not answered.
type dispatch struct {
	start StartTask
	next  time.Duration // time of the next transmission
}

func (l *leadership) nextTick() time.Duration {
	nextTick := l.nextCheck
	if l.sched != nil {
		nextTick = earlier(nextTick, l.sched.NextPlanTime())
	}
	if l.jobs != nil {
		nextTick = earlier(nextTick, l.jobs.NextTick())
	}
	if at, ok := l.health.NextDeadline(); ok {
		nextTick = earlier(nextTick, at)
	}
	return nextTick
}

// updateLeadership starts the work of a leader once this member leads and has applied
// an entry of its own term, and with it all earlier ones. It ends that work when the
// member loses leadership or its storage fails.
func (n *Node) updateLeadership(r *replica) {
	_, term := r.raft.Leader()
	leads := r.raft.IsLeader() && r.appliedTerm == term && n.storageErr == nil
	if r.leaderState != nil && (!leads || r.leaderState.term != term) {
		n.resign(r)
	}
	if leads && r.leaderState == nil {
		n.takeOver(r, term)
	}
	if !r.raft.IsLeader() && len(r.proposals) > 0 {
		n.dropProposals(r)
	}
}

// takeOver rebuilds the leader's state from the replicated state. Starts of tasks
// without a report are sent again: the previous leader may have failed before it sent
// them, and endpoints recognise duplicates.
func (n *Node) takeOver(r *replica, term uint64) {
	l := &leadership{
		term: term, since: n.clock.Now,
		starts: map[state.TaskRef]*dispatch{}, health: health.New(), statusChanges: map[string]*statusChange{},
		registering: map[string]uint64{}, waiters: map[state.Key][]Token{}, waitingFor: map[Token]state.Key{},
		reporting: map[state.TaskRef]bool{},
		nextCheck: n.clock.Now + periodicCheckInterval, nextPrune: n.clock.Now + pruneInterval,
	}
	r.leaderState = l
	n.log("info", "take over", "", "leads group "+r.group)
	if r.jobs != nil {
		n.startJobLeader(r, l)
	}
	if r.domain == nil {
		return
	}
	l.sched = n.cfg.NewScheduler(l.health, history(r.domain))
	l.sched.Configure(r.domain.Configuration().Configuration, r.domain.Shares())
	for _, e := range r.domain.Endpoints() {
		l.health.UpdateEndpoint(n.clock.Now, e)
		l.sched.EndpointChanged(n.clock, e)
	}
	for _, rec := range r.domain.OpenRecords() {
		l.sched.RecordChanged(n.clock, rec)
		n.redispatch(r, rec)
	}
}

// redispatch sends the starts of the assigned tasks of a record, or their stops if
// the request was cancelled.
func (n *Node) redispatch(r *replica, rec *state.Record) {
	for i := range rec.State {
		if t := &rec.State[i]; t.Status == state.TaskAssigned {
			if rec.CancelRequested {
				n.stopTask(r, rec, i)
				n.resendStopLater(r, rec, i)
			} else {
				n.dispatch(r, rec, i)
			}
		}
	}
}

// resign ends the work of a leader. Waiting calls are answered as unavailable, so
// that the callers ask the successor, which has every accepted request.
func (n *Node) resign(r *replica) {
	l := r.leaderState
	r.leaderState = nil
	for token := range l.waitingFor {
		n.reply(token, unavailable("leadership of "+r.group+" changed"))
	}
	n.dropProposals(r)
	n.log("info", "resign", "", "no longer leads group "+r.group)
}

// dropProposals reports all pending proposals as not committed. A later leader may
// still commit some of them; this member cannot determine that.
func (n *Node) dropProposals(r *replica) {
	dropped := r.proposals
	r.proposals = map[uint64]proposal{}
	for _, p := range dropped {
		p.done(state.Applied{}, false)
	}
}

// leadStep performs the due work of a leader, if it holds its leader lease: periodic
// checks, the work of the leader of the job group and, in a domain group, the adoption
// of a new configuration, changes of endpoint status and placement plans.
func (n *Node) leadStep(r *replica) {
	l := r.leaderState
	if !r.raft.HasLease(n.clock.Now) {
		return
	}
	if n.clock.Now >= l.nextCheck {
		l.nextCheck = n.clock.Now + periodicCheckInterval
		n.runChecks(r)
	}
	if l.jobs != nil {
		l.jobs.SetClock(n.clock.Now, n.clock.WallMS)
		l.jobs.Tick()
	}
	if r.domain == nil {
		return
	}
	if r.domain.HorizonS() == 0 {
		n.setHorizon(r)
		return
	}
	n.adoptConfiguration(r)
	n.proposeTransitions(r)
	for _, plan := range l.sched.Plan(n.clock) {
		n.proposePlan(r, plan)
	}
}

// historyLength is the largest number of earlier attempts that a new leader's scheduler
// gets.
const historyLength = 5000

// history returns the last attempts that completed successfully, at most
// historyLength, oldest first.
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

// setHorizon makes a new group reject request IDs that were issued before it existed,
// because an earlier group may have run them. Until the Bootstrap command is applied,
// the leader answers all calls as unavailable.
func (n *Node) setHorizon(r *replica) {
	if r.leaderState.bootstrapping {
		return
	}
	horizon := max(1, n.clock.WallMS/1000) // 0 means not set
	r.leaderState.bootstrapping = n.propose(r, state.Command{Bootstrap: &state.Bootstrap{HorizonS: horizon}}, nil)
}

func (n *Node) proposePlan(r *replica, plan *state.Assign) {
	sched := r.leaderState.sched
	ok := n.propose(r, state.Command{Assign: plan}, func(a state.Applied, committed bool) {
		if committed && a.Rejected != nil {
			n.log("debug", "assign", "", a.Rejected.Error())
		}
		sched.PlanSettled(plan, committed && a.Rejected == nil)
	})
	if !ok {
		sched.PlanSettled(plan, false)
	}
}

// runChecks performs the periodic checks of a leader.
func (n *Node) runChecks(r *replica) {
	outside := r.domainName != "" && r.domainName != n.self.Domain
	if n.stopping || outside && n.clock.Now-r.leaderState.since >= maxOutsideLeadership {
		// An outside member leads only while no member of the domain can, because
		// endpoints and callers are closer to the members of the domain.
		n.transferLeadership(r)
	}
	if r.domain == nil {
		return
	}
	n.checkEndpoints(r)
	n.resendStarts(r)
	for _, x := range r.leaderState.sched.Expired(n.clock) {
		n.propose(r, state.Command{Expire: x}, nil)
	}
	if n.clock.Now >= r.leaderState.nextPrune {
		r.leaderState.nextPrune = n.clock.Now + pruneInterval
		n.pruneOldRecords(r)
	}
}

func (n *Node) pruneOldRecords(r *replica) {
	before := n.clock.WallMS - retention.Milliseconds()
	var old []state.Key
	r.domain.Records(func(rec *state.Record) bool {
		if rec.Final() && rec.FinalMS < before {
			old = append(old, rec.Key)
		}
		return len(old) < pruneBatch
	})
	if len(old) > 0 {
		n.propose(r, state.Command{Prune: &state.Prune{Keys: old}}, nil)
	}
}

// leaderApplied updates the scheduler, the health tracker and the leader of the job
// group after a command was applied, and answers waiting callers.
func (n *Node) leaderApplied(r *replica, cmd *state.Command, a state.Applied) {
	l := r.leaderState
	if l.jobs != nil && cmd.Job != nil {
		l.jobs.SetClock(n.clock.Now, n.clock.WallMS)
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
	n.updateEndpoints(r, cmd, a)
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

// updateEndpoints passes every endpoint whose reservation or status a command changed
// to the scheduler, and an endpoint that the command registered or changed to the
// health tracker too.
func (n *Node) updateEndpoints(r *replica, cmd *state.Command, a state.Applied) {
	if a.Rejected != nil {
		return
	}
	if a.Endpoint != nil {
		r.leaderState.health.UpdateEndpoint(n.clock.Now, a.Endpoint)
		r.leaderState.sched.EndpointChanged(n.clock, a.Endpoint)
	}
	if cmd.Assign != nil {
		for i := range cmd.Assign.Items {
			if e := r.domain.Endpoint(cmd.Assign.Items[i].Endpoint); e != nil {
				r.leaderState.sched.EndpointChanged(n.clock, e)
			}
		}
	}
}
