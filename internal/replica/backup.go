package replica

import (
	"context"
	"io/fs"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
)

// Backup writes a snapshot of the applied state of this member to a new file and syncs it.
func (r *Replica) Backup(ctx context.Context, file string) error {
	type result struct {
		snap raft.Snapshot
		err  error
	}
	ch := make(chan result, 1)
	err := r.runInLoop(ctx, func(time.Time) {
		snap, _, err := r.snapshot()
		ch <- result{snap, err}
	})
	if err != nil {
		return err
	}
	res := <-ch
	if res.err != nil {
		return res.err
	}
	return errors.Annotate(wal.WriteBackup(wal.OS{}, file, res.snap), "backup")
}

// Restore creates the data directory of cfg from a backup. The directory must be blank. The member cfg.ID is then the only member
// of a new group with a higher epoch than the old one; the others are to be added as learners after it has started. rebase, if
// not nil, converts the state to the new epoch.
func Restore(cfg Config, file string, rebase func(state []byte, epoch uint64) ([]byte, error)) error {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return errors.Trace(err)
	}
	snap, err := wal.ReadBackup(wal.OS{}, file)
	if errors.Is(err, fs.ErrNotExist) {
		return errors.NotFoundf("backup %q", file)
	}
	if err != nil {
		return errors.Annotate(err, "backup")
	}
	id := wal.Identity{Group: cfg.GroupID, ID: cfg.ID, Incarnation: randomID()}
	self := raft.Member{ID: cfg.ID, Incarnation: id.Incarnation}
	for _, m := range cfg.Members {
		if m.ID == cfg.ID {
			self.Address = m.Address
		}
	}
	snap.Configuration = raft.Configuration{
		Epoch:   max(snap.Configuration.Epoch+1, uint64(time.Now().Unix())),
		Members: []raft.Member{self},
	}
	if rebase != nil {
		if snap.Data, err = rebase(snap.Data, snap.Configuration.Epoch); err != nil {
			return errors.Annotate(err, "rebase the state in the backup")
		}
	}
	return wal.Initialize(cfg.FS, cfg.DataDir, id, *snap)
}
