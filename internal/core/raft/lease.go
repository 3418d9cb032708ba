package raft

import "time"

// Lease is the time during which no other member can become leader.
type Lease struct {
	Term    uint64
	Expires time.Time // on the clock of this member
}

// Lease returns the leader's lease, or false if this member does not lead, is transferring its leadership, or has no heartbeat
// confirmed by a quorum. The lease starts when the latest such heartbeat was sent, and lasts for LeaseDuration minus
// MaxClockDrift. It may have expired.
func (n *Node) Lease() (Lease, bool) {
	if n.role != Leader || n.transfer != nil {
		return Lease{}, false
	}
	expires, ok := n.leaseExpiry()
	return Lease{Term: n.term, Expires: expires}, ok
}

func (n *Node) leaseExpiry() (time.Time, bool) {
	sent, ok := n.confirmedAt()
	return sent.Add(n.cfg.LeaseDuration - n.cfg.MaxClockDrift), ok
}

// extendLease makes the leader refuse votes until its lease expires, even after it has stepped down.
func (n *Node) extendLease() {
	if n.transfer != nil {
		return
	}
	if expires, ok := n.leaseExpiry(); ok {
		n.refuseVotesUntil(expires)
	}
}

// transfer is a leadership transfer in progress. The leader holds no lease for the rest of the term.
type transfer struct {
	target    uint64
	notBefore time.Time // expiry of the last lease
	deadline  time.Time
	isClosed  bool // no proposals are accepted
	isSent    bool // TimeoutNow was sent to the target
}

// Transfer starts a transfer of the leadership to target, or to the responsive voter with the longest log if target is 0. It
// returns ErrNotLeader, ErrTransferInProgress during another transfer, or ErrNotCaughtUp if the target is not another voter.
func (n *Node) Transfer(now time.Time, target uint64) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case n.transfer != nil:
		return ErrTransferInProgress
	}
	if target == 0 {
		target = n.mostAdvancedVoter(now)
	}
	if target == n.cfg.ID || !n.isPeerVoter(target) {
		return ErrNotCaughtUp
	}
	expires := now
	if at, ok := n.leaseExpiry(); ok && at.After(now) {
		expires = at
	}
	n.transfer = &transfer{target: target, notBefore: expires, deadline: expires.Add(n.cfg.ElectionTimeout)}
	return nil
}

func (n *Node) isPeerVoter(id uint64) bool {
	m, ok := n.conf().Member(id)
	return ok && !m.Learner
}

// mostAdvancedVoter returns the responsive voter with the longest log, or 0 if no voter is responsive.
func (n *Node) mostAdvancedVoter(now time.Time) uint64 {
	var best, match uint64
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		if n.isPeerVoter(id) && n.isResponsive(now, pr) && (best == 0 || pr.match > match) {
			best, match = id, pr.match
		}
	}
	return best
}

// isClosedForTransfer reports whether proposals and membership changes are rejected because of a leadership transfer.
func (n *Node) isClosedForTransfer() bool { return n.transfer != nil && n.transfer.isClosed }

// advanceTransfer stops accepting proposals once the lease has expired, and sends the target the request to campaign once it
// holds the whole log.
func (n *Node) advanceTransfer(now time.Time) {
	t := n.transfer
	if t == nil || t.isSent || now.Before(t.notBefore) {
		return
	}
	t.isClosed = true
	if pr := n.peers[t.target]; pr != nil && pr.match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: t.target})
		t.isSent = true
	}
}

// isTransferOverdue reports whether a transfer has timed out. The leader must then step down, since it cannot renew its lease in
// this term.
func (n *Node) isTransferOverdue(now time.Time) bool {
	return n.transfer != nil && now.After(n.transfer.deadline)
}

func (n *Node) handleTimeoutNow(now time.Time) {
	if n.role == Follower && n.isVoter() {
		n.campaign(now, true)
	}
}
