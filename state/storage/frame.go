package storage

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"
	"path/filepath"

	"github.com/go-faster/errors"
)

// A file is a header followed by frames. Integers are little-endian.
//
//	header: magic "PRRS", version uint32
//	frame:  length uint32     of the payload, in bytes
//	        checksum uint32   CRC-32C of all other bytes of the frame
//	        synced uint64     length of the synced part of the file when the frame was written, in bytes
//	        kind uint8
//	        payload           JSON
//
// The synced field distinguishes a torn end, that is, an incomplete unsynced write, from
// corruption. Pages of unsynced writes may reach the disk in any order, so an intact
// frame after a bad one does not prove corruption on its own. It does if the later frame
// was written after the bad one had been synced.
const (
	magic         = "PRRS"
	formatVersion = 1
	headerBytes   = len(magic) + 4
	frameBytes    = 4 + 4 + 8 + 1

	// maxPayloadBytes limits payloads so that every length fits into its field. The
	// snapshot of a domain group takes tens of megabytes at the size expected after
	// two years.
	maxPayloadBytes = 1 << 30
)

type frameKind uint8

const (
	kindIdentity     frameKind = 1 // identity, in FORMAT
	kindSegment      frameKind = 2 // segmentHead, first in a segment
	kindSave         frameKind = 3 // saveRecord, in a segment
	kindSnapshotHead frameKind = 4 // snapshotHead, first in a snapshot file
	kindSnapshot     frameKind = 5 // state.Snapshot, second in a snapshot file
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	kind    frameKind
	synced  uint64
	payload []byte
}

func appendHeader(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(append(b, magic...), formatVersion)
}

// appendFrame encodes v as a frame. It returns an error if v cannot be encoded or
// is too large.
func appendFrame(b []byte, kind frameKind, synced int64, v any) ([]byte, error) {
	payload, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(payload) > maxPayloadBytes {
		return nil, errors.Wrapf(ErrInvalid, "record of %d bytes, at most %d are allowed", len(payload), maxPayloadBytes)
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(synced))
	b = append(b, byte(kind))
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start+4:], checksum(b[start:]))
	return b, nil
}

func checksum(f []byte) uint32 {
	return crc32.Update(crc32.Checksum(f[:4], castagnoli), castagnoli, f[8:])
}

// parseFrame returns the frame at the start of b and its size in bytes. It returns
// false if b does not start with an intact frame.
func parseFrame(b []byte) (frame, int, bool) {
	if len(b) < frameBytes {
		return frame{}, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if n > int64(len(b)-frameBytes) {
		return frame{}, 0, false
	}
	size := frameBytes + int(n)
	if binary.LittleEndian.Uint32(b[4:]) != checksum(b[:size]) {
		return frame{}, 0, false
	}
	return frame{
		kind:    frameKind(b[16]),
		synced:  binary.LittleEndian.Uint64(b[8:]),
		payload: b[frameBytes:size],
	}, size, true
}

// recordedAsSynced reports whether b contains, after offset bad, an intact frame that
// was written after the byte at offset bad had been synced.
func recordedAsSynced(b []byte, bad int) bool {
	for p := bad + 1; p+frameBytes <= len(b); p++ {
		// This check is cheap and excludes nearly every position before the checksum is
		// computed.
		if s := binary.LittleEndian.Uint64(b[p+8:]); s <= uint64(bad) || s > uint64(p) {
			continue
		}
		if _, _, ok := parseFrame(b[p:]); ok {
			return true
		}
	}
	return false
}

// readFrames calls visit for each frame of a file's content and returns the number
// of intact bytes. If allowTornEnd is true, a torn end is accepted after the first
// frame; otherwise any bad frame is an error. An error of visit is reported as
// corruption at the offset of its frame.
func readFrames(file string, b []byte, allowTornEnd bool, visit func(i int, f frame) error) (int, error) {
	if len(b) < headerBytes || string(b[:len(magic)]) != magic {
		return 0, &CorruptError{File: file, Reason: "file header is missing"}
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != formatVersion {
		return 0, errors.Wrapf(ErrVersion, "%s has version %d, only version %d is supported", file, v, formatVersion)
	}
	off := headerBytes
	for i := 0; off < len(b); i++ {
		f, size, ok := parseFrame(b[off:])
		if !ok {
			if allowTornEnd && i > 0 && !recordedAsSynced(b, off) {
				return off, nil
			}
			return 0, &CorruptError{File: file, Offset: int64(off), Reason: "frame is incomplete or its checksum does not match"}
		}
		if err := visit(i, f); err != nil {
			return 0, &CorruptError{File: file, Offset: int64(off), Reason: err.Error()}
		}
		off += size
	}
	return off, nil
}

// decode decodes the payload of a frame into v. It returns an error if the frame is not
// of the given kind.
func (f frame) decode(want frameKind, v any) error {
	if f.kind != want {
		return errors.Errorf("frame is of kind %d, not %d", f.kind, want)
	}
	dec := json.NewDecoder(bytes.NewReader(f.payload))
	// An unknown field may change the meaning of a record, so it must not be ignored.
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Wrap(err, "decode record")
	}
	return nil
}

func readFile(fs FS, file string) ([]byte, error) {
	f, err := fs.Open(file)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", file)
	}
	b, err := io.ReadAll(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", file)
	}
	return b, nil
}

const tempSuffix = ".tmp"

// writeFile creates a file with the given content, durably and atomically, and returns
// it opened for appending.
func writeFile(fs FS, file string, content []byte) (File, error) {
	temp := file + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", temp)
	}
	if err := publish(fs, f, temp, file, content); err != nil {
		_ = f.Close() // the first error is reported
		return nil, err
	}
	return f, nil
}

func publish(fs FS, f File, temp, file string, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return errors.Wrapf(err, "write %s", temp)
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(&syncError{err}, "sync %s", temp)
	}
	if err := fs.Rename(temp, file); err != nil {
		return errors.Wrapf(err, "rename %s to %s", temp, file)
	}
	dir := filepath.Dir(file)
	if err := fs.SyncDir(dir); err != nil {
		return errors.Wrapf(&syncError{err}, "sync directory %s", dir)
	}
	return nil
}
