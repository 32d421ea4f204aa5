package storage

import (
	"io"
	"os"
	"syscall"

	"github.com/go-faster/errors"
)

// OS returns the file system of the operating system. Files and directories are
// accessible to the owner only, because payloads of requests may be confidential.
func OS() FS { return osFS{} }

type osFS struct{}

func (osFS) Mkdir(dir string) error                  { return os.Mkdir(dir, 0o700) }
func (osFS) Open(name string) (io.ReadCloser, error) { return os.Open(name) }
func (osFS) Rename(from, to string) error            { return os.Rename(from, to) }
func (osFS) Remove(name string) error                { return os.Remove(name) }

func (osFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

func (osFS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return err
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close() // the error of Flock is reported; nothing was written
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}
