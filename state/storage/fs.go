package storage

import "io"

// FS contains the file system operations that the package needs. Names are paths in the
// form of the operating system. A missing file is reported as an error that
// matches io/fs.ErrNotExist.
type FS interface {
	// Mkdir creates a directory whose parent exists. It returns an error that
	// matches io/fs.ErrExist if the name exists.
	Mkdir(dir string) error
	// List returns the names of the entries of a directory, sorted.
	List(dir string) ([]string, error)
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates a file, or truncates an existing one to length 0, and opens it for
	// appending. The handle stays valid when the file is renamed.
	Create(name string) (File, error)
	// Rename atomically moves a file and replaces an existing one.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes earlier changes to the entries of a directory durable.
	SyncDir(dir string) error
	// Lock creates the file if needed and takes an exclusive lock on it, which is
	// released by Close or when the process stops. If another process has the lock,
	// it returns an error that matches ErrLocked without waiting.
	Lock(name string) (io.Closer, error)
}

// File is a file opened for appending.
type File interface {
	// Write appends p. It returns an error if it appends less than all of p.
	Write(p []byte) (n int, err error)
	// Truncate removes all content after the first size bytes. Later writes append there.
	Truncate(size int64) error
	// Sync makes everything written so far durable.
	Sync() error
	Close() error
}
