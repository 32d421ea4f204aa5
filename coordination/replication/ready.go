package replication

import "github.com/primrosereach/primrosereach/state"

// Ready is the output of a replica since the previous call. The caller saves, in
// this order, Snapshot (which replaces the stored log), HardState and Entries. It
// may send Messages and apply Committed at once, without waiting for the save.
type Ready struct {
	Batch     uint64           // number to pass to Persisted; 0 if there is nothing to save
	MustSync  bool             // the save must be synced before Persisted is called
	HardState *state.HardState // nil if unchanged
	Snapshot  *state.Snapshot  // received snapshot, to be saved, and to be installed before Committed is applied
	Entries   []state.Entry    // entries to save after deleting the stored entries from Entries[0].Index on
	Messages  []Message        // messages to send; the terms, votes and entries that they depend on are synced
	Committed []state.Entry    // entries to apply, in order; an entry with a Membership has no command
	Notices   []Notice         // changes to log
}

// Ready returns the pending output and clears it.
func (g *Group) Ready() Ready {
	if g.role == leader {
		g.replicate()
	}
	r := Ready{Snapshot: g.installing, Entries: g.log.slice(g.emitted, g.log.last())}
	if g.hardEmitted != g.hardVersion {
		r.HardState = &state.HardState{Term: g.term, Vote: g.vote}
	}
	if r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 {
		g.batch++
		r.Batch, r.MustSync = g.batch, g.self.Disk
		g.pendingSaves = append(g.pendingSaves, pendingSave{batch: g.batch, index: g.log.last(), hardVersion: g.hardVersion})
	}
	g.installing, g.hardEmitted, g.emitted = nil, g.hardVersion, g.log.last()
	r.Messages, g.outbox = g.outbox, nil
	r.Notices, g.notices = g.notices, nil
	r.Committed = g.log.slice(g.applied, g.commit)
	g.applied = g.commit
	return r
}

// Persisted reports that the contents of the Ready with the given batch number and
// of all earlier ones are synced. For a member without a disk it is called at once.
func (g *Group) Persisted(batch uint64) {
	n := 0
	for n < len(g.pendingSaves) && g.pendingSaves[n].batch <= batch {
		g.persisted = max(g.persisted, g.pendingSaves[n].index)
		g.hardSynced = g.pendingSaves[n].hardVersion
		n++
	}
	if n == 0 {
		return
	}
	g.pendingSaves = g.pendingSaves[n:]
	g.releaseHeld()
	switch g.role {
	case leader:
		g.advanceCommit()
	case candidate:
		g.countVotes()
	default:
		g.acknowledgeSynced()
	}
}

func (g *Group) releaseHeld() {
	n := 0
	for n < len(g.held) && g.held[n].hardVersion <= g.hardSynced {
		g.outbox = append(g.outbox, g.held[n].m)
		n++
	}
	g.held = g.held[n:]
}

// send queues a message for the next Ready. The message is held back until the current
// term and vote are synced, because it depends on them.
func (g *Group) send(to state.Member, m Message) {
	m.Group, m.GroupID = g.cfg.Group, g.groupID()
	m.From, m.FromIncarnation, m.FromAddress = g.self.Name, g.self.Incarnation, g.self.Address
	m.To, m.ToIncarnation, m.ToAddress = to.Name, to.Incarnation, to.Address
	if m.Term == 0 {
		m.Term = g.term
	}
	if g.hardSynced < g.hardVersion {
		g.held = append(g.held, heldMessage{g.hardVersion, m})
		return
	}
	g.outbox = append(g.outbox, m)
}

// reply sends r to the sender of m.
func (g *Group) reply(m *Message, r Message) {
	g.send(state.Member{Name: m.From, Incarnation: m.FromIncarnation, Address: m.FromAddress}, r)
}

const (
	// compactionTail is the number of entries kept before a snapshot, so that a
	// follower that was disconnected for a short time needs no snapshot.
	compactionTail = 1024
	// compactionTailBytes bounds the estimated size in bytes of these entries.
	compactionTailBytes = 4 << 20
)

// SnapshotHeader returns a snapshot without state for the last entry that Ready
// returned in Committed. The caller adds the state as of that entry.
func (g *Group) SnapshotHeader() state.Snapshot {
	s := state.Snapshot{Index: g.applied}
	s.Term, _ = g.log.term(g.applied)
	for _, m := range g.memberships {
		if m.index <= g.applied {
			s.Membership = m.Membership
		}
	}
	return s
}

// compactionIndex returns the index up to which the log is compacted after a snapshot at an index.
func (g *Group) compactionIndex(snapshot uint64) uint64 {
	index, size := min(snapshot, g.log.last()), 0
	for index > g.log.offset && snapshot-index < compactionTail {
		size += EntrySize(&g.log.entries[index-g.log.offset-1])
		if size > compactionTailBytes {
			break
		}
		index--
	}
	return max(index, g.log.offset)
}

// SnapshotTaken reports that a snapshot made from SnapshotHeader has been saved. The
// log is compacted up to the snapshot, except for the last compactionTail entries, or
// for fewer if these exceed compactionTailBytes. A snapshot that is not newer than the
// one already known is ignored.
func (g *Group) SnapshotTaken(s *state.Snapshot) {
	if s.Index > g.applied || g.snapshot != nil && s.Index <= g.snapshot.Index {
		return
	}
	g.snapshot = s
	g.log.compact(g.compactionIndex(s.Index))
	for len(g.memberships) > 1 && g.memberships[1].index <= g.log.offset {
		g.pruneMemberships(1)
	}
}
