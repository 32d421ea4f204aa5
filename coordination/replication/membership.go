package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// learnerTimeout: a learner that is silent for so long is forgotten. It asks
	// again when it returns.
	learnerTimeout = 10 * time.Second

	// rivalTimeout: a learner is not replaced by another incarnation of its name
	// while it answers, or two processes of one name would displace each other.
	rivalTimeout = time.Second

	// replaceAfter is the silence after which a spare takes the place of a voter. It is
	// longer than a VM takes to restart, and than partitions usually last.
	replaceAfter = 12 * time.Second

	// maxLearnerLag is the number of entries that a learner may be behind when it is
	// admitted. Under load it is never level with the leader.
	maxLearnerLag = 64
)

// addMembership puts a membership in force.
func (g *Group) addMembership(index uint64, m state.Membership) {
	g.memberships = append(g.memberships, membershipAt{index, m})
	if g.role == leader {
		g.updatePeers()
	}
}

// wasVoter reports whether this incarnation is or was a voter. A membership that
// was cut from the log does not count.
func (g *Group) wasVoter() bool {
	return g.wasVoterEarlier || slices.ContainsFunc(g.memberships, func(m membershipAt) bool {
		return listed(m.Voters, g.self.Incarnation)
	})
}

// forgetMemberships drops the first n memberships.
func (g *Group) forgetMemberships(n int) {
	for _, m := range g.memberships[:n] {
		if m.index <= g.commit && listed(m.Voters, g.self.Incarnation) {
			g.wasVoterEarlier = true
		}
	}
	g.memberships = g.memberships[n:]
}

// updatePeers makes every voter a peer. Removed voters stay until the removal is
// committed, so that they learn of it.
func (g *Group) updatePeers() {
	for _, v := range g.voters() {
		if v.Incarnation == g.self.Incarnation {
			continue
		}
		if p := g.peer(v.Incarnation); p != nil {
			p.learner = false
		} else {
			g.newPeer(v, false)
		}
	}
}

func (g *Group) dropRemovedPeers() {
	if g.memberships[len(g.memberships)-1].index > g.commit {
		return
	}
	g.peers = slices.DeleteFunc(g.peers, func(p *progress) bool {
		return !p.learner && !listed(g.voters(), p.member.Incarnation)
	})
}

func (g *Group) dropSilentLearners() {
	g.peers = slices.DeleteFunc(g.peers, func(p *progress) bool {
		return p.learner && g.now-p.lastSeen >= learnerTimeout
	})
}

// AllowMember lets a replica of a new name join. The founding names may always
// join, so that a replacement interrupted by a leader change can be completed.
func (g *Group) AllowMember(m state.Member) { g.allowed[m.Name] = true }

// RemoveMember removes a voter.
func (g *Group) RemoveMember(now time.Duration, name string) error {
	g.advance(now)
	switch {
	case g.role != leader:
		return ErrNotLeader
	case name == g.self.Name:
		return ErrRemoveLeader
	case g.membership().Find(name) == nil:
		return ErrNoMember
	case !g.mayChange():
		return ErrChangePending
	case !g.change(without(g.voters(), name)):
		return ErrNoQuorum
	}
	delete(g.allowed, name)
	return nil
}

// register notes a replica that asks to join, or a voter with a new address.
func (g *Group) register(m state.Member) {
	if p := g.peer(m.Incarnation); p != nil {
		p.member = m
		return
	}
	if m.Name == g.self.Name || !g.cfg.Open && g.membership().Find(m.Name) == nil && !g.allowed[m.Name] {
		return
	}
	if g.isSpare(m.Name) && g.lostVoter() == nil {
		return
	}
	for i, p := range g.peers {
		if p.learner && p.member.Name == m.Name {
			if g.now-p.lastSeen < rivalTimeout {
				return
			}
			g.peers = slices.Delete(g.peers, i, i+1)
			break
		}
	}
	g.sendHeartbeat(g.newPeer(m, true))
}

