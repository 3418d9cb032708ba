package process

import (
	"context"
	"os"
	"slices"
	"testing"

	"github.com/guavastack/guavastack/internal/clock"
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
