package coordination

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// snapshotInterval is the number of applied entries after which a snapshot is
// taken. It bounds the work of a restart.
const snapshotInterval = 4096

// proposal is called when its entry is applied, or with committed false when the
// replica can no longer tell whether it ever will be.
type proposal struct {
	term uint64
	done func(a state.Applied, committed bool)
}

// replica is this process's member of one group.
type replica struct {
	group       string
	domainName  string // "" for the cell group
	raft        *replication.Group
	domain      *state.Domain // nil for the cell group
	cell        *state.Cell   // nil for a domain group
	jobs        *job.State    // only for the job group
	proposals   map[uint64]proposal
	lead        *leadership // nil unless this member leads and has applied all earlier entries
	unsaved     int         // entries applied since the last snapshot
	saving      bool        // a snapshot is on its way to the disk
	appliedTerm uint64      // of the last applied entry
	seenLeader  string      // as last logged
	voterCount  int         // the same
	voterIndex  uint64      // the same
}

func (n *Node) newReplica(group string, founders []string) *replica {
	r := &replica{group: group, proposals: map[uint64]proposal{}}
	rec := n.cfg.Recovered[group]
	r.domainName, _ = groupDomain(group)
	r.reset(rec.Snapshot)
	r.raft = replication.New(replication.Config{
		Group: group, Self: n.self, Rand: n.cfg.Rand,
		HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries,
		Bootstrap: founders,
	}, n.clock.Now)
	return r
}

// reset replaces the applied state by that of a snapshot, or by the empty one.
func (r *replica) reset(s *state.Snapshot) {
	switch {
	case r.group == JobGroup && s != nil && s.Jobs != nil:
		r.jobs = job.Restore(s.Jobs)
	case r.group == JobGroup:
		r.jobs = job.New()
	case r.domainName == "" && s != nil && s.Cell != nil:
		r.cell = state.RestoreCell(s.Cell)
	case r.domainName == "":
		r.cell = state.NewCell()
	case s != nil && s.Domain != nil:
		r.domain = state.RestoreDomain(s.Domain)
	default:
		r.domain = state.NewDomain(r.domainName)
	}
}

// settle lets the group and its leader do what the time and the last event ask
// for, until nothing more comes of it.
func (n *Node) settle(r *replica) {
	r.raft.Tick(n.clock.Now)
	n.drain(r)
	n.watchLeadership(r)
	if r.lead != nil {
		n.leadStep(r)
		n.drain(r)
	}
	n.logGroup(r)
}

// logGroup writes a line when the process's view of the leader or of the voters has
// changed.
func (n *Node) logGroup(r *replica) {
	leader, term := r.raft.Leader()
	if leader != r.seenLeader {
		r.seenLeader = leader
		n.log("info", "leader changed", leader, fmt.Sprintf("group %s, term %d, leader %q", r.group, term, leader))
	}
	voters := r.raft.Membership().Voters
	if len(voters) == r.voterCount && r.voterIndex == r.raft.MembershipIndex() {
		return
	}
	r.voterCount, r.voterIndex = len(voters), r.raft.MembershipIndex()
	names := ""
	for _, v := range voters {
		names += fmt.Sprintf(" %s/%x", v.Name, v.Incarnation)
	}
	n.log("info", "membership changed", "", fmt.Sprintf("group %s, entry %d, voters%s", r.group, r.voterIndex, names))
}

// drain turns what the group has ready into effects and applied entries. Applying
// may propose more, so it repeats until the group has nothing left.
func (n *Node) drain(r *replica) {
	for {
		rd := r.raft.Ready()
		if rd.Batch == 0 && len(rd.Messages) == 0 && len(rd.Committed) == 0 {
			return
		}
		n.persist(r, &rd)
		for _, m := range rd.Messages {
			n.send(m)
		}
		for i := range rd.Committed {
			n.apply(r, &rd.Committed[i])
		}
		if r.unsaved >= snapshotInterval && !r.saving {
			n.snapshot(r)
		}
	}
}

func (n *Node) persist(r *replica, rd *replication.Ready) {
	if rd.Snapshot != nil {
		r.reset(rd.Snapshot)
		r.unsaved = 0
		n.log("info", "install snapshot", "", "group "+r.group+" restored from a snapshot of the leader")
	}
	switch {
	case rd.Batch == 0:
	case !rd.MustSync:
		r.raft.Persisted(rd.Batch)
	case n.failed == nil:
		n.emit(Persist{Group: r.group, Batch: rd.Batch, Snapshot: rd.Snapshot, HardState: rd.HardState, Entries: rd.Entries})
	}
}

func (n *Node) apply(r *replica, e *state.Entry) {
	var a state.Applied
	switch {
	case r.domain != nil:
		a = r.domain.Apply(e.Index, e.Command)
	case r.cell != nil:
		r.cell.Apply(e.Index, e.Command)
	case e.Command.Job != nil:
		a.Job = r.jobs.Apply(e.Index, e.Command.Job)
	}
	r.appliedTerm = e.Term
	if r.lead != nil {
		n.leaderApplied(r, &e.Command, a)
	}
	if p, ok := r.proposals[e.Index]; ok {
		delete(r.proposals, e.Index)
		p.done(a, p.term == e.Term)
	}
	r.unsaved++
}

func (n *Node) snapshot(r *replica) {
	header := r.raft.SnapshotHeader()
	s := &header
	switch {
	case r.domain != nil:
		s.Domain = r.domain.Snapshot()
	case r.cell != nil:
		s.Cell = r.cell.Snapshot()
	default:
		s.Jobs = r.jobs.Snapshot()
	}
	r.unsaved = 0
	if !n.self.Disk {
		r.raft.SnapshotTaken(s)
		return
	}
	r.saving = true
	n.emit(SaveSnapshot{Group: r.group, Snapshot: s})
}

// propose appends a command to the group's log. done is called exactly once.
func (n *Node) propose(r *replica, cmd state.Command, done func(a state.Applied, committed bool)) bool {
	if n.failed != nil {
		return false
	}
	index, term, err := r.raft.Propose(n.clock.Now, cmd)
	if err != nil {
		n.log("debug", "propose", "", r.group+": "+err.Error())
		return false
	}
	if done != nil {
		r.proposals[index] = proposal{term: term, done: done}
	}
	return true
}

// send hands a message to the transport. The address of a member that is not in
// the group yet comes from the settings.
func (n *Node) send(m replication.Message) {
	address := m.ToAddress
	if address == "" {
		address = n.resolve(m.To).Address
	}
	n.emit(SendPeer{Address: address, Message: m})
}

// maxSuccessorLag is the number of entries that a successor may be behind. It
// catches up before it is elected.
const maxSuccessorLag = 64

// successor returns a voter of the given domain that could take over leadership
// now, any other one if there is none and anyDomain is set, or "".
func (n *Node) successor(r *replica, domain string, anyDomain bool) string {
	best := ""
	st := r.raft.Status(n.clock.Now)
	for _, m := range st.Members {
		recent := m.Contacted && n.clock.Now-m.LastContact < time.Second
		if m.Name == n.self.Name || !m.Voter || !recent || m.Match+maxSuccessorLag < st.Last {
			continue
		}
		if m.Domain == domain {
			return m.Name
		}
		if anyDomain {
			best = m.Name
		}
	}
	return best
}
