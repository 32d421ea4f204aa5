package storage

import (
	"io"
	"io/fs"
	"path/filepath"
	"regexp"

	"github.com/go-faster/errors"
)

// segmentBytes is the size at which the next sync closes a segment and starts a new
// one. It limits how much a restart reads before the snapshot index, and how much of
// the end of the log it copies. Each new segment costs two more syncs.
const segmentBytes = 4 << 20

const (
	lockName   = "LOCK"
	formatName = "FORMAT"
	groupsName = "groups"
)

// identity is the content of FORMAT.
type identity struct {
	Incarnation uint64 `json:"incarnation"`
}

// Store is the open data directory of one process. It is used by one goroutine. Each
// Log that it returns may be used by another goroutine.
type Store struct {
	fs           FS
	dir          string
	incarnation  uint64
	segmentBytes int64
	lock         io.Closer
	logs         map[string]*Log // nil after Close
}

// Open opens the data directory dir and takes its lock. If dir is missing or empty,
// it is created with newIncarnation, a random number other than 0; its parent must
// exist. Otherwise newIncarnation is ignored.
//
// Errors match ErrLocked if another process has the directory open, ErrVersion if
// it was written in an unknown format, ErrFull if the disk has no room for a new
// directory, or a *CorruptError. A directory that holds
// groups but no FORMAT file is corrupt.
func Open(fs FS, dir string, newIncarnation uint64) (*Store, error) {
	s := &Store{fs: fs, dir: dir, segmentBytes: segmentBytes, logs: map[string]*Log{}}
	if err := makeDir(fs, dir); err != nil {
		return nil, err
	}
	name := filepath.Join(dir, lockName)
	var err error
	if s.lock, err = fs.Lock(name); err != nil {
		return nil, errors.Wrapf(err, "lock %s", name)
	}
	if err := s.loadIdentity(newIncarnation); err != nil {
		_ = s.lock.Close() // the first error is reported
		if isFull(err) {
			return nil, &full{err}
		}
		return nil, err
	}
	return s, nil
}

// Incarnation returns the random number that was stored when the directory was
// created.
func (s *Store) Incarnation() uint64 { return s.incarnation }

// Close closes every log without syncing it and releases the lock. Calls on the
// store and its logs afterwards return ErrClosed. No log may be in use by another
// goroutine.
func (s *Store) Close() error {
	if s.logs == nil {
		return ErrClosed
	}
	var errs []error
	for _, l := range s.logs {
		l.failed = ErrClosed
		if err := l.file.Close(); err != nil {
			errs = append(errs, errors.Wrapf(err, "close %s", l.segmentName(l.last().seq)))
		}
	}
	s.logs = nil
	if err := s.lock.Close(); err != nil {
		errs = append(errs, errors.Wrapf(err, "unlock %s", filepath.Join(s.dir, lockName)))
	}
	return errors.Join(errs...)
}

// loadIdentity reads FORMAT, or initialises a new directory. FORMAT is written last, so
// if it exists, the directory is complete.
func (s *Store) loadIdentity(newIncarnation uint64) error {
	name := filepath.Join(s.dir, formatName)
	groups := filepath.Join(s.dir, groupsName)
	b, err := readFile(s.fs, name)
	if err == nil {
		return s.readIdentity(name, b)
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if newIncarnation == 0 {
		return errors.Wrapf(ErrInvalid, "incarnation 0 for new data directory %s", s.dir)
	}
	if err := makeDir(s.fs, groups); err != nil {
		return err
	}
	present, err := s.fs.List(groups)
	if err != nil {
		return errors.Wrapf(err, "list %s", groups)
	}
	if len(present) > 0 {
		return &CorruptError{File: name, Reason: "file is missing, but " + groups + " is not empty"}
	}
	// The parent holds the directory entry of the data directory, so it must be synced too.
	parent := filepath.Dir(s.dir)
	if err := s.fs.SyncDir(parent); err != nil {
		return errors.Wrapf(err, "sync directory %s", parent)
	}
	b, err = appendFrame(appendHeader(nil), kindIdentity, 0, identity{Incarnation: newIncarnation})
	if err != nil {
		return err
	}
	f, err := writeFile(s.fs, name, b)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	s.incarnation = newIncarnation
	return nil
}

func (s *Store) readIdentity(name string, b []byte) error {
	var id identity
	frames := 0
	_, err := readFrames(name, b, false, func(i int, f frame) error {
		frames++
		return f.decode(kindIdentity, &id)
	})
	if err != nil {
		return err
	}
	if frames != 1 || id.Incarnation == 0 {
		return &CorruptError{File: name, Offset: int64(headerBytes), Reason: "file does not contain exactly one record with an incarnation"}
	}
	s.incarnation = id.Incarnation
	return nil
}

var groupName = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_-]{0,62}$`)

// Group opens the log of a replication group, such as "cell" or "domain-a", and
// creates it if it is missing. Names are 1 to 63 letters, digits, "-" and "_", the
// first of them not "-". Everything in Recovered has been synced when Group returns.
//
// Errors match ErrInvalid for a bad name or a group that is open already,
// ErrVersion, ErrClosed, ErrFull, or a *CorruptError. A group that is not accepted is left
// unchanged.
func (s *Store) Group(name string) (*Log, Recovered, error) {
	if !groupName.MatchString(name) {
		return nil, Recovered{}, errors.Wrapf(ErrInvalid, "group name %q", name)
	}
	if s.logs == nil {
		return nil, Recovered{}, ErrClosed
	}
	if s.logs[name] != nil {
		return nil, Recovered{}, errors.Wrapf(ErrInvalid, "group %s is open already", name)
	}
	l := &Log{fs: s.fs, dir: filepath.Join(s.dir, groupsName, name), group: name, segmentBytes: s.segmentBytes}
	r, err := l.open()
	if isFull(err) {
		err = &full{err}
	}
	if err != nil {
		return nil, Recovered{}, errors.Wrapf(err, "open group %s", name)
	}
	s.logs[name] = l
	return l, r, nil
}

// makeDir creates a directory unless it exists. The caller syncs its parent.
func makeDir(fsys FS, dir string) error {
	if err := fsys.Mkdir(dir); err != nil && !errors.Is(err, fs.ErrExist) {
		return errors.Wrapf(err, "create directory %s", dir)
	}
	return nil
}
