package storage

import (
	"fmt"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/state"
)

// segmentHead is the first record of a segment.
type segmentHead struct {
	Group     string          `json:"group"`
	Segment   uint64          `json:"segment"`
	HardState state.HardState `json:"hard_state"`
	Next      uint64          `json:"next"` // index of the entry that follows the previous segment
}

// saveRecord is the record of one call of Save. Replay applies all of it or none.
type saveRecord struct {
	HardState    *state.HardState `json:"hard_state,omitempty"`
	TruncateFrom uint64           `json:"truncate_from,omitempty"` // index from which entries are removed before Entries are appended, 0 for none
	Entries      []state.Entry    `json:"entries,omitempty"`
}

// snapshotHead is the first record of a snapshot file.
type snapshotHead struct {
	Group   string `json:"group"`
	Index   uint64 `json:"index"`
	Segment uint64 `json:"segment"` // segment at which replay begins
	Next    uint64 `json:"next"`    // index of the first entry of that segment
}

// segment is a log file that is needed for recovery.
type segment struct {
	seq  uint64
	next uint64 // index of its first entry, unless it begins with a truncation
}

// position is the term of an entry and the sequence number of its segment.
type position struct{ term, seq uint64 }

// Log is the write-ahead log and snapshot of one replication group. It is used by
// one goroutine. After any file operation has failed, every call returns an error
// that matches ErrFailed, unless the operation failed because the disk is full.
type Log struct {
	fs           FS
	dir          string
	group        string
	segmentBytes int64

	file   File      // last segment, open for appending
	size   int64     // size of file, in bytes
	synced int64     // length of the part of file that is durable, in bytes
	torn   bool      // file may have bytes after size, of a write that the full disk refused
	segs   []segment // oldest first

	hs        state.HardState
	snapIndex uint64     // 0 if there is no snapshot
	entries   []position // positions of the entries after snapIndex

	failed error // error that every call returns, nil if the log is usable
}

// Save appends a new hard state (nil for unchanged) and entries to the log without
// syncing them. Entries at and above index truncateFrom (0 for none) are removed
// first, as are those at and above the index of the first of entries. After a crash,
// either all or none of the effects of a call are recovered, and they are recovered
// only if those of all earlier calls are.
//
// Errors match ErrInvalid if the indexes of entries are not consecutive, leave a gap
// or lie at or below the snapshot's, or if the hard state has a lower term or another
// vote in the same term. They match ErrFull if the disk is full, and ErrFailed if the
// write failed for another reason.
func (l *Log) Save(hs *state.HardState, truncateFrom uint64, entries []state.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	r := saveRecord{HardState: hs, TruncateFrom: truncateFrom, Entries: entries}
	if len(entries) > 0 && (truncateFrom == 0 || entries[0].Index < truncateFrom) {
		r.TruncateFrom = entries[0].Index
	}
	if r.TruncateFrom > l.lastIndex() {
		r.TruncateFrom = 0
	}
	if err := l.check(&r); err != nil {
		return err
	}
	if r.HardState == nil && r.TruncateFrom == 0 && len(r.Entries) == 0 {
		return nil
	}
	b, err := appendFrame(nil, kindSave, l.synced, r)
	if err != nil {
		return err
	}
	if err := l.append(b); err != nil {
		return err
	}
	l.size += int64(len(b))
	l.apply(&r)
	return nil
}

// append writes to the end of the last segment. If the disk is full, the next call removes what
// was written.
func (l *Log) append(b []byte) error {
	if l.torn {
		if err := l.file.Truncate(l.size); err != nil {
			return l.fail(errors.Wrapf(err, "truncate %s", l.segmentName(l.last().seq)))
		}
		l.torn = false
	}
	if _, err := l.file.Write(b); err != nil {
		l.torn = isFull(err)
		return l.fail(errors.Wrapf(err, "append to %s", l.segmentName(l.last().seq)))
	}
	return nil
}

// check verifies that a record is consistent with the log.
func (l *Log) check(r *saveRecord) error {
	if hs := r.HardState; hs != nil {
		if hs.Term < l.hs.Term || hs.Term == l.hs.Term && l.hs.Vote != "" && hs.Vote != l.hs.Vote {
			return errors.Wrapf(ErrInvalid, "hard state %+v after %+v", *hs, l.hs)
		}
	}
	next := l.lastIndex() + 1
	if r.TruncateFrom != 0 {
		next = r.TruncateFrom
	}
	if next <= l.snapIndex {
		return errors.Wrapf(ErrInvalid, "truncate from index %d, the snapshot is at %d", next, l.snapIndex)
	}
	for i := range r.Entries {
		if got := r.Entries[i].Index; got != next {
			return errors.Wrapf(ErrInvalid, "entry with index %d, want %d", got, next)
		}
		next++
	}
	return nil
}

// apply updates the fields of the log after a record has been written.
func (l *Log) apply(r *saveRecord) {
	if r.HardState != nil {
		l.hs = *r.HardState
	}
	if r.TruncateFrom != 0 {
		l.entries = l.entries[:r.TruncateFrom-l.snapIndex-1]
	}
	for i := range r.Entries {
		l.entries = append(l.entries, position{term: r.Entries[i].Term, seq: l.last().seq})
	}
}

