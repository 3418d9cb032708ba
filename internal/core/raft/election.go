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

// isStarting reports whether a restart was moments ago and no leader is known since. Pre-votes cost little and may then be
// asked for often, so that there is a leader as soon as a quorum may vote.
func (n *Node) isStarting(now time.Time) bool { return now.Before(n.startingUntil) }

// isSoleVoter reports whether this member can win an election alone.
func (n *Node) isSoleVoter() bool {
	return n.isVoter() && len(n.conf().Voters()) == 1
}

func (n *Node) isVoter() bool { return n.conf().isVoter(n.cfg.ID, n.cfg.Incarnation) }

// holdVotes refuses votes until the given time at least.
func (n *Node) holdVotes(until time.Time) {
	if until.After(n.voteHold) {
		n.voteHold = until
	}
}

// heardLeader notes a message from the leader of the current term.
func (n *Node) heardLeader(now time.Time, leader uint64) {
	if n.role != Follower {
		n.becomeFollower(now, n.term, leader)
	}
	n.leader = leader
	n.startingUntil = time.Time{}
	n.holdVotes(now.Add(n.cfg.LeaseDuration))
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

// electionTimeout asks whether an election could be won, without a new term.
func (n *Node) electionTimeout(now time.Time) {
	n.resetElectionDeadline(now)
	if !n.isVoter() || now.Before(n.voteHold) {
		return
	}
	n.role, n.leader = PreCandidate, 0
	n.startVote(now, PreVote, n.term+1, false)
}

// campaign enters a new term and asks for votes. transfer is true when the leader itself hands over.
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

// isUpToDate reports whether a log that ends as m says holds every committed entry that this one knows.
func (n *Node) isUpToDate(m Message) bool {
	term := n.log.lastTerm()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= n.log.last()
}

func (n *Node) handlePreVote(now time.Time, m Message) {
	granted := m.Term > n.term && !now.Before(n.voteHold) && n.isUpToDate(m) && m.ToIncarnation == n.cfg.Incarnation &&
		!n.goesFirst(now, m)
	reply := Message{Kind: PreVoteReply, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.replySynced(m, reply)
}

// goesFirst reports whether this member, which asks for pre-votes itself, goes before the sender: of two that come back at
// once and hold the same log only one may campaign, or their votes would split.
func (n *Node) goesFirst(now time.Time, m Message) bool {
	sameLog := m.LogTerm == n.log.lastTerm() && m.Index == n.log.last()
	return n.isStarting(now) && n.role == PreCandidate && sameLog && n.cfg.ID < m.From
}

// handleVote answers at most one candidate of a term. The candidate names the disk whose vote it wants, so a blank
// disk under an old name is never asked.
func (n *Node) handleVote(now time.Time, m Message) {
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	granted := free && n.isUpToDate(m) && m.ToIncarnation == n.cfg.Incarnation
	if granted {
		n.hardStateDirty = n.hardStateDirty || n.vote != m.From
		n.vote = m.From
		n.startingUntil = time.Time{}
		n.resetElectionDeadline(now)
	}
	n.replySynced(m, Message{Kind: VoteReply, Reject: !granted})
}

func (n *Node) handleVoteReply(now time.Time, m Message) {
	running := m.Kind == PreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1) ||
		m.Kind == VoteReply && n.role == Candidate
	if !running || !n.conf().isVoter(m.From, m.FromIncarnation) {
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
	n.leaderSince = now
	n.transfer, n.reads = nil, nil
	n.rounds = rounds{}
	n.peers = make(map[uint64]*progress)
	n.updatePeers()
	n.appendOwn(EntryNoop, nil)
	n.broadcastHeartbeat(now)
}
