package replication

// handleLeaderMessage handles an append or a snapshot.
func (g *Group) handleLeaderMessage(m *Message) {
	if m.Term < g.term {
		g.reply(m, Message{Type: MsgAppendResponse, Reject: true, Index: m.Index, SentAt: m.SentAt})
		return
	}
	if g.role != follower || g.leader != m.From || m.Term > g.term {
		g.becomeFollower(m.Term, m.From)
	}
	g.lastContact = g.now
	g.resetElection()
	if m.Type == MsgSnapshot {
		g.handleSnapshot(m)
		return
	}
	g.handleAppend(m)
}

func (g *Group) handleAppend(m *Message) {
	prev, es := m.Index, m.Entries
	if prev < g.commit {
		// Committed entries are the same on all replicas and may be compacted here, so
		// they are skipped without a check.
		n := min(uint64(len(es)), g.commit-prev)
		prev, es = prev+n, es[n:]
	} else if t, ok := g.log.term(prev); !ok || t != m.LogTerm {
		hint := g.log.conflictHint(prev, m.LogTerm)
		g.reply(m, Message{Type: MsgAppendResponse, Reject: true, Index: prev, Hint: hint, SentAt: m.SentAt})
		return
	}
	for i := range es {
		if t, ok := g.log.term(es[i].Index); !ok || t != es[i].Term {
			if ok {
				g.truncate(es[i].Index)
			}
			g.appendEntries(es[i:]...)
			break
		}
	}
	g.verified = max(g.verified, prev+uint64(len(es)))
	g.commit = max(g.commit, min(m.Commit, g.verified))
	g.acknowledge(m, len(m.Entries) > 0)
}

// handleSnapshot replaces the log, unless the log already contains the last
// entry that the snapshot covers.
func (g *Group) handleSnapshot(m *Message) {
	s := m.Snapshot
	if t, ok := g.log.term(s.Index); s.Index > g.commit && (!ok || t != s.Term) {
		g.install(m)
	}
	g.commit = max(g.commit, s.Index)
	g.verified = max(g.verified, s.Index)
	g.acknowledge(m, true)
}

func (g *Group) install(m *Message) {
	s := m.Snapshot
	g.log.reset(s.Index, s.Term)
	g.snapshot, g.installing = s, s
	g.applied, g.emitted, g.persisted = s.Index, s.Index, 0
	for i := range g.pendingSaves {
		g.pendingSaves[i].index = 0
	}
	g.pruneMemberships(len(g.memberships))
	g.addMembership(s.Index, s.Membership)
}

// acknowledge responds to the leader. If the message contained entries or a
// snapshot that are not synced yet, the response waits for the sync. A heartbeat is
// acknowledged at once, so that a slow disk does not cost the leader its lease.
func (g *Group) acknowledge(m *Message, hasData bool) {
	if hasData && g.persisted < g.verified {
		if g.pendingAck == nil || g.pendingAck.SentAt < m.SentAt {
			g.pendingAck = &Message{From: m.From, FromIncarnation: m.FromIncarnation, FromAddress: m.FromAddress, SentAt: m.SentAt}
		}
		return
	}
	g.sendAck(m)
}

// acknowledgeSynced sends the response that waited for a sync. The response stays
// pending until all entries that are known to match are synced.
func (g *Group) acknowledgeSynced() {
	if g.pendingAck == nil || g.persisted == 0 {
		return
	}
	g.sendAck(g.pendingAck)
	if g.persisted >= g.verified {
		g.pendingAck = nil
	}
}

func (g *Group) sendAck(m *Message) {
	g.reply(m, Message{Type: MsgAppendResponse, Index: min(g.verified, g.persisted), Hint: g.verified, SentAt: m.SentAt, Leaving: g.leaving})
}
