package replication

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Durability tells what the voters' storage guarantees.
type Durability string

// Durabilities.
const (
	DurabilityNone   Durability = "none"   // no membership known
	DurabilityMemory Durability = "memory" // lost when a majority of the processes ends
	DurabilityDisk   Durability = "disk"   // every committed entry is synced to a disk
)

// MemberStatus is one replica as seen from the leader.
type MemberStatus struct {
	state.Member
	Voter       bool
	Match       uint64        // synced log index; 0 if unknown
	LastContact time.Duration // when its last response arrived; only if Contacted
	Contacted   bool
}

// Status describes a replica for the status page.
type Status struct {
	Group      string
	GroupID    uint64
	Role       string // leader, candidate, follower, learner, joining or removed
	Leader     string // "" if unknown
	Term       uint64
	Commit     uint64
	Applied    uint64
	Last       uint64
	Synced     uint64
	Lease      bool
	Durability Durability
	Members    []MemberStatus // on a leader also the learners, with match and contact
}

// Membership returns the membership in force, empty if none is known.
func (g *Group) Membership() state.Membership {
	if m := g.membership(); m != nil {
		return *m
	}
	return state.Membership{}
}

// MembershipIndex returns the log index of the membership in force, or 0.
func (g *Group) MembershipIndex() uint64 {
	if len(g.memberships) == 0 {
		return 0
	}
	return g.memberships[len(g.memberships)-1].index
}

// Status returns the state of this replica at a time.
func (g *Group) Status(now time.Duration) Status {
	s := Status{
		Group: g.cfg.Group, GroupID: g.groupID(), Role: g.roleName(), Leader: g.leader, Term: g.term,
		Commit: g.commit, Applied: g.applied, Last: g.log.last(), Synced: g.persisted,
		Lease: g.HasLease(now), Durability: g.durability(),
	}
	for _, v := range g.voters() {
		s.Members = append(s.Members, g.memberStatus(v, true))
	}
	for _, p := range g.peers {
		if p.learner {
			s.Members = append(s.Members, g.memberStatus(p.member, false))
		}
	}
	return s
}

func (g *Group) memberStatus(m state.Member, voter bool) MemberStatus {
	ms := MemberStatus{Member: m, Voter: voter, Match: g.matchOf(m.Incarnation)}
	if m.Incarnation == g.self.Incarnation {
		ms.LastContact, ms.Contacted = g.now, true
	} else if p := g.peer(m.Incarnation); p != nil {
		ms.LastContact, ms.Contacted = p.lastSeen, p.hasAck
	}
	return ms
}

func (g *Group) roleName() string {
	switch {
	case g.role == leader:
		return "leader"
	case g.role != follower:
		return "candidate"
	case g.membership() == nil:
		return "joining"
	case g.isVoter():
		return "follower"
	case g.wasVoter():
		return "removed"
	}
	return "learner"
}

func (g *Group) durability() Durability {
	if g.membership() == nil {
		return DurabilityNone
	}
	for _, v := range g.voters() {
		if v.Disk {
			return DurabilityDisk
		}
	}
	return DurabilityMemory
}
