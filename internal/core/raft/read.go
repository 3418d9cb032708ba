package raft

import "time"

// pendingRead is a read that waits until a quorum confirms a heartbeat round that started after the read arrived.
type pendingRead struct {
	id          uint64
	from        uint64 // member that requested the read
	incarnation uint64 // incarnation of that member
	round       uint64 // 0: not attached to a round yet
	index       uint64
}

// Read requests a read index for a read that arrives now. The answer, if any, appears in Output.Reads under id; it may be
// lost if the leader changes. Read returns false if no leader is known.
func (n *Node) Read(id uint64) bool {
	switch {
	case n.role == Leader:
		n.reads = append(n.reads, pendingRead{id: id, from: n.cfg.ID})
	case n.leader != 0:
		n.send(Message{Kind: ReadRequest, To: n.leader, Context: id})
	default:
		return false
	}
	return true
}

func (n *Node) handleReadRequest(m Message) {
	if n.role == Leader {
		n.reads = append(n.reads, pendingRead{id: m.Context, from: m.From, incarnation: m.FromIncarnation})
	}
}

// startReadRound starts a heartbeat round for the pending reads unless a round for earlier reads is in progress.
func (n *Node) startReadRound(now time.Time) {
	if !n.hasCommittedInTerm() || len(n.reads) == 0 {
		return
	}
	if n.reads[0].round == 0 {
		n.broadcastHeartbeat(now)
	}
}

// attachReads assigns the pending reads without a round to the one that was just sent.
func (n *Node) attachReads() {
	if !n.hasCommittedInTerm() {
		return
	}
	for i := range n.reads {
		if n.reads[i].round == 0 {
			n.reads[i].round, n.reads[i].index = n.rounds.last, n.commit
		}
	}
}

// answerReads answers the reads whose round has been confirmed by a quorum.
func (n *Node) answerReads() {
	confirmed := n.confirmedRound()
	for len(n.reads) > 0 && n.reads[0].round != 0 && n.reads[0].round <= confirmed {
		n.answerRead(n.reads[0])
		n.reads = n.reads[1:]
	}
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == n.cfg.ID {
		n.out.Reads = append(n.out.Reads, Read{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: ReadReply, To: r.from, ToIncarnation: r.incarnation, Context: r.id, Index: r.index})
}
