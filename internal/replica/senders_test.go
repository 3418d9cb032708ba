package replica

import (
	"testing"
	"time"

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
	if senders := r.Senders(); len(senders) > 0 || !r.HeardAt(2).Equal(time.Time{}) {
		t.Errorf("got senders %+v after a message of another group, want none", senders)
	}
	send(1, "own")
	send(2, "foreign")
	if senders := r.Senders(); len(senders) != 1 || senders[0].ID != 2 || senders[0].Address != "own" || senders[0].Epoch != 5 {
		t.Errorf("got senders %+v, want only member 2 at its own address", senders)
	}
}
