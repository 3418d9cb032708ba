package replica

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
)

// Run runs the member until ctx ends, Close is called or an operation fails, for example a sync. After an error the process must
// exit, since the contents of the disk may be unknown.
func (r *Replica) Run(ctx context.Context) error {
	r.startMu.Lock()
	if r.started {
		r.startMu.Unlock()
		return ErrClosed
	}
	r.started = true
	r.startMu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	var links sync.WaitGroup
	defer r.release()
	defer links.Wait()
	defer cancel()
	defer r.shutDown()
	return r.loop(ctx, &links)
}

// shutDown fails the pending proposals, ends the subscriptions and peer streams, and withdraws the lease and the role.
func (r *Replica) shutDown() {
	r.failWaiters(^uint64(0))
	r.dropSubscribers()
	r.streams.closeAll()
	r.viewMu.Lock()
	r.lease, r.hasLease = Lease{}, false
	r.status.Role, r.status.Leader = raft.Follower, 0
	r.viewMu.Unlock()
}

func (r *Replica) loop(ctx context.Context, links *sync.WaitGroup) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := r.process(ctx, links); err != nil {
			return err
		}
		timer.Reset(clock.Until(r.deadline()))
		select {
		case <-ctx.Done():
			return nil
		case <-r.stop:
			return nil
		case m := <-r.inbox:
			if err := r.step(m); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.propose(p)
		case c := <-r.reads:
			r.reader.waiting = append(r.reader.waiting, c)
		case fn := <-r.calls:
			fn(clock.Now())
		case <-timer.C:
		}
		if err := r.drain(); err != nil {
			return err
		}
		if now := clock.Now(); !now.Before(r.node.Deadline()) {
			r.node.Tick(now)
		}
	}
}

// deadline returns when the loop must run at the latest.
func (r *Replica) deadline() time.Time {
	at := r.node.Deadline()
	if !r.reader.isIdle() && r.reader.retryAt.Before(at) {
		at = r.reader.retryAt
	}
	return at
}

func (r *Replica) step(m raft.Message) error {
	err := r.node.Step(clock.Now(), m)
	return errors.Annotatef(err, "handle a message from member %d", m.From)
}

// drain handles the messages, proposals and reads that are already queued, so that they share one sync.
func (r *Replica) drain() error {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			if err := r.step(m); err != nil {
				return err
			}
		case p := <-r.proposals:
			r.propose(p)
		case c := <-r.reads:
			r.reader.waiting = append(r.reader.waiting, c)
		default:
			return nil
		}
	}
	return nil
}

// process handles the outputs of the node until there are none left.
func (r *Replica) process(ctx context.Context, links *sync.WaitGroup) error {
	for {
		now := clock.Now()
		r.reader.start(now, r.node, r.cfg.ElectionTimeout)
		out := r.node.Output(now)
		if isEmpty(out) {
			break
		}
		if err := r.handleOutput(ctx, links, out); err != nil {
			return err
		}
	}
	r.publish()
	r.checkDisk(clock.Now())
	return r.maybeCompact()
}

func isEmpty(out raft.Output) bool {
	return len(out.Send)+len(out.SendSynced)+len(out.Entries)+len(out.Apply)+len(out.Reads) == 0 &&
		out.HardState == nil && out.Snapshot == nil
}

// handleOutput handles one output: it sends messages, syncs, sends the messages that depend on the sync, applies
// committed entries and answers reads.
func (r *Replica) handleOutput(ctx context.Context, links *sync.WaitGroup, out raft.Output) error {
	r.sendAll(ctx, links, out.Send)
	if err := r.persistOrWaitForSpace(ctx, out); err != nil {
		r.cfg.Logger.Error("control group: disk failure, the process must exit", "error", err)
		return err
	}
	r.node.Synced()
	r.sendAll(ctx, links, out.SendSynced)
	r.apply(out.Apply)
	for _, read := range out.Reads {
		r.reader.finish(read)
	}
	return nil
}

