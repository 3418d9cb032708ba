package wal

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is an open file of an FS.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	// Truncate changes the size of the file. The next write appends to its new end.
	Truncate(size int64) error
	Close() error
}

// FS is the file system interface that the log needs. Names are paths. Contents are durable after File.Sync, names after SyncDir.
type FS interface {
	MkdirAll(dir string) error
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadFile returns an error that matches fs.ErrNotExist if the file does not exist.
	ReadFile(name string) ([]byte, error)
	// List returns the sorted base names of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Free returns the number of bytes that can still be written.
	Free(dir string) (uint64, error)
}

// OS is the file system of the operating system.
type OS struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll creates dir and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create creates or truncates a file and opens it for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend opens an existing file for appending.
func (OS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List returns the sorted base names of the regular files in dir.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, filepath.Base(e.Name()))
		}
	}
	return names, nil
}

// Rename renames a file and replaces an existing file with the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}

// Free returns the number of bytes that can still be written to the file system of dir.
func (OS) Free(dir string) (uint64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return st.Bavail * uint64(st.Bsize), nil
}