// mayChange reports whether a membership change may start: one at a time, and
// only after an entry of the own term is committed, because an earlier leader's
// uncommitted change may otherwise take part in disjoint majorities.
func (g *Group) mayChange() bool {
	return g.HasLease(g.now) && g.transferTo == "" && g.commit >= g.termStart &&
		g.memberships[len(g.memberships)-1].index <= g.commit
}

// admit starts the next step of a waiting membership change, if one is due.
func (g *Group) admit() {
	if !g.mayChange() {
		return
	}
	if v := g.voter(g.self.Incarnation); v != nil && *v != g.self {
		g.change(with(g.voters(), g.self))
		return
	}
	for _, p := range g.peers {
		if voters, ok := g.nextVoters(p); ok && g.change(voters) {
			return
		}
	}
}

// nextVoters returns the voters after the next change for one peer. A learner
// replaces an earlier incarnation of its name in two steps. The earlier one must
// be silent: to remove a voter that answers could cost the group its majority if
// another one fails at that moment.
func (g *Group) nextVoters(p *progress) ([]state.Member, bool) {
	if v := g.voter(p.member.Incarnation); v != nil {
		if *v == p.member {
			return nil, false
		}
		return with(g.voters(), p.member), true
	}
	if !p.learner || !g.caughtUp(p) {
		return nil, false
	}
	if old := g.membership().Find(p.member.Name); old != nil {
		return without(g.voters(), old.Name), g.isSilent(old)
	}
	if g.isSpare(p.member.Name) {
		lost := g.lostVoter()
		if lost == nil {
			return nil, false
		}
		return without(g.voters(), lost.Name), true
	}
	return with(g.voters(), p.member), true
}

// isSpare reports whether the group has enough voters without a process. An odd number
// of voters keeps a majority on one side when the members are cut into two halves; a
// further voter would not add a loss that the group survives.
func (g *Group) isSpare(name string) bool {
	return g.cfg.MaxVoters > 0 && len(g.voters()) >= g.cfg.MaxVoters && g.membership().Find(name) == nil
}

// lostVoter returns a voter that has been silent for so long that a spare should take
// its place, or nil.
func (g *Group) lostVoter() *state.Member {
	for _, v := range g.voters() {
		if v.Incarnation == g.self.Incarnation {
			continue
		}
		last := g.electedAt
		if p := g.peer(v.Incarnation); p != nil && p.hasAck {
			last = max(last, p.acked)
		}
		if g.now-last >= replaceAfter {
			return &v
		}
	}
	return nil
}

func (g *Group) isSilent(v *state.Member) bool {
	last := g.electedAt
	if p := g.peer(v.Incarnation); p != nil && p.hasAck {
		last = max(last, p.acked)
	}
	return g.now-last >= contactTimeout
}

func (g *Group) caughtUp(p *progress) bool {
	return p.match >= g.termStart && p.match+maxLearnerLag >= g.log.last()
}

// change appends a membership, unless a majority of it is out of contact: the
// group could then not commit the change, nor anything else.
func (g *Group) change(voters []state.Member) bool {
	n := 0
	for _, v := range voters {
		p := g.peer(v.Incarnation)
		if v.Incarnation == g.self.Incarnation || p != nil && p.hasAck && g.now-p.acked < leaseDuration {
			n++
		}
	}
	if n <= len(voters)/2 {
		return false
	}
	m := state.Membership{GroupID: g.groupID(), Voters: voters}
	g.appendEntries(state.Entry{Index: g.log.last() + 1, Term: g.term, Membership: &m})
	return true
}

func (g *Group) voter(incarnation uint64) *state.Member {
	vs := g.voters()
	for i := range vs {
		if vs[i].Incarnation == incarnation {
			return &vs[i]
		}
	}
	return nil
}

func without(voters []state.Member, name string) []state.Member {
	return slices.DeleteFunc(slices.Clone(voters), func(v state.Member) bool { return v.Name == name })
}

func with(voters []state.Member, m state.Member) []state.Member {
	vs := append(without(voters, m.Name), m)
	slices.SortFunc(vs, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return vs
}
