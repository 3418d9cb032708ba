package process

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/internal/wait"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// membershipInterval is the time between checks of the group's membership.
	membershipInterval = 300 * time.Millisecond
	// membershipChangeTimeout bounds one membership change.
	membershipChangeTimeout = 2 * time.Second
	// announceTimeout bounds one announcement to one member.
	announceTimeout = 700 * time.Millisecond
)

// membershipManager manages the membership of a group with control.discover. While this member is not a voter, it
// announces itself to the group; while it is the leader, it carries out the changes that core/roster selects.
type membershipManager struct {
	base    *Base
	replica *replica.Replica
	pool    *rpcpool.Pool

	mu        sync.Mutex
	announced map[uint64]roster.Announcement
	seeds     []string // control_members of the settings
}

func newMembershipManager(base *Base, r *replica.Replica) *membershipManager {
	return &membershipManager{
		base: base, replica: r, pool: rpcpool.New(base.Network.Dial),
		announced: make(map[uint64]roster.Announcement),
		seeds:     base.Config.ControlMembers,
	}
}

// setSeeds replaces the addresses to which this member sends announcements in addition to those of the configuration.
func (m *membershipManager) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Announce implements control.JoinHandler. It records the announcement unless the member already votes with this incarnation.
func (m *membershipManager) Announce(id uint64, address string, incarnation uint64) (isVoter bool) {
	member, ok := m.replica.Status().Configuration.Member(id)
	if ok && !member.Learner && member.Incarnation == incarnation {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announced[id] = roster.Announcement{
		Member: raft.Member{ID: id, Address: address, Incarnation: incarnation},
		Heard:  clock.Now(),
	}
	return false
}

// run manages the membership until ctx is done.
func (m *membershipManager) run(ctx context.Context) error {
	defer m.pool.Close()
	for wait.For(ctx, membershipInterval) {
		st := m.replica.Status()
		if st.Role == raft.Leader {
			m.changeMembership(ctx, st)
			continue
		}
		if !isVoter(st) {
			m.announce(ctx, st)
		}
	}
	return ctx.Err()
}

// isVoter reports whether, according to the member's own status, it is a voter with its current incarnation in a group
// that has a leader. A member that lost its disk has a new incarnation and thus no vote.
func isVoter(st replica.Status) bool {
	m, ok := st.Configuration.Member(st.ID)
	return ok && !m.Learner && m.Incarnation == st.Incarnation && st.Leader != 0
}

// announce sends this member's address and incarnation to the other members in turn, until one accepts the announcement.
func (m *membershipManager) announce(ctx context.Context, st replica.Status) {
	for _, address := range m.otherAddresses(st) {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := control.AnnounceTo(ctx, m.pool, address, &controlpb.JoinRequest{
			Id: st.ID, Address: m.base.Config.Control.Listen, Incarnation: st.Incarnation,
		})
		cancel()
		if err == nil {
			return
		}
		m.base.Logger.Debug("announcing to a control member failed", "address", address, telemetry.KeyError, err.Error())
	}
}

// otherAddresses returns the addresses of other members without duplicates, those of the configuration before the
// seeds.
func (m *membershipManager) otherAddresses(st replica.Status) []string {
	own := m.base.Config.Control.Listen
	m.mu.Lock()
	seeds := m.seeds
	m.mu.Unlock()
	var out []string
	for _, address := range append(addressesOf(st.Configuration), seeds...) {
		if address != own && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

func addressesOf(c raft.Configuration) []string {
	out := make([]string, len(c.Members))
	for i, m := range c.Members {
		out[i] = m.Address
	}
	return out
}

// memberAddresses returns the addresses of all members of the group.
func (m *membershipManager) memberAddresses() []string {
	return addressesOf(m.replica.Status().Configuration)
}

// peerAddresses returns the addresses of the other members of the group.
func (m *membershipManager) peerAddresses() []string {
	return slices.DeleteFunc(m.memberAddresses(), func(a string) bool { return a == m.base.Config.Control.Listen })
}

// changeMembership carries out the next membership change, if one is due.
func (m *membershipManager) changeMembership(ctx context.Context, st replica.Status) {
	now := clock.Now()
	next := roster.NextStep(now, roster.View{
		Self: st.ID, Configuration: st.Configuration, Announcements: m.announcements(),
		Silent: func(id uint64) time.Duration { return timeSinceAnswer(st, id, now) },
	})
	if next.Action == roster.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := m.applyStep(ctx, next)
	args := []any{"action", next.Action.String(), "member", next.Member.ID, "address", next.Member.Address, "reason", next.Reason}
	if err != nil {
		m.base.Logger.Info("control group membership change failed", append(args, telemetry.KeyError, err.Error())...)
		return
	}
	m.base.Logger.Info("control group membership changed", args...)
}

func (m *membershipManager) applyStep(ctx context.Context, s roster.Step) error {
	switch s.Action {
	case roster.Remove:
		return m.replica.Remove(ctx, s.Member.ID)
	case roster.AddLearner:
		return m.replica.AddLearner(ctx, replica.Member{ID: s.Member.ID, Address: s.Member.Address})
	case roster.Promote:
		return m.replica.Promote(ctx, s.Member.ID)
	default:
		return nil
	}
}

func (m *membershipManager) announcements() []roster.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]roster.Announcement, 0, len(m.announced))
	for _, a := range m.announced {
		out = append(out, a)
	}
	return out
}

// timeSinceAnswer returns the time since the member with the given id last answered this leader, or since this member
// became leader if it has not answered yet.
func timeSinceAnswer(st replica.Status, id uint64, now time.Time) time.Duration {
	answered := st.LeaderSince
	for _, p := range st.Peers {
		if p.ID == id && p.AnsweredAt.After(answered) {
			answered = p.AnsweredAt
		}
	}
	return now.Sub(answered)
}
