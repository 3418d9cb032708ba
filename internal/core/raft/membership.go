package raft

import (
	"time"

	"github.com/juju/errors"
)

// AddLearner lets a member receive the log without a vote. Its disk is not named yet.
func (n *Node) AddLearner(m Member) (Entry, error) {
	if _, ok := n.conf().Member(m.ID); ok {
		return Entry{}, errors.AlreadyExistsf("member %d", m.ID)
	}
	return n.changeMembers(n.conf().with(Member{ID: m.ID, Address: m.Address, Learner: true}))
}

// Promote gives a learner that has caught up a vote, bound to the disk that answers under its name.
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
	return n.isAnswering(now, pr)
}

// isAnswering reports whether a member confirmed a heartbeat of the last election timeout.
func (n *Node) isAnswering(now time.Time, pr *progress) bool {
	sent, ok := n.rounds.sentAt(pr.ackedRound)
	return ok && now.Sub(sent) <= n.cfg.ElectionTimeout
}

// Remove takes a member out of the group. A leader hands over before it is removed.
func (n *Node) Remove(id uint64) (Entry, error) {
	if _, ok := n.conf().Member(id); !ok {
		return Entry{}, errors.NotFoundf("member %d", id)
	}
	if id == n.cfg.ID {
		return Entry{}, errors.NotValidf("removal of the leader: transfer the leadership first; this")
	}
	return n.changeMembers(n.conf().without(id))
}

// changeMembers appends a configuration. One change at a time, and none before the leader committed an entry of its
// term: otherwise two majorities without a common member could form.
func (n *Node) changeMembers(conf Configuration) (Entry, error) {
	switch {
	case n.role != Leader:
		return Entry{}, ErrNotLeader
	case n.isHandingOver():
		return Entry{}, ErrHandingOver
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
