package replication

import (
	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// entryLog holds the entries after a compacted prefix. Slices of it are handed
// out and read by other goroutines, so stored entries are never overwritten.
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

// term returns the term of an entry, or false if the entry is compacted or does
// not exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// slice returns the entries after one index and up to another.
func (l *entryLog) slice(after, to uint64) []state.Entry {
	if after >= to {
		return nil
	}
	return l.entries[after-l.offset : to-l.offset : to-l.offset]
}

func (l *entryLog) append(es ...state.Entry) { l.entries = append(l.entries, es...) }

// truncate drops the entries from index on. The capacity is cut as well: the
// next append copies instead of overwriting what was handed out.
func (l *entryLog) truncate(index uint64) {
	n := index - l.offset - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index.
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

// conflictHint returns the highest index up to which a log whose entry before
// refused has a term of at most term may match this one.
func (l *entryLog) conflictHint(refused, term uint64) uint64 {
	i := min(refused-1, l.last())
	for i > l.offset {
		if t, _ := l.term(i); t <= term {
			break
		}
		i--
	}
	return i
}

// entryOverhead is the assumed size of an entry without its payload, in bytes.
// Only flow control uses it.
const entryOverhead = 256

// entrySize estimates the transmitted size of an entry in bytes. The layer knows
// no encoding, and flow control needs no exact number.
func entrySize(e *state.Entry) int {
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

// jobEntrySize estimates the variable part of a command of the job group.
func jobEntrySize(c *job.Command) int {
	switch {
	case c.Submit != nil:
		return len(c.Submit.Spec) + len(c.Submit.Steps)*entryOverhead
	case c.Assign != nil:
		return len(c.Assign.Items) * entryOverhead
	case c.EndRuns != nil:
		return len(c.EndRuns.Runs) * entryOverhead
	case c.Configure != nil:
		return 2 * len(c.Configure.Document)
	}
	return 0
}
