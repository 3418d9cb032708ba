package raft

import (
	"encoding/json"
	"sort"

	"github.com/juju/errors"
)

// Member is one replica of the group.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Incarnation identifies the member's data directory. A blank one gets a new incarnation, so that it cannot vote with the
	// member's old ID.
	Incarnation uint64 `json:"incarnation,omitempty"`
	Learner     bool   `json:"learner,omitempty"` // receives the log and does not vote
	// Added is the index of the entry that added the member, so that a member that was removed and added again differs. It is 0
	// for the first members of a group and in entries of builds that do not write it.
	Added uint64 `json:"added,omitempty"`
}

// IsSameEpoch reports whether two epochs may be those of one group. An epoch of 0 is not known yet.
func IsSameEpoch(a, b uint64) bool { return a == 0 || b == 0 || a == b }

// Configuration is the membership of the group.
type Configuration struct {
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
}

// Member returns the member of the given id.
func (c Configuration) Member(id uint64) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the ids of the members that vote.
func (c Configuration) Voters() []uint64 {
	var ids []uint64
	for _, m := range c.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters that make a majority.
func (c Configuration) Quorum() int { return len(c.Voters())/2 + 1 }

// isVoter reports whether member id is a voter and has the given incarnation.
func (c Configuration) isVoter(id, incarnation uint64) bool {
	m, ok := c.Member(id)
	return ok && !m.Learner && m.Incarnation == incarnation
}

// with returns a copy in which m is added or replaces the member with the same ID.
func (c Configuration) with(m Member) Configuration {
	next := c.without(m.ID)
	next.Members = append(next.Members, m)
	sort.Slice(next.Members, func(i, j int) bool { return next.Members[i].ID < next.Members[j].ID })
	return next
}

// without returns a copy without member id.
func (c Configuration) without(id uint64) Configuration {
	next := Configuration{Epoch: c.Epoch}
	for _, m := range c.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// encode returns the data of a configuration entry.
func (c Configuration) encode() ([]byte, error) { return json.Marshal(c) }

// decodeConfiguration is the inverse of encode.
func decodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.NewNotValid(err, "configuration entry")
	}
	return c, nil
}

// quorumValue returns the largest value that is reached by a majority of values. It sorts values in place.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}
