package replication

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// joinInterval is the time between two requests to join, and between two queries
// for the group at bootstrap.
const joinInterval = 200 * time.Millisecond

// founderTimeout: an answer to an older query does not count. The member may have restarted since, and a group founded with a majority of dead
// incarnations never starts.
const founderTimeout = 2 * joinInterval

// founder is an empty replica that answered a query.
type founder struct {
	state.Member
	at time.Duration // when the query was sent
}

// wantsJoin reports whether this replica asks to be admitted: it has no
// membership, is not listed, or is listed with other properties, such as an
// earlier address. An incarnation that was a voter and was removed does not ask.
func (g *Group) wantsJoin() bool {
	if g.membership() == nil {
		return true
	}
	if v := g.voter(g.self.Incarnation); v != nil {
		return g.role != leader && *v != g.self
	}
	return !g.wasVoter()
}

// SetContacts replaces the processes to ask for admission.
func (g *Group) SetContacts(contacts []state.Member) { g.cfg.Contacts = contacts }

func (g *Group) sendJoins() {
	g.joinAt = g.now + joinInterval
	learning := g.membership() != nil && !g.isVoter() && g.leader != "" && g.hearsLeader()
	if learning {
		return
	}
	for _, to := range g.knownMembers() {
		self := g.self
		g.send(to, Message{Type: MsgJoin, Member: &self, Nonce: g.nonce, SentAt: g.now})
	}
}

// knownMembers returns whom to ask: the voters at the addresses that the group
// lists, and the founding names at the addresses that the caller knows. Either may
// be out of date. Incarnations are left out: they may have changed.
func (g *Group) knownMembers() []state.Member {
	var known []state.Member
	for _, v := range append(g.contacts, g.voters()...) {
		if v.Address != g.self.Address {
			known = append(known, state.Member{Name: v.Name, Address: v.Address})
		}
	}
	for _, c := range g.cfg.Contacts {
		if c.Name != g.self.Name {
			known = append(known, state.Member{Name: c.Name, Address: c.Address})
		}
	}
	for _, name := range g.cfg.Bootstrap {
		if name != g.self.Name && !slices.ContainsFunc(g.cfg.Contacts, func(c state.Member) bool { return c.Name == name }) {
			known = append(known, state.Member{Name: name})
		}
	}
	return known
}

func (g *Group) handleJoin(m *Message) {
	if g.membership() == nil {
		g.answerEmpty(m)
		return
	}
	g.answerKnown(m)
	if m.GroupID == g.groupID() && g.role == leader {
		g.register(*m.Member)
	}
}

// answerEmpty tells a replica that this one is empty too. The asker may found a
// group on this answer, so the nonce is drawn again: answers that an earlier
// group sent before must not be adopted after it.
func (g *Group) answerEmpty(m *Message) {
	if !g.answered[m.FromIncarnation] {
		g.answered[m.FromIncarnation] = true
		g.nonce, g.joinGroup = g.cfg.Rand.Uint64(), 0
	}
	self := g.self
	g.reply(m, Message{Type: MsgJoinResponse, Member: &self, Nonce: m.Nonce, SentAt: m.SentAt})
}

func (g *Group) answerKnown(m *Message) {
	self := g.self
	if g.mayFoundAgain(m) {
		// The asker may be dead by now: only its answer shows that it is not.
		g.reply(m, Message{Type: MsgJoin, Member: &self, Nonce: g.nonce, SentAt: g.now})
		return
	}
	g.founded = false
	r := Message{Type: MsgJoinResponse, Known: true, Member: &self, Members: g.voters(), Nonce: m.Nonce}
	if g.log.offset == 0 {
		if e := g.log.entries[0]; e.Membership != nil && listed(e.Membership.Voters, m.FromIncarnation) {
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
		if m.GroupID == g.groupID() && m.Known {
			g.contacts = m.Members // newer addresses than those in a log that fell behind
		} else if !m.Known && g.now-m.SentAt <= founderTimeout && g.mayFoundAgain(m) {
			g.foundAgain(m)
		}
		return
	}
	if !m.Known {
		g.founders[m.From] = founder{*m.Member, m.SentAt}
		g.foundIfComplete()
		return
	}
	first := g.joinGroup != m.GroupID
	g.joinGroup, g.contacts = m.GroupID, m.Members
	if len(m.Entries) == 1 && g.adopt(m.Entries[0]) {
		return
	}
	if first {
		g.sendJoins()
	}
}

// foundIfComplete creates the group if this replica has the lowest founding name
// and all others have answered that they are empty.
func (g *Group) foundIfComplete() {
	if len(g.cfg.Bootstrap) == 0 || g.self.Name != slices.Min(g.cfg.Bootstrap) || g.joinGroup != 0 {
		return
	}
	for _, name := range g.cfg.Bootstrap {
		if f, ok := g.founders[name]; name != g.self.Name && (!ok || g.now-f.at > founderTimeout) {
			return
		}
	}
	g.found()
}

// found creates the group: its first entry lists the members and its new ID.
func (g *Group) found() {
	m := state.Membership{GroupID: g.cfg.Rand.Uint64() | 1}
	g.founders[g.self.Name] = founder{g.self, g.now}
	for _, name := range g.cfg.Bootstrap {
		m.Voters = with(m.Voters, g.founders[name].Member)
	}
	g.founded = true
	g.begin(state.Entry{Index: 1, Term: 1, Membership: &m})
}

// mayFoundAgain reports whether a founding member comes with another incarnation
// than the one listed, while nobody was told of the group that this process
// created. With two members that group could never have a majority.
func (g *Group) mayFoundAgain(m *Message) bool {
	v := g.membership().Find(m.From)
	return g.founded && g.log.last() == 1 && v != nil && v.Incarnation != m.FromIncarnation
}

// foundAgain replaces the group that this process created.
func (g *Group) foundAgain(m *Message) {
	g.founders[m.From] = founder{*m.Member, m.SentAt}
	g.becomeFollower(g.term, "")
	g.truncate(1)
	g.found()
}

// adopt takes the first entry of a group that lists this empty replica.
func (g *Group) adopt(e state.Entry) bool {
	ok := e.Index == 1 && e.Term == 1 && e.Membership != nil && e.Membership.GroupID == g.joinGroup &&
		listed(e.Membership.Voters, g.self.Incarnation)
	if ok {
		g.begin(e)
	}
	return ok
}

func (g *Group) begin(first state.Entry) {
	g.appendEntries(first)
	if g.term < first.Term {
		g.setTerm(first.Term, "")
	}
	g.contacts = nil
	g.resetElection()
}
