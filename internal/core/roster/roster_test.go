package roster_test

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// voters returns a configuration of members 1 to n, each with its id as incarnation.
func voters(n uint64) raft.Configuration {
	var c raft.Configuration
	for id := uint64(1); id <= n; id++ {
		c.Members = append(c.Members, raft.Member{ID: id, Incarnation: id})
	}
	return c
}

func withLearner(c raft.Configuration, id uint64) raft.Configuration {
	c.Members = append(c.Members, raft.Member{ID: id, Learner: true})
	return c
}

func announced(id, incarnation uint64, ago time.Duration) roster.Announcement {
	return roster.Announcement{Member: raft.Member{ID: id, Incarnation: incarnation, Address: "a"}, Heard: now.Add(-ago)}
}

// group is a leader's view as the tests write it. Durations are zero and learners have caught up unless stated.
type group struct {
	conf         raft.Configuration
	announced    []roster.Announcement
	tolerance    int // 0: one
	silent       map[uint64]time.Duration
	unresponsive map[uint64]time.Duration
	lagging      map[uint64]bool // learners that have not caught up
	leaving      map[uint64]bool
}

// view returns the view of member 1, which has led for an hour. The members were admitted before.
func (g group) view() roster.View {
	return roster.View{
		Now: now, Self: 1, LeaderSince: now.Add(-time.Hour), ObservedSince: now.Add(-time.Hour),
		Configuration: g.conf, Announcements: g.announced, FaultTolerance: max(g.tolerance, 1),
		HasCaughtUp: func(id uint64) bool { return !g.lagging[id] },
		Evidence:    g.evidence,
		Removal:     func(uint64) (roster.Removal, bool) { return roster.Removal{}, false },
	}
}

func (g group) evidence(id uint64) roster.Evidence {
	e := roster.Evidence{
		Admitted: now.Add(-2 * time.Hour), Heard: now.Add(-g.silent[id]), Answered: now.Add(-g.unresponsive[id]),
	}
	if g.leaving[id] {
		e.Leaves = now
	}
	return e
}

