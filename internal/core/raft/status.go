package raft

// PeerStatus is what the leader knows of another member.
type PeerStatus struct {
	ID          uint64
	Match       uint64 // last entry that the member is known to have synced
	Incarnation uint64 // disk that answered last; 0: none yet
}

// Status describes a member at one moment.
type Status struct {
	ID, Term, Leader     uint64
	Role                 Role
	Commit, Applied      uint64
	FirstIndex           uint64
	LastIndex            uint64
	Configuration        Configuration
	HasCommittedInTerm   bool         // on the leader
	HasLeaderHandingOver bool         // on the leader
	Peers                []PeerStatus // on the leader
	// Strangers are members that send from a disk which the configuration does not name.
	Strangers []uint64
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.commit, Applied: n.applied, FirstIndex: n.log.baseIndex + 1, LastIndex: n.log.last(),
		Configuration: n.conf(), HasLeaderHandingOver: n.transfer != nil,
		HasCommittedInTerm: n.role == Leader && n.hasCommittedInTerm(),
	}
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		s.Peers = append(s.Peers, PeerStatus{ID: id, Match: pr.match, Incarnation: pr.incarnation})
	}
	for _, m := range s.Configuration.Members {
		if got := n.observed[m.ID]; got != 0 && m.Incarnation != 0 && got != m.Incarnation {
			s.Strangers = append(s.Strangers, m.ID)
		}
	}
	return s
}

// Member returns a member of the configuration in effect.
func (n *Node) Member(id uint64) (Member, bool) { return n.conf().Member(id) }
