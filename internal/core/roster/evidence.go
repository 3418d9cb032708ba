package roster

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// Evidence is what a leader knows of another member. A zero time means never.
type Evidence struct {
	Admitted time.Time // when the leader first observed this membership, before its election if it followed then
	Voted    time.Time // when the leader first observed the vote of this membership
	Heard    time.Time // when the latest message of the member arrived
	Answered time.Time // when the latest heartbeat was sent that the member confirmed to this leader
	Leaves   time.Time // when the member last announced that its process is about to end
}

// absence returns why a member counts as absent, or "" if it does not. Only what happened after the member's admission counts.
func (v View) absence(m raft.Member) string {
	if reason := v.loss(m); reason != "" {
		return reason
	}
	e := v.Evidence(m.ID)
	if !e.Admitted.IsZero() && v.Now.Sub(e.Leaves) < AnnouncementLifetime && !e.Leaves.Before(e.Admitted) {
		return "leaves"
	}
	return ""
}

// loss returns why a member counts as lost, or "" if it does not. A member whose admission was not observed does not.
func (v View) loss(m raft.Member) string {
	e := v.Evidence(m.ID)
	if e.Admitted.IsZero() {
		return ""
	}
	answered := latest(e.Answered, e.Admitted, v.LeaderSince)
	switch {
	case v.silence(m, e) >= SilenceLimit:
		return "silent"
	case v.Now.Sub(answered) >= UnresponsiveLimit:
		return "does not answer"
	default:
		return ""
	}
}

// silence returns for how long nothing has been heard from a member.
func (v View) silence(m raft.Member, e Evidence) time.Duration {
	heard := latest(e.Heard, v.announcedAt(m), e.Admitted, v.ObservedSince)
	if m.Learner { // announcements reach the leader only
		heard = latest(heard, v.LeaderSince)
	}
	return v.Now.Sub(heard)
}

// hasUnheardVoter reports whether nothing has been heard from some voter for unheardLimit.
func (v View) hasUnheardVoter() bool {
	for _, m := range v.Configuration.Members {
		e := v.Evidence(m.ID)
		if m.ID != v.Self && !m.Learner && !e.Admitted.IsZero() && v.silence(m, e) >= unheardLimit {
			return true
		}
	}
	return false
}

// announcedAt returns when a member last announced itself with the disk that it has in the configuration.
func (v View) announcedAt(m raft.Member) time.Time {
	for _, a := range v.Announcements {
		if a.Member.ID == m.ID && !hasOtherDisk(m, a.Member) {
			return a.Heard
		}
	}
	return time.Time{}
}

// admits reports whether an announcement may admit a member: it is recent, and later than the removal of the same member with the
// same disk.
func (v View) admits(a Announcement) bool {
	if v.Now.Sub(a.Heard) >= AnnouncementLifetime {
		return false
	}
	removal, ok := v.Removal(a.Member.ID)
	return !ok || a.Heard.After(removal.At) || hasOtherDisk(removal.Member, a.Member)
}

// rejoined reports whether a voter has announced itself with another disk since it got its vote. A learner may have announced itself with
// an earlier disk than the one that got the vote.
func (v View) rejoined(known raft.Member, a Announcement) bool {
	return known.ID != v.Self && !known.Learner && hasOtherDisk(known, a.Member) && a.Heard.After(v.Evidence(known.ID).Voted)
}

// hasOtherDisk reports whether a member announced itself with another disk than the one known. That of a learner is not known.
func hasOtherDisk(known, announced raft.Member) bool {
	return known.Incarnation != 0 && known.Incarnation != announced.Incarnation
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
