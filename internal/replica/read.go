package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// readCall is a caller that waits for a read index.
type readCall struct{ answer chan uint64 } // buffered

// readBatcher batches reads: all that arrive during one quorum round share the next one.
type readBatcher struct {
	nextID  uint64 // random at first, so that no reply to an earlier process matches
	pending uint64 // id of the round in progress; 0: none
	retryAt time.Time
	calls   []readCall // answered by the round in progress
	waiting []readCall // arrived since it started
}

// ReadIndex returns the index of the latest committed entry, confirmed by a quorum round that started after the call. It works on
// every member and waits for a leader until ctx ends.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	c := readCall{answer: make(chan uint64, 1)}
	select {
	case r.reads <- c:
	case <-ctx.Done():
		return 0, errors.Annotate(ctx.Err(), "no quorum confirmed the read")
	case <-r.done:
		return 0, ErrClosed
	}
	select {
	case index := <-c.answer:
		return index, nil
	case <-ctx.Done():
		return 0, errors.Annotate(ctx.Err(), "no quorum confirmed the read")
	case <-r.done:
		return 0, ErrClosed
	}
}

// start starts a round for the waiting reads. A round without a reply is restarted after retry.
func (b *readBatcher) start(now time.Time, node *raft.Node, retry time.Duration) {
	if b.pending != 0 && now.Before(b.retryAt) {
		return
	}
	if b.pending != 0 {
		b.waiting, b.calls, b.pending = append(b.calls, b.waiting...), nil, 0
	}
	if len(b.waiting) == 0 {
		return
	}
	b.nextID = max(b.nextID+1, 1)
	b.retryAt = now.Add(retry)
	if node.Read(b.nextID) {
		b.pending, b.calls, b.waiting = b.nextID, b.waiting, nil
	}
}

// finish answers the calls of a round.
func (b *readBatcher) finish(read raft.Read) {
	if read.ID != b.pending {
		return
	}
	for _, c := range b.calls {
		c.answer <- read.Index
	}
	b.calls, b.pending = nil, 0
}

// isIdle reports whether there are no unanswered reads.
func (b *readBatcher) isIdle() bool { return b.pending == 0 && len(b.waiting) == 0 }