// Sync makes everything saved so far durable. It does nothing if that is already the
// case. An error matches ErrFailed; it is then unknown which of the saves since the last
// successful sync will be recovered by a restart.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.syncFile(); err != nil {
		return l.fail(err)
	}
	if l.size < l.segmentBytes {
		return nil
	}
	if err := l.startSegment(); err != nil && !isFull(err) {
		return l.fail(err)
	}
	return nil // on a full disk the last segment grows until a new one can be started
}

// SaveSnapshot makes a snapshot durable, with everything saved so far, and removes
// the files that are no longer needed. If the log holds the entry at the snapshot's
// index with the snapshot's term, the entries after it are kept. Otherwise the
// snapshot replaces the whole log.
//
// Errors match ErrInvalid if the snapshot is not above the current one, ErrFull if the
// disk is full, and ErrFailed if a file operation failed for another reason.
func (l *Log) SaveSnapshot(s *state.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if s.Index <= l.snapIndex {
		return errors.Wrapf(ErrInvalid, "snapshot at index %d, the current one is at %d", s.Index, l.snapIndex)
	}
	b, err := appendFrame(nil, kindSnapshot, 0, s)
	if err != nil {
		return err
	}
	if err := l.saveSnapshot(s, b); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) saveSnapshot(s *state.Snapshot, encoded []byte) error {
	if err := l.syncFile(); err != nil {
		return err
	}
	// The new segment continues the old log, so a crash before the snapshot is durable
	// leaves a log without a gap.
	if err := l.startSegment(); err != nil {
		return err
	}
	first, kept := l.replayStart(s)
	head := snapshotHead{Group: l.group, Index: s.Index, Segment: first.seq, Next: first.next}
	b, err := appendFrame(appendHeader(nil), kindSnapshotHead, 0, head)
	if err != nil {
		return err
	}
	name := l.snapshotName(s.Index)
	f, err := writeFile(l.fs, name, append(b, encoded...))
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	return l.compact(s.Index, first, kept)
}

// replayStart returns the segment at which replay begins once the snapshot is durable,
// and the positions of the entries after the snapshot.
func (l *Log) replayStart(s *state.Snapshot) (segment, []position) {
	n := s.Index - l.snapIndex
	if n > uint64(len(l.entries)) || l.entries[n-1].term != s.Term {
		return segment{seq: l.last().seq, next: s.Index + 1}, nil
	}
	kept := append([]position(nil), l.entries[n:]...)
	if len(kept) == 0 {
		return l.last(), kept
	}
	for _, g := range l.segs {
		if g.seq == kept[0].seq {
			return g, kept
		}
	}
	panic(fmt.Sprintf("entry %d is in segment %d, which was removed", s.Index+1, kept[0].seq))
}

// compact removes the files that a durable snapshot has made obsolete.
func (l *Log) compact(index uint64, first segment, kept []position) error {
	var remove []string
	if l.snapIndex > 0 {
		remove = append(remove, l.snapshotName(l.snapIndex))
	}
	for len(l.segs) > 0 && l.segs[0].seq < first.seq {
		remove = append(remove, l.segmentName(l.segs[0].seq))
		l.segs = l.segs[1:]
	}
	l.segs[0] = first
	l.snapIndex, l.entries = index, kept
	for _, name := range remove {
		if err := l.fs.Remove(name); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

func (l *Log) syncFile() error {
	if l.synced == l.size {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrapf(&syncError{err}, "sync %s", l.segmentName(l.last().seq))
	}
	l.synced = l.size
	return nil
}

// startSegment begins a new segment. The last segment must be synced, because recovery
// treats a bad frame in any but the last segment as corruption.
func (l *Log) startSegment() error {
	g := segment{seq: 1, next: l.lastIndex() + 1}
	if len(l.segs) > 0 {
		g.seq = l.last().seq + 1
	}
	head := segmentHead{Group: l.group, Segment: g.seq, HardState: l.hs, Next: g.next}
	b, err := appendFrame(appendHeader(nil), kindSegment, 0, head)
	if err != nil {
		return err
	}
	if err := l.openSegment(g.seq, b); err != nil {
		return err
	}
	l.segs = append(l.segs, g)
	return nil
}

// openSegment creates a segment with the given content, or replaces an existing one,
// and makes it the file to which Save appends.
func (l *Log) openSegment(seq uint64, content []byte) error {
	f, err := writeFile(l.fs, l.segmentName(seq), content)
	if err != nil {
		return err
	}
	old := l.file
	l.file, l.size, l.synced, l.torn = f, int64(len(content)), int64(len(content)), false
	if old != nil {
		if err := old.Close(); err != nil {
			return errors.Wrapf(err, "close %s", l.segmentName(l.last().seq))
		}
	}
	return nil
}

// fail returns the error of a call after a file operation has failed. Unless the disk is full,
// all later calls fail as well.
func (l *Log) fail(err error) error {
	if isFull(err) {
		return &full{err}
	}
	l.failed = &failure{cause: err}
	return l.failed
}

func (l *Log) last() segment { return l.segs[len(l.segs)-1] }

func (l *Log) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
)

func (l *Log) segmentName(seq uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", seq, segmentSuffix))
}

func (l *Log) snapshotName(index uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", index, snapshotSuffix))
}
