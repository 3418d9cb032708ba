package raft

import (
	"testing"
	"time"
)

// readRounds makes the leader confirm n reads, one after the other, with member 2.
func (b *harness) readRounds(now time.Duration, n int) {
	b.t.Helper()
	for range n {
		b.node.Read(1)
		b.flush(now)
		b.deliver(now, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: b.node.rounds.last})
	}
}

// Guards against a voter that is removed as unresponsive though it has just answered: after some hundred reads the leader forgot when,
// and counted from its own election (issue 40).
func TestAnswerIsKeptThroughManyReads(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: b.node.log.last()})
	b.readRounds(700*ms, 1)
	b.deliver(700*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: b.node.rounds.last})
	b.readRounds(710*ms, 2*maxRounds)
	if b.node.role != Leader {
		t.Fatal("the member does not lead any more")
	}
	for _, p := range b.node.Status().Peers {
		if p.ID == 3 && !p.AnsweredAt.Equal(at(700*ms)) {
			t.Errorf("member 3 answered at %v, want 700 ms after the start", p.AnsweredAt)
		}
	}
	if !b.node.isResponsive(at(710*ms), b.node.peers[3]) {
		t.Error("member 3, which answered 10 ms ago, counts as unresponsive")
	}
}
