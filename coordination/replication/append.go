package replication

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// heartbeatInterval allows three consecutive heartbeats to be lost within a lease
// of 400 ms.
const heartbeatInterval = 100 * time.Millisecond

// Limits of one append. They keep the memory for six slow followers within a tenth of
// the 64 MB of a control process.
const (
	maxBatchEntries = 2048
	maxBatchBytes   = 1 << 20
)

// snapshotTimeout is the time after which an unacknowledged snapshot is sent again.
// It suffices to transfer and sync some tens of megabytes.
const snapshotTimeout = 3 * time.Second

type progressState uint8

const (
	replicating  progressState = iota // new entries are sent once the last append was acknowledged
	probing                           // only heartbeats are sent, to find the last matching entry
	snapshotting                      // a snapshot was sent and is not acknowledged yet
)

// progress is the leader's view of another replica.
type progress struct {
	member  state.Member
	learner bool // the replica joins the group, but is not a voter yet
	state   progressState
	match   uint64 // index of the last entry known to be synced on the replica
	next    uint64 // index of the next entry to send

	inflight      uint64        // index of the last entry that was sent and is not acknowledged, or 0
	snapshotIndex uint64        // index of the last snapshot sent
	snapshotAt    time.Duration // time at which that snapshot was sent

	lastSent    time.Duration // time of the last append or snapshot
	lastContact time.Duration // time of the last response
	ackedSentAt time.Duration // send time of the latest acknowledged message; valid if hasAck
	hasAck      bool

	leaving bool // the replica has reported that it is stopping

	silent   bool // NoticeVoterSilent was the last notice about the replica's contact
	caughtUp bool // NoticeLearnerCaughtUp was given
}

