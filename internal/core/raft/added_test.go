package raft

import "testing"

// addAndCommit adds learner 4 and commits the change with member 2.
func (b *harness) addAndCommit() Entry {
	b.t.Helper()
	e, err := b.node.AddLearner(Member{ID: 4})
	b.commit(e, err)
	return e
}

func (b *harness) commit(e Entry, err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	b.flush(650 * ms)
	b.deliver(650*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: e.Index})
}

// Guards against a member that is removed and added again between two observations and looks the same as before (issue 40).
func TestMemberAddedAgainDiffers(t *testing.T) {
	b := newHarness(t)
	b.lead()
	b.deliver(640*ms, Message{Kind: AppendReply, From: 2, Term: 2, Index: b.node.log.last()})
	first := b.addAndCommit()
	if m, _ := b.node.Member(4); m.Added != first.Index {
		t.Errorf("got the member added by entry %d, want %d", m.Added, first.Index)
	}
	b.commit(b.node.Remove(4))
	second := b.addAndCommit()
	b.deliver(660*ms, Message{Kind: AppendReply, From: 4, Term: 2, Index: second.Index})
	b.deliver(660*ms, Message{Kind: HeartbeatReply, From: 4, Term: 2, Context: b.node.rounds.last})
	b.commit(b.node.Promote(at(660*ms), 4))
	if m, _ := b.node.Member(4); m.Learner || m.Added != second.Index {
		t.Errorf("got the promoted member added by entry %d, want %d", m.Added, second.Index)
	}
}

// Guards against a configuration of an older build that is not read, or is changed by reading it.
func TestConfigurationWithoutAdded(t *testing.T) {
	conf, err := decodeConfiguration([]byte(`{"epoch":1,"members":[{"id":4,"address":"a","learner":true}]}`))
	if err != nil {
		t.Fatal(err)
	}
	data, err := conf.encode()
	if want := `{"epoch":1,"members":[{"id":4,"address":"a","learner":true}]}`; err != nil || string(data) != want {
		t.Errorf("got %s, error %v, want %s", data, err, want)
	}
}
