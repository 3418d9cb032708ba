package roster

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// Contacts records when the members of the group were last heard. Every member keeps its own, whoever leads, so that a new leader
// knows which members have been silent since before its election.
//
// Silence counts only while the observer itself is in contact with a quorum: a member that was suspended or cut off has heard from
// nobody, which says nothing about the others.
type Contacts struct {
	self  uint64
	since time.Time // start of the uninterrupted observation
	heard map[uint64]time.Time
}

// NewContacts returns the contacts of member self, whose observation starts at now.
func NewContacts(self uint64, now time.Time) *Contacts {
	return &Contacts{self: self, since: now, heard: make(map[uint64]time.Time)}
}

// Record records that a member was heard at the given time. Times may arrive in any order.
func (c *Contacts) Record(id uint64, at time.Time) {
	if last, ok := c.heard[id]; ok && at.After(last) {
		c.heard[id] = at
	}
}

// Observe must be called regularly with the configuration in effect. A member that is new in it counts as heard. The observation
// starts anew while fewer than a quorum of the voters have been heard within SilenceLimit.
func (c *Contacts) Observe(now time.Time, conf raft.Configuration) {
	for id := range c.heard {
		if _, ok := conf.Member(id); !ok {
			delete(c.heard, id)
		}
	}
	for _, m := range conf.Members {
		if _, ok := c.heard[m.ID]; !ok {
			c.heard[m.ID] = now
		}
	}
	if !c.hearsQuorum(now, conf) {
		c.since = now
	}
}

func (c *Contacts) hearsQuorum(now time.Time, conf raft.Configuration) bool {
	heard := 0
	for _, id := range conf.Voters() {
		if id == c.self || now.Sub(c.heard[id]) < SilenceLimit {
			heard++
		}
	}
	return heard >= conf.Quorum()
}

// Silence returns for how long nothing has been heard from a member, at most since the observation started. It is 0 for a member
// that was not in the configuration at the latest call of Observe.
func (c *Contacts) Silence(now time.Time, id uint64) time.Duration {
	last, ok := c.heard[id]
	if !ok {
		return 0
	}
	if c.since.After(last) {
		last = c.since
	}
	return now.Sub(last)
}
