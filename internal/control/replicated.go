package control

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/replica"
)

// resubscribeDelay is the time before a lost subscription is taken up again.
const resubscribeDelay = 50 * time.Millisecond

// subscriptionBuffer is the number of applied commands that may wait; a lost subscription costs nothing but a look at
// the state.
const subscriptionBuffer = 256

// Replicated is the Group of one replica of the log.
type Replicated struct {
	replica *replica.Replica
	self    Member
}

// NewReplicated returns the Group of r, which is the member id at address.
func NewReplicated(r *replica.Replica, id uint64, address string) *Replicated {
	return &Replicated{replica: r, self: memberOf(replica.Member{ID: id, Address: address})}
}

func memberOf(m replica.Member) Member {
	return Member{ID: "control-" + strconv.FormatUint(m.ID, 10), Address: m.Address}
}

// Propose implements Group.
func (g *Replicated) Propose(ctx context.Context, data []byte) (Outcome, error) {
	outcome, err := g.replica.Propose(ctx, data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		refused := &NotLeaderError{}
		if notLeader.Leader != 0 {
			refused.Leader = memberOf(replica.Member{ID: notLeader.Leader, Address: notLeader.Address})
		}
		return Outcome{}, refused
	}
	return Outcome{Index: outcome.Index, Result: outcome.Result}, err
}

// ReadIndex implements Group.
func (g *Replicated) ReadIndex(ctx context.Context) (uint64, error) { return g.replica.ReadIndex(ctx) }

// WaitApplied implements Group.
func (g *Replicated) WaitApplied(ctx context.Context, index uint64) error {
	return g.replica.WaitApplied(ctx, index)
}

// View implements Group.
func (g *Replicated) View(f func()) { g.replica.View(f) }

// Leader implements Group.
func (g *Replicated) Leader() (Member, bool) {
	m, ok := g.replica.Leader()
	if !ok {
		return Member{}, false
	}
	return memberOf(m), true
}

// Self implements Group.
func (g *Replicated) Self() Member { return g.self }

// Applied implements Group.
func (g *Replicated) Applied() (<-chan struct{}, func()) {
	events := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			g.follow(ctx, events)
			pause(ctx, resubscribeDelay)
		}
	}()
	return events, cancel
}

// follow passes on that commands were applied until the subscription is lost or ctx ends.
func (g *Replicated) follow(ctx context.Context, events chan<- struct{}) {
	applied, unsubscribe := g.replica.Subscribe(subscriptionBuffer)
	defer unsubscribe()
	for {
		select {
		case events <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			return
		case _, ok := <-applied:
			if !ok {
				return
			}
		}
	}
}
