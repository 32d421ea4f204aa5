package replication

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// A spare replaces a lost voter in two changes: a joint membership lists both, then one of
// them is removed. In a joint membership a decision needs a majority of the earlier voters
// and one of the later voters. So neither the loss of the spare nor that of another voter
// stops the group in between, if it would not have stopped the group before or after. If
// the lost voter were removed first, the loss of one more disk could stop a group of two for
// good; if the spare were added first, its loss could stop a group of four.

const (
	// defaultRepairTime applies if Config.RepairTime is 0.
	defaultRepairTime = 4 * time.Second

	// maxFailoverTime bounds the time from the loss of a leader to the next election:
	// an election timeout, a repeated pre-vote and a repeated vote.
	maxFailoverTime = maxElectionTimeout + maxPreVoteTimeout + maxVoteTimeout

	// membershipChangeTime bounds one membership change under load: an entry is
	// replicated, synced and committed.
	membershipChangeTime = 250 * time.Millisecond
)

// replaceTimeout returns the time without acknowledgements after which a spare replaces a
// voter. The replacement has to be complete within the repair time. Each new leader counts
// the silence anew from its election on, and as many leaders may be lost one after another
// as the group tolerates losses. The result is not shorter than contactTimeout, within
// which a working voter answers.
func (g *Group) replaceTimeout() time.Duration {
	repair := g.cfg.RepairTime
	if repair == 0 {
		repair = defaultRepairTime
	}
	tolerated := max(1, g.cfg.MaxVoters/2)
	perLeader := (repair - 2*membershipChangeTime) / time.Duration(tolerated)
	return max(contactTimeout, perLeader-maxFailoverTime)
}

// isSpare reports whether the named process is not a voter and the group already
// has MaxVoters voters. An odd number of voters keeps a majority on one side of a
// partition into two; one voter more would not let the group survive another failure.
func (g *Group) isSpare(name string) bool {
	return g.cfg.MaxVoters > 0 && len(g.voters()) >= g.cfg.MaxVoters && g.membership().Find(name) == nil
}

// Leave announces that this process is stopping. While a spare is available, the leader
// replaces this voter without waiting until it is silent: the deployment may lose the next
// member as soon as this process has stopped, if its successor has been running long enough.
// A leader adds the spare at once, because the next leader learns of the spare only from
// its next join request, and has to transfer its leadership afterwards. Only a restart ends
// the announcement. In a group without spares Leave does nothing: a member that is stopping
// may still be needed there, and joins if it has to.
func (g *Group) Leave(now time.Duration) {
	g.advanceClock(now)
	if g.cfg.MaxVoters == 0 {
		return
	}
	g.leaving = true
	if g.role == leader {
		g.maybeChangeMembership()
	}
}

// lostVoter returns a voter that a spare should replace, or nil: one that has been silent
// for replaceTimeout, or else one that is stopping. A voter that has never answered this
// leader counts as lost after contactTimeout. It was probably lost before the election, and
// with the full wait a few elections in a row would delay its replacement without a bound.
func (g *Group) lostVoter() *state.Member {
	var leaving *state.Member
	for _, v := range g.voters() {
		if g.isLeaving(&v) {
			leaving = &v
		}
		wait := g.replaceTimeout()
		if p := g.peer(v.Incarnation); p == nil || !p.hasAck {
			wait = contactTimeout
		}
		if v.Incarnation != g.self.Incarnation && g.silence(&v) >= wait {
			return &v
		}
	}
	return leaving
}

func (g *Group) isLeaving(v *state.Member) bool {
	if v.Incarnation == g.self.Incarnation {
		return g.leaving
	}
	p := g.peer(v.Incarnation)
	return p != nil && p.leaving
}

// beginReplacement returns the joint membership in which a spare replaces a lost voter, or
// false if no voter is lost or another spare should replace it.
func (g *Group) beginReplacement(p *progress) (state.Membership, bool) {
	lost := g.lostVoter()
	if lost == nil || !g.isBestSpare(p, lost) {
		return state.Membership{}, false
	}
	m := g.withVoters(withMember(g.voters(), p.member))
	m.Replaced, m.Replacement = lost.Incarnation, p.member.Incarnation
	return m, true
}

// isBestSpare reports whether no other spare that may become a voter is in a failure domain
// with fewer of the voters that remain: the loss of a domain should cost as few voters as
// possible.
func (g *Group) isBestSpare(p *progress, lost *state.Member) bool {
	others := withoutMember(g.voters(), lost.Name)
	inDomain := func(domain string) int {
		n := 0
		for _, v := range others {
			if v.Domain == domain {
				n++
			}
		}
		return n
	}
	return !slices.ContainsFunc(g.peers, func(q *progress) bool {
		return g.mayBecomeVoter(q) && g.isSpare(q.member.Name) && inDomain(q.member.Domain) < inDomain(p.member.Domain)
	})
}

// afterReplacement returns the membership that follows a joint one, or false if it is not
// known yet: without the replaced voter if the replacement is responsive, and without the
// replacement if that is lost too. The leader itself stays, unless it is stopping: then the
// next leader completes the replacement.
func (g *Group) afterReplacement() (state.Membership, bool) {
	m := g.membership()
	removed := m.Replaced
	if replacement := g.voter(m.Replacement); replacement != nil && replacement.Incarnation != g.self.Incarnation {
		p := g.peer(m.Replacement)
		switch {
		case g.isUnresponsive(replacement):
			removed = m.Replacement
		case p == nil || !p.hasAck:
			return state.Membership{}, false
		}
	}
	if removed == g.self.Incarnation {
		if g.leaving {
			return state.Membership{}, false
		}
		removed = m.Replacement
	}
	return g.withVoters(slices.DeleteFunc(slices.Clone(m.Voters), func(v state.Member) bool { return v.Incarnation == removed })), true
}
