package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/state"
)

// Recovered is the content of a group's log at the time of opening. The caller owns it.
type Recovered struct {
	HardState state.HardState // zero if none was saved
	Snapshot  *state.Snapshot // nil if there is none
	Entries   []state.Entry   // consecutive; the first one follows the snapshot
	Dropped   []Dropped       // removed torn ends, empty after a clean stop
}

// Dropped describes the torn end of a log file: an incomplete write that was never
// synced.
type Dropped struct {
	File   string // path
	Offset int64  // offset from the start of File, in bytes
	Bytes  int64  // length of the torn end
}

func (d Dropped) String() string {
	return fmt.Sprintf("%s: dropped %d unsynced bytes at offset %d", d.File, d.Bytes, d.Offset)
}

// open recovers the log and prepares its last segment for appending. It changes
// files only after it has verified the whole content.
func (l *Log) open() (Recovered, error) {
	if err := makeDir(l.fs, l.dir); err != nil {
		return Recovered{}, err
	}
	// Directory entries may be visible without being durable if the previous process
	// stopped before it synced them.
	for _, dir := range []string{filepath.Dir(l.dir), l.dir} {
		if err := l.fs.SyncDir(dir); err != nil {
			return Recovered{}, errors.Wrapf(err, "sync directory %s", dir)
		}
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return Recovered{}, errors.Wrapf(err, "list %s", l.dir)
	}
	files := listGroupFiles(names)
	p := replay{log: l}
	head, err := p.readSnapshot(files.snapshots)
	if err != nil {
		return Recovered{}, err
	}
	tail, err := p.readSegments(head, files.segments)
	if err != nil {
		return Recovered{}, err
	}
	if err := l.removeObsolete(names, files, head); err != nil {
		return Recovered{}, err
	}
	if len(l.segs) == 0 {
		err = l.startSegment()
	} else {
		// The last segment is copied rather than synced: after a failed sync its pages
		// may be readable from the page cache and marked clean without being on disk.
		err = l.openSegment(l.last().seq, tail)
	}
	return p.result, err
}

// groupFiles lists the files of a group by the numbers in their names: sequence numbers
// of segments and indexes of snapshots, both in ascending order.
type groupFiles struct{ segments, snapshots []uint64 }

func listGroupFiles(names []string) groupFiles {
	var g groupFiles
	for _, name := range names {
		if n, ok := parseFileName(name, segmentSuffix); ok {
			g.segments = append(g.segments, n)
		} else if n, ok := parseFileName(name, snapshotSuffix); ok {
			g.snapshots = append(g.snapshots, n)
		}
	}
	slices.Sort(g.segments)
	slices.Sort(g.snapshots)
	return g
}

func parseFileName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil && n > 0
}

// replay rebuilds the content of a log from its files.
type replay struct {
	log       *Log
	base      uint64 // index of the first of result.Entries
	result    Recovered
	positions []position // positions of result.Entries
}

// readSnapshot reads the newest snapshot. Without one, replay begins at segment 1.
// A corrupt snapshot is an error even if an older one exists: the newest one was
// durable, and the log before it may have been removed or may contradict it.
func (p *replay) readSnapshot(indexes []uint64) (snapshotHead, error) {
	if len(indexes) == 0 {
		return snapshotHead{Group: p.log.group, Segment: 1, Next: 1}, nil
	}
	index := indexes[len(indexes)-1]
	file := p.log.snapshotName(index)
	b, err := readFile(p.log.fs, file)
	if err != nil {
		return snapshotHead{}, err
	}
	var head snapshotHead
	frames := 0
	_, err = readFrames(file, b, false, func(i int, f frame) error {
		frames++
		if i > 0 {
			p.result.Snapshot = &state.Snapshot{}
			return f.decode(kindSnapshot, p.result.Snapshot)
		}
		if err := f.decode(kindSnapshotHead, &head); err != nil {
			return err
		}
		if head.Group != p.log.group || head.Index != index {
			return errors.Errorf("file belongs to group %s, index %d", head.Group, head.Index)
		}
		return nil
	})
	if err != nil {
		return snapshotHead{}, err
	}
	if frames != 2 || p.result.Snapshot.Index != index {
		return snapshotHead{}, &CorruptError{File: file, Offset: int64(len(b)), Reason: "file does not contain exactly one snapshot of its index"}
	}
	p.log.snapIndex = index
	return head, nil
}

