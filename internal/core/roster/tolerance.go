package roster

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/raft"
)

// Wait is what a group waits for that is below its fault tolerance.
type Wait uint8

const (
	// WaitNone means that the group tolerates the losses asked for.
	WaitNone Wait = iota
	// WaitGroup means that this member knows no voter: it has not been admitted.
	WaitGroup
	// WaitQuorum means that fewer than a quorum of the voters are reachable.
	WaitQuorum
	// WaitLeader means that a quorum of the voters is reachable and no leader is known.
	WaitLeader
	// WaitReadmission means that a voter has another disk than the one that voted, and its old vote has not been removed.
	WaitReadmission
	// WaitRemoval means that a lost voter has not been removed although the group can do without it.
	WaitRemoval
	// WaitAdmission means that a member has announced itself and is not a learner yet.
	WaitAdmission
	// WaitCatchUp means that a learner has not caught up, as far as this member knows.
	WaitCatchUp
	// WaitPromotion means that a learner has caught up and has no vote yet.
	WaitPromotion
	// WaitSuccessor means that this member knows of no member that could get a vote.
	WaitSuccessor
)

var waitNames = [...]string{
	WaitNone:        "nothing",
	WaitGroup:       "a group: this member knows no voter",
	WaitQuorum:      "a quorum of reachable voters",
	WaitLeader:      "a leader",
	WaitReadmission: "the removal of a voter that has another disk",
	WaitRemoval:     "the removal of a lost voter",
	WaitAdmission:   "the admission of an announced member",
	WaitCatchUp:     "a learner to catch up",
	WaitPromotion:   "the vote of a learner that has caught up",
	WaitSuccessor:   "a successor: none has announced itself",
}

// String returns a description for logs.
func (w Wait) String() string { return waitNames[w] }

// MarshalText implements encoding.TextMarshaler.
func (w Wait) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Observation is one member's view of the group. Only the leader receives announcements and knows which learners have caught up.
type Observation struct {
	Configuration  raft.Configuration
	Leader         uint64 // 0: unknown
	Announcements  []Announcement
	FaultTolerance int // losses at the same time that the group must tolerate
	// IsReachable reports whether a member has been heard, or has answered, recently.
	IsReachable func(id uint64) bool
	// HasOtherDisk reports whether the latest message of a member named another incarnation than the configuration.
	HasOtherDisk func(id uint64) bool
	// HasCaughtUp reports whether a learner has the whole log. It is false if the member doesn't know.
	HasCaughtUp func(id uint64) bool
}

// Tolerance tells how many losses a group tolerates, and what it waits for if these are too few.
type Tolerance struct {
	Voters    int `json:"voters"`
	Reachable int `json:"reachable"` // voters
	// Unreachable are the other voters, also those that were heard with another disk.
	Unreachable []uint64 `json:"unreachable,omitempty"`
	Quorum      int      `json:"quorum"`
	// Spare is the number of reachable voters that may be lost with a quorum left; below 0: the number of voters missing to a quorum.
	Spare    int  `json:"spare"`
	Required int  `json:"required"` // losses that the group must tolerate
	WaitsFor Wait `json:"waits_for"`
}

// IsBelow reports whether the group tolerates fewer losses than it must. It is false for a member that knows no voter.
func (t Tolerance) IsBelow() bool { return t.Voters > 0 && t.Spare < t.Required }

// Tolerance evaluates the observation.
func (o Observation) Tolerance(now time.Time) Tolerance {
	t := Tolerance{
		Voters: len(o.Configuration.Voters()), Quorum: o.Configuration.Quorum(), Required: o.FaultTolerance,
	}
	for _, m := range o.Configuration.Members {
		switch {
		case m.Learner:
		case o.counts(m):
			t.Reachable++
		default:
			t.Unreachable = append(t.Unreachable, m.ID)
		}
	}
	t.Spare = t.Reachable - t.Quorum
	t.WaitsFor = o.waitsFor(now, t)
	return t
}

// counts reports whether a voter can contribute to a quorum.
func (o Observation) counts(m raft.Member) bool { return o.IsReachable(m.ID) && !o.HasOtherDisk(m.ID) }

func (o Observation) waitsFor(now time.Time, t Tolerance) Wait {
	switch {
	case t.Voters == 0:
		return WaitGroup
	case !t.IsBelow():
		return WaitNone
	case t.Spare < 0:
		return WaitQuorum
	case o.Leader == 0:
		return WaitLeader
	case o.hasVoterWithOtherDisk():
		return WaitReadmission
	case t.Reachable < t.Voters && t.Voters > View{FaultTolerance: o.FaultTolerance}.minVoters():
		return WaitRemoval
	case o.hasUnknownAnnouncement(now):
		return WaitAdmission
	default:
		return o.waitsForLearner()
	}
}

func (o Observation) hasVoterWithOtherDisk() bool {
	for _, m := range o.Configuration.Members {
		if !m.Learner && o.HasOtherDisk(m.ID) {
			return true
		}
	}
	return false
}

// hasUnknownAnnouncement reports whether a member that is not in the configuration has announced itself.
func (o Observation) hasUnknownAnnouncement(now time.Time) bool {
	for _, a := range o.Announcements {
		if _, ok := o.Configuration.Member(a.Member.ID); !ok && now.Sub(a.Heard) < AnnouncementLifetime {
			return true
		}
	}
	return false
}

func (o Observation) waitsForLearner() Wait {
	wait := WaitSuccessor
	for _, m := range o.Configuration.Members {
		switch {
		case !m.Learner || !o.IsReachable(m.ID):
		case o.HasCaughtUp(m.ID):
			return WaitPromotion
		default:
			wait = WaitCatchUp
		}
	}
	return wait
}