// persistOrWaitForSpace makes out durable. While the disk is full it blocks the loop: the member sends no messages that
// depend on the unsynced state, and the others elect another leader if necessary.
func (r *Replica) persistOrWaitForSpace(ctx context.Context, out raft.Output) error {
	err := r.persist(out)
	if !errors.Is(err, wal.ErrFull) {
		return err
	}
	began := clock.Now()
	r.cfg.Logger.Error("control group: disk full, the member is suspended until there is space", "error", err.Error())
	for errors.Is(err, wal.ErrFull) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.stop:
			return context.Canceled
		case <-time.After(diskRetryInterval):
		}
		err = r.persist(out)
	}
	r.cfg.Logger.Info("control group: disk space available again, the member continues", "waited_ms", clock.Since(began).Milliseconds())
	return err
}

// persist makes the hard state, snapshot and entries of out durable.
func (r *Replica) persist(out raft.Output) error {
	if out.Snapshot == nil {
		err := r.log.Append(out.HardState, out.Entries)
		if err == nil && out.HardState != nil {
			r.hardState = *out.HardState
		}
		return err
	}
	if out.HardState != nil {
		r.hardState = *out.HardState
	}
	if err := r.log.SaveSnapshot(*out.Snapshot, r.hardState, out.Entries); err != nil {
		return err
	}
	r.failWaiters(out.Snapshot.Index)
	return r.restore(out.Snapshot)
}

// maybeCompact takes a snapshot and compacts the log when CompactEntries or CompactBytes is reached.
func (r *Replica) maybeCompact() error {
	grown := r.applied - r.compacted
	if grown < r.cfg.CompactEntries && (r.log.Size() < r.cfg.CompactBytes || grown == 0) {
		return nil
	}
	snap, tail, err := r.snapshot()
	if err != nil {
		return err
	}
	err = r.log.SaveSnapshot(snap, r.hardState, tail)
	r.compacted = snap.Index // also after an error, so that the next attempt waits for as many entries again
	switch {
	case errors.Is(err, wal.ErrSync):
		return err
	case err != nil:
		r.cfg.Logger.Warn("control group: snapshot failed", "error", err)
		return nil
	}
	if snap.Index > retainedEntries {
		r.node.Compact(snap.Index - retainedEntries)
	}
	return nil
}

// snapshot returns a snapshot of the applied state and the entries after it.
func (r *Replica) snapshot() (raft.Snapshot, []raft.Entry, error) {
	snap, tail, err := r.node.SnapshotAt(r.applied)
	if err != nil {
		return snap, nil, errors.Trace(err)
	}
	r.state.RLock()
	defer r.state.RUnlock()
	snap.Data, err = r.sm.Snapshot()
	return snap, tail, errors.Annotate(err, "take a snapshot of the state machine")
}

// checkDisk makes the member reject proposals below MinFreeBytes, which leaves space for snapshots and for entries from other
// leaders. A leader with too little space transfers its leadership.
func (r *Replica) checkDisk(now time.Time) {
	if now.Before(r.diskCheck) {
		return
	}
	r.diskCheck = now.Add(diskCheckInterval)
	free, err := r.cfg.FS.Free(r.cfg.DataDir)
	if err != nil {
		return
	}
	low := free < r.cfg.MinFreeBytes
	if low != r.diskLow {
		r.cfg.Logger.Warn("control group: free disk space crossed the minimum", "free_bytes", free, "refuses_changes", low)
	}
	r.diskLow = low
	if low && r.node.Status().Role == raft.Leader {
		r.transferFromFullDisk(now)
	}
}

// transferFromFullDisk transfers the leadership, since the other voters may have more disk space.
func (r *Replica) transferFromFullDisk(now time.Time) {
	if err := r.node.Transfer(now, 0); err != nil && !errors.Is(err, raft.ErrTransferInProgress) {
		r.cfg.Logger.Warn("control group: leadership transfer failed, the leader's disk is nearly full", "error", err.Error())
	}
}
