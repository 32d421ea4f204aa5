package replication

import "github.com/primrosereach/primrosereach/state"

const (
	// maxIndex bounds log indexes and terms, so that no sum of them overflows.
	maxIndex = 1 << 62
	// maxTermGap bounds how far the term of a message can be ahead. Terms rise by one with each
	// election; a higher one is damaged, and the group could not elect a leader above it.
	maxTermGap = 1 << 32
)

// isWellFormed reports whether the fields of a message are consistent, whoever sent it. A
// message that is not would leave gaps in the log or terms that no election can exceed.
func (g *Group) isWellFormed(m *Message) bool {
	inRange := m.Term <= g.term+maxTermGap && m.LogTerm <= maxIndex && m.Index <= maxIndex && m.Hint <= maxIndex && m.Commit <= maxIndex
	if !inRange {
		return false
	}
	switch m.Type {
	case MsgAppend:
		return m.LogTerm <= m.Term && areConsecutive(m.Entries, m.Index, m.LogTerm, m.Term)
	case MsgSnapshot:
		s := m.Snapshot
		return s != nil && s.Membership.GroupID == m.GroupID && len(s.Membership.Voters) > 0 && listsReplacement(&s.Membership) &&
			s.Index > 0 && s.Index <= maxIndex && s.Term <= m.Term
	}
	return true
}

// listsReplacement reports whether a joint membership lists both the replaced voter and the
// replacement. Its majorities would be too small otherwise.
func listsReplacement(m *state.Membership) bool {
	if m.Replaced == 0 && m.Replacement == 0 {
		return true
	}
	return m.Replaced != m.Replacement && containsIncarnation(m.Voters, m.Replaced) && containsIncarnation(m.Voters, m.Replacement)
}

// areConsecutive reports whether entries follow the entry with index prev and term prevTerm,
// their terms neither fall nor exceed term, and their memberships are complete.
func areConsecutive(es []state.Entry, prev, prevTerm, term uint64) bool {
	for i := range es {
		if es[i].Index != prev+1 || es[i].Term < prevTerm || es[i].Term > term {
			return false
		}
		if es[i].Membership != nil && !listsReplacement(es[i].Membership) {
			return false
		}
		prev, prevTerm = es[i].Index, es[i].Term
	}
	return true
}