// readSegments replays the segments from the one that head names and returns the
// intact content of the last one.
func (p *replay) readSegments(head snapshotHead, seqs []uint64) ([]byte, error) {
	l := p.log
	p.base = head.Next
	for len(seqs) > 0 && seqs[0] < head.Segment {
		seqs = seqs[1:]
	}
	if len(seqs) == 0 && l.snapIndex == 0 {
		return nil, nil
	}
	var tail []byte
	for want := head.Segment; want == head.Segment || len(seqs) > 0; want++ {
		file := l.segmentName(want)
		if len(seqs) == 0 || seqs[0] != want {
			return nil, &CorruptError{File: file, Reason: "segment is missing"}
		}
		seqs = seqs[1:]
		b, err := readFile(l.fs, file)
		if err != nil {
			return nil, err
		}
		l.segs = append(l.segs, segment{seq: want, next: p.next()})
		n, err := readFrames(file, b, len(seqs) == 0, p.visit)
		if err != nil {
			return nil, err
		}
		if n < len(b) {
			p.result.Dropped = append(p.result.Dropped, Dropped{File: file, Offset: int64(n), Bytes: int64(len(b) - n)})
		}
		if n == headerBytes {
			return nil, &CorruptError{File: file, Offset: int64(n), Reason: "segment has no first record"}
		}
		tail = b[:n]
	}
	if l.snapIndex+1 < p.base || l.snapIndex+1 > p.next() {
		return nil, &CorruptError{File: l.segmentName(l.last().seq), Offset: int64(len(tail)),
			Reason: fmt.Sprintf("log holds entries %d to %d, the snapshot is at %d", p.base, p.next()-1, l.snapIndex)}
	}
	covered := l.snapIndex + 1 - p.base
	p.result.Entries, l.entries = p.result.Entries[covered:], p.positions[covered:]
	p.result.HardState = l.hs
	return tail, nil
}

// visit replays one frame of the last segment in log.segs.
func (p *replay) visit(i int, f frame) error {
	if i == 0 {
		return p.visitHead(f)
	}
	var r saveRecord
	if err := f.decode(kindSave, &r); err != nil {
		return err
	}
	if r.HardState != nil {
		p.log.hs = *r.HardState
	}
	switch t := r.TruncateFrom; {
	case t > p.next():
		return errors.Errorf("truncation from index %d, the next one is %d", t, p.next())
	case t > p.base:
		p.result.Entries, p.positions = p.result.Entries[:t-p.base], p.positions[:t-p.base]
	case t > 0:
		// The truncation removes entries of an earlier segment that is no longer needed.
		p.base, p.result.Entries, p.positions = t, nil, nil
	}
	for _, e := range r.Entries {
		if e.Index != p.next() {
			return errors.Errorf("entry with index %d, want %d", e.Index, p.next())
		}
		p.result.Entries = append(p.result.Entries, e)
		p.positions = append(p.positions, position{term: e.Term, seq: p.log.last().seq})
	}
	return nil
}

func (p *replay) visitHead(f frame) error {
	var h segmentHead
	if err := f.decode(kindSegment, &h); err != nil {
		return err
	}
	g := p.log.last()
	if h.Group != p.log.group || h.Segment != g.seq {
		return errors.Errorf("file belongs to group %s, segment %d", h.Group, h.Segment)
	}
	// The first segment may start at another index, if a snapshot replaced the log
	// before it.
	if len(p.log.segs) > 1 && h.Next != g.next {
		return errors.Errorf("segment begins at index %d, want %d", h.Next, g.next)
	}
	p.log.hs = h.HardState
	return nil
}

func (p *replay) next() uint64 { return p.base + uint64(len(p.result.Entries)) }

// removeObsolete removes temporary files, older snapshots, and the segments before the
// one at which replay begins.
func (l *Log) removeObsolete(names []string, files groupFiles, head snapshotHead) error {
	var remove []string
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			remove = append(remove, filepath.Join(l.dir, name))
		}
	}
	for _, index := range files.snapshots {
		if index < l.snapIndex {
			remove = append(remove, l.snapshotName(index))
		}
	}
	for _, seq := range files.segments {
		if seq < head.Segment {
			remove = append(remove, l.segmentName(seq))
		}
	}
	for _, name := range remove {
		if err := l.fs.Remove(name); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
