package replication

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// joinInterval is the time between two rounds of join requests, which are also the
// queries for empty replicas during bootstrap.
const joinInterval = 200 * time.Millisecond

// emptyReplicaTimeout is the longest time since a join request for which an empty
// replica's response to it counts. After a longer time the replica may have restarted,
// and a group bootstrapped with a majority of stopped incarnations never elects a
// leader.
const emptyReplicaTimeout = 2 * joinInterval

// emptyReplica is a replica that has answered a join request and has no membership.
type emptyReplica struct {
	state.Member
	queriedAt time.Duration // time at which the join request was sent
}

// needsJoin reports whether this replica sends join requests: it has no membership,
// is not a voter, is listed with outdated properties, such as an earlier address, or may
// have been replaced. A former voter asks to join again only if the group admits any
// name, and then becomes a spare: its log and its votes are still valid. In other groups
// an operator has removed it. A replica that is stopping does not ask.
func (g *Group) needsJoin() bool {
	if g.leaving {
		return false
	}
	if g.membership() == nil {
		return true
	}
	if v := g.voter(g.self.Incarnation); v != nil {
		return g.role != leader && (*v != g.self || g.mayBeReplaced())
	}
	return g.cfg.AllowAnyName || !g.wasVoter()
}

// mayBeReplaced reports whether a spare may have replaced this voter: it has been out of
// contact with any leader. A replaced voter does not receive the entry that removes it
// while it is cut off, and the leader does not send to it afterwards.
func (g *Group) mayBeReplaced() bool {
	return g.cfg.MaxVoters > 0 && g.now-g.lastContact >= contactTimeout
}

// SetContacts replaces Config.Contacts, the processes that receive join requests.
func (g *Group) SetContacts(contacts []state.Member) { g.cfg.Contacts = contacts }

func (g *Group) sendJoins() {
	g.joinAt = g.now + joinInterval
	learning := g.membership() != nil && !g.isVoter() && g.leader != "" && g.leaderInContact()
	if learning {
		return
	}
	targets := g.joinTargets()
	g.notifyJoining(len(targets))
	for _, to := range targets {
		self := g.self
		g.send(to, Message{Type: MsgJoin, Member: &self, Nonce: g.nonce, SentAt: g.now})
	}
}

// joinTargets returns the receivers of join requests: the voters at their addresses
// in the membership or in the last join response, Config.Contacts at the addresses
// given there, and the other initial members by name only. All of these addresses may
// be outdated. Incarnations are left out, because they may have changed.
func (g *Group) joinTargets() []state.Member {
	var targets []state.Member
	for _, v := range append(g.contacts, g.voters()...) {
		if v.Address != g.self.Address {
			targets = append(targets, state.Member{Name: v.Name, Address: v.Address})
		}
	}
	for _, c := range g.cfg.Contacts {
		if c.Name != g.self.Name {
			targets = append(targets, state.Member{Name: c.Name, Address: c.Address})
		}
	}
	for _, name := range g.cfg.InitialMembers {
		if name != g.self.Name && !slices.ContainsFunc(g.cfg.Contacts, func(c state.Member) bool { return c.Name == name }) {
			targets = append(targets, state.Member{Name: name})
		}
	}
	return targets
}

func (g *Group) handleJoin(m *Message) {
	if g.membership() == nil {
		g.respondEmpty(m)
		return
	}
	g.respondMember(m)
	if m.GroupID == g.groupID() && g.role == leader {
		g.register(*m.Member)
	}
}

// respondEmpty reports to a joining replica that this one is empty. The joiner may
// then bootstrap a group that lists this replica. The first such report to an
// incarnation therefore renews the nonce and clears joinGroupID, so that responses
// that another group sent earlier are not accepted afterwards.
func (g *Group) respondEmpty(m *Message) {
	if !g.reportedEmptyTo[m.FromIncarnation] {
		g.reportedEmptyTo[m.FromIncarnation] = true
		g.nonce, g.joinGroupID = g.cfg.Rand.Uint64(), 0
	}
	self := g.self
	g.reply(m, Message{Type: MsgJoinResponse, Member: &self, Nonce: m.Nonce, SentAt: m.SentAt})
}

