package process

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

// startGroup starts a new group of members 1 to 3 and adds member 4.
func (d *discoveryGroup) startGroup() map[int]*runningMember {
	d.t.Helper()
	members := make(map[int]*runningMember)
	for host := 1; host <= 3; host++ {
		members[host] = d.start(host, true)
	}
	d.waitUntil("a leader of three voters", func() bool {
		_, ok := members[1].replica.Leader()
		return ok && members[1].voters() == 3
	})
	members[4] = d.start(4, false)
	for _, m := range members {
		d.waitUntil("four voters", func() bool { return m.voters() == 4 })
	}
	d.replaceCatalog(members[4], 7)
	return members
}

func (m *runningMember) voters() int { return len(m.replica.Status().Members()) }

// lose ends a member suddenly: it neither transfers leadership nor leaves the group.
func (d *discoveryGroup) lose(m *runningMember) {
	if err := m.replica.Close(); err != nil {
		d.t.Errorf("close the replica: %v", err)
	}
	m.stop()
}

// checkServes checks that two members still have the catalog version before, and accept and read a new one.
func (d *discoveryGroup) checkServes(a, b *runningMember, before uint64) {
	d.t.Helper()
	d.waitUntil("a leader", func() bool { _, ok := a.replica.Leader(); return ok })
	d.checkCatalog(a, before)
	d.replaceCatalog(a, before+1)
	d.checkCatalog(b, before+1)
}

// Guards against a group without a quorum for good after a planned replacement: the member that was shut down kept its vote, and
// the next loss left two of four voters (review/1).
func TestGroupSurvivesLossAfterPlannedReplacement(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	members[1].membership.leaveTimeout = conditionTimeout
	members[1].stop()
	d.lose(members[2])
	d.checkServes(members[3], members[4], 7)
}

// Guards against a lost member that keeps its vote because each new leader counts its silence from the election (review/1).
func TestLostMemberIsRemovedDuringElections(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.lose(members[1])
	delete(members, 1)
	d.waitUntil("the lost member is removed", func() bool {
		if leader := leaderOf(members); leader != nil {
			changeLeader(leader)
		}
		time.Sleep(time.Second) // shorter than the silence that a removal takes
		return members[3].voters() == 3
	})
	d.lose(members[2])
	d.checkServes(members[3], members[4], 7)
}

// changeLeader lets a leader transfer its leadership. A transfer that fails leads to an election too.
func changeLeader(m *runningMember) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.replica.TransferLeadership(ctx)
}

// Guards against a member that restarts at once and is removed again, since it still counts as leaving.
func TestRestartedMemberDoesNotCountAsLeaving(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.waitUntil("a leader", func() bool { return leaderOf(members) != nil })
	leader := leaderOf(members).membership
	st := leader.replica.Status()
	var other raft.Member
	for _, m := range st.Configuration.Members {
		if m.ID != st.ID {
			other = m
		}
	}
	if !leader.Leave(other.ID, other.Incarnation) {
		t.Fatal("the leader of four voters does not remove one that leaves")
	}
	d.waitUntil("the member is removed", func() bool { return len(leader.replica.Status().Members()) == 3 })
	if leader.Announce(other.ID, other.Address, other.Incarnation) {
		t.Error("the removed member counts as a voter")
	}
	if leaves := leader.evidence(leader.replica.Status(), other.ID).Leaves; !leaves.IsZero() {
		t.Error("a member that announces itself still counts as leaving")
	}
}

// leaderOf returns the member that leads, or nil.
func leaderOf(members map[int]*runningMember) *runningMember {
	for _, m := range members {
		if m.replica.Status().Role == raft.Leader {
			return m
		}
	}
	return nil
}

// Guards against a voter that is removed after its restart, since its former process had said that it leaves and was not removed in time.
func TestVoterThatAnnouncesItselfLeavesNoMore(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.waitUntil("a leader", func() bool { return leaderOf(members) != nil })
	leader := leaderOf(members).membership
	st := leader.replica.Status()
	i := slices.IndexFunc(st.Configuration.Members, func(m raft.Member) bool { return m.ID != st.ID })
	voter := st.Configuration.Members[i]
	leader.mu.Lock()
	leader.leaving[voter.ID] = roster.Announcement{Member: voter, Heard: clock.Now()}
	leader.mu.Unlock()
	leader.Announce(voter.ID, voter.Address, voter.Incarnation)
	if at := leader.evidence(st, voter.ID).Leaves; !at.IsZero() {
		t.Errorf("the voter still counts as leaving since %v after the announcement of its next process", at)
	}
}
