package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

func TestTolerance(t *testing.T) {
	const long = time.Hour
	cases := []struct {
		name        string
		conf        raft.Configuration
		required    int // 0: one
		noLeader    bool
		announced   []roster.Announcement
		unreachable []uint64
		otherDisk   []uint64
		caughtUp    []uint64
		reachable   int
		spare       int
		want        roster.Wait
	}{
		{name: "whole group", conf: voters(3), reachable: 3, spare: 1, want: roster.WaitNone},
		{name: "whole group without a leader", conf: voters(3), noLeader: true, reachable: 3, spare: 1, want: roster.WaitNone},
		{name: "larger than it must be, one lost", conf: voters(5), unreachable: []uint64{5}, reachable: 4, spare: 1, want: roster.WaitNone},
		{name: "no group known", spare: -1, want: roster.WaitGroup},
		{name: "one lost, no successor", conf: voters(3), unreachable: []uint64{3}, reachable: 2, want: roster.WaitSuccessor},
		{name: "one lost, no leader", conf: voters(3), noLeader: true, unreachable: []uint64{3}, reachable: 2, want: roster.WaitLeader},
		{name: "two lost", conf: voters(3), unreachable: []uint64{2, 3}, reachable: 1, spare: -1, want: roster.WaitQuorum},
		{name: "two lost of four", conf: voters(4), noLeader: true, unreachable: []uint64{1, 2}, reachable: 2, spare: -1, want: roster.WaitQuorum},
		{name: "one lost of four", conf: voters(4), unreachable: []uint64{4}, reachable: 3, want: roster.WaitRemoval},
		{
			name: "one lost of four, a learner besides", conf: withLearner(voters(4), 9), caughtUp: []uint64{9}, unreachable: []uint64{4},
			reachable: 3, want: roster.WaitRemoval,
		},
		{name: "returned with another disk", conf: voters(3), otherDisk: []uint64{3}, reachable: 2, want: roster.WaitReadmission},
		{name: "too few voters", conf: voters(2), reachable: 2, want: roster.WaitSuccessor},
		{
			name: "successor has announced itself", conf: voters(3), unreachable: []uint64{3},
			announced: []roster.Announcement{announced(9, 9, time.Second)}, reachable: 2, want: roster.WaitAdmission,
		},
		{
			name: "its announcement is too old", conf: voters(3), unreachable: []uint64{3},
			announced: []roster.Announcement{announced(9, 9, long)}, reachable: 2, want: roster.WaitSuccessor,
		},
		{
			name: "learner is announced too", conf: withLearner(voters(3), 9), unreachable: []uint64{3},
			announced: []roster.Announcement{announced(9, 9, time.Second)}, reachable: 2, want: roster.WaitCatchUp,
		},
		{name: "learner has caught up", conf: withLearner(voters(3), 9), unreachable: []uint64{3}, caughtUp: []uint64{9}, reachable: 2, want: roster.WaitPromotion},
		{
			name: "one of two learners has caught up", conf: withLearner(withLearner(voters(3), 8), 9), unreachable: []uint64{3}, caughtUp: []uint64{8},
			reachable: 2, want: roster.WaitPromotion,
		},
		{name: "learner is lost too", conf: withLearner(voters(3), 9), unreachable: []uint64{3, 9}, reachable: 2, want: roster.WaitSuccessor},
		{name: "two must be tolerated", conf: voters(5), required: 2, reachable: 5, spare: 2, want: roster.WaitNone},
		{name: "two must be tolerated by four", conf: voters(4), required: 2, reachable: 4, spare: 1, want: roster.WaitSuccessor},
		{name: "two must be tolerated, one of six is lost", conf: voters(6), required: 2, unreachable: []uint64{6}, reachable: 5, spare: 1, want: roster.WaitRemoval},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := roster.Observation{
				Configuration: tc.conf, Leader: 1, Announcements: tc.announced, FaultTolerance: max(tc.required, 1),
				IsReachable:  func(id uint64) bool { return !slices.Contains(tc.unreachable, id) },
				HasOtherDisk: func(id uint64) bool { return slices.Contains(tc.otherDisk, id) },
				HasCaughtUp:  func(id uint64) bool { return slices.Contains(tc.caughtUp, id) },
			}
			if tc.noLeader {
				o.Leader = 0
			}
			got := o.Tolerance(now)
			if got.Voters != len(tc.conf.Voters()) || got.Reachable != tc.reachable || got.Spare != tc.spare || got.WaitsFor != tc.want {
				t.Errorf("got %+v, want %d reachable voters, %d to spare and to wait for %q", got, tc.reachable, tc.spare, tc.want)
			}
			if lost := slices.Sorted(slices.Values(slices.Concat(tc.unreachable, tc.otherDisk))); !slices.Equal(got.Unreachable, slices.DeleteFunc(lost, func(id uint64) bool { return id > 7 })) {
				t.Errorf("got unreachable voters %v, want %v and %v", got.Unreachable, tc.unreachable, tc.otherDisk)
			}
			if wantBelow := tc.want != roster.WaitNone && tc.want != roster.WaitGroup; got.IsBelow() != wantBelow {
				t.Errorf("below its tolerance: got %v, want %v", got.IsBelow(), wantBelow)
			}
		})
	}
}

// TestIsHeard checks that an observer that hears nobody doesn't count the others as heard, as Silence does.
func TestIsHeard(t *testing.T) {
	c := roster.NewContacts(1, now)
	c.Observe(now, voters(3))
	c.Record(2, now.Add(5*time.Second))
	at := now.Add(5*time.Second + roster.SilenceLimit - 1)
	c.Observe(at, voters(3))
	for id, want := range map[uint64]bool{1: true, 2: true, 3: false, 4: false} {
		if got := c.IsHeard(at, id); got != want {
			t.Errorf("member %d is heard: got %v, want %v", id, got, want)
		}
	}
	at = at.Add(time.Hour)
	c.Observe(at, voters(3))
	if c.IsHeard(at, 2) || silence(c, at, 2) != 0 {
		t.Error("member 2 counts as heard, or as silent, though the observer hears nobody")
	}
}
