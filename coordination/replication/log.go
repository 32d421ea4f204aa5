package replication

import (
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// entryLog holds the entries after a compacted prefix. Other goroutines read slices
// of it, so stored entries are never overwritten.
type entryLog struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []state.Entry // entries[0].Index == offset+1
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, or false if the entry does not exist or is
// compacted. The term of the last compacted entry is still known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// slice returns the entries with indexes greater than after and at most to.
func (l *entryLog) slice(after, to uint64) []state.Entry {
	if after >= to {
		return nil
	}
	return l.entries[after-l.offset : to-l.offset : to-l.offset]
}

func (l *entryLog) append(es ...state.Entry) { l.entries = append(l.entries, es...) }

// truncate removes the entries from index on. It reduces the capacity as well, so
// that the next append copies the entries instead of overwriting those in use.
func (l *entryLog) truncate(index uint64) {
	n := index - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to and including index. It does nothing if the log
// has no entry at index.
func (l *entryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index == l.offset {
		return
	}
	l.entries = append([]state.Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, t
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{offset: index, offsetTerm: term}
}

// conflictHint returns the highest index before rejectedIndex at which this log may
// match that of a leader whose entry at rejectedIndex has the given term. Entries of
// later terms than that cannot match. If all stored entries are of later terms, it
// returns the index of the last compacted entry.
func (l *entryLog) conflictHint(rejectedIndex, term uint64) uint64 {
	i := min(rejectedIndex-1, l.last())
	for i > l.offset {
		if t, _ := l.term(i); t <= term {
			break
		}
		i--
	}
	return i
}

// entryOverhead is the estimated size of an entry without its payload, in bytes.
const entryOverhead = 256

// EntrySize estimates the encoded size of an entry in bytes. This package does not
// depend on the encoding, and neither flow control nor compaction needs the exact size.
func EntrySize(e *state.Entry) int {
	n := entryOverhead
	switch c := &e.Command; {
	case c.Accept != nil:
		n += len(c.Accept.Request.Payload)
	case c.Report != nil:
		n += len(c.Report.Result) + len(c.Report.Error)
	case c.Assign != nil:
		n += len(c.Assign.Items) * entryOverhead
	case c.Job != nil:
		n += jobEntrySize(c.Job)
	case c.Prune != nil:
		n += len(c.Prune.Keys) * entryOverhead / 4
	case c.Adopt != nil:
		n += len(c.Adopt.Shares) * entryOverhead
	}
	return n
}

// jobEntrySize estimates the variable part of a job group's command in bytes.
func jobEntrySize(c *job.Command) int {
	switch {
	case c.Submit != nil:
		return len(c.Submit.Spec) + len(c.Submit.Steps)*entryOverhead
	case c.Assign != nil:
		return len(c.Assign.Items) * entryOverhead
	case c.SetSpeeds != nil:
		return len(c.SetSpeeds.Items) * entryOverhead / 2
	case c.EndRuns != nil:
		return len(c.EndRuns.Runs) * entryOverhead
	case c.Configure != nil:
		return 2 * len(c.Configure.Document)
	}
	return 0
}
