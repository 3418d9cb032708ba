package raft

import "time"

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID          uint64 `json:"id"`
	Match       uint64 `json:"match"`       // last entry known to be synced by the member
	Incarnation uint64 `json:"incarnation"` // incarnation in the member's latest reply; 0: no reply yet
	// AnsweredAt is when the latest heartbeat confirmed by the member was sent. It is zero if none was confirmed in this term.
	AnsweredAt time.Time `json:"answered_at"`
	// HasCaughtUp reports whether the member had the log, and answered, at the latest heartbeat, as Promote requires.
	HasCaughtUp bool `json:"has_caught_up"`
}

// Status is the state of a member at one moment.
type Status struct {
	ID                 uint64        `json:"id"`
	Term               uint64        `json:"term"`
	Leader             uint64        `json:"leader"` // 0: unknown
	Role               Role          `json:"role"`
	Commit             uint64        `json:"commit"`
	Applied            uint64        `json:"applied"`
	FirstIndex         uint64        `json:"first_index"`
	LastIndex          uint64        `json:"last_index"`
	Configuration      Configuration `json:"configuration"`
	HasCommittedInTerm bool          `json:"has_committed_in_term"` // on the leader
	IsTransferring     bool          `json:"is_handing_over"`       // on the leader
	Peers              []PeerStatus  `json:"peers,omitempty"`       // on the leader
	// IncarnationMismatches are the members whose latest message had another incarnation than the one in the configuration.
	IncarnationMismatches []uint64 `json:"strangers,omitempty"`
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.commit, Applied: n.applied, FirstIndex: n.log.baseIndex + 1, LastIndex: n.log.last(),
		Configuration: n.conf(), IsTransferring: n.transfer != nil,
		HasCommittedInTerm: n.role == Leader && n.hasCommittedInTerm(),
	}
	latestRound, _ := n.rounds.sentAt(n.rounds.last)
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		s.Peers = append(s.Peers, PeerStatus{
			ID: id, Match: pr.match, Incarnation: pr.incarnation, AnsweredAt: pr.answeredAt,
			HasCaughtUp: n.hasCaughtUp(latestRound, id),
		})
	}
	for _, m := range s.Configuration.Members {
		if got := n.observed[m.ID]; got != 0 && m.Incarnation != 0 && got != m.Incarnation {
			s.IncarnationMismatches = append(s.IncarnationMismatches, m.ID)
		}
	}
	return s
}

// Member returns a member of the configuration in effect.
func (n *Node) Member(id uint64) (Member, bool) { return n.conf().Member(id) }
