package raft

import (
	"time"

	"github.com/juju/errors"
)

// AddLearner adds a member that receives the log and does not vote. Its incarnation is not known until it is promoted.
func (n *Node) AddLearner(m Member) (Entry, error) {
	if _, ok := n.conf().Member(m.ID); ok {
		return Entry{}, errors.AlreadyExistsf("member %d", m.ID)
	}
	return n.changeMembers(n.conf().with(Member{ID: m.ID, Address: m.Address, Learner: true, Added: n.log.last() + 1}))
}

// Promote makes a learner that has caught up a voter, and records its current incarnation in the configuration. It returns
// ErrNotCaughtUp if the learner lacks the latest configuration or more than maxPromotionLag entries, or has not confirmed a
// heartbeat within the last election timeout.
func (n *Node) Promote(now time.Time, id uint64) (Entry, error) {
	if n.role != Leader {
		return Entry{}, ErrNotLeader
	}
	m, ok := n.conf().Member(id)
	if !ok || !m.Learner {
		return Entry{}, errors.NotFoundf("learner %d", id)
	}
	if !n.hasCaughtUp(now, id) {
		return Entry{}, ErrNotCaughtUp
	}
	m.Learner, m.Incarnation = false, n.peers[id].incarnation
	return n.changeMembers(n.conf().with(m))
}

func (n *Node) hasCaughtUp(now time.Time, id uint64) bool {
	pr := n.peers[id]
	if pr == nil || pr.incarnation == 0 || pr.match+maxPromotionLag < n.log.last() || pr.match < n.log.configuration().index {
		return false
	}
	return n.isResponsive(now, pr)
}

// isResponsive reports whether a member confirmed a heartbeat that was sent within the last election timeout.
func (n *Node) isResponsive(now time.Time, pr *progress) bool {
	return !pr.answeredAt.IsZero() && now.Sub(pr.answeredAt) <= n.cfg.ElectionTimeout
}

// Remove removes a member from the group. The leader cannot remove itself: it must transfer the leadership first.
func (n *Node) Remove(id uint64) (Entry, error) {
	if _, ok := n.conf().Member(id); !ok {
		return Entry{}, errors.NotFoundf("member %d", id)
	}
	if id == n.cfg.ID {
		return Entry{}, errors.NotValidf("removal of the leader without a prior leadership transfer")
	}
	return n.changeMembers(n.conf().without(id))
}

// changeMembers appends a configuration. It allows one change at a time, and none before the leader has committed an entry of
// its term: otherwise two disjoint majorities could form.
func (n *Node) changeMembers(conf Configuration) (Entry, error) {
	switch {
	case n.role != Leader:
		return Entry{}, ErrNotLeader
	case n.isClosedForTransfer():
		return Entry{}, ErrTransferInProgress
	case !n.hasCommittedInTerm():
		return Entry{}, ErrNotReady
	case n.log.configuration().index > n.commit:
		return Entry{}, ErrChangePending
	}
	data, err := conf.encode()
	if err != nil {
		return Entry{}, errors.Trace(err)
	}
	e := n.appendOwn(EntryConfiguration, data)
	n.updatePeers()
	return e, nil
}
