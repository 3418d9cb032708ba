// Package waltest provides an in-memory file system for tests that can simulate crashes, in which unsynced data is lost, and disk
// faults.
package waltest

import (
	"io/fs"
	"path/filepath"
	"sort"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/wal"
)

// ErrInjected is the error of an injected fault.
const ErrInjected = errors.ConstError("injected fault")

// file is the content of a file. The first synced bytes are durable.
type file struct {
	current []byte
	synced  int
}

// FS is an in-memory wal.FS.
type FS struct {
	mu      sync.Mutex
	names   map[string]*file // current files
	durable map[string]*file // files that survive a crash
	calls   int
	failAt  int // number of the call that fails; 0: none
	free    uint64
	full    bool          // writes fail with ENOSPC
	hang    chan struct{} // syncs block until it is closed; nil: they don't block
}

var _ wal.FS = (*FS)(nil)

// New returns an empty file system.
func New() *FS {
	return &FS{names: make(map[string]*file), durable: make(map[string]*file), free: 1 << 40}
}

// FailAt makes the n-th modifying call from now on fail, counted from 1; with 0 no call fails. A failed write leaves half
// of its data.
func (f *FS) FailAt(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.failAt = 0, n
}

// SetFull makes all writes fail with ENOSPC after half of their data, or succeed again.
func (f *FS) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// Calls returns the number of modifying calls since the last call of FailAt.
func (f *FS) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Hang makes all syncs block until release is called.
func (f *FS) Hang() (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hang := make(chan struct{})
	f.hang = hang
	return func() { close(hang) }
}

// waitWhileHung blocks while syncs hang.
func (f *FS) waitWhileHung() {
	f.mu.Lock()
	hang := f.hang
	f.mu.Unlock()
	if hang != nil {
		<-hang
	}
}

// SetFree sets the result of Free.
func (f *FS) SetFree(bytes uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free = bytes
}

// Crash returns a copy of the file system as it is after a crash. Of unsynced data, up to keep bytes per file survive.
func (f *FS) Crash(keep int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := New()
	for name, old := range f.durable {
		kept := min(old.synced+keep, len(old.current))
		file := &file{synced: kept, current: append([]byte(nil), old.current[:kept]...)}
		next.names[name], next.durable[name] = file, file
	}
	return next
}

// Corrupt changes one byte of a file. The change survives a crash.
func (f *FS) Corrupt(name string, at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names[name].current[at] ^= 0x40
}

// Resize truncates a file, or extends it with zeros. The change survives a crash.
func (f *FS) Resize(name string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file := f.names[name]
	resized := make([]byte, size)
	copy(resized, file.current)
	file.current, file.synced = resized, size
}

// countCall counts a modifying call and returns its injected error, if any.
func (f *FS) countCall() error {
	f.calls++
	if f.calls == f.failAt {
		return ErrInjected
	}
	return nil
}

// MkdirAll does nothing, since directories exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// Create creates or truncates a file and opens it for writing.
func (f *FS) Create(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return nil, err
	}
	file := &file{}
	f.names[name] = file
	return &handle{fs: f, file: file}, nil
}

// OpenAppend opens an existing file for appending.
func (f *FS) OpenAppend(name string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &handle{fs: f, file: file}, nil
}

// ReadFile returns the content of a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.current...), nil
}

// List returns the sorted base names of the files in dir.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames a file and replaces an existing file with the new name.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	file, ok := f.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(f.names, from)
	f.names[to] = file
	return nil
}

// Remove deletes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	delete(f.names, name)
	return nil
}

// SyncDir makes the names in dir durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	for name := range f.durable {
		if filepath.Dir(name) == filepath.Clean(dir) {
			delete(f.durable, name)
		}
	}
	for name, file := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			f.durable[name] = file
		}
	}
	return nil
}

// Free returns the value set by SetFree.
func (f *FS) Free(string) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.free, nil
}

// handle is an open file.
type handle struct {
	fs   *FS
	file *file
}

// Write appends p, or half of it if the write fails.
func (h *handle) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	err := h.fs.countCall()
	if h.fs.full {
		err = unix.ENOSPC
	}
	if err != nil {
		h.file.current = append(h.file.current, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.file.current = append(h.file.current, p...)
	return len(p), nil
}

// Sync makes the content durable.
func (h *handle) Sync() error {
	h.fs.waitWhileHung()
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.countCall(); err != nil {
		return err
	}
	h.file.synced = len(h.file.current)
	return nil
}

// Truncate truncates the content.
func (h *handle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.fs.countCall(); err != nil {
		return err
	}
	h.file.current = h.file.current[:size]
	h.file.synced = min(h.file.synced, int(size))
	return nil
}

// Close does nothing.
func (h *handle) Close() error { return nil }
