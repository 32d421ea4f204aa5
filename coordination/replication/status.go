package replication

import (
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Durability is the guarantee that the voters' storage gives for committed entries.
type Durability string

// Values of Durability.
const (
	DurabilityNone   Durability = "none"   // no membership known
	DurabilityMemory Durability = "memory" // entries are lost when a majority of the processes stops
	DurabilityDisk   Durability = "disk"   // every committed entry is synced to at least one disk
)

// MemberStatus is the status of one replica as known to the leader.
type MemberStatus struct {
	state.Member
	Voter       bool
	Match       uint64        // index of the last entry known to be synced on this member; 0 if unknown
	LastContact time.Duration // time of the member's last response; valid only if Contacted
	Contacted   bool          // whether the member has acknowledged a message of this leader
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
	Last       uint64 // index of the last log entry
	Synced     uint64 // index of the last synced log entry
	Lease      bool   // whether this replica holds a valid leader lease
	Durability Durability
	Members    []MemberStatus // voters; on a leader also learners, with Match and LastContact
}

// Contacts counts the other replicas as a leader sees them. On other replicas all but
// Voters are 0.
type Contacts struct {
	Voters     int
	Responsive int // voters, the leader included, that have acknowledged a message within contactTimeout
	Learners   int
}

// Contacts returns the numbers of voters and learners.
func (g *Group) Contacts() Contacts {
	c := Contacts{Voters: len(g.voters())}
	if g.role != leader {
		return c
	}
	for _, v := range g.voters() {
		if v.Incarnation == g.self.Incarnation || !g.isUnresponsive(&v) {
			c.Responsive++
		}
	}
	for _, p := range g.peers {
		if p.learner {
			c.Learners++
		}
	}
	return c
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

// LogBytes returns the estimated size in bytes of the entries that are held in memory.
func (g *Group) LogBytes() int {
	n := 0
	for i := range g.log.entries {
		n += EntrySize(&g.log.entries[i])
	}
	return n
}

// Status returns the status of this replica at the given time.
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
		ms.LastContact, ms.Contacted = p.lastContact, p.hasAck
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
	case !g.needsJoin():
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
