// Package roster decides who belongs to the control group: it takes in members that announce themselves and removes
// those that are gone. It takes one step at a time; the caller carries the step out and asks again.
package roster

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

const (
	// AnnouncementLifetime is how long an announcement counts. Members repeat theirs while they have no vote.
	AnnouncementLifetime = 3 * time.Second
	// SilenceLimit is how long a voter may be silent before it can be removed.
	SilenceLimit = 6 * time.Second
	// MinVoters is the number of voters that a removal for silence leaves at least: a smaller group would not tolerate
	// the loss of another one.
	MinVoters = 3
	// MaxVoters bounds the group; further members receive the log without a vote.
	MaxVoters = 7
)

// Action is what a Step does.
type Action uint8

const (
	// None means that the group is as it should be.
	None Action = iota
	// Remove takes the member out of the group.
	Remove
	// AddLearner lets the member receive the log.
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

// Announcement is the news that a member runs and has no vote.
type Announcement struct {
	Member raft.Member // with the incarnation of its disk
	Heard  time.Time
}

// View is what the leader knows.
type View struct {
	Self          uint64
	Configuration raft.Configuration
	Announcements []Announcement
	// Silent returns for how long a member other than the leader has answered nothing.
	Silent func(id uint64) time.Duration
}

// Next returns the next step.
func Next(now time.Time, v View) Step {
	for _, a := range recent(now, v.Announcements) {
		if step := admit(v.Configuration, a.Member); step.Action != None {
			return step
		}
	}
	return removeSilent(v)
}

// recent returns the announcements that count, in the order of their ids.
func recent(now time.Time, all []Announcement) []Announcement {
	var out []Announcement
	for _, a := range all {
		if now.Sub(a.Heard) < AnnouncementLifetime {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.ID < out[j].Member.ID })
	return out
}

// admit returns the step that brings an announced member nearer to its vote.
func admit(conf raft.Configuration, m raft.Member) Step {
	held, ok := conf.Member(m.ID)
	switch {
	case !ok:
		return Step{AddLearner, m, "announced itself"}
	case held.Learner && len(conf.Voters()) < MaxVoters:
		return Step{Promote, held, "announced itself"}
	case held.Learner || held.Incarnation == m.Incarnation:
		return Step{}
	default:
		return Step{Remove, held, "came back with another disk"}
	}
}

// removeSilent returns the step that removes a member which is gone.
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
