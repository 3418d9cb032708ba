package process

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/control"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/rpcpool"
	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// membershipInterval is the time between checks of the group's membership.
	membershipInterval = 300 * time.Millisecond
	// membershipChangeTimeout bounds one membership change.
	membershipChangeTimeout = 2 * time.Second
	// announceTimeout bounds one announcement to one member.
	announceTimeout = 700 * time.Millisecond
	// maxMembershipSteps is the maximum number of membership changes between two checks.
	maxMembershipSteps = 4
	// defaultFaultTolerance applies if the settings name none.
	defaultFaultTolerance = 1
)

// membershipManager manages the membership of a group with control.discover. While this member is not a voter, it
// announces itself to the group; while it is the leader, it carries out the changes that core/roster selects. Whatever its role,
// it records when it heard the other members.
type membershipManager struct {
	base    *Base
	replica *replica.Replica
	pool    *rpcpool.Pool
	wake    chan struct{} // requests a check of the membership at once
	// leaveTimeout bounds how long this member waits for its removal from the group when it shuts down.
	leaveTimeout time.Duration
	// isEnding is true once this process has announced that it is about to end. It announces itself no more then.
	isEnding atomic.Bool
	// unaccepted tells operators that no member accepts this member's announcements.
	unaccepted announcementAlarm

	identifier    identifier
	refusals      refusalLog // of announcements
	namedRefusals refusalLog // of members named by watchers

	mu        sync.Mutex
	announced map[uint64]roster.Announcement
	leaving   map[uint64]roster.Announcement
	contacts  *roster.Contacts
	seeds     []string // control_members of the settings
	known     roster.KnownAddresses
	former    roster.FormerMembers

	introduction func() *controlpb.Digest // what this member sends to introduce itself
}

func newMembershipManager(base *Base, r *replica.Replica) *membershipManager {
	m := &membershipManager{
		base: base, replica: r, pool: rpcpool.New(base.Network.Dial),
		wake: make(chan struct{}, 1), leaveTimeout: defaultLeaveTimeout,
		announced: make(map[uint64]roster.Announcement),
		leaving:   make(map[uint64]roster.Announcement),
		contacts:  roster.NewContacts(r.Status().ID, clock.Now()),
		seeds:     base.Config.ControlMembers,
	}
	m.identifier.call = func(ctx context.Context, address string) (*controlpb.Identity, error) {
		return control.IdentifyAt(ctx, m.pool, address)
	}
	return m
}

// identity returns who this member is, for a leader that asks.
func (m *membershipManager) identity() *controlpb.Identity {
	st := m.replica.Status()
	return &controlpb.Identity{Group: m.base.Config.Control.Group, Epoch: st.Epoch, Id: st.ID, Incarnation: st.Incarnation}
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
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leaving, id) // it has started again
	if ok && !member.Learner && member.Incarnation == incarnation {
		return true
	}
	m.announced[id] = roster.Announcement{
		Member: raft.Member{ID: id, Address: address, Incarnation: incarnation},
		Heard:  clock.Now(),
	}
	return false
}

func (m *membershipManager) requestCheck() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run manages the membership until ctx is done.
func (m *membershipManager) run(ctx context.Context) error {
	defer m.pool.Close()
	var introducing sync.WaitGroup
	defer introducing.Wait()
	introducing.Go(func() { m.introduceWhileLeading(ctx) })
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.wake:
		}
		st := m.observe()
		switch {
		case st.Role == raft.Leader:
			m.changeMembership(ctx)
		case !isVoter(st) && !m.isEnding.Load():
			m.announce(ctx, st)
		}
		if hasVote(st) {
			m.unaccepted.end(m.base.Logger, clock.Now())
		}
	}
}

// observe updates the contacts with the current configuration and the messages of the other members. It returns the status that
// it has observed, never one older than that of an earlier call.
func (m *membershipManager) observe() replica.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.replica.Status()
	now := clock.Now()
	observeContacts(m.contacts, now, st.Configuration, m.replica.HeardAt)
	m.former.Observe(now, st.Configuration)
	return st
}

// hasVote reports whether, according to the member's own configuration, it has a vote with its disk, whether or not a leader is known. A
// member that lost its disk has a new incarnation and thus no vote.
func hasVote(st replica.Status) bool {
	m, ok := st.Configuration.Member(st.ID)
	return ok && !m.Learner && m.Incarnation == st.Incarnation
}

// isVoter reports whether the member has a vote in a group that has a leader, as far as it knows.
func isVoter(st replica.Status) bool { return hasVote(st) && st.Leader != 0 }

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

// changeMembership carries out the membership changes that are due.
func (m *membershipManager) changeMembership(ctx context.Context) {
	for range maxMembershipSteps {
		st := m.observe()
		next := roster.NextStep(m.view(st, clock.Now()))
		if st.Role != raft.Leader || next.Action == roster.None || !m.carryOut(ctx, next) {
			return
		}
	}
}

// carryOut carries out a membership change and reports whether it is committed.
func (m *membershipManager) carryOut(ctx context.Context, next roster.Step) bool {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	err := m.applyStep(ctx, next)
	args := []any{"action", next.Action.String(), "member", next.Member.ID, "address", next.Member.Address, "reason", next.Reason}
	if err != nil {
		m.base.Logger.Info("control group membership change failed", append(args, telemetry.KeyError, err.Error())...)
		countMembershipChange(m.base.Metrics, metricChangesFailed, next)
		return false
	}
	m.base.Logger.Info("control group membership changed", args...)
	countMembershipChange(m.base.Metrics, metricChanges, next)
	return true
}

// view returns the view of the group from which core/roster decides. The status must be the one that observe returned.
func (m *membershipManager) view(st replica.Status, now time.Time) roster.View {
	return roster.View{
		Now: now, Self: st.ID, LeaderSince: st.LeaderSince, ObservedSince: m.observedSince(),
		Configuration: st.Configuration, Announcements: m.announcements(),
		FaultTolerance: requiredTolerance(m.base.Config.Control),
		HasCaughtUp:    func(id uint64) bool { return hasCaughtUp(st, id) },
		Evidence:       func(id uint64) roster.Evidence { return m.evidence(st, id) },
		Removal:        m.removal,
	}
}

func (m *membershipManager) observedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contacts.ObservedSince()
}

// evidence returns what this leader knows of another member.
func (m *membershipManager) evidence(st replica.Status, id uint64) roster.Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.contacts.Evidence(id)
	e.Answered = answeredAt(st, id)
	e.Leaves = m.leaving[id].Heard
	return e
}

func (m *membershipManager) removal(id uint64) (roster.Removal, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contacts.Removal(id)
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

func hasCaughtUp(st replica.Status, id uint64) bool {
	return peerStatus(st, id).HasCaughtUp
}

// answeredAt returns when a member last answered this leader, or the zero time if it has not.
func answeredAt(st replica.Status, id uint64) time.Time { return peerStatus(st, id).AnsweredAt }

// peerStatus returns the leader's view of another member, or the zero value if there is none.
func peerStatus(st replica.Status, id uint64) raft.PeerStatus {
	for _, p := range st.Peers {
		if p.ID == id {
			return p
		}
	}
	return raft.PeerStatus{}
}
