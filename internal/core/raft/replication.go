package raft

import (
	"sort"
	"time"

	"github.com/juju/errors"
)

// progress is the leader's view of the replication to another member.
type progress struct {
	match, next  uint64
	isProbing    bool      // the last matching entry is not known yet; one message is sent at a time
	isAwaiting   bool      // while probing or installing: a reply is outstanding
	isInstalling bool      // a snapshot is in flight
	sentAt       time.Time // when the last Append or InstallSnapshot was sent
	ackedRound   uint64    // latest heartbeat round confirmed by the member
	answeredAt   time.Time // when that round was sent
	incarnation  uint64    // incarnation in the member's latest reply
	commitSent   uint64
}

// updatePeers adds and removes peers to match the configuration in effect.
func (n *Node) updatePeers() {
	conf := n.conf()
	for id := range n.peers {
		if _, ok := conf.Member(id); !ok {
			delete(n.peers, id)
		}
	}
	for _, m := range conf.Members {
		if _, ok := n.peers[m.ID]; !ok && m.ID != n.cfg.ID {
			n.peers[m.ID] = &progress{next: n.log.last() + 1, isProbing: true}
		}
	}
}

// peerIDs returns the IDs of the other members in ascending order.
func (n *Node) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Propose appends a command to the leader's log and returns its entry.
func (n *Node) Propose(data []byte) (Entry, error) {
	switch {
	case n.role != Leader:
		return Entry{}, ErrNotLeader
	case n.isClosedForTransfer():
		return Entry{}, ErrTransferInProgress
	}
	return n.appendOwn(EntryCommand, data), nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) Entry {
	e := Entry{Term: n.term, Index: n.log.last() + 1, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		panic(err) // unreachable: the index follows the last one and the leader encoded the data itself
	}
	return e
}

func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.nextCheck) {
		n.nextCheck = now.Add(n.cfg.HeartbeatInterval)
		if n.hasLostQuorum(now) || n.isTransferOverdue(now) {
			n.becomeFollower(now, n.term, 0)
			return
		}
	}
	if !now.Before(n.nextHeartbeat) {
		n.broadcastHeartbeat(now)
	}
	n.advanceTransfer(now)
}

// hasLostQuorum reports whether no quorum has confirmed a heartbeat within the last election timeout, though the members could: the
// leader and the configuration in effect are older than that.
func (n *Node) hasLostQuorum(now time.Time) bool {
	since := n.quorumSince
	if sent, ok := n.confirmedAt(); ok && sent.After(since) {
		since = sent
	}
	return now.Sub(since) > n.cfg.ElectionTimeout
}

// observeQuorum records since when the leader needs the quorum of the configuration in effect.
func (n *Node) observeQuorum(now time.Time) {
	if index := n.log.configuration().index; index != n.quorumIndex {
		n.quorumIndex, n.quorumSince = index, now
	}
}

// confirmedRound returns the latest heartbeat round confirmed by a quorum.
func (n *Node) confirmedRound() uint64 {
	var acked []uint64
	for _, id := range n.conf().Voters() {
		if id == n.cfg.ID {
			acked = append(acked, n.rounds.last)
			continue
		}
		acked = append(acked, n.peers[id].ackedRound)
	}
	return quorumValue(acked)
}

// confirmedAt returns when the latest quorum-confirmed round was sent.
func (n *Node) confirmedAt() (time.Time, bool) { return n.rounds.sentAt(n.confirmedRound()) }

func (n *Node) broadcastHeartbeat(now time.Time) {
	n.rounds.start(now)
	n.nextHeartbeat = now.Add(n.cfg.HeartbeatInterval)
	for _, id := range n.peerIDs() {
		pr := n.peers[id]
		commit := min(pr.match, n.commit)
		if member, _ := n.conf().Member(id); member.Incarnation == 0 {
			commit = 0 // the disk may have been replaced; only an Append checks the log
		}
		n.send(Message{Kind: Heartbeat, To: id, Context: n.rounds.last, Commit: commit})
	}
	n.attachReads()
	n.extendLease()
	n.answerReads()
}

func (n *Node) handleHeartbeat(m Message) {
	n.commit = max(n.commit, min(m.Commit, n.log.last()))
	n.replySynced(m, Message{Kind: HeartbeatReply, Context: m.Context, Commit: n.commit})
}

func (n *Node) handleHeartbeatReply(now time.Time, m Message) {
	pr := n.replyProgress(m)
	if pr == nil {
		return
	}
	pr.confirm(m.Context, n.rounds)
	n.extendLease()
	n.answerReads()
	n.detectLoss(pr, m)
	n.sendAppend(now, m.From, pr)
}

// confirm records that the member confirmed a heartbeat round. Its time is kept here, since rounds forgets it while many reads are
// confirmed.
func (pr *progress) confirm(round uint64, sent rounds) {
	pr.ackedRound = max(pr.ackedRound, round)
	if at, ok := sent.sentAt(round); ok && at.After(pr.answeredAt) {
		pr.answeredAt = at
	}
}

