package replication

import (
	"strconv"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// Election timeouts, explained in docs/design.md, section 3.
const (
	minElectionTimeout = 500 * time.Millisecond
	maxElectionTimeout = 750 * time.Millisecond

	// A pre-vote or vote that was not won is repeated after a shorter timeout than
	// the election timeout, so that a split vote does not push the failover above 2 s.
	// The minimums allow one round trip and, for a vote, two syncs.
	minPreVoteTimeout = 100 * time.Millisecond
	maxPreVoteTimeout = 300 * time.Millisecond
	minVoteTimeout    = 300 * time.Millisecond
	maxVoteTimeout    = 600 * time.Millisecond
)

// voteID returns the form in which a vote is saved. It contains the incarnation,
// because two incarnations of one name may request votes in the same term.
func voteID(name string, incarnation uint64) string {
	return name + "@" + strconv.FormatUint(incarnation, 16)
}

func (g *Group) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(g.cfg.Rand.Uint64()%uint64(hi-lo))
}

func (g *Group) resetElection() {
	g.electionAt = g.now + g.randomDuration(minElectionTimeout, maxElectionTimeout)
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
	g.verified, g.pendingAck = 0, nil
}

// handleElectionTimeout starts a pre-vote, unless the current term and vote are not
// synced yet. In that case it waits for another election timeout: a higher term would
// need a further sync and only delay the votes.
func (g *Group) handleElectionTimeout() {
	if g.hardSynced < g.hardVersion {
		g.resetElection()
		return
	}
	g.startPreVote()
}

// startPreVote asks the voters whether an election could be won, without raising
// the term. Without a pre-vote, a member that returns from a partition would depose
// a working leader.
func (g *Group) startPreVote() {
	g.role, g.leader = preCandidate, ""
	g.votes = map[uint64]bool{g.self.Incarnation: true}
	g.electionAt = g.now + g.randomDuration(minPreVoteTimeout, maxPreVoteTimeout)
	g.requestVotes(Message{Type: MsgPreVote, Term: g.term + 1})
	g.countVotes()
}

// campaign starts an election. transfer is set if the leader requested it with
// MsgTransferLeader.
func (g *Group) campaign(transfer bool) {
	g.setTerm(g.term+1, voteID(g.self.Name, g.self.Incarnation))
	g.role, g.leader = candidate, ""
	g.votes = map[uint64]bool{g.self.Incarnation: true}
	g.electionAt = g.now + g.randomDuration(minVoteTimeout, maxVoteTimeout)
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

// leaderInContact reports whether a leader may hold a lease that this replica has
// acknowledged: this replica itself, or a leader that contacted it within the
// minimum election timeout.
func (g *Group) leaderInContact() bool {
	if g.role == leader {
		return g.now-g.quorumContact() < minElectionTimeout
	}
	return g.now-g.lastContact < minElectionTimeout
}

// mayVoteFor reports whether the candidate's log is at least as up to date as this
// replica's log, and this replica has not voted for another candidate in the
// candidate's term. An initial member that never received the first entry votes too:
// the candidate's membership lists the current incarnation of this member, which has
// therefore not lost any entries, and its vote may be needed for a majority after the
// loss of another member.
func (g *Group) mayVoteFor(m *Message) bool {
	last, lastTerm := g.log.last(), g.log.lastTerm()
	upToDate := m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
	free := m.Term > g.term || g.vote == "" || g.vote == voteID(m.From, m.FromIncarnation)
	return upToDate && free
}

func (g *Group) handlePreVote(m *Message) {
	if m.Term < g.term || g.leaderInContact() || !g.mayVoteFor(m) {
		g.reply(m, Message{Type: MsgPreVoteResponse, Reject: true})
		return
	}
	g.reply(m, Message{Type: MsgPreVoteResponse, Term: m.Term})
}

func (g *Group) handleVote(m *Message) {
	if m.Term < g.term || g.leaderInContact() && !m.Transfer {
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

// countVotes starts the election after a won pre-vote, and makes this replica the
// leader after a won election. The votes of an election are counted only once the
// candidate's own vote is synced.
func (g *Group) countVotes() {
	if g.role == candidate && g.hardSynced < g.hardVersion {
		return
	}
	m := g.membership()
	switch {
	case m == nil || !m.HasMajority(func(v *state.Member) bool { return g.votes[v.Incarnation] }):
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
	// Entries of earlier terms are committed only together with an entry of the
	// current term, so the leader starts its term with an empty entry.
	g.appendEntries(state.Entry{Index: g.termStart, Term: g.term})
}
