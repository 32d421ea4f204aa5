// Package storagetest provides an in-memory file system for tests of code that uses
// package storage. It can lose unsynced data in a simulated crash, make chosen
// operations fail, and count operations. All random choices come from one seed.
package storagetest

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"math/rand"
	"path/filepath"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/primrosereach/primrosereach/state/storage"
)

// SectorBytes is the unit in which a torn write reaches the disk.
const SectorBytes = 512

// ErrStopped is returned by a handle that was opened before the last Crash.
var ErrStopped = errors.New("file handle of a stopped process")

// Loss selects the data that a crash loses. Synced data survives every kind of loss
// except AllLost. File handles and locks never survive.
type Loss int

// Kinds of loss.
const (
	NothingLost  Loss = iota // the process is killed, the machine stays up
	UnsyncedLost             // power loss before anything unsynced was written back
	UnsyncedTorn             // power loss during write-back: each unsynced sector, file length and directory entry survives or is lost at random; lost sectors read as zeros
	AllLost                  // the disk is replaced by an empty one
)

// Op is a kind of operation that can be made to fail.
type Op int

// Operations. OpSync covers File.Sync, OpSyncDir covers FS.SyncDir.
const (
	OpWrite Op = iota
	OpSync
	OpSyncDir
	OpCreate
	OpRename
	OpRemove
	opCount
)

// Counts holds the numbers of operations and bytes since the file system was created.
type Counts struct {
	Writes, Syncs, DirSyncs, Creates, Renames, Removes int
	BytesWritten, BytesRead                            int64
}

// FS is a storage.FS in memory. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	rand    *rand.Rand
	root    map[string]*inode // directories that New created
	visible map[string]*inode // directory entries that the running process sees, by cleaned path
	durable map[string]*inode // directory entries that survive a power loss
	locked  map[string]bool
	epoch   int // number of crashes; handles of earlier epochs are invalid
	faults  [opCount][]fault
	counts  Counts
}

// fault is a failure that has been set and has not occurred yet.
type fault struct {
	after int // number of operations that still succeed before it
	err   error
}

// inode is a file or directory. Writes only append; Create truncates a file to length 0.
type inode struct {
	dir      bool
	data     []byte // visible content
	disk     []byte // content that survives a power loss: a prefix of data, in which lost pages are zero
	syncFrom int    // offset in data from which the next sync writes
}

var _ storage.FS = (*FS)(nil)

// New returns a file system that contains only the directory root and its parents.
func New(seed int64, root string) *FS {
	f := &FS{rand: rand.New(rand.NewSource(seed)), locked: map[string]bool{}}
	f.visible = map[string]*inode{}
	for p := filepath.Clean(root); ; p = filepath.Dir(p) {
		f.visible[p] = &inode{dir: true}
		if p == filepath.Dir(p) {
			break
		}
	}
	f.root, f.durable = maps.Clone(f.visible), maps.Clone(f.visible)
	return f
}

// Fail makes the nth operation of the given kind from now return err; n = 1 is the next
// one. A failing write appends half of its bytes. A failing sync drops the unsynced
// pages: they stay readable, but no later sync writes them. Other operations have no
// effect when they fail.
func (f *FS) Fail(op Op, n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = append(f.faults[op], fault{after: n - 1, err: err})
}

// ClearFaults removes the faults that have not occurred yet.
func (f *FS) ClearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = [opCount][]fault{}
}

// Counts returns the numbers of operations and bytes so far.
func (f *FS) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Crash simulates a crash of the process that uses the file system. Faults that have
// not occurred yet remain set.
func (f *FS) Crash(loss Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.locked = map[string]bool{}
	switch loss {
	case NothingLost:
		return
	case AllLost:
		f.visible = maps.Clone(f.root)
	case UnsyncedLost:
		f.visible = f.survivingEntries(false)
	case UnsyncedTorn:
		f.visible = f.survivingEntries(true)
	}
	for _, p := range sorted(f.visible) {
		n := f.visible[p]
		if loss == UnsyncedTorn {
			f.writeBackPartially(n)
		}
		n.data, n.syncFrom = bytes.Clone(n.disk), len(n.disk)
	}
	f.durable = maps.Clone(f.visible)
}

