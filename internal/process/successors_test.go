package process

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
)

// heldAnswers is for how long a successor's first answer is held: several checks of the membership.
const heldAnswers = 5 * membershipInterval

// changeLog is a slog.Handler that records the membership changes of a group.
type changeLog struct {
	mu      sync.Mutex
	changes map[uint64][]string // by member
}

// Enabled implements slog.Handler.
func (*changeLog) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs implements slog.Handler.
func (l *changeLog) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l *changeLog) WithGroup(string) slog.Handler { return l }

// Handle implements slog.Handler.
func (l *changeLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message != "control group membership changed" {
		return nil
	}
	attrs := make(map[string]slog.Value)
	r.Attrs(func(a slog.Attr) bool { attrs[a.Key] = a.Value; return true })
	l.mu.Lock()
	defer l.mu.Unlock()
	id := attrs["member"].Uint64()
	l.changes[id] = append(l.changes[id], fmt.Sprintf("%s: %s", attrs["action"], attrs["reason"]))
	return nil
}

// of returns the changes of a member.
func (l *changeLog) of(id uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.changes[id])
}

// startHeld starts a member whose messages of the group's log are held until release is closed. It announces itself meanwhile.
func (d *discoveryGroup) startHeld(host int, release <-chan struct{}) *runningMember {
	return d.startWith(host, false, func(base *Base) (*Control, error) {
		s, err := NewState()
		if err != nil {
			return nil, err
		}
		cfg := replicaConfig(base)
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			select {
			case <-release:
				return base.Network.Dial(ctx, address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		r, err := replica.Open(cfg, s.Machine)
		if err != nil {
			return nil, err
		}
		return NewControl(base, s, r)
	})
}

// startSmallGroup starts a new group of members 1 to 3 that record their changes.
func (d *discoveryGroup) startSmallGroup() (map[int]*runningMember, *changeLog) {
	d.t.Helper()
	changes := &changeLog{changes: make(map[uint64][]string)}
	d.log = slog.New(changes)
	members := make(map[int]*runningMember)
	for host := 1; host <= 3; host++ {
		members[host] = d.start(host, true)
	}
	d.waitUntil("a leader of three voters", func() bool { return leaderOf(members) != nil && members[1].voters() == 3 })
	return members, changes
}

// loseDiskUnderOldLeader loses a member with its disk and waits until the leader of the others is older than UnresponsiveLimit.
func (d *discoveryGroup) loseDiskUnderOldLeader(members map[int]*runningMember, host int) {
	d.t.Helper()
	if leader := leaderOf(members); leader == members[host] {
		changeLeader(leader)
	}
	d.loseDisk(members[host], host)
	delete(members, host)
	d.waitUntil("a leader older than the limit for answers", func() bool {
		leader := leaderOf(members)
		return leader != nil && clock.Since(leader.replica.Status().LeaderSince) > roster.UnresponsiveLimit
	})
}

// Guards against a successor that is removed as soon as it is admitted, over and over, since its silence or the wait for its first
// answer counts from before its admission: from the election of the leader, or from the loss of the member's former disk (issue 40).
func TestSuccessorThatAnswersLateIsNotRemoved(t *testing.T) {
	for _, tc := range []struct {
		name string
		host int // of the successor
		want []string
	}{
		{"elsewhere", 5, []string{"add learner: announced itself", "promote: caught up"}},
		{"at the lost member's address", 2, []string{
			"remove: rejoined with another disk", "add learner: announced itself", "promote: caught up",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDiscoveryGroup(t)
			members, changes := d.startSmallGroup()
			d.loseDiskUnderOldLeader(members, 2)
			release := make(chan struct{})
			successor := d.startHeld(tc.host, release)
			id := successor.replica.Status().ID
			d.waitUntil("the successor is admitted", func() bool { return len(changes.of(id)) >= len(tc.want)-1 })
			time.Sleep(heldAnswers)
			close(release)
			d.waitUntil("the successor votes", func() bool {
				return isVoter(successor.replica.Status()) && len(changes.of(id)) >= len(tc.want)
			})
			if got := changes.of(id); !slices.Equal(got, tc.want) {
				t.Errorf("membership changes of the successor: got %q, want %q", got, tc.want)
			}
		})
	}
}
