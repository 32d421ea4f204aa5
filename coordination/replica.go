package coordination

import (
	"fmt"
	"time"

	"github.com/primrosereach/primrosereach/coordination/replication"
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

const (
	// snapshotInterval is the number of applied entries after which a snapshot is taken.
	// It bounds the entries that are applied again at a restart.
	snapshotInterval = 4096
	// snapshotBytes is the estimated size in bytes of the applied entries after which a snapshot
	// is taken. It bounds the memory and the disk that large entries use: configurations may have
	// hundreds of kilobytes, and the smallest disk has 128 MB.
	snapshotBytes = 16 << 20
)

// proposal is an entry whose outcome is pending. done is called when the entry is
// applied, or with committed false when the replica can no longer determine whether
// it ever will be.
type proposal struct {
	term uint64
	done func(a state.Applied, committed bool)
}

// replica is this process's member of one replication group.
type replica struct {
	group                string
	domainName           string // "" for the cell group and the job group
	raft                 *replication.Group
	domain               *state.Domain       // only for a domain group
	cell                 *state.Cell         // only for the cell group
	jobs                 *job.State          // only for the job group
	proposals            map[uint64]proposal // pending proposals of this member, by log index
	leaderState          *leadership         // nil unless this member leads and has applied all earlier entries
	appliedSinceSnapshot int                 // entries applied since the last snapshot
	bytesSinceSnapshot   int                 // estimated size of these entries in bytes
	savingSnapshot       bool                // a snapshot is being written to disk
	appliedTerm          uint64              // term of the last applied entry
	loggedLeader         string              // leader in the last log line about it
	loggedVoters         int                 // number of voters in the last log line about them
	loggedMembership     uint64              // membership index in the last log line about the voters
	reported             GroupChanged        // the last effect of this kind
}

func (n *Node) newReplica(group string, initialMembers []string) *replica {
	r := &replica{group: group, proposals: map[uint64]proposal{}}
	rec := n.cfg.Recovered[group]
	r.domainName, _ = groupDomain(group)
	r.reset(rec.Snapshot)
	r.raft = replication.New(replication.Config{
		Group: group, Self: n.self, Rand: n.cfg.Rand,
		HardState: rec.HardState, Snapshot: rec.Snapshot, Entries: rec.Entries,
		InitialMembers: initialMembers,
	}, n.clock.Now)
	return r
}

// reset replaces the applied state with that of a snapshot, or with an empty one.
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

// advance runs the work of a group and of its leader that is due or follows from the
// last event, and emits the resulting effects.
func (n *Node) advance(r *replica) {
	r.raft.Tick(n.clock.Now)
	n.processReady(r)
	n.updateLeadership(r)
	if r.leaderState != nil {
		n.leadStep(r)
		n.processReady(r)
	}
	n.logGroup(r)
}

// logGroup writes a log line when the process's view of the leader or of the voters
// has changed.
func (n *Node) logGroup(r *replica) {
	leader, term := r.raft.Leader()
	if v := (GroupChanged{Group: r.group, Leader: leader, Leads: r.raft.IsLeader(), Contacts: r.raft.Contacts()}); v != r.reported {
		r.reported = v
		n.emit(v)
	}
	if leader != r.loggedLeader {
		r.loggedLeader = leader
		n.log("info", "leader changed", leader, fmt.Sprintf("group %s, term %d, leader %q", r.group, term, leader))
	}
	voters := r.raft.Membership().Voters
	if len(voters) == r.loggedVoters && r.loggedMembership == r.raft.MembershipIndex() {
		return
	}
	r.loggedVoters, r.loggedMembership = len(voters), r.raft.MembershipIndex()
	names := ""
	for _, v := range voters {
		names += fmt.Sprintf(" %s/%x", v.Name, v.Incarnation)
	}
	n.log("info", "membership changed", "", fmt.Sprintf("group %s, entry %d, voters%s", r.group, r.loggedMembership, names))
}

// logNotice writes a log line about a change that concerns the membership.
func (n *Node) logNotice(r *replica, t *replication.Notice) {
	who := fmt.Sprintf("group %s, %s/%x", r.group, t.Member.Name, t.Member.Incarnation)
	silence := t.Silence.Round(time.Millisecond)
	switch t.Kind {
	case replication.NoticeVoterSilent:
		n.log("warn", "voter silent", t.Member.Name, fmt.Sprintf("%s does not answer, for %s", who, silence))
	case replication.NoticeVoterResponsive:
		n.log("info", "voter responsive", t.Member.Name, who+" answers again")
	case replication.NoticeJoinDeclined:
		n.log("info", "join declined", t.Member.Name, who+" asked to join and is not admitted")
	case replication.NoticeLearnerAdded:
		n.log("info", "learner added", t.Member.Name, who+" is admitted as a learner")
	case replication.NoticeLearnerCaughtUp:
		n.log("info", "learner caught up", t.Member.Name, fmt.Sprintf("%s can become a voter, %d entries behind", who, t.Lag))
	case replication.NoticeLearnerDropped:
		n.log("warn", "learner dropped", t.Member.Name, fmt.Sprintf("%s has not responded for %s, %d entries behind", who, silence, t.Lag))
	case replication.NoticeJoining:
		n.log("info", "joining", "", fmt.Sprintf("%s asks %d processes for admission", who, t.Receivers))
	}
}

// processReady turns the pending output of the replication group into effects and
// applies its committed entries. Applying an entry may propose further ones, so it
// repeats until there is no more output.
func (n *Node) processReady(r *replica) {
	for {
		rd := r.raft.Ready()
		for i := range rd.Notices {
			n.logNotice(r, &rd.Notices[i])
		}
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
		if r.snapshotIsDue() && !r.savingSnapshot {
			n.snapshot(r)
		}
	}
}

// persist installs a snapshot received from the leader and requests that the output of
// the replication group be stored. A batch that need not be synced counts as persisted
// at once. After a storage failure nothing more is stored.
func (n *Node) persist(r *replica, rd *replication.Ready) {
	if rd.Snapshot != nil {
		r.reset(rd.Snapshot)
		r.appliedSinceSnapshot, r.bytesSinceSnapshot = 0, 0
		n.log("info", "install snapshot", "", "group "+r.group+" restored from a snapshot of the leader")
	}
	switch {
	case rd.Batch == 0:
	case !rd.MustSync:
		r.raft.Persisted(rd.Batch)
	case n.storageErr == nil:
		n.emit(Persist{Group: r.group, Batch: rd.Batch, Snapshot: rd.Snapshot, HardState: rd.HardState, Entries: rd.Entries})
	}
}

// apply applies a committed entry. If this member proposed an entry at the same index,
// it reports the outcome: the proposal is committed if the terms are equal too.
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
	if r.leaderState != nil {
		n.leaderApplied(r, &e.Command, a)
	}
	if p, ok := r.proposals[e.Index]; ok {
		delete(r.proposals, e.Index)
		p.done(a, p.term == e.Term)
	}
	r.appliedSinceSnapshot++
	r.bytesSinceSnapshot += replication.EntrySize(e)
}

