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

func TestNextStep(t *testing.T) {
	type step struct {
		action roster.Action
		member uint64
	}
	cases := []struct {
		name      string
		conf      raft.Configuration
		announced []roster.Announcement
		silent    map[uint64]time.Duration
		want      step
	}{
		{"nothing to do", voters(3), nil, nil, step{}},
		{"a new member announces itself", voters(3), []roster.Announcement{announced(9, 9, 0)}, nil, step{roster.AddLearner, 9}},
		{"an old announcement", voters(3), []roster.Announcement{announced(9, 9, roster.AnnouncementLifetime)}, nil, step{}},
		{"a learner announces itself", withLearner(voters(3), 9), []roster.Announcement{announced(9, 9, 0)}, nil, step{roster.Promote, 9}},
		{"a voter announces itself with its disk", voters(3), []roster.Announcement{announced(2, 2, 0)}, nil, step{}},
		{"a voter rejoined with an empty disk", voters(3), []roster.Announcement{announced(2, 7, 0)}, nil, step{roster.Remove, 2}},
		{"the leader's own announcement changes nothing", voters(3), []roster.Announcement{announced(1, 1, 0)}, nil, step{}},
		{"two new members: the lower id first", voters(3), []roster.Announcement{announced(9, 9, 0), announced(8, 8, 0)}, nil, step{roster.AddLearner, 8}},
		{"the group is large enough", withLearner(voters(roster.MaxVoters), 9), []roster.Announcement{announced(9, 9, 0)}, nil, step{}},
		{"one of three is silent", voters(3), nil, map[uint64]time.Duration{2: time.Hour}, step{}},
		{"one of four is silent", voters(4), nil, map[uint64]time.Duration{3: roster.SilenceLimit}, step{roster.Remove, 3}},
		{"one of four is silent for a moment", voters(4), nil, map[uint64]time.Duration{3: roster.SilenceLimit - 1}, step{}},
		{"a learner is silent", withLearner(voters(3), 9), nil, map[uint64]time.Duration{9: roster.SilenceLimit}, step{roster.Remove, 9}},
		{
			"a new member is added before the silent one is removed", voters(4),
			[]roster.Announcement{announced(9, 9, 0)},
			map[uint64]time.Duration{3: time.Hour},
			step{roster.AddLearner, 9},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := roster.NextStep(now, roster.View{
				Self: 1, Configuration: tc.conf, Announcements: tc.announced,
				Silent: func(id uint64) time.Duration { return tc.silent[id] },
			})
			if got.Action != tc.want.action || got.Member.ID != tc.want.member {
				t.Errorf("%s of member %d, want %s of member %d", got.Action, got.Member.ID, tc.want.action, tc.want.member)
			}
		})
	}
}
