package replication

import (
	"strconv"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Election timing. The reasons are in docs/design.md, section 3.
const (
	minElectionTimeout = 500 * time.Millisecond
	maxElectionTimeout = 750 * time.Millisecond

	// A round that was not won is repeated sooner than a silent leader is given
	// up: a split vote must not push the failover above 2 s. The lower bounds leave
	// time for one round trip and, in a vote, for two syncs.
	minPreVoteTimeout = 100 * time.Millisecond
	maxPreVoteTimeout = 300 * time.Millisecond
	minVoteTimeout    = 300 * time.Millisecond
	maxVoteTimeout    = 600 * time.Millisecond
)

// voteID is the form in which a vote is saved. It contains the incarnation: two
// incarnations of one name may both ask for a vote in the same term.
func voteID(name string, incarnation uint64) string {
	return name + "@" + strconv.FormatUint(incarnation, 16)
}

func (g *Group) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(g.cfg.Rand.Uint64()%uint64(hi-lo))
}

func (g *Group) resetElection() {
	g.electionAt = g.now + g.between(minElectionTimeout, maxElectionTimeout)
}

func (g *Group) becomeFollower(term uint64, leaderName string) {
	if term > g.term {
		g.setTerm(term, "")
	}
	if g.role != follower {
		g.resetElection()
	}
	g.role, g.leader, g.votes = follower, leaderName, nil
	g.peers, g.transferTo = nil, ""
}

func (g *Group) setTerm(term uint64, vote string) {
	g.term, g.vote = term, vote
	g.hardVersion++
	g.verified, g.ack = 0, nil
}

// electionDue starts an election, unless the disk has not synced the previous
// term yet: another term would only make the votes wait longer.
func (g *Group) electionDue() {
	if g.hardSynced < g.hardVersion {
		g.resetElection()
		return
	}
	g.startPreVote()
}

// startPreVote asks whether an election could be won, without raising the term.
// A member that returns from a partition would otherwise depose a good leader.
func (g *Group) startPreVote() {
	g.role, g.leader = preCandidate, ""
	g.votes = map[uint64]bool{g.self.Incarnation: true}
	g.electionAt = g.now + g.between(minPreVoteTimeout, maxPreVoteTimeout)
	g.requestVotes(Message{Type: MsgPreVote, Term: g.term + 1})
	g.countVotes()
}

// campaign starts an election. transfer marks one that the leader asked for.
func (g *Group) campaign(transfer bool) {
	g.setTerm(g.term+1, voteID(g.self.Name, g.self.Incarnation))
	g.role, g.leader = candidate, ""
	g.votes = map[uint64]bool{g.self.Incarnation: true}
	g.electionAt = g.now + g.between(minVoteTimeout, maxVoteTimeout)
	g.requestVotes(Message{Type: MsgVote, Transfer: transfer})
}

func (g *Group) requestVotes(m Message) {
	m.Index, m.LogTerm = g.log.last(), g.log.lastTerm()
	for _, v := range g.voters() {
		if v.Incarnation != g.self.Incarnation {
			g.send(v, m)
		}
	}
}

// hearsLeader reports whether a leader may hold a lease that this replica
// helped to give: itself, or one it heard from within the minimum election
// timeout.
func (g *Group) hearsLeader() bool {
	if g.role == leader {
		return g.now-g.quorumContact() < minElectionTimeout
	}
	return g.now-g.lastContact < minElectionTimeout
}

// mayVoteFor reports whether a candidate's log is complete enough and the vote
// of its term is free. A founding member that never received the first entry votes
// too: the candidate lists its incarnation, so it has lost nothing, and its vote may
// be the one that is missing after the loss of another member.
func (g *Group) mayVoteFor(m *Message) bool {
	last, lastTerm := g.log.last(), g.log.lastTerm()
	upToDate := m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
	free := m.Term > g.term || g.vote == "" || g.vote == voteID(m.From, m.FromIncarnation)
	return upToDate && free
}

func (g *Group) handlePreVote(m *Message) {
	if m.Term < g.term || g.hearsLeader() || !g.mayVoteFor(m) {
		g.reply(m, Message{Type: MsgPreVoteResponse, Reject: true})
		return
	}
	g.reply(m, Message{Type: MsgPreVoteResponse, Term: m.Term})
}

func (g *Group) handleVote(m *Message) {
	if m.Term < g.term || g.hearsLeader() && !m.Transfer {
		g.reply(m, Message{Type: MsgVoteResponse, Reject: true})
		return
	}
	if m.Term > g.term {
		g.becomeFollower(m.Term, "")
	}
	if !g.mayVoteFor(m) {
		g.reply(m, Message{Type: MsgVoteResponse, Reject: true})
		return
	}
	if id := voteID(m.From, m.FromIncarnation); g.vote != id {
		g.vote = id
		g.hardVersion++
	}
	g.resetElection()
	g.reply(m, Message{Type: MsgVoteResponse})
}

func (g *Group) handleVoteResponse(m *Message) {
	if m.Reject {
		if m.Term > g.term {
			g.becomeFollower(m.Term, "")
		}
		return
	}
	preVote := m.Type == MsgPreVoteResponse && g.role == preCandidate && m.Term == g.term+1
	vote := m.Type == MsgVoteResponse && g.role == candidate && m.Term == g.term
	if preVote || vote {
		g.votes[m.FromIncarnation] = true
		g.countVotes()
	}
}

// countVotes moves on when a majority of the voters agrees. The own vote counts
// once it is synced.
func (g *Group) countVotes() {
	if g.role == candidate && g.hardSynced < g.hardVersion {
		return
	}
	n := 0
	for _, v := range g.voters() {
		if g.votes[v.Incarnation] {
			n++
		}
	}
	switch {
	case n <= len(g.voters())/2:
	case g.role == preCandidate:
		g.campaign(false)
	case g.role == candidate:
		g.becomeLeader()
	}
}

func (g *Group) becomeLeader() {
	g.role, g.leader, g.votes = leader, g.self.Name, nil
	g.electedAt, g.termStart = g.now, g.log.last()+1
	g.peers, g.transferTo, g.uncommittedBytes = nil, "", 0
	g.updatePeers()
	// An entry of the own term must be committed before earlier ones count as such.
	g.appendEntries(state.Entry{Index: g.termStart, Term: g.term})
}
