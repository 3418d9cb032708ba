package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// proposal is a command that waits to be appended to the log.
type proposal struct {
	data   []byte
	answer chan answer // buffered
}

// answer is the result of a proposal or membership change.
type answer struct {
	outcome Outcome
	err     error
}

// waiter is a caller that waits until the entry of one index is applied.
type waiter struct {
	term   uint64
	answer chan answer
}

// Propose commits one command and returns its outcome once this member has applied it. On members other than the leader
// it returns a *NotLeaderError. ErrUnknownOutcome means that the command may still be committed; after any other error of
// this package it never will be. An error of the state machine is returned unchanged.
func (r *Replica) Propose(ctx context.Context, data []byte) (Outcome, error) {
	p := &proposal{data: data, answer: make(chan answer, 1)}
	if ctx.Err() != nil {
		return Outcome{}, ErrNotProposed
	}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return Outcome{}, ErrNotProposed
	case <-r.done:
		return Outcome{}, ErrClosed
	}
	return r.await(ctx, p.answer)
}

// await waits for an answer from the loop.
func (r *Replica) await(ctx context.Context, ch chan answer) (Outcome, error) {
	select {
	case a := <-ch:
		return a.outcome, a.err
	case <-ctx.Done():
		return Outcome{}, ErrUnknownOutcome
	case <-r.done:
	}
	select {
	case a := <-ch:
		return a.outcome, a.err
	default:
		return Outcome{}, ErrUnknownOutcome
	}
}

// propose appends a proposal to the log, or rejects it.
func (r *Replica) propose(p *proposal) {
	if r.diskLow {
		p.answer <- answer{err: ErrDiskFull}
		return
	}
	e, err := r.node.Propose(p.data)
	r.registerWaiter(e, err, p.answer)
}

// registerWaiter registers ch for the answer to the appended entry e, or answers with err if e was not appended.
func (r *Replica) registerWaiter(e raft.Entry, err error, ch chan answer) {
	if err != nil {
		ch <- answer{err: r.convertNodeError(err)}
		return
	}
	r.waiters[e.Index] = waiter{term: e.Term, answer: ch}
}

// convertNodeError converts an error of the node to one of this package.
func (r *Replica) convertNodeError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return r.notLeader()
	case errors.Is(err, raft.ErrTransferInProgress):
		return ErrTransferInProgress
	}
	return err
}

func (r *Replica) notLeader() error {
	st := r.node.Status()
	if st.Leader == 0 || st.Leader == r.cfg.ID {
		return &NotLeaderError{}
	}
	return &NotLeaderError{Leader: st.Leader, Address: r.member(st.Leader).Address}
}

// apply applies committed entries to the state machine and answers their proposals.
func (r *Replica) apply(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	r.state.Lock()
	defer r.state.Unlock()
	for _, e := range entries {
		result, err := r.applyEntry(e)
		r.answerWaiter(e, result, err)
	}
	r.setApplied(entries[len(entries)-1].Index)
}

func (r *Replica) applyEntry(e raft.Entry) (json.RawMessage, error) {
	if e.Kind != raft.EntryCommand {
		return nil, nil
	}
	result, err := r.sm.Apply(e.Index, e.Data)
	r.notify(Applied{Index: e.Index, Data: e.Data, Result: result})
	return result, err
}

// answerWaiter answers the proposal at e's index. Its term differs from e's if another leader replaced the entry.
func (r *Replica) answerWaiter(e raft.Entry, result json.RawMessage, err error) {
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		w.answer <- answer{err: r.notLeader()}
		return
	}
	w.answer <- answer{outcome: Outcome{Index: e.Index, Result: result}, err: err}
}

// failWaiters answers the proposals up to index with ErrUnknownOutcome.
func (r *Replica) failWaiters(index uint64) {
	for i, w := range r.waiters {
		if i <= index {
			delete(r.waiters, i)
			w.answer <- answer{err: ErrUnknownOutcome}
		}
	}
}

// runInLoop calls fn in the goroutine of Run.
func (r *Replica) runInLoop(ctx context.Context, fn func(now time.Time)) error {
	select {
	case r.calls <- fn:
		return nil
	case <-ctx.Done():
		return ErrNotProposed
	case <-r.done:
		return ErrClosed
	}
}
