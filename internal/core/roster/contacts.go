package roster

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// Contacts records when the members of the group were admitted and last heard. Every member keeps its own, whoever leads, so that
// a new leader knows which members have been silent since before its election.
//
// Silence counts only while the observer itself is in contact with a quorum: a member that was suspended or cut off has heard from
// nobody, which says nothing about the others.
type Contacts struct {
	self    uint64
	since   time.Time // start of the uninterrupted observation
	checked time.Time // of the latest call of Observe
	members map[uint64]contact
	removed map[uint64]Removal
}

// pauseLimit is the time between two calls of Observe from which the observer counts as paused. A shorter pause, plus the time since a
// member was heard before it, stays below SilenceLimit, so that no pause by itself makes a member count as lost.
const pauseLimit = SilenceLimit * 3 / 4

// contact is what is known of one membership.
type contact struct {
	member   raft.Member
	admitted time.Time // when the membership was first observed
	voted    time.Time // when its vote was first observed; zero for a learner
	heard    time.Time // not before admitted
}

// Removal is the end of a membership.
type Removal struct {
	Member raft.Member // as it was in the configuration
	At     time.Time
}

// NewContacts returns the contacts of member self, whose observation starts at now.
func NewContacts(self uint64, now time.Time) *Contacts {
	return &Contacts{self: self, since: now, checked: now, members: make(map[uint64]contact), removed: make(map[uint64]Removal)}
}

// Record records that a member was heard at the given time. Times may arrive in any order. One before the member's admission has
// no effect.
func (c *Contacts) Record(id uint64, at time.Time) {
	if m, ok := c.members[id]; ok && at.After(m.heard) {
		m.heard = at
		c.members[id] = m
	}
}

// Observe must be called regularly with the configuration in effect, and before each decision. A member that is new in it, or was
// removed and added again, counts as admitted and heard at now. The observation starts anew while fewer than a quorum of the
// voters have been heard within SilenceLimit, and after a pause of the observer: messages that arrived meanwhile may not be recorded
// yet.
func (c *Contacts) Observe(now time.Time, conf raft.Configuration) {
	c.observeRemovals(now, conf)
	for _, m := range conf.Members {
		known, ok := c.members[m.ID]
		if !ok {
			known.admitted, known.heard = now, now
		}
		if known.voted.IsZero() && !m.Learner {
			known.voted = now
		}
		known.member = m
		c.members[m.ID] = known
	}
	if now.Sub(c.checked) >= pauseLimit || !c.hearsQuorum(now, conf) {
		c.since = now
	}
	c.checked = now
}

func (c *Contacts) observeRemovals(now time.Time, conf raft.Configuration) {
	for id, r := range c.removed {
		if now.Sub(r.At) >= AnnouncementLifetime {
			delete(c.removed, id)
		}
	}
	for id, known := range c.members {
		if m, ok := conf.Member(id); !ok || !continues(known.member, m) {
			c.removed[id] = Removal{Member: known.member, At: now}
			delete(c.members, id)
		}
	}
}

// continues reports whether next is the same membership as the earlier last. A voter becomes a learner, or gets another
// incarnation, only through a removal.
func continues(last, next raft.Member) bool {
	return last.Added == next.Added && (last.Learner || !next.Learner && last.Incarnation == next.Incarnation)
}

func (c *Contacts) hearsQuorum(now time.Time, conf raft.Configuration) bool {
	heard := 0
	for _, id := range conf.Voters() {
		if id == c.self || now.Sub(c.members[id].heard) < SilenceLimit {
			heard++
		}
	}
	return heard >= conf.Quorum()
}

// ObservedSince returns the start of the uninterrupted observation.
func (c *Contacts) ObservedSince() time.Time { return c.since }

// Evidence returns what the observer knows of a member, without its answers. It is zero for a member that was not in the
// configuration at the latest call of Observe.
func (c *Contacts) Evidence(id uint64) Evidence {
	m := c.members[id]
	return Evidence{Admitted: m.admitted, Voted: m.voted, Heard: m.heard}
}

// Removal returns the latest removal of a member, or false if none happened within AnnouncementLifetime.
func (c *Contacts) Removal(id uint64) (Removal, bool) {
	r, ok := c.removed[id]
	return r, ok
}

// IsHeard reports whether a member was heard within SilenceLimit, or became known within it. It does not depend on whether the
// observer hears a quorum.
func (c *Contacts) IsHeard(now time.Time, id uint64) bool {
	m, ok := c.members[id]
	return id == c.self || ok && now.Sub(m.heard) < SilenceLimit
}
