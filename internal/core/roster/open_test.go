package roster_test

import (
	"testing"
	"time"

	"github.com/guavastack/guavastack/internal/core/roster"
)

// Guards against an observer that counts its own pause as the silence of a member: after the pause the messages of a quorum are recorded
// before the first check, those of one member after it.
func TestPauseOfTheObserverIsNoSilence(t *testing.T) {
	const pause = 3 * time.Second
	conf := voters(4)
	c := roster.NewContacts(1, now)
	for id := uint64(2); id <= 4; id++ {
		c.Observe(now, conf)
		c.Record(id, now)
	}
	at := now.Add(pause)
	c.Record(2, at)
	c.Record(3, at)
	c.Observe(at, conf)
	v := group{conf: conf}.view()
	v.Now, v.LeaderSince, v.ObservedSince = at, at.Add(-time.Second), c.ObservedSince()
	v.Evidence = c.Evidence
	if step := roster.NextStep(v); step.Action != roster.None {
		t.Errorf("%s of member %d (%s) right after a pause of %v, want none", step.Action, step.Member.ID, step.Reason, pause)
	}
}

// Guards against a voter that is heard, never answers and keeps its vote for ever, since each of two leaders lasts less than
// UnresponsiveLimit and counts from its own election (listed in KNOWN-RED.txt).
func TestVoterThatNeverAnswersIsRemovedUnderShortLeaderships(t *testing.T) {
	const (
		leadership = roster.UnresponsiveLimit - time.Second
		within     = 4 * roster.UnresponsiveLimit
	)
	conf := voters(4)
	contacts := map[uint64]*roster.Contacts{1: roster.NewContacts(1, now), 2: roster.NewContacts(2, now)}
	leader, since := uint64(1), now
	for at := now.Add(checkInterval); at.Sub(now) < within; at = at.Add(checkInterval) {
		for _, c := range contacts {
			for id := uint64(1); id <= 4; id++ {
				c.Record(id, at)
			}
			c.Observe(at, conf)
		}
		if at.Sub(since) > leadership {
			leader, since = 3-leader, at
		}
		v := group{conf: conf}.view()
		v.Now, v.Self, v.LeaderSince, v.ObservedSince = at, leader, since, contacts[leader].ObservedSince()
		v.Evidence = func(id uint64) roster.Evidence {
			e := contacts[leader].Evidence(id)
			if id != 4 {
				e.Answered = at
			}
			return e
		}
		if roster.NextStep(v).Action == roster.Remove {
			return
		}
	}
	t.Errorf("the voter that never answers still votes after %v", within)
}
