package replica

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/proto/peerpb"
)

// Guards against messages of another group that count as contact with a member and replace its address.
func TestSendersOfOtherGroupsAreIgnored(t *testing.T) {
	r := &Replica{cfg: Config{GroupID: 1}, done: make(chan struct{})}
	close(r.done)
	server := peerServer{r}
	send := func(group uint64, address string) {
		_ = server.enqueue(&peerpb.Message{Group: group, From: 2, FromAddress: address, Epoch: 5}, &snapshotAssembler{})
	}
	send(2, "foreign")
	if senders := r.Senders(); len(senders) > 0 || !r.HeardAt(raft.Member{ID: 2}).Equal(time.Time{}) {
		t.Errorf("got senders %+v after a message of another group, want none", senders)
	}
	send(1, "own")
	send(2, "foreign")
	if senders := r.Senders(); len(senders) != 1 || senders[0].ID != 2 || senders[0].Address != "own" || senders[0].Epoch != 5 {
		t.Errorf("got senders %+v, want only member 2 at its own address", senders)
	}
}

// Guards against a lost voter that keeps its vote, since a process with another disk, or of an earlier group, sends messages under its id.
func TestMessagesOfAnotherDiskAreNoContact(t *testing.T) {
	cases := []struct {
		name               string
		incarnation, epoch uint64 // of the message
		member             raft.Member
		heard              bool
	}{
		{"same disk", 7, 5, raft.Member{ID: 2, Incarnation: 7}, true},
		{"epoch not known to the sender", 7, 0, raft.Member{ID: 2, Incarnation: 7}, true},
		{"a learner, whose disk is not known", 8, 5, raft.Member{ID: 2, Learner: true}, true},
		{"another disk", 8, 5, raft.Member{ID: 2, Incarnation: 7}, false},
		{"another epoch", 7, 6, raft.Member{ID: 2, Incarnation: 7}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := &Replica{cfg: Config{GroupID: 1}, done: make(chan struct{})}
			r.status.Epoch = 5
			close(r.done)
			message := &peerpb.Message{Group: 1, From: 2, FromIncarnation: tc.incarnation, Epoch: tc.epoch}
			_ = peerServer{r}.enqueue(message, &snapshotAssembler{})
			if got := !r.HeardAt(tc.member).IsZero(); got != tc.heard {
				t.Errorf("heard: %v, want %v", got, tc.heard)
			}
		})
	}
}
