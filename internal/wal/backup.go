package wal

import (
	"path/filepath"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// WriteBackup writes a snapshot to a file of its own.
func WriteBackup(fsys FS, file string, snap raft.Snapshot) error {
	data, err := EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	return writeFile(fsys, filepath.Dir(file), filepath.Base(file), appendRecord(nil, data))
}

// ReadBackup reads what WriteBackup wrote.
func ReadBackup(fsys FS, file string) (*raft.Snapshot, error) {
	data, err := fsys.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	payload, ok := record(data)
	if !ok || headerSize+len(payload) != len(data) {
		return nil, errors.Annotatef(ErrDamaged, "%s", file)
	}
	return DecodeSnapshot(payload)
}

// Initialize makes a blank folder the data folder of id with the state of snap. The identity is written last, so that
// an interrupted call leaves a folder that is refused.
func Initialize(fsys FS, dir string, id Identity, snap raft.Snapshot) error {
	if err := fsys.MkdirAll(dir); err != nil {
		return errors.Annotate(err, "data folder")
	}
	names, err := fsys.List(dir)
	if err != nil {
		return errors.Annotate(err, "data folder")
	}
	for _, name := range names {
		if isLogName(name) || isSnapshotName(name) || name == identityFile {
			return errors.AlreadyExistsf("data folder %q is not blank: %s", dir, name)
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
