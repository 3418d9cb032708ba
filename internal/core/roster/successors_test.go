package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

// faultTolerance returns the number of losses that a group of the given size tolerates.
func faultTolerance(size uint64) int { return int(size-1) / 2 }

// Guards against a successor that is removed as soon as it is admitted, since the wait for its first answer counts from the
// election of the leader, or its silence from the loss of its former disk (issue 40).
func TestSuccessorIsNotRemovedBeforeItCanAnswer(t *testing.T) {
	answers := []struct {
		name         string
		after, every time.Duration
	}{
		{"answers at once", 0, 0},
		{"answers late", time.Second, 0},
		{"answers just within the limit", roster.UnresponsiveLimit - checkInterval, 0},
		{"answers now and then", time.Second, roster.SilenceLimit - checkInterval},
	}
	leaders := map[string]time.Duration{"old leader": observedAfter, "young leader": checkInterval}
	for size := uint64(3); size <= roster.MaxVoters; size++ {
		for _, a := range answers {
			for leader, age := range leaders {
				for name, id := range map[string]uint64{"elsewhere": 9, "same address": size} {
					t.Run(fmt.Sprintf("%d voters/%s/%s/%s", size, leader, a.name, name), func(t *testing.T) {
						s := newSimulation(t, size, faultTolerance(size))
						s.lose(size)
						s.lead(2)
						s.run(age)
						s.start(&process{id: id, incarnation: 90, answersAfter: a.after, answersEvery: a.every})
						s.run(a.after + catchUpLimit)
						if m, ok := s.conf.Member(id); !ok || m.Learner || m.Incarnation != 90 {
							t.Errorf("the successor has no vote: %q", s.steps)
						}
						if got := s.tolerated(); got < s.tolerance {
							t.Errorf("%d losses are tolerated, want %d: %q", got, s.tolerance, s.steps)
						}
					})
				}
			}
		}
	}
}

// Guards against a successor that a new leader removes as silent at its election, since only the previous leader heard its
// announcements (issue 40).
func TestNewLeaderWaitsForAnnouncements(t *testing.T) {
	for at := roster.SilenceLimit; at < roster.SilenceLimit+2*checkInterval; at += tickInterval {
		t.Run(fmt.Sprint("new leader after ", at), func(t *testing.T) {
			s := newSimulation(t, 3, 1)
			s.start(&process{id: 9, incarnation: 9, answersAfter: roster.UnresponsiveLimit - checkInterval})
			s.run(at)
			s.leadAnother()
			s.run(roster.UnresponsiveLimit)
			if m, ok := s.conf.Member(9); !ok || m.Learner {
				t.Errorf("the successor has no vote: %q", s.steps)
			}
		})
	}
}

// Guards against a learner that stays in the group for ever though it does not answer, or sends nothing at all.
func TestLearnerThatNeverAnswersIsRemoved(t *testing.T) {
	cases := []struct {
		name    string
		process process
		unheard bool
		within  time.Duration
	}{
		{"heard", process{id: 9, incarnation: 9, hangs: true}, true, roster.UnresponsiveLimit},
		{"it announces itself", process{id: 9, incarnation: 9, answersAfter: time.Hour}, false, roster.UnresponsiveLimit},
		{"silent", process{id: 9, incarnation: 9, answersAfter: time.Hour}, true, roster.AnnouncementLifetime},
	}
	for size := uint64(3); size <= roster.MaxVoters; size++ {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%d voters/%s", size, tc.name), func(t *testing.T) {
				s := newSimulation(t, size, faultTolerance(size))
				p := tc.process
				s.start(&p)
				s.run(checkInterval)
				if _, ok := s.conf.Member(9); !ok {
					t.Fatal("the learner is not admitted")
				}
				s.unheard = tc.unheard
				s.run(tc.within + 2*checkInterval)
				if len(s.steps) < 2 || len(s.removed) == 0 {
					t.Errorf("the learner is not removed: %q", s.steps)
				}
			})
		}
	}
}

// Guards against a member that counts as silent right after its admission, as it was removed and added again between two
// observations (issue 40).
func TestSilenceCountsFromTheLatestAdmission(t *testing.T) {
	admitted := raft.Member{ID: 9, Learner: true, Added: 4}
	cases := map[string]struct{ before, after raft.Member }{
		"a learner that was added again":                {admitted, raft.Member{ID: 9, Learner: true, Added: 6}},
		"a voter that is a learner now, an old build":   {raft.Member{ID: 9, Incarnation: 9}, raft.Member{ID: 9, Learner: true}},
		"a voter with another disk now, an old build":   {raft.Member{ID: 9, Incarnation: 9}, raft.Member{ID: 9, Incarnation: 10}},
		"an old build leads and does not write Added":   {admitted, raft.Member{ID: 9, Learner: true}},
		"a new build leads again after it was re-added": {raft.Member{ID: 9, Learner: true}, admitted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := roster.NewContacts(1, now)
			c.Observe(now, changed(voters(1), roster.AddLearner, tc.before))
			later := now.Add(time.Hour)
			c.Observe(later, changed(voters(1), roster.AddLearner, tc.after))
			if got := silence(c, later.Add(time.Second), 9); got != time.Second {
				t.Errorf("silent for %v, want 1s since its admission", got)
			}
			if got := c.Evidence(9).Admitted; got != later {
				t.Errorf("admitted %v after the start, want 1h", got.Sub(now))
			}
		})
	}
}

