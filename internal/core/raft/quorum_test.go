package raft

import (
	"testing"
	"time"
)

// heartbeats advances the time to the given end by heartbeats that member 2 confirms at once.
func (b *harness) heartbeats(now, end time.Duration) {
	b.t.Helper()
	for ; now <= end; now += simHeartbeat {
		b.node.Tick(at(now))
		b.flush(now)
		b.deliver(now, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: b.node.rounds.last})
	}
}

// Guards against a leader that steps down right after the promotion of a successor, since the larger quorum counts as lost from before
// there was one (issue 40).
func TestLeaderStaysAfterAPromotion(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(640*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: b.node.log.last()})
	learner := b.addAndCommit()
	b.heartbeats(700*ms, 700*ms)
	b.deliver(700*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: learner.Index})
	b.deliver(700*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: b.node.rounds.last})
	b.heartbeats(800*ms, 700*ms+simElection)
	promoted := 700*ms + simElection
	if _, err := b.node.Promote(at(promoted), 4); err != nil {
		t.Fatal(err)
	}
	b.flush(promoted)
	b.heartbeats(promoted+simHeartbeat, promoted+simElection)
	if b.node.role != Leader {
		t.Fatal("the leader stepped down though its quorum could not yet confirm a heartbeat")
	}
	b.heartbeats(promoted+simElection+simHeartbeat, promoted+2*simElection+simHeartbeat)
	if b.node.role == Leader {
		t.Error("the leader still leads without a quorum of the new configuration")
	}
}

// Guards against a leader that stays without a quorum for longer than an election timeout, since a compaction of its log counts as a change
// of the configuration.
func TestCompactionIsNoChangeOfConfiguration(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(640*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: b.node.log.last()})
	const confirmed = 700 * ms
	b.heartbeats(confirmed, confirmed)
	compactAt := confirmed + simElection - simHeartbeat
	now := confirmed + simHeartbeat
	for ; b.node.role == Leader && now <= confirmed+3*simElection; now += simHeartbeat {
		if now >= compactAt && now < compactAt+simHeartbeat {
			b.node.Compact(b.node.applied)
		}
		b.node.Tick(at(now))
		b.flush(now)
	}
	if lasted := now - confirmed; lasted > simElection+2*simHeartbeat {
		t.Errorf("the leader stepped down %v after the last confirmed heartbeat, want at most an election timeout of %v and two heartbeats of %v", lasted, simElection, simHeartbeat)
	}
}
