package wal

import (
	"path/filepath"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// WriteBackup writes a snapshot to a backup file and syncs it.
func WriteBackup(fsys FS, file string, snap raft.Snapshot) error {
	data, err := EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	return writeFile(fsys, filepath.Dir(file), filepath.Base(file), appendRecord(nil, data))
}

// ReadBackup reads a file written by WriteBackup.
func ReadBackup(fsys FS, file string) (*raft.Snapshot, error) {
	data, err := fsys.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	payload, ok := parseRecord(data)
	if !ok || headerSize+len(payload) != len(data) {
		return nil, errors.Annotatef(ErrDamaged, "%s", file)
	}
	return DecodeSnapshot(payload)
}

// Initialize turns a blank directory into the data directory of id with the state of snap. The identity is written last,
// so that a directory left by an interrupted call is rejected by LoadIdentity.
func Initialize(fsys FS, dir string, id Identity, snap raft.Snapshot) error {
	if err := fsys.MkdirAll(dir); err != nil {
		return errors.Annotate(err, "create the data directory")
	}
	names, err := fsys.List(dir)
	if err != nil {
		return errors.Annotate(err, "list the data directory")
	}
	for _, name := range names {
		if isLogName(name) || isSnapshotName(name) || name == identityFile {
			return errors.AlreadyExistsf("%[2]s in the data directory %[1]q, which must be blank,", dir, name)
		}
	}
	l := &Log{fs: fsys, dir: dir}
	if err := l.SaveSnapshot(snap, raft.HardState{Term: snap.Term}, nil); err != nil {
		return err
	}
	if err := l.Close(); err != nil {
		return errors.Trace(err)
	}
	return writeIdentity(fsys, dir, id)
}
