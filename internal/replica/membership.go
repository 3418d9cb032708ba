package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// changeMembership calls fn, which appends an entry, and waits until the entry is committed. Temporary errors are retried until
// ctx ends.
func (r *Replica) changeMembership(ctx context.Context, fn func(now time.Time) (raft.Entry, error)) error {
	for {
		ch := make(chan answer, 1)
		err := r.runInLoop(ctx, func(now time.Time) {
			e, err := fn(now)
			r.registerWaiter(e, err, ch)
		})
		if err != nil {
			return err
		}
		if _, err = r.await(ctx, ch); !isTemporary(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(r.cfg.HeartbeatInterval):
		}
	}
}

func isTemporary(err error) bool {
	return errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrNotReady) || errors.Is(err, raft.ErrNotCaughtUp)
}

// AddLearner adds a member that receives the log and does not vote. It fails on members other than the leader.
func (r *Replica) AddLearner(ctx context.Context, m Member) error {
	return r.changeMembership(ctx, func(time.Time) (raft.Entry, error) {
		return r.node.AddLearner(raft.Member{ID: m.ID, Address: m.Address})
	})
}

// Promote waits until a learner has caught up and makes it a voter. It fails on members other than the leader.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.changeMembership(ctx, func(now time.Time) (raft.Entry, error) { return r.node.Promote(now, id) })
}

// Remove removes a member from the group. It fails on members other than the leader, and the leader cannot remove itself:
// transfer the leadership first.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.changeMembership(ctx, func(time.Time) (raft.Entry, error) { return r.node.Remove(id) })
}

// TransferLeadership stops renewing the lease, waits until it has expired and lets the most advanced voter campaign. It returns
// once this member no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	result := make(chan error, 1)
	if err := r.runInLoop(ctx, func(now time.Time) { result <- r.node.Transfer(now, 0) }); err != nil {
		return err
	}
	if err := <-result; err != nil && !errors.Is(err, raft.ErrTransferInProgress) {
		return r.transferError(err)
	}
	for {
		changed := r.Changed()
		if r.Status().Role != raft.Leader {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "leadership transfer is not complete")
		case <-r.done:
			return ErrClosed
		}
	}
}

func (r *Replica) transferError(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return errors.Annotate(err, "no voter can take over the leadership")
	}
	leader, _ := r.Leader()
	return &NotLeaderError{Leader: leader.ID, Address: leader.Address}
}
