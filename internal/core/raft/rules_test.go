package raft

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

const ms = time.Millisecond

// bench is one member of a group of three whose peers are played by the test.
type bench struct {
	t    *testing.T
	node *Node
	disk simDisk
	out  []Message // all that was sent
	got  Output    // all that is to be applied and answered
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func trio() Configuration {
	return Configuration{Epoch: 1, Members: []Member{{ID: 1, Incarnation: 11}, {ID: 2, Incarnation: 12}, {ID: 3, Incarnation: 13}}}
}

// newBench starts member 1 with a snapshot that names the three members.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, disk: simDisk{incarnation: 11, snap: &Snapshot{Index: 1, Term: 1, Configuration: trio()}}}
	b.start(0, false)
	return b
}

func (b *bench) start(now time.Duration, restarted bool) {
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

// flush carries out what the member asks for.
func (b *bench) flush(now time.Duration) {
	for range 3 {
		out := b.node.Output(at(now))
		b.disk.sync(out)
		b.node.Synced()
		b.out = append(append(b.out, out.Send...), out.SendSynced...)
		b.got.Apply = append(b.got.Apply, out.Apply...)
		b.got.Reads = append(b.got.Reads, out.Reads...)
	}
}

// give delivers a message of a peer and returns what the member sends.
func (b *bench) give(now time.Duration, m Message) []Message {
	b.t.Helper()
	m.Group, m.Epoch, m.To, m.ToIncarnation, m.FromIncarnation = 1, 1, 1, 11, 10+m.From
	b.out = nil
	if err := b.node.Step(at(now), m); err != nil {
		b.t.Fatal(err)
	}
	b.flush(now)
	return b.out
}

// lead makes the member leader of term 2 at 600 ms.
func (b *bench) lead() {
	b.t.Helper()
	b.node.Tick(at(600 * ms))
	b.flush(600 * ms)
	b.give(600*ms, Message{Kind: PreVoteReply, From: 2, Term: 2})
	b.give(600*ms, Message{Kind: VoteReply, From: 2, Term: 2})
	if b.node.role != Leader || b.node.term != 2 {
		b.t.Fatalf("%v of term %d, want the leader of term 2", b.node.role, b.node.term)
	}
}

func has(messages []Message, kind Kind, reject bool) bool {
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
	b := newBench(t)
	if !has(b.give(0, vote(2, 5)), VoteReply, false) {
		t.Fatal("no vote")
	}
	b.start(0, true)
	if !has(b.give(2*simLease, vote(3, 5)), VoteReply, true) {
		t.Error("a second vote in one term")
	}
}

func TestVoteHold(t *testing.T) {
	cases := []struct {
		name  string
		setup func(b *bench)
	}{
		{"after a heartbeat", func(b *bench) { b.give(0, Message{Kind: Heartbeat, From: 2, Term: 4}) }},
		{"after a restart", func(b *bench) { b.start(0, true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.setup(b)
			early := simLease - ms
			if got := b.give(early, vote(3, 9)); len(got) != 0 || b.node.term == 9 {
				t.Errorf("within a lease the member answers a candidate: %v", got)
			}
			preVote := Message{Kind: PreVote, From: 3, Term: 9, Index: 1, LogTerm: 1}
			if has(b.give(early, preVote), PreVoteReply, false) {
				t.Error("within a lease the member grants a pre-vote")
			}
			handOver := vote(3, 9)
			handOver.Transfer = true
			if !has(b.give(early, handOver), VoteReply, false) {
				t.Error("the member refuses the successor that the leader chose")
			}
			if !has(b.give(simLease, vote(2, 10)), VoteReply, false) {
				t.Error("no vote after the lease")
			}
		})
	}
}

func TestLeaseCountsFromTheSendTime(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(900*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	lease, ok := b.node.Lease()
	if want := at(600*ms + simLease - simDrift); !ok || !lease.Expires.Equal(want) {
		t.Errorf("lease until %v, want %v", lease.Expires, want)
	}
}

func TestDeposedLeaderHoldsItsVoteForItsLease(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(610*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	b.give(620*ms, Message{Kind: AppendReply, From: 3, Term: 7, Reject: true})
	if b.node.role != Follower || b.node.term != 7 {
		t.Fatalf("%v of term %d", b.node.role, b.node.term)
	}
	later := Message{Kind: Vote, From: 3, Term: 8, Index: 9, LogTerm: 7}
	if got := b.give(600*ms+simLease-simDrift-ms, later); len(got) != 0 {
		t.Errorf("answers a candidate within its own lease: %v", got)
	}
	if !has(b.give(600*ms+simLease, later), VoteReply, false) {
		t.Error("no vote after its lease")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	b := newBench(t)
	b.lead()
	for now := 700 * ms; now <= 1300*ms; now += simHeartbeat {
		b.node.Tick(at(now))
		b.flush(now)
	}
	if b.node.role == Leader {
		t.Error("still leads without a quorum")
	}
}

// TestOnlyEntriesOfTheTermAreCounted is figure 8 of the dissertation: an entry of an older term on a quorum is not
// committed before one of the leader's own term is.
func TestOnlyEntriesOfTheTermAreCounted(t *testing.T) {
	b := newBench(t)
	b.disk.entries = []Entry{{Term: 1, Index: 2, Kind: EntryCommand, Data: []byte("old")}}
	b.start(0, false)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if b.node.commit >= 2 {
		t.Fatal("an entry of an older term is committed by counting")
	}
	b.give(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	if b.node.commit != 3 {
		t.Errorf("commit %d, want 3", b.node.commit)
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	b := newBench(t)
	b.lead()
	if _, err := b.node.Remove(3); !errors.Is(err, ErrNotReady) {
		t.Errorf("before an entry of the term is committed: %v, want %v", err, ErrNotReady)
	}
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Remove(3); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.AddLearner(Member{ID: 4}); !errors.Is(err, ErrChangePending) {
		t.Errorf("second change: %v, want %v", err, ErrChangePending)
	}
	if _, err := b.node.Remove(1); err == nil {
		t.Error("the leader removed itself")
	}
}

func TestLearnerIsPromotedOnceItHasCaughtUp(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.AddLearner(Member{ID: 4}); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	b.give(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	if _, err := b.node.Promote(at(670*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("a silent learner: %v, want %v", err, ErrNotCaughtUp)
	}
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	b.give(710*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: 2})
	if _, err := b.node.Promote(at(720*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("an empty learner: %v, want %v", err, ErrNotCaughtUp)
	}
	b.give(730*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: 3})
	b.give(740*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: 2})
	if _, err := b.node.Promote(at(750*ms), 4); err != nil {
		t.Fatal(err)
	}
	if m, _ := b.node.conf().Member(4); m.Learner || m.Incarnation != 14 {
		t.Errorf("member %+v, want a voter bound to disk 14", m)
	}
}

func TestAnswersOfAnotherDiskDoNotCount(t *testing.T) {
	b := newBench(t)
	b.lead()
	stranger := Message{
		Kind: AppendReply, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 99, ToIncarnation: 11, Term: 2, Index: 2,
	}
	if err := b.node.Step(at(650*ms), stranger); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	if b.node.commit >= 2 {
		t.Error("a blank disk under an old name acknowledged an entry")
	}
	if got := b.node.Status().Strangers; len(got) != 1 || got[0] != 2 {
		t.Errorf("strangers %v, want member 2", got)
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
			b := newBench(t)
			m := Message{Kind: Heartbeat, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 12, ToIncarnation: 11, Term: 8}
			change(&m)
			if err := b.node.Step(at(0), m); err != nil || b.node.term == 8 {
				t.Errorf("term %d, %v", b.node.term, err)
			}
		})
	}
}

func TestReadNeedsARoundThatBeganAfterIt(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	b.node.Read(77)
	b.flush(660 * ms) // begins round 2
	b.give(670*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: 1})
	if len(b.got.Reads) != 0 {
		t.Fatal("answered by a round that began before the read")
	}
	b.give(680*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 2})
	if len(b.got.Reads) != 1 || b.got.Reads[0] != (Read{ID: 77, Index: 2}) {
		t.Errorf("reads %v, want entry 2", b.got.Reads)
	}
}

func TestReadWaitsForAnEntryOfTheTerm(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.node.Read(77)
	b.flush(610 * ms)
	b.give(620*ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: b.node.rounds.last})
	if len(b.got.Reads) != 0 {
		t.Error("a new leader answers before it knows what is committed")
	}
}

// TestOwnEntriesCountOnceSynced lets a peer acknowledge nothing: the leader's own unsynced entry must not count, and
// with one peer it commits only after both synced.
func TestOwnEntriesCountOnceSynced(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b.node.Output(at(660 * ms)) // handed out, not synced yet
	m := Message{
		Kind: AppendReply, Group: 1, Epoch: 1, From: 2, To: 1, FromIncarnation: 12, ToIncarnation: 11, Term: 2, Index: 3,
	}
	if err := b.node.Step(at(670*ms), m); err != nil {
		t.Fatal(err)
	}
	b.node.Output(at(670 * ms))
	if b.node.commit >= 3 {
		t.Fatal("committed by one synced copy of three")
	}
	b.node.Synced()
	if b.node.commit != 3 {
		t.Errorf("commit %d, want 3", b.node.commit)
	}
}

func TestNothingLeavesInAnUnsyncedTerm(t *testing.T) {
	b := newBench(t)
	b.node.log.confs[0].conf = Configuration{Epoch: 1, Members: []Member{{ID: 1, Incarnation: 11}, {ID: 2, Learner: true}}}
	b.node.Tick(at(0))
	if out := b.node.Output(at(0)); len(out.Send) != 0 || out.HardState == nil || len(out.SendSynced) == 0 {
		t.Errorf("output %+v, want everything after the sync", out)
	}
}

// TestLearnerWithAnotherDiskStartsAgain replaces a learner's disk: what the old one held counts no more, and a heartbeat
// commits nothing on a disk that the configuration does not name.
func TestLearnerWithAnotherDiskStartsAgain(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.AddLearner(Member{ID: 4}); err != nil {
		t.Fatal(err)
	}
	b.flush(650 * ms)
	b.give(660*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 3})
	b.give(670*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: 3})
	b.out = nil
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	for _, m := range b.out {
		if want := map[uint64]uint64{2: 3, 3: 0, 4: 0}[m.To]; m.Kind == Heartbeat && m.Commit != want {
			t.Errorf("heartbeat to member %d commits %d, want %d", m.To, m.Commit, want)
		}
	}
	fresh := Message{
		Kind: HeartbeatReply, Group: 1, Epoch: 1, From: 4, To: 1, FromIncarnation: 24, ToIncarnation: 11, Term: 2, Context: 2,
	}
	if err := b.node.Step(at(710*ms), fresh); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.Promote(at(720*ms), 4); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("a learner with another disk: %v, want %v", err, ErrNotCaughtUp)
	}
}

