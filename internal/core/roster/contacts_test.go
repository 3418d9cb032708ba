package roster_test

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/core/roster"
)

const (
	// checkInterval is the time between two checks of the membership.
	checkInterval = 300 * time.Millisecond
	// repairLimit is the time after which a lost member must have no vote any more, once its successor can have one.
	repairLimit = 3 * time.Second
)

// observers are the contacts of all members of a group in virtual time. All members but the lost one are heard at each check.
type observers struct {
	at       time.Time
	conf     raft.Configuration
	contacts map[uint64]*roster.Contacts
	lost     uint64
}

func newObservers(conf raft.Configuration) *observers {
	o := &observers{at: now, conf: conf, contacts: make(map[uint64]*roster.Contacts)}
	for _, m := range conf.Members {
		o.contacts[m.ID] = roster.NewContacts(m.ID, o.at)
	}
	return o
}

func (o *observers) check() {
	o.at = o.at.Add(checkInterval)
	for _, c := range o.contacts {
		for _, m := range o.conf.Members {
			if m.ID != o.lost {
				c.Record(m.ID, o.at)
			}
		}
		c.Observe(o.at, o.conf)
	}
}

// Guards against a group without a quorum for good: a lost member kept its vote while leaders changed, and the next loss left no
// quorum (review/1).
func TestLostMemberIsRemovedThoughLeadersChange(t *testing.T) {
	for size := uint64(3); size <= roster.MaxVoters; size++ {
		o := newObservers(withLearner(voters(size), 9))
		for range 10 {
			o.check()
		}
		o.lost = size
		leader, lostAt := uint64(1), o.at
		want := int(min(size, roster.MaxVoters-1))
		for _, isVoter := o.conf.Member(o.lost); isVoter || len(o.conf.Voters()) < want; _, isVoter = o.conf.Member(o.lost) {
			o.check()
			if o.at.Sub(lostAt) > repairLimit {
				t.Fatalf("%d voters: %v after a loss the lost one still votes (%v), or %d are left", size, o.at.Sub(lostAt), isVoter, len(o.conf.Voters()))
			}
			leader = leader%(size-1) + 1 // another leader at each check
			step := roster.NextStep(roster.View{
				Now: o.at, Self: leader, LeaderSince: o.at, ObservedSince: o.contacts[leader].ObservedSince(),
				Configuration: o.conf, FaultTolerance: 1,
				HasCaughtUp: func(uint64) bool { return true },
				Evidence:    o.contacts[leader].Evidence,
				Removal:     o.contacts[leader].Removal,
			})
			o.conf = apply(o.conf, step)
		}
	}
}

// apply returns the configuration after a step.
func apply(c raft.Configuration, s roster.Step) raft.Configuration {
	var next raft.Configuration
	for _, m := range c.Members {
		if m.ID != s.Member.ID {
			next.Members = append(next.Members, m)
		}
	}
	switch s.Action {
	case roster.None:
		return c
	case roster.Promote:
		s.Member.Learner = false
		next.Members = append(next.Members, s.Member)
	}
	return next
}

// silence returns for how long nothing has been heard from a member, at most since the observation started. It is 0 for a member
// that was not in the configuration at the latest call of Observe.
func silence(c *roster.Contacts, at time.Time, id uint64) time.Duration {
	e := c.Evidence(id)
	if e.Admitted.IsZero() {
		return 0
	}
	return min(at.Sub(e.Heard), at.Sub(c.ObservedSince()))
}

func TestSilence(t *testing.T) {
	conf := voters(3)
	type heard struct {
		id uint64
		at time.Duration
	}
	cases := []struct {
		name  string
		heard []heard // in the order in which it is recorded
		want  time.Duration
	}{
		{"heard", []heard{{2, 4 * time.Second}, {3, 4 * time.Second}}, time.Second},
		{"heard in another order", []heard{{2, 4 * time.Second}, {3, 4 * time.Second}, {3, time.Second}}, time.Second},
		{"not heard, the others are", []heard{{2, time.Second}, {2, 2 * time.Second}, {2, 3 * time.Second}, {2, 4 * time.Second}}, 5 * time.Second},
		{"nobody is heard", nil, time.Second},
		{"the others are heard again at 4 s, the observer was cut off at 3 s", []heard{{2, time.Second}, {2, 4 * time.Second}}, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := roster.NewContacts(1, now)
			c.Observe(now, conf)
			// The time is checked each second, the last time a second before the end.
			for second := range 5 {
				at := time.Duration(second) * time.Second
				for _, h := range tc.heard {
					if h.at <= at {
						c.Record(h.id, now.Add(h.at))
					}
				}
				c.Observe(now.Add(at), conf)
			}
			if got := silence(c, now.Add(5*time.Second), 3); got != tc.want {
				t.Errorf("member 3 is silent for %v, want %v", got, tc.want)
			}
		})
	}
}

func TestNewMemberCountsAsHeard(t *testing.T) {
	c := roster.NewContacts(1, now)
	c.Observe(now, voters(1))
	later := now.Add(time.Hour)
	if got := silence(c, later, 9); got != 0 {
		t.Errorf("a member that was added since the latest observation is silent for %v, want 0", got)
	}
	c.Observe(later, withLearner(voters(1), 9))
	if got := silence(c, later.Add(time.Second), 9); got != time.Second {
		t.Errorf("the new member is silent for %v, want 1s", got)
	}
}
