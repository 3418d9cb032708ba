package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// proposal is a command on its way into the log.
type proposal struct {
	data   []byte
	answer chan answer // buffered
}

// answer is the end of a proposal.
type answer struct {
	outcome Outcome
	err     error
}

// waiter waits for the entry of one index.
type waiter struct {
	term   uint64
	answer chan answer
}

// Propose commits one command and returns its outcome once it is applied here. Only the leader can: elsewhere the
// error is a *NotLeaderError. An error that matches ErrUnknownOutcome means that the command may still be committed;
// after any other error of this package it never will be. An error of the state machine is returned as it is.
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

// await returns the answer to something that was handed to the loop.
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

// propose takes a proposal into the log.
func (r *Replica) propose(p *proposal) {
	if r.diskLow {
		p.answer <- answer{err: ErrDiskFull}
		return
	}
	e, err := r.node.Propose(p.data)
	r.expect(e, err, p.answer)
}

// expect lets ch wait for e, which the node appended unless err says why not.
func (r *Replica) expect(e raft.Entry, err error, ch chan answer) {
	if err != nil {
		ch <- answer{err: r.refusal(err)}
		return
	}
	r.waiters[e.Index] = waiter{term: e.Term, answer: ch}
}

// refusal returns the error of this package for one of the node.
func (r *Replica) refusal(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return r.notLeader()
	case errors.Is(err, raft.ErrHandingOver):
		return ErrHandingOver
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

// apply carries out committed entries.
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

// answerWaiter ends the proposal of e's index: it was committed, or another entry took its place.
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

// abandonWaiters ends the proposals up to index without a known outcome.
func (r *Replica) abandonWaiters(index uint64) {
	for i, w := range r.waiters {
		if i <= index {
			delete(r.waiters, i)
			w.answer <- answer{err: ErrUnknownOutcome}
		}
	}
}

// do runs fn in the loop.
func (r *Replica) do(ctx context.Context, fn func(now time.Time)) error {
	select {
	case r.calls <- fn:
		return nil
	case <-ctx.Done():
		return ErrNotProposed
	case <-r.done:
		return ErrClosed
	}
}
