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
	// rosterInterval is the time between looks at who belongs to the group.
	rosterInterval = 300 * time.Millisecond
	// rosterStepTimeout bounds one change of the membership.
	rosterStepTimeout = 2 * time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = 700 * time.Millisecond
)

// groupRoster keeps the members of a group that finds itself: this member announces itself while it has no vote, and the
// leader carries out the steps of core/roster.
type groupRoster struct {
	base    *Base
	replica *replica.Replica
	pool    *rpcpool.Pool

	mu        sync.Mutex
	announced map[uint64]roster.Announcement
	seeds     []string // addresses of control members in the settings
}

func newGroupRoster(base *Base, r *replica.Replica) *groupRoster {
	return &groupRoster{
		base: base, replica: r, pool: rpcpool.New(base.Network.Dial),
		announced: make(map[uint64]roster.Announcement),
		seeds:     base.Config.ControlMembers,
	}
}

// setSeeds takes other addresses of control members.
func (g *groupRoster) setSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// Announce implements control.Joins.
func (g *groupRoster) Announce(id uint64, address string, incarnation uint64) (isVoter bool) {
	member, ok := g.replica.Status().Configuration.Member(id)
	if ok && !member.Learner && member.Incarnation == incarnation {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced[id] = roster.Announcement{
		Member: raft.Member{ID: id, Address: address, Incarnation: incarnation},
		Heard:  clock.Now(),
	}
	return false
}

// run works until ctx ends.
func (g *groupRoster) run(ctx context.Context) error {
	defer g.pool.Close()
	for wait.For(ctx, rosterInterval) {
		st := g.replica.Status()
		if st.Role == raft.Leader {
			g.step(ctx, st)
			continue
		}
		if !hasVote(st) {
			g.announce(ctx, st)
		}
	}
	return ctx.Err()
}

// hasVote reports whether this member votes with its disk, as far as it knows.
func hasVote(st replica.Status) bool {
	m, ok := st.Configuration.Member(st.ID)
	return ok && !m.Learner && m.Incarnation == st.Incarnation && st.Leader != 0
}

// announce tells the group of this member, through the first member that answers.
func (g *groupRoster) announce(ctx context.Context, st replica.Status) {
	for _, address := range g.others(st) {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := control.AnnounceTo(ctx, g.pool, address, &controlpb.JoinRequest{
			Id: st.ID, Address: g.base.Config.Control.Listen, Incarnation: st.Incarnation,
		})
		cancel()
		if err == nil {
			return
		}
		g.base.Logger.Debug("announcement not taken", "address", address, telemetry.KeyError, err.Error())
	}
}

// others returns the addresses of other members: of the configuration first, then of the settings.
func (g *groupRoster) others(st replica.Status) []string {
	own := g.base.Config.Control.Listen
	g.mu.Lock()
	seeds := g.seeds
	g.mu.Unlock()
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

// members returns the addresses of all members of the group.
func (g *groupRoster) members() []string { return addressesOf(g.replica.Status().Configuration) }

// peers returns the addresses of the other members of the group.
func (g *groupRoster) peers() []string {
	return slices.DeleteFunc(g.members(), func(a string) bool { return a == g.base.Config.Control.Listen })
}

// step carries out the next change of the membership.
func (g *groupRoster) step(ctx context.Context, st replica.Status) {
	now := clock.Now()
	next := roster.Next(now, roster.View{
		Self: st.ID, Configuration: st.Configuration, Announcements: g.announcements(),
		Silent: func(id uint64) time.Duration { return silentSince(st, id, now) },
	})
	if next.Action == roster.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterStepTimeout)
	defer cancel()
	err := g.carryOut(ctx, next)
	args := []any{"action", next.Action.String(), "member", next.Member.ID, "address", next.Member.Address, "reason", next.Reason}
	if err != nil {
		g.base.Logger.Info("change of the control group failed", append(args, telemetry.KeyError, err.Error())...)
		return
	}
	g.base.Logger.Info("control group changed", args...)
}

func (g *groupRoster) carryOut(ctx context.Context, s roster.Step) error {
	switch s.Action {
	case roster.Remove:
		return g.replica.Remove(ctx, s.Member.ID)
	case roster.AddLearner:
		return g.replica.AddLearner(ctx, replica.Member{ID: s.Member.ID, Address: s.Member.Address})
	case roster.Promote:
		return g.replica.Promote(ctx, s.Member.ID)
	default:
		return nil
	}
}

func (g *groupRoster) announcements() []roster.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]roster.Announcement, 0, len(g.announced))
	for _, a := range g.announced {
		out = append(out, a)
	}
	return out
}

// silentSince returns for how long a member has answered nothing to this leader.
func silentSince(st replica.Status, id uint64, now time.Time) time.Duration {
	heard := st.LeaderSince
	for _, p := range st.Peers {
		if p.ID == id && p.AnsweredAt.After(heard) {
			heard = p.AnsweredAt
		}
	}
	return now.Sub(heard)
}
