package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// change appends an entry that fn asks the node for and waits until it is committed. While the node is not ready for
// it, it tries again until ctx ends.
func (r *Replica) change(ctx context.Context, fn func(now time.Time) (raft.Entry, error)) error {
	for {
		ch := make(chan answer, 1)
		err := r.do(ctx, func(now time.Time) {
			e, err := fn(now)
			r.expect(e, err, ch)
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

// AddLearner lets a member receive the log without a vote. Leader only.
func (r *Replica) AddLearner(ctx context.Context, m Member) error {
	return r.change(ctx, func(time.Time) (raft.Entry, error) {
		return r.node.AddLearner(raft.Member{ID: m.ID, Address: m.Address})
	})
}

// Promote gives a learner a vote. It waits until the learner has caught up. Leader only.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, func(now time.Time) (raft.Entry, error) { return r.node.Promote(now, id) })
}

// Remove takes a member out of the group. The leader removes others only: hand over first. Leader only.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, func(time.Time) (raft.Entry, error) { return r.node.Remove(id) })
}

// TransferLeadership gives up the lease for good, waits until it has expired and lets the most advanced voter lead.
// It returns once this member no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	result := make(chan error, 1)
	if err := r.do(ctx, func(now time.Time) { result <- r.node.Transfer(now, 0) }); err != nil {
		return err
	}
	if err := <-result; err != nil && !errors.Is(err, raft.ErrHandingOver) {
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
			return errors.Annotate(ctx.Err(), "the leadership is not handed over yet")
		case <-r.done:
			return ErrClosed
		}
	}
}

func (r *Replica) transferError(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return errors.Annotate(err, "no voter can take over")
	}
	leader, _ := r.Leader()
	return &NotLeaderError{Leader: leader.ID, Address: leader.Address}
}