// respondMember reports the group and its voters to a joining replica. A replica
// that the first entry of the group lists also receives that entry, unless the entry
// is compacted. If a second bootstrap is due, respondMember sends a join request
// instead, and the joiner's response to it leads to the bootstrap.
func (g *Group) respondMember(m *Message) {
	self := g.self
	if g.mayRebootstrap(m) {
		// The joiner may have stopped by now. The second bootstrap lists it only after it
		// has answered a join request of this replica.
		g.reply(m, Message{Type: MsgJoin, Member: &self, Nonce: g.nonce, SentAt: g.now})
		return
	}
	g.unreportedBootstrap = false
	r := Message{Type: MsgJoinResponse, SenderInGroup: true, Member: &self, Members: g.voters(), Nonce: m.Nonce}
	if g.log.offset == 0 {
		if e := g.log.entries[0]; e.Membership != nil && containsIncarnation(e.Membership.Voters, m.FromIncarnation) {
			r.Entries = []state.Entry{e}
		}
	}
	g.reply(m, r)
}

func (g *Group) handleJoinResponse(m *Message) {
	if m.Nonce != g.nonce || m.Member == nil {
		return
	}
	if g.membership() != nil {
		if m.GroupID == g.groupID() && m.SenderInGroup {
			g.contacts = m.Members // this replica's log may be behind and list earlier addresses
		} else if !m.SenderInGroup && g.now-m.SentAt <= emptyReplicaTimeout && g.mayRebootstrap(m) {
			g.rebootstrap(m)
		}
		return
	}
	if !m.SenderInGroup {
		g.emptyReplicas[m.From] = emptyReplica{*m.Member, m.SentAt}
		g.bootstrapIfComplete()
		return
	}
	first := g.joinGroupID != m.GroupID
	g.joinGroupID, g.contacts = m.GroupID, m.Members
	if len(m.Entries) == 1 && g.adoptFirstEntry(m.Entries[0]) {
		return
	}
	if first {
		g.sendJoins()
	}
}

// bootstrapIfComplete creates the group if this replica has the lowest name of the
// initial members, no member of an existing group has answered, and each of the other
// initial members has reported that it is empty, in response to a join request sent
// within emptyReplicaTimeout.
func (g *Group) bootstrapIfComplete() {
	if len(g.cfg.InitialMembers) == 0 || g.self.Name != slices.Min(g.cfg.InitialMembers) || g.joinGroupID != 0 {
		return
	}
	for _, name := range g.cfg.InitialMembers {
		if f, ok := g.emptyReplicas[name]; name != g.self.Name && (!ok || g.now-f.queriedAt > emptyReplicaTimeout) {
			return
		}
	}
	g.bootstrap()
}

// bootstrap creates the group. The first entry of its log contains a new group ID and
// the initial members with the incarnations that have answered.
func (g *Group) bootstrap() {
	m := state.Membership{GroupID: g.cfg.Rand.Uint64() | 1}
	g.emptyReplicas[g.self.Name] = emptyReplica{g.self, g.now}
	for _, name := range g.cfg.InitialMembers {
		m.Voters = withMember(m.Voters, g.emptyReplicas[name].Member)
	}
	g.unreportedBootstrap = true
	g.startLog(state.Entry{Index: 1, Term: 1, Membership: &m})
}

// mayRebootstrap reports whether the membership lists another incarnation of the
// sender of m, while the log holds only the first entry and this process, which
// created the group, has reported it to no other replica. Without a second bootstrap,
// a group of two members could then never have a majority.
func (g *Group) mayRebootstrap(m *Message) bool {
	v := g.membership().Find(m.From)
	return g.unreportedBootstrap && g.log.last() == 1 && v != nil && v.Incarnation != m.FromIncarnation
}

// rebootstrap replaces the group that this process created by one that lists the
// current incarnation of the sender.
func (g *Group) rebootstrap(m *Message) {
	g.emptyReplicas[m.From] = emptyReplica{*m.Member, m.SentAt}
	g.becomeFollower(g.term, "")
	g.truncate(1)
	g.bootstrap()
}

// adoptFirstEntry starts the log of this empty replica with the first entry of a
// group. It returns false if the entry is not a first entry, does not list this
// incarnation, or has another group ID than the join response that contained it.
func (g *Group) adoptFirstEntry(e state.Entry) bool {
	ok := e.Index == 1 && e.Term == 1 && e.Membership != nil && e.Membership.GroupID == g.joinGroupID &&
		containsIncarnation(e.Membership.Voters, g.self.Incarnation)
	if ok {
		g.startLog(e)
	}
	return ok
}

func (g *Group) startLog(first state.Entry) {
	g.appendEntries(first)
	if g.term < first.Term {
		g.setTerm(first.Term, "")
	}
	g.contacts = nil
	g.resetElection()
}
