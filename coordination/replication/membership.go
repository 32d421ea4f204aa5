package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

const (
	// learnerTimeout is the time since the last response after which a learner is
	// removed from the peers. When the learner returns, it sends a join request again.
	learnerTimeout = 10 * time.Second

	// learnerReplaceTimeout is the time since the last response after which a learner
	// may be replaced by another incarnation of its name. Without it, two running
	// processes of one name would displace each other.
	learnerReplaceTimeout = time.Second

	// maxLearnerLag is the number of entries that a learner may be behind the leader
	// when it becomes a voter. Under load a learner never catches up completely.
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
// was truncated from the log does not count.
func (g *Group) wasVoter() bool {
	return g.wasVoterInPruned || slices.ContainsFunc(g.memberships, func(m membershipAt) bool {
		return containsIncarnation(m.Voters, g.self.Incarnation)
	})
}

// pruneMemberships deletes the n oldest memberships. It records whether this
// incarnation was a voter in any of them that is committed.
func (g *Group) pruneMemberships(n int) {
	for _, m := range g.memberships[:n] {
		if m.index <= g.commit && containsIncarnation(m.Voters, g.self.Incarnation) {
			g.wasVoterInPruned = true
		}
	}
	g.memberships = g.memberships[n:]
}

// updatePeers adds a peer for every other voter. Removed voters stay peers until
// the removal is committed, so that they receive it.
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
		return !p.learner && !containsIncarnation(g.voters(), p.member.Incarnation)
	})
}

func (g *Group) dropUnresponsiveLearners() {
	g.peers = slices.DeleteFunc(g.peers, func(p *progress) bool {
		drop := p.learner && g.now-p.lastContact >= learnerTimeout
		if drop {
			g.notify(Notice{Kind: NoticeLearnerDropped, Member: p.member, Silence: g.now - p.lastContact, Lag: g.lag(p)})
		}
		return drop
	})
}

// AllowMember lets a replica with a new name join. The names in Config.InitialMembers
// may always join, so that a replacement interrupted by a leader change can be
// completed.
func (g *Group) AllowMember(m state.Member) { g.allowedNames[m.Name] = true }

// RemoveMember proposes a membership without the named voter.
func (g *Group) RemoveMember(now time.Duration, name string) error {
	g.advanceClock(now)
	switch {
	case g.role != leader:
		return ErrNotLeader
	case name == g.self.Name:
		return ErrRemoveLeader
	case g.membership().Find(name) == nil:
		return ErrNoMember
	case !g.mayChangeMembership() || g.membership().IsJoint():
		return ErrChangePending
	case !g.proposeMembership(g.withVoters(withoutMember(g.voters(), name))):
		return ErrNoQuorum
	}
	delete(g.allowedNames, name)
	return nil
}

// register handles a join request on the leader. It updates the properties of a known
// peer, such as its address, and otherwise adds a learner. No learner is added for a
// name that may not join, or while a learner of the same name has responded within
// learnerReplaceTimeout. Spares are learners at all times: a spare that began to catch up
// only after the loss of a voter might not replace it in time.
func (g *Group) register(m state.Member) {
	if p := g.peer(m.Incarnation); p != nil {
		p.member = m
		return
	}
	if !g.mayJoin(m.Name) {
		g.notifyDeclined(m)
		return
	}
	for i, p := range g.peers {
		if p.learner && p.member.Name == m.Name {
			if g.now-p.lastContact < learnerReplaceTimeout {
				g.notifyDeclined(m)
				return
			}
			g.peers = slices.Delete(g.peers, i, i+1)
			break
		}
	}
	g.notify(Notice{Kind: NoticeLearnerAdded, Member: m})
	g.sendHeartbeat(g.newPeer(m, true))
}

// mayJoin reports whether a process of this name, which is not a peer yet, may become a
// learner.
func (g *Group) mayJoin(name string) bool {
	if name == g.self.Name {
		return false
	}
	return g.cfg.AllowAnyName || g.membership().Find(name) != nil || g.allowedNames[name]
}

