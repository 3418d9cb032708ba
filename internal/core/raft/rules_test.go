package raft

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

const ms = time.Millisecond

// harness runs one member of a group of three. The test sends the messages of the other two.
type harness struct {
	t    *testing.T
	node *Node
	disk simDisk
	out  []Message // messages sent since the last delivery
	got  Output    // all entries to apply and all answered reads
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func threeMembers() Configuration {
	return Configuration{Epoch: 1, Members: []Member{{ID: 1, Incarnation: 11}, {ID: 2, Incarnation: 12}, {ID: 3, Incarnation: 13}}}
}

// newHarness starts member 1 from a snapshot whose configuration has three members.
func newHarness(t *testing.T) *harness {
	b := &harness{t: t, disk: simDisk{incarnation: 11, snap: &Snapshot{Index: 1, Term: 1, Configuration: threeMembers()}}}
	b.start(0, false)
	return b
}

func (b *harness) start(now time.Duration, restarted bool) {
	cfg := Config{
		Group: 1, ID: 1, Incarnation: b.disk.incarnation, Rand: func() uint64 { return 0 },
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, LeaseDuration: simLease, MaxClockDrift: simDrift,
	}
	state := State{HardState: b.disk.hardState, Snapshot: b.disk.snap, Entries: b.disk.entries, Restarted: restarted}
	node, err := New(cfg, state, at(now))
	if err != nil {
		b.t.Fatal(err)
	}
	b.node = node
}

// flush syncs and records the outputs of the member.
func (b *harness) flush(now time.Duration) {
	for range 3 {
		out := b.node.Output(at(now))
		b.disk.sync(out)
		b.node.Synced()
		b.out = append(append(b.out, out.Send...), out.SendSynced...)
		b.got.Apply = append(b.got.Apply, out.Apply...)
		b.got.Reads = append(b.got.Reads, out.Reads...)
	}
}

// deliver delivers a message from a peer and returns the messages that the member sends.
func (b *harness) deliver(now time.Duration, m Message) []Message {
	b.t.Helper()
	m.Group, m.Epoch, m.To, m.ToIncarnation, m.FromIncarnation = 1, 1, 1, 11, 10+m.From
	b.out = nil
	if err := b.node.Step(at(now), m); err != nil {
		b.t.Fatal(err)
	}
	b.flush(now)
	return b.out
}

// lead makes the member the leader of term 2 at 600 ms.
func (b *harness) lead() {
	b.t.Helper()
	b.node.Tick(at(600 * ms))
	b.flush(600 * ms)
	b.deliver(600*ms, Message{Kind: PreVoteReply, From: 2, Term: 2})
	b.deliver(600*ms, Message{Kind: VoteReply, From: 2, Term: 2})
	if b.node.role != Leader || b.node.term != 2 {
		b.t.Fatalf("got %v of term %d, want the leader of term 2", b.node.role, b.node.term)
	}
}

func hasMessage(messages []Message, kind Kind, reject bool) bool {
	for _, m := range messages {
		if m.Kind == kind && m.Reject == reject {
			return true
		}
	}
	return false
}

func vote(from, term uint64) Message {
	return Message{Kind: Vote, From: from, Term: term, Index: 1, LogTerm: 1}
}

func TestVoteSurvivesARestart(t *testing.T) {
	b := newHarness(t)
	if !hasMessage(b.deliver(0, vote(2, 5)), VoteReply, false) {
		t.Fatal("got no vote granted, want the first candidate of the term to get it")
	}
	b.start(0, true)
	if !hasMessage(b.deliver(2*simLease, vote(3, 5)), VoteReply, true) {
		t.Error("got no rejection of a second candidate in the same term, want one after a restart too")
	}
}

func TestVotesRefusedWithinLease(t *testing.T) {
	cases := []struct {
		name  string
		setup func(b *harness)
	}{
		{"after a heartbeat", func(b *harness) { b.deliver(0, Message{Kind: Heartbeat, From: 2, Term: 4}) }},
		{"after a restart", func(b *harness) { b.start(0, true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			c.setup(b)
			early := simLease - ms
			if got := b.deliver(early, vote(3, 9)); len(got) != 0 || b.node.term == 9 {
				t.Errorf("got %v within a lease, want no reply to the candidate and the old term", got)
			}
			preVote := Message{Kind: PreVote, From: 3, Term: 9, Index: 1, LogTerm: 1}
			if hasMessage(b.deliver(early, preVote), PreVoteReply, false) {
				t.Error("pre-vote granted within a lease")
			}
			transferVote := vote(3, 9)
			transferVote.Transfer = true
			if !hasMessage(b.deliver(early, transferVote), VoteReply, false) {
				t.Error("got no vote granted for a leadership transfer, want one within a lease")
			}
			if !hasMessage(b.deliver(simLease, vote(2, 10)), VoteReply, false) {
				t.Error("got no vote granted after the lease, want one")
			}
		})
	}
}

func TestLeaseCountsFromTheSendTime(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(900*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	lease, ok := b.node.Lease()
	if want := at(600*ms + simLease - simDrift); !ok || !lease.Expires.Equal(want) {
		t.Errorf("got lease until %v, want %v", lease.Expires, want)
	}
}

func TestDeposedLeaderHoldsItsVoteForItsLease(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(610*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	b.deliver(620*ms, Message{Kind: AppendReply, From: 3, Term: 7, Reject: true})
	if b.node.role != Follower || b.node.term != 7 {
		t.Fatalf("got %v of term %d, want a follower of term 7", b.node.role, b.node.term)
	}
	later := Message{Kind: Vote, From: 3, Term: 8, Index: 9, LogTerm: 7}
	if got := b.deliver(600*ms+simLease-simDrift-ms, later); len(got) != 0 {
		t.Errorf("got %v within the member's own lease, want no reply to the candidate", got)
	}
	if !hasMessage(b.deliver(600*ms+simLease, later), VoteReply, false) {
		t.Error("got no vote granted after the member's own lease, want one")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	b := newHarness(t)
	b.lead()
	for now := 700 * ms; now <= 1300*ms; now += simHeartbeat {
		b.node.Tick(at(now))
		b.flush(now)
	}
	if b.node.role == Leader {
		t.Error("the member still leads without a quorum")
	}
}

// TestOnlyEntriesOfCurrentTermCommitByCounting covers figure 8 of the Raft paper: an entry of an older term that a quorum
// holds is not committed before an entry of the leader's own term is.
func TestOnlyEntriesOfCurrentTermCommitByCounting(t *testing.T) {
	b := newHarness(t)
	b.disk.entries = []Entry{{Term: 1, Index: 2, Kind: EntryCommand, Data: []byte("old")}}
	b.start(0, false)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if b.node.commit >= 2 {
		t.Fatal("an entry of an older term was committed by counting replicas")
	}
	b.deliver(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	if b.node.commit != 3 {
		t.Errorf("got commit index %d, want 3", b.node.commit)
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	b := newHarness(t)
	b.lead()
	if _, err := b.node.Remove(3); !errors.Is(err, ErrNotReady) {
		t.Errorf("before an entry of the term is committed: got %v, want %v", err, ErrNotReady)
	}
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Remove(3); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.AddLearner(Member{ID: 4}); !errors.Is(err, ErrChangePending) {
		t.Errorf("second change: got %v, want %v", err, ErrChangePending)
	}
	if _, err := b.node.Remove(1); err == nil {
		t.Error("the leader removed itself")
	}
}

func TestLearnerIsPromotedOnceItHasCaughtUp(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.AddLearner(Member{ID: 4}); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	b.deliver(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	if _, err := b.node.Promote(at(670*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("learner without replies: got %v, want %v", err, ErrNotCaughtUp)
	}
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	b.deliver(710*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: 2})
	if _, err := b.node.Promote(at(720*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("learner with an empty log: got %v, want %v", err, ErrNotCaughtUp)
	}
	b.deliver(730*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: 3})
	b.deliver(740*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: 2})
	if _, err := b.node.Promote(at(750*ms), 4); err != nil {
		t.Fatal(err)
	}
	if m, _ := b.node.conf().Member(4); m.Learner || m.Incarnation != 14 {
		t.Errorf("got member %+v, want a voter with incarnation 14", m)
	}
}

func TestRepliesFromUnknownIncarnationIgnored(t *testing.T) {
	b := newHarness(t)
	b.lead()
	otherDisk := Message{
		Kind: AppendReply, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 99, ToIncarnation: 11, Term: 2, Index: 2,
	}
	if err := b.node.Step(at(650*ms), otherDisk); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	if b.node.commit >= 2 {
		t.Error("an acknowledgement from another incarnation was counted")
	}
	if got := b.node.Status().IncarnationMismatches; len(got) != 1 || got[0] != 2 {
		t.Errorf("got members with another incarnation %v, want member 2", got)
	}
}

func TestMessagesOfAnotherGroupEpochOrDiskAreIgnored(t *testing.T) {
	cases := map[string]func(*Message){
		"group":    func(m *Message) { m.Group = 2 },
		"epoch":    func(m *Message) { m.Epoch = 2 },
		"receiver": func(m *Message) { m.To = 3 },
		"disk":     func(m *Message) { m.ToIncarnation = 99 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			m := Message{Kind: Heartbeat, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 12, ToIncarnation: 11, Term: 8}
			change(&m)
			if err := b.node.Step(at(0), m); err != nil || b.node.term == 8 {
				t.Errorf("got term %d and error %v, want the message to be ignored", b.node.term, err)
			}
		})
	}
}

func TestReadNeedsARoundThatBeganAfterIt(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	b.node.Read(77)
	b.flush(660 * ms) // starts round 2
	b.deliver(670*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	if len(b.got.Reads) != 0 {
		t.Fatal("the read was answered by a round that started before it")
	}
	b.deliver(680*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 2})
	if len(b.got.Reads) != 1 || b.got.Reads[0] != (Read{ID: 77, Index: 2}) {
		t.Errorf("got reads %v, want read 77 at entry 2", b.got.Reads)
	}
}

func TestReadWaitsForAnEntryOfTheTerm(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.node.Read(77)
	b.flush(610 * ms)
	b.deliver(620*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: b.node.rounds.last})
	if len(b.got.Reads) != 0 {
		t.Error("a new leader answered a read before it committed an entry of its term")
	}
}

// TestOwnEntriesCountOnceSynced checks that the leader does not count its own copy of an entry before it has synced it: with the
// acknowledgement of one of two peers, the entry is committed only after the leader's sync.
func TestOwnEntriesCountOnceSynced(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b.node.Output(at(660 * ms)) // returned, not synced yet
	m := Message{
		Kind: AppendReply, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 12, ToIncarnation: 11, Term: 2, Index: 3,
	}
	if err := b.node.Step(at(670*ms), m); err != nil {
		t.Fatal(err)
	}
	b.node.Output(at(670 * ms))
	if b.node.commit >= 3 {
		t.Fatal("the entry was committed with one synced copy of three")
	}
	b.node.Synced()
	if b.node.commit != 3 {
		t.Errorf("got commit index %d, want 3", b.node.commit)
	}
}

func TestNoMessageSentBeforeTermIsSynced(t *testing.T) {
	b := newHarness(t)
	b.node.log.confs[0].conf = Configuration{Epoch: 1, Members: []Member{{ID: 1, Incarnation: 11}, {ID: 2, Learner: true}}}
	b.node.Tick(at(0))
	if out := b.node.Output(at(0)); len(out.Send) != 0 || out.HardState == nil || len(out.SendSynced) == 0 {
		t.Errorf("got output %+v, want all messages in SendSynced", out)
	}
}

// TestProgressResetForLearnerWithReplacedDisk replaces a learner's disk: entries acknowledged by the old one no longer count, and
// heartbeats carry no commit index to a member whose incarnation is not in the configuration.
func TestProgressResetForLearnerWithReplacedDisk(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.AddLearner(Member{ID: 4}); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	b.deliver(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	b.deliver(670*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: 3})
	b.out = nil
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	for _, m := range b.out {
		if want := map[uint64]uint64{2: 3, 3: 0, 4: 0}[m.To]; m.Kind == Heartbeat && m.Commit != want {
			t.Errorf("got commit index %[2]d in the heartbeat to member %[1]d, want %[3]d", m.To, m.Commit, want)
		}
	}
	fresh := Message{
		Kind: HeartbeatReply, Group: 1, Epoch: 1, From: 4, To: 1, FromIncarnation: 24, ToIncarnation: 11, Term: 2, Context: 2,
	}
	if err := b.node.Step(at(710*ms), fresh); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.Promote(at(720*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("learner with a new disk: got %v, want %v", err, ErrNotCaughtUp)
	}
}

func TestTransferPrefersResponsiveVoter(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if err := b.node.Transfer(at(650*ms), 0); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("transfer before any peer has replied: got %v, want %v", err, ErrNotCaughtUp)
	}
	b.deliver(660*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 1})
	if err := b.node.Transfer(at(660*ms), 0); err != nil || b.node.transfer.target != 3 {
		t.Errorf("got transfer %+v, error %v, want target 3", b.node.transfer, err)
	}
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	b.node.Compact(2)
	rejection := Message{Kind: AppendReply, From: 3, Term: 2, Index: 1, Reject: true}
	if !hasMessage(b.deliver(660*ms, rejection), InstallSnapshot, false) {
		t.Fatal("no snapshot was sent to a member whose next entry is compacted")
	}
	if hasMessage(b.deliver(670*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 1}), InstallSnapshot, false) {
		t.Error("the reply to an older heartbeat caused a second snapshot")
	}
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	if !hasMessage(b.deliver(710*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 2}), InstallSnapshot, false) {
		t.Error("the lost snapshot was not sent again after the reply to a later heartbeat")
	}
}

// TestNoRetryLoopWithMemberThatLostEntries covers a member that lost entries that it had acknowledged. The leader cannot
// repair that, but it must not exchange messages with the member in a tight loop either.
func TestNoRetryLoopWithMemberThatLostEntries(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b.flush(655 * ms)
	rejection := Message{Kind: AppendReply, From: 2, Term: 2, Index: 2, Reject: true}
	for round := uint64(2); round < 5; round++ {
		now := time.Duration(round+5) * simHeartbeat
		b.node.Tick(at(now))
		b.flush(now)
		if !hasMessage(b.deliver(now+ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: round}), Append, false) {
			t.Errorf("round %d: no retry after the heartbeat", round)
		}
		if hasMessage(b.deliver(now+2*ms, rejection), Append, false) {
			t.Errorf("round %d: the rejection caused an immediate retry", round)
		}
	}
}