// survivingEntries returns the directory entries after a power loss. If torn is true,
// each unsynced change of an entry is kept or lost at random.
func (f *FS) survivingEntries(torn bool) map[string]*inode {
	after := maps.Clone(f.durable)
	all := maps.Clone(f.durable)
	maps.Copy(all, f.visible)
	for _, p := range sorted(all) {
		if torn && f.visible[p] != f.durable[p] && f.rand.Intn(2) == 0 {
			after[p] = f.visible[p]
		}
		if after[p] == nil || after[filepath.Dir(p)] == nil {
			delete(after, p)
		}
	}
	return after
}

// writeBackPartially writes some unsynced sectors of a file to its disk content, chosen
// at random, and leaves the others zero. The new length is random too. Pages that a
// failed sync dropped are not written.
func (f *FS) writeBackPartially(n *inode) {
	grown := len(n.data) - len(n.disk)
	if grown == 0 {
		return
	}
	end := len(n.disk) + f.rand.Intn(grown+1)
	kept := len(n.disk)
	disk := append(bytes.Clone(n.disk), make([]byte, end-kept)...)
	for from := kept; from < end; {
		to := min(end, (from/SectorBytes+1)*SectorBytes)
		if f.rand.Intn(2) == 0 && from >= n.syncFrom {
			copy(disk[from:to], n.data[from:to])
		}
		from = to
	}
	n.disk = disk
}

// Files returns the sizes in bytes of all files, by path.
func (f *FS) Files() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sizes := map[string]int64{}
	for p, n := range f.visible {
		if !n.dir {
			sizes[p] = int64(len(n.data))
		}
	}
	return sizes
}

// Corrupt inverts the bits of mask in the byte of a file at an offset, both in the
// visible content and in the content that survives a power loss. It panics if there is
// no such byte.
func (f *FS) Corrupt(name string, offset int64, mask byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.visible[filepath.Clean(name)]
	n.data[offset] ^= mask
	if offset < int64(len(n.disk)) {
		n.disk[offset] ^= mask
	}
}

// Clone returns a copy of the file system as the running process sees it, with all data
// synced. The copy has its own seed and no faults, locks or counts.
func (f *FS) Clone(seed int64) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &FS{rand: rand.New(rand.NewSource(seed)), locked: map[string]bool{}, root: f.root, visible: map[string]*inode{}}
	for p, n := range f.visible {
		c.visible[p] = &inode{dir: n.dir, data: bytes.Clone(n.data), disk: bytes.Clone(n.data), syncFrom: len(n.data)}
	}
	c.durable = maps.Clone(c.visible)
	return c
}

// Mkdir implements storage.FS.
func (f *FS) Mkdir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := filepath.Clean(dir)
	if f.visible[p] != nil {
		return fs.ErrExist
	}
	if err := f.parent(p); err != nil {
		return err
	}
	f.visible[p] = &inode{dir: true}
	return nil
}

// List implements storage.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	dir = filepath.Clean(dir)
	if f.visible[dir] == nil {
		return nil, fs.ErrNotExist
	}
	var names []string
	for _, p := range sorted(f.visible) {
		if filepath.Dir(p) == dir && p != dir {
			names = append(names, filepath.Base(p))
		}
	}
	return names, nil
}

// Open implements storage.FS.
func (f *FS) Open(name string) (io.ReadCloser, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.visible[filepath.Clean(name)]
	if n == nil || n.dir {
		return nil, fs.ErrNotExist
	}
	return &reader{fs: f, r: bytes.NewReader(bytes.Clone(n.data))}, nil
}

