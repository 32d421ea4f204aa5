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
		// The committed part is the same everywhere and may be compacted here.
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
	g.applied, g.taken, g.persisted = s.Index, s.Index, 0
	for i := range g.saves {
		g.saves[i].index = 0
	}
	g.forgetMemberships(len(g.memberships))
	g.addMembership(s.Index, s.Membership)
}

// acknowledge answers the leader. If the message brought something that is not
// synced yet, the answer waits for it. A heartbeat is answered at once, because a
// slow disk must not cost the leader its lease.
func (g *Group) acknowledge(m *Message, brought bool) {
	if brought && g.persisted < g.verified {
		if g.ack == nil || g.ack.SentAt < m.SentAt {
			g.ack = &Message{From: m.From, FromIncarnation: m.FromIncarnation, FromAddress: m.FromAddress, SentAt: m.SentAt}
		}
		return
	}
	g.sendAck(m)
}

// acknowledgeSynced sends the answer that waited for a sync.
func (g *Group) acknowledgeSynced() {
	if g.ack == nil || g.persisted == 0 {
		return
	}
	g.sendAck(g.ack)
	if g.persisted >= g.verified {
		g.ack = nil
	}
}

func (g *Group) sendAck(m *Message) {
	g.reply(m, Message{Type: MsgAppendResponse, Index: min(g.verified, g.persisted), Hint: g.verified, SentAt: m.SentAt})
}
