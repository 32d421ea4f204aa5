package replication

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// leaseDuration is the minimum election timeout less 20% for clock drift and
	// scheduling delays.
	leaseDuration = 400 * time.Millisecond

	// contactTimeout is the time without acknowledgements from a majority after which
	// a leader steps down. By then the other voters may have elected a successor.
	contactTimeout = time.Second

	// transferTimeout limits the time for which the leader rejects proposals while it
	// waits for the successor to catch up.
	transferTimeout = time.Second
)

// quorumAck returns the latest time t such that a majority of the voters has
// acknowledged a message sent at t or later. It is computed from the membership in
// force on each call, because a lease must not outlive the membership that granted it.
func (g *Group) quorumAck(now time.Duration) (sent time.Duration, ok bool) {
	m := g.membership()
	if m == nil {
		return 0, false
	}
	sent = now
	ok = m.Majorities(func(need int, without uint64) bool {
		var acks []time.Duration
		for _, v := range m.Voters {
			if v.Incarnation == without {
				continue
			}
			if v.Incarnation == g.self.Incarnation {
				acks = append(acks, now)
			} else if p := g.peer(v.Incarnation); p != nil && p.hasAck {
				acks = append(acks, p.ackedSentAt)
			}
		}
		if len(acks) < need {
			return false
		}
		slices.Sort(acks)
		sent = min(sent, acks[len(acks)-need])
		return true
	})
	return sent, ok
}

// quorumContact returns the time of the last contact with a majority: the time of
// the election, or that of quorumAck if it is later.
func (g *Group) quorumContact() time.Duration {
	sent, ok := g.quorumAck(g.now)
	if !ok {
		return g.electedAt
	}
	return max(sent, g.electedAt)
}

// HasLease reports whether this replica is the leader and its lease is valid, so
// that no other replica can have become leader by now.
func (g *Group) HasLease(now time.Duration) bool {
	if g.role != leader {
		return false
	}
	now = max(now, g.now)
	sent, ok := g.quorumAck(now)
	return ok && now-sent < leaseDuration
}

// ReadIndex returns the index up to which entries must be applied before a read,
// so that the read sees all accepted commands. ok is false if this replica must not
// answer reads: it has no leader lease, or no entry of its term is committed yet.
func (g *Group) ReadIndex(now time.Duration) (index uint64, ok bool) {
	if !g.HasLease(now) || g.commit < g.termStart {
		return 0, false
	}
	return g.commit, true
}

// TransferLeadership transfers the leadership to the voter with the name to, or to
// the other voter with the highest match index if to is empty. Proposals are rejected
// until the transfer succeeds or transferTimeout has passed.
func (g *Group) TransferLeadership(now time.Duration, to string) error {
	g.advanceClock(now)
	if g.role != leader {
		return ErrNotLeader
	}
	p := g.successor(to)
	if p == nil {
		return errors.Wrap(ErrNoMember, "transfer leadership")
	}
	g.transferTo, g.transferDeadline = p.member.Name, g.now+transferTimeout
	g.continueTransfer(p)
	return nil
}

func (g *Group) successor(to string) *progress {
	var best *progress
	for _, p := range g.peers {
		if !containsIncarnation(g.voters(), p.member.Incarnation) || to != "" && p.member.Name != to {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// continueTransfer asks a successor that has caught up to start an election. The
// leader steps down before the message is sent, because the election ignores the
// lease and the message may be delayed by any time.
func (g *Group) continueTransfer(p *progress) {
	if g.role != leader || g.transferTo != p.member.Name || p.match < g.log.last() || !containsIncarnation(g.voters(), p.member.Incarnation) {
		return
	}
	g.send(p.member, Message{Type: MsgTransferLeader})
	g.becomeFollower(g.term, "")
}

func (g *Group) handleTransfer(m *Message) {
	if m.Term == g.term && g.role == follower && g.isVoter() {
		g.campaign(true)
	}
}

// StepDown gives up the leadership, for example because the disk fails.
func (g *Group) StepDown(now time.Duration) {
	g.advanceClock(now)
	if g.role == leader {
		g.becomeFollower(g.term, "")
	}
}