// detectLoss resumes sending after the last acknowledged entry if a reply to a heartbeat arrives while an earlier Append or
// snapshot is unanswered. A connection delivers messages in order, so the earlier one was probably lost, and a duplicate is
// harmless.
func (n *Node) detectLoss(pr *progress, m Message) {
	sent, ok := n.rounds.sentAt(m.Context)
	if !ok || !pr.sentAt.Before(sent) {
		return
	}
	pr.commitSent = min(pr.commitSent, m.Commit)
	if pr.isAwaiting || pr.match+1 < pr.next {
		pr.next, pr.isProbing, pr.isAwaiting, pr.isInstalling = pr.match+1, true, false, false
	}
}

// replyProgress returns the progress of the sender of a reply, or nil if its incarnation is not the one in the
// configuration. If the incarnation of a learner changed, its progress is reset.
func (n *Node) replyProgress(m Message) *progress {
	pr := n.peers[m.From]
	member, _ := n.conf().Member(m.From)
	if n.role != Leader || pr == nil || member.Incarnation != 0 && member.Incarnation != m.FromIncarnation {
		return nil
	}
	if pr.incarnation != 0 && pr.incarnation != m.FromIncarnation {
		*pr = progress{next: n.log.last() + 1, isProbing: true}
	}
	pr.incarnation = m.FromIncarnation
	return pr
}

func (n *Node) broadcastAppend(now time.Time) {
	for _, id := range n.peerIDs() {
		n.sendAppend(now, id, n.peers[id])
	}
}

// sendAppend sends the entries that the member lacks, up to maxInflight unacknowledged ones, or a snapshot if the log no longer
// holds them.
func (n *Node) sendAppend(now time.Time, id uint64, pr *progress) {
	for !pr.isAwaiting {
		prevTerm, ok := n.log.term(pr.next - 1)
		if !ok {
			n.sendSnapshot(now, id, pr)
			return
		}
		limit := min(n.log.last(), pr.match+maxInflight)
		entries := n.log.slice(pr.next, limit, maxAppendBytes)
		commitAdvanced := min(n.commit, pr.next-1+uint64(len(entries))) > pr.commitSent
		if len(entries) == 0 && !pr.isProbing && !commitAdvanced {
			return
		}
		n.send(Message{
			Kind: Append, To: id, Index: pr.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: n.commit,
		})
		pr.sentAt = now
		pr.commitSent = max(pr.commitSent, min(n.commit, pr.next-1+uint64(len(entries))))
		if pr.isProbing {
			pr.isAwaiting = true
			return
		}
		pr.next += uint64(len(entries))
	}
}

func (n *Node) handleAppend(m Message) error {
	if m.Index < n.commit {
		n.replySynced(m, Message{Kind: AppendReply, Index: n.commit})
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.lastPossibleMatch(m.Index, m.LogTerm)
		n.replySynced(m, Message{Kind: AppendReply, Index: m.Index, Reject: true, Hint: hint})
		return nil
	}
	if err := n.mergeEntries(m.Entries); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	n.replySynced(m, Message{Kind: AppendReply, Index: last})
	return nil
}

// mergeEntries appends the entries that the log lacks and replaces conflicting ones. It fails if a committed entry conflicts.
func (n *Node) mergeEntries(entries []Entry) error {
	for _, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.commit {
			return errors.Errorf("entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		n.log.truncate(e.Index)
		n.emitted = min(n.emitted, e.Index-1)
		n.stable = min(n.stable, e.Index-1)
		if err := n.log.append(e); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (n *Node) handleAppendReply(now time.Time, m Message) {
	pr := n.replyProgress(m)
	switch {
	case pr == nil:
		return
	case m.Reject && pr.isInstalling:
		return // reply to an older message
	case m.Reject && pr.isProbing && m.Index == pr.next-1:
		next := max(pr.match+1, min(m.Index, m.Hint+1))
		pr.isAwaiting = next == pr.next // the member lost entries that it had acknowledged; retry at the pace of heartbeats
		pr.next = next
	case m.Reject && !pr.isProbing && m.Index > pr.match:
		pr.next, pr.isProbing, pr.isAwaiting = max(pr.match+1, min(m.Index, m.Hint+1)), true, false
	case !m.Reject:
		n.acknowledge(pr, m.Index)
		n.advanceTransfer(now)
	}
	n.sendAppend(now, m.From, pr)
}

func (n *Node) acknowledge(pr *progress, index uint64) {
	if index < pr.match || index > n.log.last() {
		return
	}
	pr.match = index
	pr.next = max(pr.next, index+1)
	if pr.isInstalling && index < n.log.baseIndex {
		return // reply to an older message
	}
	pr.isProbing, pr.isAwaiting, pr.isInstalling = false, false, false
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum has synced, provided that the last of them is of the current term.
func (n *Node) advanceCommit() {
	var synced []uint64
	for _, id := range n.conf().Voters() {
		if id == n.cfg.ID {
			synced = append(synced, n.stable)
			continue
		}
		synced = append(synced, n.peers[id].match)
	}
	index := quorumValue(synced)
	term, ok := n.log.term(index)
	if ok && term == n.term && index > n.commit {
		n.commit = index
	}
}

// hasCommittedInTerm reports whether the leader has committed an entry of its term, so that its commit index is current.
func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.commit)
	return ok && term == n.term
}
