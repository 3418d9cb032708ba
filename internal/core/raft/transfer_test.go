package raft

import (
	"testing"
	"time"
)

// readUntil lets the leader serve a read every 20 ms, whose rounds member 3 confirms, until it steps down or has sent a request to
// campaign, at most until end. It reports whether the request was sent.
func (b *harness) readUntil(start, end time.Duration) (handedOver bool) {
	b.t.Helper()
	for now := start; now < end && b.node.role == Leader; now += 20 * ms {
		b.node.Read(1)
		b.flush(now)
		b.deliver(now, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: b.node.rounds.last})
		if !at(now).Before(b.node.Deadline()) {
			b.node.Tick(at(now))
			b.flush(now)
		}
		if b.node.transfer != nil && b.node.transfer.isSent {
			return true
		}
	}
	return false
}

// Guards against a planned stop of a leader that leads on without a lease for as long as it serves reads, since their heartbeat rounds put off
// each check of the transfer.
func TestTransferAdvancesUnderSteadyReads(t *testing.T) {
	cases := []struct {
		name       string
		hasLog     bool // the target has the whole log
		handedOver bool
	}{
		{"the target has the log", true, true},
		{"the target does not catch up", false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newHarness(t)
			b.lead()
			b.deliver(640*ms, Message{Kind: AppendReply, From: 3, Term: 2, Index: b.node.log.last()})
			if tc.hasLog {
				b.deliver(640*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: b.node.log.last()})
			}
			if err := b.node.Transfer(at(650*ms), 2); err != nil {
				t.Fatal(err)
			}
			if got := b.readUntil(660*ms, 10*time.Second); got != tc.handedOver {
				t.Errorf("the target was asked to campaign: %v, want %v", got, tc.handedOver)
			}
			if !tc.handedOver && b.node.role == Leader {
				t.Error("the leader still leads 9 s after a transfer began that can't succeed")
			}
		})
	}
}