// Create implements storage.FS. The content of an existing file is lost immediately,
// also after a crash.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Creates++
	p := filepath.Clean(name)
	if err := f.parent(p); err != nil {
		return nil, err
	}
	if err := f.fault(OpCreate); err != nil {
		return nil, err
	}
	n := f.visible[p]
	if n == nil {
		n = &inode{}
		f.visible[p] = n
	}
	n.data, n.disk, n.syncFrom = nil, nil, 0
	return &handle{fs: f, n: n, epoch: f.epoch}, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Renames++
	from, to = filepath.Clean(from), filepath.Clean(to)
	n := f.visible[from]
	if n == nil {
		return fs.ErrNotExist
	}
	if err := f.fault(OpRename); err != nil {
		return err
	}
	delete(f.visible, from)
	f.visible[to] = n
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Removes++
	p := filepath.Clean(name)
	if f.visible[p] == nil {
		return fs.ErrNotExist
	}
	if err := f.fault(OpRemove); err != nil {
		return err
	}
	delete(f.visible, p)
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.DirSyncs++
	dir = filepath.Clean(dir)
	if f.visible[dir] == nil {
		return fs.ErrNotExist
	}
	if err := f.fault(OpSyncDir); err != nil {
		return err
	}
	for p := range f.durable {
		if filepath.Dir(p) == dir && f.visible[p] == nil {
			delete(f.durable, p)
		}
	}
	for p, n := range f.visible {
		if filepath.Dir(p) == dir {
			f.durable[p] = n
		}
	}
	return nil
}

// Lock implements storage.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := filepath.Clean(name)
	if err := f.parent(p); err != nil {
		return nil, err
	}
	if f.locked[p] {
		return nil, storage.ErrLocked
	}
	if f.visible[p] == nil {
		f.visible[p] = &inode{}
	}
	f.locked[p] = true
	return &lock{fs: f, name: p, epoch: f.epoch}, nil
}

func (f *FS) parent(p string) error {
	if d := f.visible[filepath.Dir(p)]; d == nil || !d.dir {
		return fs.ErrNotExist
	}
	return nil
}

// fault is called once for each operation that can fail. It counts down the faults set for
// op and returns the error of the one that is due, or nil.
func (f *FS) fault(op Op) error {
	var err error
	pending := f.faults[op][:0]
	for _, x := range f.faults[op] {
		if x.after == 0 {
			err = x.err
			continue
		}
		x.after--
		pending = append(pending, x)
	}
	f.faults[op] = pending
	return err
}

func sorted(m map[string]*inode) []string { return slices.Sorted(maps.Keys(m)) }

type handle struct {
	fs    *FS
	n     *inode
	epoch int
}

func (h *handle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return 0, ErrStopped
	}
	h.fs.counts.Writes++
	err := h.fs.fault(OpWrite)
	if err != nil {
		p = p[:len(p)/2]
	}
	h.n.data = append(h.n.data, p...)
	h.fs.counts.BytesWritten += int64(len(p))
	return len(p), err
}

func (h *handle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return ErrStopped
	}
	n := h.n
	n.data = n.data[:min(len(n.data), int(size))]
	n.disk = n.disk[:min(len(n.disk), int(size))]
	n.syncFrom = min(n.syncFrom, int(size))
	return nil
}

func (h *handle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return ErrStopped
	}
	h.fs.counts.Syncs++
	n := h.n
	from := n.syncFrom
	n.syncFrom = len(n.data)
	if err := h.fs.fault(OpSync); err != nil {
		return err
	}
	if from == n.syncFrom {
		return nil
	}
	n.disk = append(n.disk, make([]byte, len(n.data)-len(n.disk))...)
	copy(n.disk[from:], n.data[from:])
	return nil
}

func (h *handle) Close() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if h.epoch != h.fs.epoch {
		return ErrStopped
	}
	return nil
}

type reader struct {
	fs *FS
	r  *bytes.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.fs.mu.Lock()
	defer r.fs.mu.Unlock()
	r.fs.counts.BytesRead += int64(n)
	return n, err
}

func (r *reader) Close() error { return nil }

type lock struct {
	fs    *FS
	name  string
	epoch int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locked, l.name)
	}
	return nil
}
