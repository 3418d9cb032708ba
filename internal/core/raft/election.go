package raft

import "time"

func (n *Node) resetElectionDeadline(now time.Time) {
	timeout := n.cfg.ElectionTimeout
	if n.isStarting(now) {
		timeout = n.cfg.HeartbeatInterval
	}
	jitter := time.Duration(n.cfg.Rand() % uint64(timeout))
	n.electionDeadline = now.Add(timeout + jitter)
}

// isStarting reports whether this member restarted recently and has not heard from a leader since. It then requests pre-votes,
// which are cheap, at the heartbeat interval, so that a leader is elected as soon as a quorum may vote.
func (n *Node) isStarting(now time.Time) bool { return now.Before(n.startingUntil) }

// isSoleVoter reports whether this member is the only voter.
func (n *Node) isSoleVoter() bool {
	return n.isVoter() && len(n.conf().Voters()) == 1
}

func (n *Node) isVoter() bool { return n.conf().isVoter(n.cfg.ID, n.cfg.Incarnation) }

// refuseVotesUntil refuses votes until the given time, or later if votes are already refused for longer.
func (n *Node) refuseVotesUntil(until time.Time) {
	if until.After(n.votesRefusedUntil) {
		n.votesRefusedUntil = until
	}
}

// recordLeaderContact records contact with the leader of the current term: it resets the election deadline and refuses
// votes for a lease.
func (n *Node) recordLeaderContact(now time.Time, leader uint64) {
	if n.role != Follower {
		n.becomeFollower(now, n.term, leader)
	}
	n.leader = leader
	n.startingUntil = time.Time{}
	n.refuseVotesUntil(now.Add(n.cfg.LeaseDuration))
	n.resetElectionDeadline(now)
}

func (n *Node) becomeFollower(now time.Time, term, leader uint64) {
	if n.role == Leader {
		n.peers, n.transfer, n.reads = nil, nil, nil
	}
	if term > n.term {
		n.term, n.vote, n.hardStateDirty = term, 0, true
	}
	n.role, n.leader = Follower, leader
	n.resetElectionDeadline(now)
}

// electionTimeout starts a pre-vote, which checks without starting a new term whether an election could be won.
func (n *Node) electionTimeout(now time.Time) {
	n.resetElectionDeadline(now)
	if !n.isVoter() || now.Before(n.votesRefusedUntil) {
		return
	}
	n.role, n.leader = PreCandidate, 0
	n.startVote(now, PreVote, n.term+1, false)
}

// campaign starts a new term and requests votes. transfer is true if the leader initiated the election to transfer its
// leadership.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.term++
	n.vote, n.hardStateDirty = n.cfg.ID, true
	n.role, n.leader = Candidate, 0
	n.startingUntil = time.Time{}
	n.resetElectionDeadline(now)
	n.startVote(now, Vote, n.term, transfer)
}

func (n *Node) startVote(now time.Time, kind Kind, term uint64, transfer bool) {
	n.votes = map[uint64]bool{n.cfg.ID: true}
	for _, id := range n.conf().Voters() {
		if id != n.cfg.ID {
			n.sendSynced(Message{
				Kind: kind, To: id, Term: term, Transfer: transfer,
				Index: n.log.last(), LogTerm: n.log.lastTerm(),
			})
		}
	}
	n.countVotes(now)
}

// isUpToDate reports whether the log of the sender of m is at least as up to date as the local log.
func (n *Node) isUpToDate(m Message) bool {
	term := n.log.lastTerm()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= n.log.last()
}

func (n *Node) handlePreVote(now time.Time, m Message) {
	granted := m.Term > n.term && !now.Before(n.votesRefusedUntil) && n.isUpToDate(m) && m.ToIncarnation == n.cfg.Incarnation &&
		!n.hasPreVotePriority(now, m)
	reply := Message{Kind: PreVoteReply, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.replySynced(m, reply)
}

// hasPreVotePriority reports whether this member's own pre-vote takes priority over that of the sender of m. Of two
// members that restart at the same time with the same log only the one with the lower ID may campaign; otherwise the vote
// would split.
func (n *Node) hasPreVotePriority(now time.Time, m Message) bool {
	sameLog := m.LogTerm == n.log.lastTerm() && m.Index == n.log.last()
	return n.isStarting(now) && n.role == PreCandidate && sameLog && n.cfg.ID < m.From
}

// handleVote votes for at most one candidate per term. The request names the incarnation of the voter, so that a member with a
// replaced disk never votes.
func (n *Node) handleVote(now time.Time, m Message) {
	canVote := n.vote == m.From || n.vote == 0 && n.leader == 0
	granted := canVote && n.isUpToDate(m) && m.ToIncarnation == n.cfg.Incarnation
	if granted {
		n.hardStateDirty = n.hardStateDirty || n.vote != m.From
		n.vote = m.From
		n.startingUntil = time.Time{}
		n.resetElectionDeadline(now)
	}
	n.replySynced(m, Message{Kind: VoteReply, Reject: !granted})
}

func (n *Node) handleVoteReply(now time.Time, m Message) {
	isCurrent := m.Kind == PreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1) ||
		m.Kind == VoteReply && n.role == Candidate
	if !isCurrent || !n.conf().isVoter(m.From, m.FromIncarnation) {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	granted, refused := 0, 0
	for _, id := range n.conf().Voters() {
		vote, ok := n.votes[id]
		switch {
		case ok && vote:
			granted++
		case ok:
			refused++
		}
	}
	quorum := n.conf().Quorum()
	switch {
	case granted >= quorum && n.role == PreCandidate:
		n.campaign(now, false)
	case granted >= quorum:
		n.becomeLeader(now)
	case refused >= quorum:
		n.becomeFollower(now, n.term, 0)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role, n.leader = Leader, n.cfg.ID
	n.quorumIndex, n.quorumSince = n.log.configuration().index, now
	n.transfer, n.reads = nil, nil
	n.rounds = rounds{}
	n.peers = make(map[uint64]*progress)
	n.updatePeers()
	n.appendOwn(EntryNoop, nil)
	n.nextCheck = now.Add(n.cfg.HeartbeatInterval)
	n.broadcastHeartbeat(now)
}
