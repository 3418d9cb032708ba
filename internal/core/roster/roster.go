// Package roster decides the membership of the control group: it adds members that announce themselves and removes those
// that no longer answer. It decides one step at a time; the caller executes the step and calls NextStep again.
package roster

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

const (
	// AnnouncementLifetime is how long an announcement is valid. Members repeat theirs while they have no vote.
	AnnouncementLifetime = 3 * time.Second
	// SilenceLimit is how long a member may be silent before it can be removed.
	SilenceLimit = 6 * time.Second
	// MinVoters is the minimum number of voters left by a removal for silence: a smaller group would not tolerate the
	// loss of another voter.
	MinVoters = 3
	// MaxVoters is the maximum number of voters; further members are learners.
	MaxVoters = 7
)

// Action is the kind of a Step.
type Action uint8

const (
	// None means that no change is needed.
	None Action = iota
	// Remove removes the member from the group.
	Remove
	// AddLearner adds the member as a learner, which receives the log without a vote.
	AddLearner
	// Promote gives the learner a vote.
	Promote
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"none", "remove", "add learner", "promote"}[a] }

// Step is one change of the membership.
type Step struct {
	Action Action
	Member raft.Member
	Reason string
}

// Announcement is a message of a running member that has no vote.
type Announcement struct {
	Member raft.Member // Incarnation is that of its disk
	Heard  time.Time
}

// View is the leader's view of the group.
type View struct {
	Self          uint64
	Configuration raft.Configuration
	Announcements []Announcement
	// Silent returns how long a member other than the leader has not answered.
	Silent func(id uint64) time.Duration
}

// NextStep returns the next step, with action None if there is nothing to do.
func NextStep(now time.Time, v View) Step {
	for _, a := range validAnnouncements(now, v.Announcements) {
		if step := admit(v.Configuration, a.Member); step.Action != None {
			return step
		}
	}
	return removeSilent(v)
}

// validAnnouncements returns the valid announcements, sorted by member id.
func validAnnouncements(now time.Time, all []Announcement) []Announcement {
	var out []Announcement
	for _, a := range all {
		if now.Sub(a.Heard) < AnnouncementLifetime {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.ID < out[j].Member.ID })
	return out
}

// admit returns the next step towards a vote for an announced member.
func admit(conf raft.Configuration, m raft.Member) Step {
	known, ok := conf.Member(m.ID)
	switch {
	case !ok:
		return Step{AddLearner, m, "announced itself"}
	case known.Learner && len(conf.Voters()) < MaxVoters:
		return Step{Promote, known, "announced itself"}
	case known.Learner || known.Incarnation == m.Incarnation:
		return Step{}
	default:
		return Step{Remove, known, "rejoined with another disk"}
	}
}

// removeSilent returns the step that removes a silent member.
func removeSilent(v View) Step {
	voters := len(v.Configuration.Voters())
	for _, m := range v.Configuration.Members {
		if m.ID == v.Self || v.Silent(m.ID) < SilenceLimit {
			continue
		}
		if m.Learner || voters > MinVoters {
			return Step{Remove, m, "silent"}
		}
	}
	return Step{}
}
