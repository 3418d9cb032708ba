package wal

import (
	"encoding/json"
	"io/fs"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

const identityFile = "identity.json"

// Identity identifies the member that owns a data directory. It is written once.
type Identity struct {
	Group       uint64 `json:"group"`
	ID          uint64 `json:"id"`
	Incarnation uint64 `json:"incarnation"` // different for each data directory
}

// LoadIdentity returns the identity of a data directory. In a blank directory it creates the log and the identity from want, and
// returns created as true. It fails if the directory belongs to another group or member.
func LoadIdentity(fsys FS, dir string, want Identity) (id Identity, created bool, err error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return id, false, errors.Annotate(err, "create the data directory")
	}
	data, err := fsys.ReadFile(filepath.Join(dir, identityFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return createIdentity(fsys, dir, want)
	case err != nil:
		return id, false, errors.Annotate(err, "read the identity of the data directory")
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return id, false, errors.Annotatef(ErrDamaged, "%s: %v; %s", identityFile, err, repairAdvice)
	}
	if id.Group != want.Group || id.ID != want.ID {
		return id, false, errors.NotValidf("data directory %q of group %d, member %d for group %d, member %d",
			dir, id.Group, id.ID, want.Group, want.ID)
	}
	return id, false, nil
}

// createIdentity turns a blank directory into the data directory of id. The identity is written last: a directory with an
// identity and no log has lost its log.
func createIdentity(fsys FS, dir string, id Identity) (Identity, bool, error) {
	if err := createLog(fsys, dir); err != nil {
		return id, false, err
	}
	return id, true, writeIdentity(fsys, dir, id)
}

// createLog creates the log of a blank directory. It accepts the empty log of an earlier, interrupted call, and rejects a
// log that holds state, since its identity must have been lost.
func createLog(fsys FS, dir string) error {
	names, err := fsys.List(dir)
	if err != nil {
		return errors.Annotate(err, "list the data directory")
	}
	l := &Log{fs: fsys, dir: dir}
	snaps, logs := l.sortNames(names)
	if len(snaps)+len(logs) == 0 {
		if err := l.create(1, 0, raft.HardState{}, nil); err != nil {
			return err
		}
		return errors.Trace(l.Close())
	}
	state, err := l.load()
	if err != nil {
		return err
	}
	if state.Snapshot != nil || len(state.Entries) > 0 || state.HardState != (raft.HardState{}) {
		return errors.Annotatef(ErrDamaged, "%q holds a log and no %s; %s", dir, identityFile, repairAdvice)
	}
	return errors.Trace(l.Close())
}

func writeIdentity(fsys FS, dir string, id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(writeFile(fsys, dir, identityFile, data), "write the identity of the data directory")
}

// writeFile replaces a file atomically and syncs it: after a crash it has either the old or the new content.
func writeFile(fsys FS, dir, name string, data []byte) error {
	temp := filepath.Join(dir, name+tempSuffix)
	f, err := fsys.Create(temp)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		_ = fsys.Remove(temp)
		return wrapWriteError(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrap(err, wrapSyncError(err))
	}
	if err := f.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := fsys.Rename(temp, filepath.Join(dir, name)); err != nil {
		return errors.Trace(err)
	}
	if err := fsys.SyncDir(dir); err != nil {
		return errors.Wrap(err, wrapSyncError(err))
	}
	return nil
}
