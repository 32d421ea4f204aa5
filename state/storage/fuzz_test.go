package storage

import (
	"errors"
	"testing"

	"github.com/primrosereach/primrosereach/state"
	"github.com/primrosereach/primrosereach/state/job"
)

// FuzzStoredRecords decodes arbitrary bytes as the payloads of intact frames, and as the content
// of a file. It guards against a record of another version, or a damaged one, that ends the
// process at each start with a panic instead of an error that names file and offset.
func FuzzStoredRecords(f *testing.F) {
	f.Add([]byte(`{"index":4,"term":1,"jobs":{"applied":4,"workers":[{"id":"w"}],"jobs":[{"id":"j","steps":[{"count":1}]}]}}`))
	f.Add([]byte(`{"entries":[{"index":1,"term":1,"command":{"job":{"cancel":{"job":"j"}}}}]}`))
	f.Add(appendHeader(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := appendHeader(nil)
		for _, kind := range []frameKind{kindIdentity, kindSegment, kindSave, kindSnapshotHead, kindSnapshot} {
			fr := frame{kind: kind, payload: data}
			_ = fr.decode(kindSave, new(saveRecord)) // only a panic is a failure
			_ = fr.decode(kindSegment, new(segmentHead))
			_ = fr.decode(kindSnapshotHead, new(snapshotHead))
			var s state.Snapshot
			if fr.decode(kindSnapshot, &s) == nil && s.Jobs != nil {
				job.Restore(s.Jobs)
			}
		}
		b = append(b, data...)
		if _, err := readFrames("f", b, true, func(int, frame) error { return nil }); err != nil {
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) && !errors.Is(err, ErrVersion) {
				t.Errorf("the error does not name the place: %v", err)
			}
		}
	})
}

// Guards against a panic, or an unreported loss, at an entry that is intact and does not decode, for
// example one of a later version: the start is refused with the file and the offset. The
// operator removes the data directory, and the member joins the group again.
func TestEntryThatDoesNotDecodeIsReported(t *testing.T) {
	b := appendHeader(nil)
	b, err := appendFrame(b, kindSave, 0, map[string]any{"entries": "none"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = readFrames("log-1", b, true, func(_ int, f frame) error { return f.decode(kindSave, new(saveRecord)) })
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.File != "log-1" || corrupt.Offset != int64(headerBytes) {
		t.Errorf("got %v", err)
	}
}