func TestTransferPrefersAVoterThatAnswers(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if err := b.node.Transfer(at(650*ms), 0); !errors.Is(err, ErrNotCaughtUp) {
		t.Errorf("nobody answers: %v, want %v", err, ErrNotCaughtUp)
	}
	b.give(660*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 1})
	if err := b.node.Transfer(at(660*ms), 0); err != nil || b.node.transfer.target != 3 {
		t.Errorf("target %+v, %v, want member 3", b.node.transfer, err)
	}
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	b.node.Compact(2)
	rejection := Message{Kind: AppendReply, From: 3, Term: 2, Index: 1, Reject: true}
	if !has(b.give(660*ms, rejection), InstallSnapshot, false) {
		t.Fatal("no snapshot for a member whose entries are gone")
	}
	if has(b.give(670*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 1}), InstallSnapshot, false) {
		t.Error("the answer to an older heartbeat sends a second snapshot")
	}
	b.node.Tick(at(700 * ms))
	b.flush(700 * ms)
	if !has(b.give(710*ms, Message{Kind: HeartbeatReply, From: 3, Term: 2, Context: 2}), InstallSnapshot, false) {
		t.Error("a later heartbeat is answered, the snapshot was not, and it is not sent again")
	}
}

// TestMemberThatForgetsIsNotFlooded lets a disk lose what it acknowledged. The leader cannot mend that; it must not
// exchange messages with the member without pause either.
func TestMemberThatForgetsIsNotFlooded(t *testing.T) {
	b := newBench(t)
	b.lead()
	b.give(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: 2})
	if _, err := b.node.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b.flush(655 * ms)
	rejection := Message{Kind: AppendReply, From: 2, Term: 2, Index: 2, Reject: true}
	for round := uint64(2); round < 5; round++ {
		now := time.Duration(round+5) * simHeartbeat
		b.node.Tick(at(now))
		b.flush(now)
		if !has(b.give(now+ms, Message{Kind: HeartbeatReply, From: 2, Term: 2, Context: round}), Append, false) {
			t.Errorf("round %d: no further try", round)
		}
		if has(b.give(now+2*ms, rejection), Append, false) {
			t.Errorf("round %d: the rejection is answered at once", round)
		}
	}
}
