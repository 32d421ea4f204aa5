package storage

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

var (
	// ErrLocked reports that another process has the data directory open.
	ErrLocked = errors.New("data directory is in use by another process")
	// ErrVersion reports a file in a format that this version of the program does
	// not support.
	ErrVersion = errors.New("unknown format version")
	// ErrFailed reports that a file operation of the log failed, now or earlier.
	// The log accepts no writes until the process restarts: after a failed sync the
	// kernel may have dropped the unsynced pages, so a later successful sync does
	// not mean that they are durable.
	ErrFailed = errors.New("log has failed and accepts no more writes")
	// ErrFull reports that the disk took no more bytes. Nothing of the call counts as
	// written, and the same call can be made again.
	ErrFull = errors.New("disk is full")
	// ErrInvalid reports a call that contradicts the log, for example a gap in the
	// indexes. Nothing was written and the log stays usable.
	ErrInvalid = errors.New("invalid argument")
	// ErrClosed reports a call after Store.Close.
	ErrClosed = errors.New("store is closed")
)

// full is an error that matches ErrFull and its cause.
type full struct{ cause error }

func (f *full) Error() string   { return ErrFull.Error() + ": " + f.cause.Error() }
func (f *full) Unwrap() []error { return []error{ErrFull, f.cause} }

// isFull reports whether a file operation failed for lack of space. A failed sync does not count,
// even for that reason: the kernel may have dropped the pages.
func isFull(err error) bool {
	var s *syncError
	return !errors.As(err, &s) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT))
}

// syncError is an error of a sync.
type syncError struct{ cause error }

func (e *syncError) Error() string { return e.cause.Error() }
func (e *syncError) Unwrap() error { return e.cause }

// CorruptError reports that stored data that was synced is unreadable, inconsistent
// or missing. An incomplete unsynced write at the end of a log (a torn end) is not
// corruption.
type CorruptError struct {
	File   string // path
	Offset int64  // offset of the first bad frame from the start of File, in bytes
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// failure is the error that put a log into the failed state. It matches both
// ErrFailed and its cause.
type failure struct{ cause error }

func (f *failure) Error() string   { return ErrFailed.Error() + ": " + f.cause.Error() }
func (f *failure) Unwrap() []error { return []error{ErrFailed, f.cause} }