// Guards against a promotion that makes a member count as newly admitted, so that its silence starts anew.
func TestPromotionIsNoAdmission(t *testing.T) {
	c := roster.NewContacts(1, now)
	c.Observe(now, changed(voters(1), roster.AddLearner, raft.Member{ID: 9, Learner: true, Added: 4}))
	later := now.Add(time.Second)
	c.Observe(later, changed(voters(1), roster.AddLearner, raft.Member{ID: 9, Incarnation: 9, Added: 4}))
	if got := silence(c, later, 9); got != time.Second {
		t.Errorf("silent for %v, want 1s", got)
	}
}

// Guards against a member that is admitted again through the announcement that it made before its removal.
func TestAnnouncementBeforeTheRemovalDoesNotAdmit(t *testing.T) {
	cases := []struct {
		name          string
		removed       raft.Member
		heard, remove time.Duration // before now
		want          roster.Action
	}{
		{"a voter, heard before", raft.Member{ID: 9, Incarnation: 9}, 2 * time.Second, time.Second, roster.None},
		{"a learner, heard before", raft.Member{ID: 9, Learner: true}, 2 * time.Second, time.Second, roster.None},
		{"heard at the same moment", raft.Member{ID: 9, Incarnation: 9}, time.Second, time.Second, roster.None},
		{"heard afterwards", raft.Member{ID: 9, Incarnation: 9}, time.Second, 2 * time.Second, roster.AddLearner},
		{"heard before with another disk", raft.Member{ID: 9, Incarnation: 8}, 2 * time.Second, time.Second, roster.AddLearner},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v := group{conf: voters(3), announced: []roster.Announcement{announced(9, 9, tc.heard)}}.view()
			v.Removal = func(uint64) (roster.Removal, bool) {
				return roster.Removal{Member: tc.removed, At: now.Add(-tc.remove)}, true
			}
			if got := roster.NextStep(v).Action; got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against a successor that loses its vote at once, since a learner that lost its disk had announced itself with the former one
// (soak seed 40 of 4 members).
func TestAnnouncementBeforeTheVoteDoesNotRemove(t *testing.T) {
	cases := []struct {
		name  string
		id    uint64
		heard time.Duration // after the vote was observed
		want  roster.Action
	}{
		{"heard before the vote", 4, -time.Second, roster.None},
		{"heard at the same moment", 4, 0, roster.None},
		{"heard since", 4, time.Second, roster.Remove},
		{"of the leader itself", 1, time.Second, roster.None},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := roster.NewContacts(1, now.Add(-time.Hour))
			c.Observe(now.Add(-2*time.Second), withLearner(voters(3), 4))
			c.Observe(now.Add(-time.Second), voters(4))
			v := group{conf: voters(4), announced: []roster.Announcement{announced(tc.id, 90, time.Second-tc.heard)}}.view()
			v.Evidence = func(id uint64) roster.Evidence {
				e := c.Evidence(id)
				e.Heard, e.Answered = now, now
				return e
			}
			if got := roster.NextStep(v).Action; got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against evidence from before the admission, whoever passes it: it must not remove the member, nor delay its vote.
func TestEvidenceBeforeTheAdmissionDoesNotCount(t *testing.T) {
	long := now.Add(-time.Hour)
	for name, e := range map[string]roster.Evidence{
		"heard and answered long ago": {Admitted: now, Heard: long, Answered: long},
		"never heard, never answered": {Admitted: now},
		"said before that it leaves":  {Admitted: now, Heard: now, Answered: now, Leaves: now.Add(-time.Second)},
		"not observed yet":            {Heard: long, Answered: long, Leaves: now},
	} {
		for _, lagging := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", lagging ", lagging), func(t *testing.T) {
				g := group{conf: withLearner(voters(4), 9), lagging: map[uint64]bool{9: lagging}}
				v := g.view()
				v.Evidence = func(id uint64) roster.Evidence {
					if id == 9 {
						return e
					}
					return g.evidence(id)
				}
				want := roster.Promote
				if lagging {
					want = roster.None
				}
				if got := roster.NextStep(v).Action; got != want {
					t.Errorf("got %s, want %s", got, want)
				}
			})
		}
	}
}
