package replication

import (
	"slices"
	"time"

	"github.com/primrosereach/primrosereach/state"
)

// heartbeatInterval: with a lease of 400 ms, three heartbeats in a row may be lost.
const heartbeatInterval = 100 * time.Millisecond

// Bounds of what is sent to one follower and not acknowledged. They keep the
// memory for six slow followers within a tenth of a control process's 64 MB.
const (
	maxBatchEntries    = 256
	maxBatchBytes      = 256 << 10
	maxInflightEntries = 2048
	maxInflightBytes   = 1 << 20
)

// snapshotTimeout: a snapshot that is not acknowledged after it is sent again.
// It leaves time to transfer and sync some tens of megabytes.
const snapshotTimeout = 3 * time.Second

type progressState uint8

const (
	replicating progressState = iota // appends are sent ahead of acknowledgements
	probing                          // only heartbeats, to find the last matching entry
	snapshotting
)

type batchInFlight struct {
	last           uint64
	entries, bytes int
}

// progress is what the leader knows about another replica.
type progress struct {
	member  state.Member
	learner bool // not a voter, wants to become one
	state   progressState
	match   uint64 // synced there
	next    uint64 // to send

	inflight        []batchInFlight
	inflightEntries int
	inflightBytes   int
	snapshotIndex   uint64
	snapshotAt      time.Duration

	lastSent time.Duration
	lastSeen time.Duration // when its last response arrived
	acked    time.Duration // when the last acknowledged message was sent; valid if hasAck
	hasAck   bool
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
	p := &progress{member: m, learner: learner, next: g.log.last() + 1, lastSent: g.now - heartbeatInterval, lastSeen: g.now}
	g.peers = append(g.peers, p)
	return p
}

func (g *Group) tickLeader() {
	if g.transferTo != "" && g.now >= g.transferBy {
		g.transferTo = ""
	}
	g.dropSilentLearners()
	g.admit()
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
		next = min(next, g.transferBy)
	}
	return next
}

// replicate sends each follower what its window allows. Ready calls it, so that
// all proposals between two calls travel in one message.
func (g *Group) replicate() {
	for _, p := range g.peers {
		for p.state == replicating && p.next <= g.log.last() && p.inflightEntries < maxInflightEntries && p.inflightBytes < maxInflightBytes {
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
	es, size := g.batchFrom(p.next)
	g.sendAppend(p, Message{Index: p.next - 1, LogTerm: prevTerm, Entries: es, Commit: g.commit})
	p.next += uint64(len(es))
	p.inflight = append(p.inflight, batchInFlight{p.next - 1, len(es), size})
	p.inflightEntries += len(es)
	p.inflightBytes += size
}

func (g *Group) batchFrom(next uint64) (es []state.Entry, size int) {
	es = g.log.slice(next-1, min(g.log.last(), next-1+maxBatchEntries))
	for i := range es {
		size += entrySize(&es[i])
		if size >= maxBatchBytes {
			return es[: i+1 : i+1], size
		}
	}
	return es, size
}

func (g *Group) sendAppend(p *progress, m Message) {
	m.Type, m.SentAt = MsgAppend, g.now
	p.lastSent = g.now
	g.send(p.member, m)
}

// sendHeartbeat sends an append without entries. It also finds out whether the
// follower's log matches up to the entries sent so far.
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
	p.resetInflight()
	g.send(p.member, Message{Type: MsgSnapshot, Snapshot: g.snapshot, SentAt: g.now})
}

func (p *progress) resetInflight() {
	p.inflight, p.inflightEntries, p.inflightBytes = nil, 0, 0
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
	p.lastSeen = g.now
	if m.SentAt <= g.now && (!p.hasAck || m.SentAt > p.acked) {
		p.acked, p.hasAck = m.SentAt, true
	}
	if m.Reject {
		g.handleRefusal(p, m)
		return
	}
	if m.Index > p.match {
		p.advance(m.Index)
		g.advanceCommit()
	}
	p.matched(m.Hint)
	g.continueTransfer(p)
	g.admit()
}

// advance notes that entries up to match are synced and frees the window.
func (p *progress) advance(match uint64) {
	p.match, p.next = match, max(p.next, match+1)
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= match {
		p.inflightEntries -= p.inflight[n].entries
		p.inflightBytes -= p.inflight[n].bytes
		n++
	}
	p.inflight = p.inflight[n:]
}

// matched ends probing when the log matches up to the probed entry.
func (p *progress) matched(hint uint64) {
	found := p.state == probing && hint+1 >= p.next || p.state == snapshotting && hint >= p.snapshotIndex
	if found {
		p.state, p.next = replicating, max(hint, p.match)+1
	}
}

// handleRefusal looks for an earlier matching entry. Refusals of anything but
// the latest probe are late and mean nothing.
func (g *Group) handleRefusal(p *progress, m *Message) {
	late := m.Index <= p.match || p.state == snapshotting || p.state == probing && m.Index != p.next-1 || m.Index >= p.next
	if late {
		return
	}
	p.state = probing
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	p.resetInflight()
	g.sendHeartbeat(p)
}

// advanceCommit commits what a majority of the voters has synced. If any voter
// has a disk, one synced copy must be on a disk. That copy may be a learner's: a
// group whose only voter with a disk has lost it could otherwise never commit its
// replacement. Entries of earlier terms are
// committed only by a later one of the own term: a count alone does not keep
// another candidate from replacing them.
func (g *Group) advanceCommit() {
	var matches []uint64
	var onDisk uint64
	disk := false
	for _, v := range g.voters() {
		match := g.matchOf(v.Incarnation)
		matches = append(matches, match)
		if v.Disk {
			disk, onDisk = true, max(onDisk, match)
		}
	}
	for _, p := range g.peers {
		if p.learner && p.member.Disk {
			onDisk = max(onDisk, p.match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if disk {
		index = min(index, onDisk)
	}
	if t, ok := g.log.term(index); index <= g.commit || !ok || t != g.term {
		return
	}
	for _, e := range g.log.slice(g.commit, index) {
		if e.Term == g.term {
			g.uncommittedBytes = max(0, g.uncommittedBytes-entrySize(&e))
		}
	}
	g.commit = index
	g.dropRemovedPeers()
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