func TestNextStep(t *testing.T) {
	type step struct {
		action roster.Action
		member uint64
	}
	lost := func(ids ...uint64) map[uint64]time.Duration {
		out := make(map[uint64]time.Duration)
		for _, id := range ids {
			out[id] = roster.SilenceLimit
		}
		return out
	}
	cases := []struct {
		name string
		group
		want step
	}{
		{"nothing to do", group{conf: voters(3)}, step{}},
		{"a new member announces itself", group{conf: voters(3), announced: []roster.Announcement{announced(9, 9, 0)}}, step{roster.AddLearner, 9}},
		{"an old announcement", group{conf: voters(3), announced: []roster.Announcement{announced(9, 9, roster.AnnouncementLifetime)}}, step{}},
		{"a learner announces itself", group{conf: withLearner(voters(3), 9), announced: []roster.Announcement{announced(9, 9, 0)}}, step{roster.Promote, 9}},
		{"a learner whose announcement the leader has not heard", group{conf: withLearner(voters(3), 9)}, step{roster.Promote, 9}},
		{"a learner that has not caught up", group{conf: withLearner(voters(3), 9), lagging: map[uint64]bool{9: true}}, step{}},
		{"a voter announces itself with its disk", group{conf: voters(3), announced: []roster.Announcement{announced(2, 2, 0)}}, step{}},
		{"a voter rejoined with an empty disk", group{conf: voters(3), announced: []roster.Announcement{announced(2, 7, 0)}}, step{roster.Remove, 2}},
		{"the leader's own announcement changes nothing", group{conf: voters(3), announced: []roster.Announcement{announced(1, 1, 0)}}, step{}},
		{"two new members: the lower id first", group{conf: voters(3), announced: []roster.Announcement{announced(9, 9, 0), announced(8, 8, 0)}}, step{roster.AddLearner, 8}},
		{"the group is large enough", group{conf: withLearner(voters(roster.MaxVoters), 9), announced: []roster.Announcement{announced(9, 9, 0)}}, step{}},
		{"one of three is silent", group{conf: voters(3), silent: map[uint64]time.Duration{2: time.Hour}}, step{}},
		{"one of four is silent", group{conf: voters(4), silent: lost(3)}, step{roster.Remove, 3}},
		{"one of four is silent for a moment", group{conf: voters(4), silent: map[uint64]time.Duration{3: roster.SilenceLimit - 1}}, step{}},
		{"a learner is silent", group{conf: withLearner(voters(3), 9), silent: lost(9)}, step{roster.Remove, 9}},
		{
			"a new member is added before the silent one is removed",
			group{conf: voters(4), announced: []roster.Announcement{announced(9, 9, 0)}, silent: map[uint64]time.Duration{3: time.Hour}},
			step{roster.AddLearner, 9},
		},
		{"one of three is silent and its successor is ready", group{conf: withLearner(voters(3), 9), silent: lost(3)}, step{roster.Remove, 3}},
		{"one of three does not answer and its successor is ready", group{conf: withLearner(voters(3), 9), unresponsive: map[uint64]time.Duration{3: roster.UnresponsiveLimit}}, step{roster.Remove, 3}},
		{"one of three is unheard and its successor is ready", group{conf: withLearner(voters(3), 9), silent: map[uint64]time.Duration{3: roster.SilenceLimit - 1}}, step{}},
		{"one of two is left and the successor of the third is ready", group{conf: withLearner(voters(2), 9)}, step{roster.Promote, 9}},
		{
			"a successor that does not catch up does not delay the removal of a silent one",
			group{conf: withLearner(voters(4), 9), lagging: map[uint64]bool{9: true}, silent: lost(3)},
			step{roster.Remove, 3},
		},
		{"one of four is heard and does not answer", group{conf: voters(4), unresponsive: map[uint64]time.Duration{3: roster.UnresponsiveLimit}}, step{roster.Remove, 3}},
		{"one of four does not answer for a moment", group{conf: voters(4), unresponsive: map[uint64]time.Duration{3: roster.UnresponsiveLimit - 1}}, step{}},
		{"one of four leaves", group{conf: voters(4), leaving: map[uint64]bool{3: true}}, step{roster.Remove, 3}},
		{"one of three leaves", group{conf: voters(3), leaving: map[uint64]bool{3: true}}, step{}},
		{"one of three leaves and its successor is ready", group{conf: withLearner(voters(3), 9), leaving: map[uint64]bool{3: true}}, step{roster.Promote, 9}},
		{"two losses must be tolerated: one of five is silent", group{conf: voters(5), tolerance: 2, silent: lost(3)}, step{}},
		{"two losses must be tolerated: two of six are silent", group{conf: voters(6), tolerance: 2, silent: lost(3, 4)}, step{roster.Remove, 3}},
		{"the largest group, one is silent, no successor", group{conf: voters(7), tolerance: 3, silent: lost(3)}, step{}},
		{"the largest group, one is silent, its successor is ready", group{conf: withLearner(voters(7), 9), tolerance: 3, silent: lost(3)}, step{roster.Remove, 3}},
		{
			"the largest group, one is silent, its successor has not caught up",
			group{conf: withLearner(voters(7), 9), tolerance: 3, silent: lost(3), lagging: map[uint64]bool{9: true}},
			step{},
		},
		{"a silent learner is no successor", group{conf: withLearner(voters(7), 9), tolerance: 3, silent: lost(3, 9)}, step{roster.Remove, 9}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := roster.NextStep(tc.view())
			if got.Action != tc.want.action || got.Member.ID != tc.want.member {
				t.Errorf("%s of member %d, want %s of member %d", got.Action, got.Member.ID, tc.want.action, tc.want.member)
			}
		})
	}
}

func TestReleasesLeaving(t *testing.T) {
	cases := []struct {
		name string
		group
		member uint64
		want   bool
	}{
		{"one of four", group{conf: voters(4)}, 3, true},
		{"one of three", group{conf: voters(3)}, 3, false},
		{"the leader itself", group{conf: voters(4)}, 1, false},
		{"a learner", group{conf: withLearner(voters(4), 9)}, 9, false},
		{"no member", group{conf: voters(4)}, 9, false},
		{"one of five, two losses must be tolerated", group{conf: voters(5), tolerance: 2}, 3, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.view().ReleasesLeaving(tc.member); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