// snapshotIsDue reports whether enough entries were applied since the last snapshot to take one.
func (r *replica) snapshotIsDue() bool {
	return r.appliedSinceSnapshot >= snapshotInterval || r.bytesSinceSnapshot >= snapshotBytes
}

// snapshot takes a snapshot of the applied state and requests that it be stored. A
// process without a disk keeps it in memory only.
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
	r.appliedSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	if !n.self.Disk {
		r.raft.SnapshotTaken(s)
		return
	}
	r.savingSnapshot = true
	n.emit(SaveSnapshot{Group: r.group, Snapshot: s})
}

// propose appends a command to the group's log and reports whether that succeeded. If
// so, done is called exactly once unless it is nil; otherwise it is not called.
func (n *Node) propose(r *replica, cmd state.Command, done func(a state.Applied, committed bool)) bool {
	if n.storageErr != nil {
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

// send emits a message to a peer. The address of a member that is not in the group
// yet comes from the settings.
func (n *Node) send(m replication.Message) {
	address := m.ToAddress
	if address == "" {
		address = n.resolve(m.To).Address
	}
	n.emit(SendPeer{Address: address, Message: m})
}

// maxSuccessorLag is the number of entries by which the log of a successor may lag
// behind. The successor catches up before it is elected.
const maxSuccessorLag = 64

// successor returns another voter of the given domain that can take over leadership
// now: this member had contact to it within the last second, and its log lags behind by
// at most maxSuccessorLag entries. If there is none in the domain, successor returns
// such a voter of another domain if anyDomain is set, and otherwise "".
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
