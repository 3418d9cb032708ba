// Package roster decides the membership of the control group: it adds members that announce themselves and removes those
// that are lost or leave. It decides one step at a time; the caller executes the step and calls NextStep again.
package roster

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

const (
	// AnnouncementLifetime is how long an announcement is valid. Members repeat theirs while they have no vote.
	AnnouncementLifetime = 3 * time.Second
	// SilenceLimit is how long a member may be silent before it counts as lost.
	SilenceLimit = 2 * time.Second
	// UnresponsiveLimit is how long a member that is still heard may leave the leader's heartbeats unanswered before it can be
	// removed. Its disk may hang.
	UnresponsiveLimit = 6 * time.Second
	// MinVoters is the minimum number of voters left by a removal: a smaller group would not tolerate the loss of another
	// voter.
	MinVoters = 3
	// MaxVoters is the maximum number of voters; further members are learners.
	MaxVoters = 7
	// unheardLimit is how long a voter may be silent before the group gives no vote to another member until it is heard again, or lost.
	unheardLimit = SilenceLimit / 2
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
	Now           time.Time
	Self          uint64
	LeaderSince   time.Time
	ObservedSince time.Time // start of the leader's uninterrupted observation of the others, see Contacts
	Configuration raft.Configuration
	Announcements []Announcement
	// FaultTolerance is the number of voters whose loss at the same time the group must tolerate.
	FaultTolerance int
	// HasCaughtUp reports whether a learner has the whole log and answers, so that it can get a vote.
	HasCaughtUp func(id uint64) bool
	// Evidence returns what is known of a member other than the leader.
	Evidence func(id uint64) Evidence
	// Removal returns the latest removal of a member, or false if none happened within AnnouncementLifetime.
	Removal func(id uint64) (Removal, bool)
}

// NextStep returns the next step, with action None if there is nothing to do.
//
// A lost voter is removed before its successor gets a vote: the quorum of both would need every member that runs, the successor too.
// While a voter is unheard but not yet lost, no vote is given for the same reason. A voter that leaves still answers, so that its
// successor votes first.
//
// No step undoes the one before it without news between them: a removal for absence takes absence after the admission, and an
// admission takes an announcement after the removal.
func NextStep(v View) Step {
	for _, a := range v.validAnnouncements() {
		if step := v.admit(a); step.Action != None {
			return step
		}
	}
	if step := v.removeLost(); step.Action != None {
		return step
	}
	if step := v.promote(); step.Action != None {
		return step
	}
	return v.removeAbsent()
}

// validAnnouncements returns the announcements that may admit a member, sorted by member id.
func (v View) validAnnouncements() []Announcement {
	var out []Announcement
	for _, a := range v.Announcements {
		if v.admits(a) {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.ID < out[j].Member.ID })
	return out
}

// admit returns the step that lets an announced member receive the log, if it does not yet.
func (v View) admit(a Announcement) Step {
	known, ok := v.Configuration.Member(a.Member.ID)
	switch {
	case !ok:
		return Step{AddLearner, a.Member, "announced itself"}
	case v.rejoined(known, a):
		return Step{Remove, known, "rejoined with another disk"}
	default:
		return Step{}
	}
}

// removeLost returns the step that removes a lost voter whose successor is ready to vote.
func (v View) removeLost() Step {
	if !v.hasReadyLearner() {
		return Step{}
	}
	for _, m := range v.Configuration.Members {
		if m.Learner || m.ID == v.Self {
			continue
		}
		if reason := v.loss(m); reason != "" {
			return Step{Remove, m, reason}
		}
	}
	return Step{}
}

// promote returns the step that gives a learner a vote, if the group has room for one and no voter is unheard.
func (v View) promote() Step {
	if len(v.Configuration.Voters()) >= MaxVoters || v.hasUnheardVoter() {
		return Step{}
	}
	for _, m := range v.Configuration.Members {
		if v.isReady(m) {
			return Step{Promote, m, "caught up"}
		}
	}
	return Step{}
}

// isReady reports whether a member is a learner that can get a vote.
func (v View) isReady(m raft.Member) bool {
	return m.Learner && v.absence(m) == "" && v.HasCaughtUp(m.ID)
}

// removeAbsent returns the step that removes a member that is lost or leaves.
func (v View) removeAbsent() Step {
	for _, m := range v.Configuration.Members {
		if m.ID == v.Self || !m.Learner && !v.canSpare() {
			continue
		}
		if reason := v.absence(m); reason != "" {
			return Step{Remove, m, reason}
		}
	}
	return Step{}
}

// canSpare reports whether the group may do without one of its voters: those left tolerate the losses that the group must
// tolerate, or a learner can get the vote.
func (v View) canSpare() bool {
	voters := len(v.Configuration.Voters())
	return voters > v.minVoters() || voters >= MaxVoters && v.hasReadyLearner()
}

// minVoters returns the number of voters below which removals must not shrink the group.
func (v View) minVoters() int {
	return min(max(2*v.FaultTolerance+1, MinVoters), MaxVoters)
}

func (v View) hasReadyLearner() bool {
	for _, m := range v.Configuration.Members {
		if v.isReady(m) {
			return true
		}
	}
	return false
}

// ReleasesLeaving reports whether the member that says that its process is about to end is going to be removed, so that it should
// wait for that before it ends.
func (v View) ReleasesLeaving(id uint64) bool {
	m, ok := v.Configuration.Member(id)
	return ok && !m.Learner && id != v.Self && v.canSpare()
}