// mayChangeMembership reports whether this replica, as a leader with a valid lease,
// may start a membership change. No transfer of leadership and no other change may be
// pending, and an entry of the current term must be committed: otherwise an uncommitted
// change of an earlier leader could lead to disjoint majorities.
func (g *Group) mayChangeMembership() bool {
	return g.HasLease(g.now) && g.transferTo == "" && g.commit >= g.termStart &&
		g.memberships[len(g.memberships)-1].index <= g.commit
}

// maybeChangeMembership proposes the next step of a membership change, if one is
// due and allowed.
func (g *Group) maybeChangeMembership() {
	if !g.mayChangeMembership() {
		return
	}
	if v := g.voter(g.self.Incarnation); v != nil && *v != g.self {
		m := *g.membership()
		m.Voters = withMember(m.Voters, g.self)
		g.proposeMembership(m)
		return
	}
	if g.membership().IsJoint() {
		if m, ok := g.afterReplacement(); ok {
			g.proposeMembership(m)
		}
		return
	}
	for _, p := range g.peers {
		if m, ok := g.nextMembership(p); ok && g.proposeMembership(m) {
			return
		}
	}
}

// withVoters returns a membership of this group with the given voters.
func (g *Group) withVoters(voters []state.Member) state.Membership {
	return state.Membership{GroupID: g.groupID(), Voters: voters}
}

// nextMembership returns the membership after the next change for one peer, or false if
// no change is due. A voter is listed with its latest properties. A learner that has
// caught up becomes a voter. To replace an earlier incarnation of its name, it takes two
// changes: removal, then addition. The earlier incarnation must be unresponsive, because
// removing a working voter could cost the group its majority if another voter fails at
// that moment. For a spare that replaces a lost voter see replace.go.
func (g *Group) nextMembership(p *progress) (state.Membership, bool) {
	if v := g.voter(p.member.Incarnation); v != nil {
		return g.withVoters(withMember(g.voters(), p.member)), *v != p.member
	}
	if !g.mayBecomeVoter(p) {
		return state.Membership{}, false
	}
	if old := g.membership().Find(p.member.Name); old != nil {
		return g.withVoters(withoutMember(g.voters(), old.Name)), g.isUnresponsive(old)
	}
	if g.isSpare(p.member.Name) {
		return g.beginReplacement(p)
	}
	return g.withVoters(withMember(g.voters(), p.member)), true
}

// silence returns the time since the sending of the last message that a voter has
// acknowledged, or since the election if it has acknowledged none.
func (g *Group) silence(v *state.Member) time.Duration {
	last := g.electedAt
	if p := g.peer(v.Incarnation); p != nil && p.hasAck {
		last = max(last, p.ackedSentAt)
	}
	return g.now - last
}

func (g *Group) isUnresponsive(v *state.Member) bool { return g.silence(v) >= contactTimeout }

func (g *Group) caughtUp(p *progress) bool {
	return p.match >= g.termStart && p.match+maxLearnerLag >= g.log.last()
}

// mayBecomeVoter reports whether a peer is a learner that has caught up, is responsive and is
// not stopping. In an idle group a learner that has stopped lags by no entry until it is
// dropped.
func (g *Group) mayBecomeVoter(p *progress) bool {
	return p.learner && !p.leaving && g.caughtUp(p) && p.hasAck && g.now-p.ackedSentAt < contactTimeout
}

// proposeMembership appends an entry with a membership and returns true. It returns false
// if no majority of its voters has acknowledged a message that was sent within
// leaseDuration: the group could then commit neither the membership nor any other entry.
func (g *Group) proposeMembership(m state.Membership) bool {
	inContact := func(v *state.Member) bool {
		p := g.peer(v.Incarnation)
		return v.Incarnation == g.self.Incarnation || p != nil && p.hasAck && g.now-p.ackedSentAt < leaseDuration
	}
	if !m.HasMajority(inContact) {
		return false
	}
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

func withoutMember(voters []state.Member, name string) []state.Member {
	return slices.DeleteFunc(slices.Clone(voters), func(v state.Member) bool { return v.Name == name })
}

func withMember(voters []state.Member, m state.Member) []state.Member {
	vs := append(withoutMember(voters, m.Name), m)
	slices.SortFunc(vs, func(a, b state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return vs
}
