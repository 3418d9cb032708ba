package replica

import (
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/proto/peerpb"
)

// Sender is a member of the group that has sent a message.
type Sender struct {
	ID      uint64
	Address string    // "" if its messages have none
	Epoch   uint64    // of the group according to its latest message; 0: not known to it
	Heard   time.Time // when its latest message arrived

	Incarnation uint64 // of its disk according to that message
}

// senderBook holds what is known of the members from their messages.
type senderBook struct {
	mu      sync.Mutex
	senders map[uint64]Sender
}

// maxSenders is the maximum size of a senderBook. A further sender clears it.
const maxSenders = 64

func (b *senderBook) record(m *peerpb.Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.senders[m.From]
	if b.senders == nil || !ok && len(b.senders) >= maxSenders {
		b.senders = make(map[uint64]Sender)
	}
	if m.FromAddress != "" {
		s.Address = m.FromAddress
	}
	s.ID, s.Epoch, s.Heard, s.Incarnation = m.From, m.Epoch, now, m.FromIncarnation
	b.senders[m.From] = s
}

// sender returns what is known of a member, or the zero value if it has sent nothing.
func (b *senderBook) sender(id uint64) Sender {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.senders[id]
}

func (b *senderBook) all() []Sender {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Sender, 0, len(b.senders))
	for _, s := range b.senders {
		out = append(out, s)
	}
	return out
}

// HeardAt returns when the latest message of another member arrived, as a time of clock.Now. It is the zero time if none has, or if the message
// came from another disk than the one in the configuration or from a group with another epoch. The disk of a learner is not known.
func (r *Replica) HeardAt(m raft.Member) time.Time {
	s := r.senders.sender(m.ID)
	isOtherDisk := m.Incarnation != 0 && s.Incarnation != m.Incarnation
	if isOtherDisk || !raft.IsSameEpoch(s.Epoch, r.Status().Epoch) {
		return time.Time{}
	}
	return s.Heard
}

// Senders returns the members of this member's group that have sent it messages, also messages for another incarnation of it, which
// it ignores. They are in no particular order.
func (r *Replica) Senders() []Sender { return r.senders.all() }