func (g *Group) peer(incarnation uint64) *progress {
	for _, p := range g.peers {
		if p.member.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

func (g *Group) newPeer(m state.Member, learner bool) *progress {
	p := &progress{member: m, learner: learner, next: g.log.last() + 1, lastSent: g.now - heartbeatInterval, lastContact: g.now}
	g.peers = append(g.peers, p)
	return p
}

func (g *Group) tickLeader() {
	if g.transferTo != "" && g.now >= g.transferDeadline {
		g.transferTo = ""
	}
	g.dropUnresponsiveLearners()
	g.notifyContacts()
	g.maybeChangeMembership()
	g.replicate()
	for _, p := range g.peers {
		if g.now-p.lastSent >= heartbeatInterval {
			g.sendHeartbeat(p)
		}
	}
}

func (g *Group) nextLeaderTick() time.Duration {
	next := g.quorumContact() + contactTimeout
	for _, p := range g.peers {
		next = min(next, p.lastSent+heartbeatInterval)
	}
	if g.transferTo != "" {
		next = min(next, g.transferDeadline)
	}
	return next
}

// replicate sends new entries to each follower that has acknowledged the last append. A
// follower syncs one batch at a time, so entries that arrive during a sync would wait for
// its end anyway. Sending them together afterwards bounds the number of messages by the
// syncs of a follower instead of the number of proposals.
func (g *Group) replicate() {
	for _, p := range g.peers {
		if p.state == replicating && p.next <= g.log.last() && p.inflight == 0 {
			g.sendEntries(p)
		}
	}
}

func (g *Group) sendEntries(p *progress) {
	prevTerm, ok := g.log.term(p.next - 1)
	if !ok {
		g.sendSnapshot(p)
		return
	}
	es := g.batchFrom(p.next)
	g.sendAppend(p, Message{Index: p.next - 1, LogTerm: prevTerm, Entries: es, Commit: g.commit})
	p.next += uint64(len(es))
	p.inflight = p.next - 1
}

func (g *Group) batchFrom(next uint64) []state.Entry {
	size := 0
	es := g.log.slice(next-1, min(g.log.last(), next-1+maxBatchEntries))
	for i := range es {
		size += EntrySize(&es[i])
		if size >= maxBatchBytes {
			return es[: i+1 : i+1]
		}
	}
	return es
}

func (g *Group) sendAppend(p *progress, m Message) {
	m.Type, m.SentAt = MsgAppend, g.now
	p.lastSent = g.now
	g.send(p.member, m)
}

// sendHeartbeat sends an append without entries. The response also shows whether
// the follower's log matches up to the entries sent so far. If the entry before the
// next one to send is compacted, it sends the snapshot instead. A snapshot that is not
// acknowledged within snapshotTimeout is followed by probing.
func (g *Group) sendHeartbeat(p *progress) {
	if p.state == snapshotting {
		if g.now-p.snapshotAt < snapshotTimeout {
			g.sendAppend(p, Message{})
			return
		}
		p.state, p.next = probing, p.match+1
	}
	prevTerm, ok := g.log.term(p.next - 1)
	if !ok {
		g.sendSnapshot(p)
		return
	}
	g.sendAppend(p, Message{Index: p.next - 1, LogTerm: prevTerm, Commit: g.commit})
}

func (g *Group) sendSnapshot(p *progress) {
	p.state, p.snapshotIndex, p.snapshotAt = snapshotting, g.snapshot.Index, g.now
	p.next, p.lastSent = g.snapshot.Index+1, g.now
	p.inflight = 0
	g.send(p.member, Message{Type: MsgSnapshot, Snapshot: g.snapshot, SentAt: g.now})
}

func (g *Group) handleAppendResponse(m *Message) {
	if g.role != leader || m.Term < g.term {
		return
	}
	if m.Term > g.term {
		g.becomeFollower(m.Term, "")
		return
	}
	p := g.peer(m.FromIncarnation)
	p.lastContact, p.leaving = g.now, m.Leaving
	if m.SentAt <= g.now && (!p.hasAck || m.SentAt > p.ackedSentAt) {
		p.ackedSentAt, p.hasAck = m.SentAt, true
	}
	if m.Reject {
		g.handleRejection(p, m)
		return
	}
	if m.Index > p.match {
		p.advance(m.Index)
		g.advanceCommit()
	}
	p.resumeReplicating(m.Hint)
	g.continueTransfer(p)
	g.maybeChangeMembership()
}

// advance records that the replica has synced the entries up to match.
func (p *progress) advance(match uint64) {
	p.match, p.next = match, max(p.next, match+1)
	if p.inflight <= match {
		p.inflight = 0
	}
}

// resumeReplicating ends probing when the log matches up to the probed entry, and
// ends snapshotting when it matches up to the snapshot.
func (p *progress) resumeReplicating(hint uint64) {
	matches := p.state == probing && hint+1 >= p.next || p.state == snapshotting && hint >= p.snapshotIndex
	if matches {
		p.state, p.next = replicating, max(hint, p.match)+1
	}
}

// handleRejection probes for an earlier matching entry. While probing, only a
// rejection of the latest probe counts; rejections of earlier messages are stale.
func (g *Group) handleRejection(p *progress, m *Message) {
	stale := m.Index <= p.match || p.state == snapshotting || p.state == probing && m.Index != p.next-1 || m.Index >= p.next
	if stale {
		return
	}
	p.state = probing
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.inflight = 0
	g.sendHeartbeat(p)
}

// advanceCommit commits the entries that a majority of the voters has synced. If
// any voter has a disk, at least one synced copy must be on a disk. A learner's disk
// counts too: a group whose only voter with a disk has lost it could otherwise never
// commit its replacement. Entries of earlier terms are committed only together with
// an entry of the current term, because a majority of copies alone does not keep
// another candidate from overwriting them.
func (g *Group) advanceCommit() {
	m := g.membership()
	if m == nil {
		return
	}
	var onDisk uint64
	disk := false
	for _, v := range m.Voters {
		if v.Disk {
			disk, onDisk = true, max(onDisk, g.matchOf(v.Incarnation))
		}
	}
	for _, p := range g.peers {
		if p.learner && p.member.Disk {
			onDisk = max(onDisk, p.match)
		}
	}
	index := g.majorityMatch(m)
	if disk {
		index = min(index, onDisk)
	}
	if t, ok := g.log.term(index); index <= g.commit || !ok || t != g.term {
		return
	}
	for _, e := range g.log.slice(g.commit, index) {
		if e.Term == g.term {
			g.uncommittedBytes = max(0, g.uncommittedBytes-EntrySize(&e))
		}
	}
	g.commit = index
	g.dropRemovedPeers()
}

// majorityMatch returns the highest index up to which a majority of the voters, in a joint
// membership each of its majorities, has synced the entries.
func (g *Group) majorityMatch(m *state.Membership) uint64 {
	index := g.log.last()
	m.Majorities(func(need int, without uint64) bool {
		var matches []uint64
		for _, v := range m.Voters {
			if v.Incarnation != without {
				matches = append(matches, g.matchOf(v.Incarnation))
			}
		}
		slices.Sort(matches)
		index = min(index, matches[len(matches)-need])
		return true
	})
	return index
}

func (g *Group) matchOf(incarnation uint64) uint64 {
	if incarnation == g.self.Incarnation {
		return g.persisted
	}
	if p := g.peer(incarnation); p != nil {
		return p.match
	}
	return 0
}
