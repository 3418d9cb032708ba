package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/clock"
	"github.com/guavastack/guavastack/internal/core/roster"
	"github.com/guavastack/guavastack/internal/replica"
	"github.com/guavastack/guavastack/internal/rpcpool"
)

// startSuccessors starts a group of members 1 to 3, which control_members names, and replaces them by members 4 to last.
func (d *discoveryGroup) startSuccessors(last int) map[int]*runningMember {
	d.t.Helper()
	members := d.startGroup()
	for host := 5; host <= last; host++ {
		members[host] = d.start(host, false)
	}
	for _, m := range members {
		d.waitUntil("all members vote", func() bool { return m.voters() == last })
	}
	for host := 1; host <= 3; host++ {
		members[host].membership.leaveTimeout = conditionTimeout
		members[host].stop()
		delete(members, host)
	}
	d.waitUntil("the first three members are removed", func() bool { return members[4].voters() == last-3 })
	return members
}

// loseDisk ends a member suddenly and removes its data directory.
func (d *discoveryGroup) loseDisk(m *runningMember, host int) {
	d.t.Helper()
	d.lose(m)
	if err := os.RemoveAll(d.dataDir(host)); err != nil {
		d.t.Fatal(err)
	}
}

// waitForVote waits until a member votes with its current disk.
func (d *discoveryGroup) waitForVote(m *runningMember) {
	d.t.Helper()
	d.waitUntil("the member votes with its new disk", func() bool { return isVoter(m.replica.Status()) })
}

// Guards against a member that lost its disk and announces itself to nobody, since all of its control_members are gone (issue 40).
func TestEmptyMemberLearnsGroupFromLeader(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startSuccessors(6)
	d.loseDisk(members[6], 6)
	members[6] = d.start(6, false)
	d.waitForVote(members[6])
	d.checkCatalog(members[6], 7)
}

// Guards against a member that lost its disk, was removed as silent before it started again, and hears nothing of the group since
// (issue 40).
func TestEmptyMemberRemovedAsSilentLearnsGroup(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startSuccessors(7)
	d.loseDisk(members[7], 7)
	d.waitUntil("the lost member is removed", func() bool { return members[4].voters() == 3 })
	members[7] = d.start(7, false)
	d.waitForVote(members[7])
	d.checkCatalog(members[7], 7)
}

// Guards against a member of another deployment, at an address that a member of the group had before, that learns this group or gets
// into it (issue 40).
func TestMemberOfOtherGroupAtReusedAddressStaysOut(t *testing.T) {
	d := newDiscoveryGroup(t)
	members := d.startGroup()
	d.loseDisk(members[4], 4)
	delete(members, 4)
	d.waitUntil("the lost member is removed", func() bool { return members[1].voters() == 3 })
	d.number = 2
	other := d.start(4, false)
	d.waitUntil("the announcement of the other group's member is refused", func() bool { return refusalsOf(members, refusedGroup) > 0 })
	d.waitUntil("a leader", func() bool { return leaderOf(members) != nil })
	leader := leaderOf(members).membership
	d.waitUntil("the lost member counts as a former one", func() bool { return slices.Equal(leader.absentAddresses(), []string{d.address(4)}) })
	leader.introduceToAbsent(context.Background(), leader.introduction())
	other.membership.learnFromSenders(other.replica.Status())
	if known := other.membership.known.List(clock.Now()); len(known) > 0 {
		t.Errorf("the other group's member has learned the addresses %q, want none", known)
	}
	if _, ok := leader.replica.Status().Configuration.Member(d.id(4)); ok {
		t.Error("the other group's member is in the configuration")
	}
}

// Guards against a new group whose first members are taken into an older group that had one of their addresses before.
func TestMemberOfNewGroupAnnouncesItselfToItsSeedsOnly(t *testing.T) {
	const seed, learned = "10.0.0.1:1", "10.0.0.5:1"
	cases := []struct {
		name  string
		join  bool
		epoch uint64
		want  []string
	}{
		{"may form a new group", false, 0, []string{seed}},
		{"may only join", true, 0, []string{learned, seed}},
		{"has a group", false, 5, []string{learned, seed}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := announcingMember(t, io.Discard, []string{seed}, errors.New("host is down"))
			m.base.Config.Control.Join = tc.join
			m.learn(learned, clock.Now(), true)
			if got := m.otherAddresses(replica.Status{Epoch: tc.epoch}); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a successor that is admitted late, since it tries many addresses that accept connections and never answer one after the other.
func TestAddressesThatNeverAnswerDoNotDelayAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		m := announcingMember(t, io.Discard, nil, nil)
		m.base.Config.Control.Join = true
		m.pool = rpcpool.New(func(ctx context.Context, _ string) (net.Conn, error) {
			dials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		for i := range roster.MaxKnownAddresses {
			m.learn(fmt.Sprintf("10.0.0.%d:1", 10+i), clock.Now(), false)
		}
		start := time.Now()
		m.announce(t.Context(), replica.Status{})
		if took := time.Since(start); took > 2*announceTimeout || dials.Load() != roster.MaxKnownAddresses {
			t.Errorf("one round took %v and tried %d addresses, want at most %v and %d", took, dials.Load(), 2*announceTimeout, roster.MaxKnownAddresses)
		}
	})
}
