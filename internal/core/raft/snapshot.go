package raft

import (
	"time"

	"github.com/juju/errors"
)

// sendSnapshot queues an InstallSnapshot message. The caller adds its latest snapshot when it sends the message.
func (n *Node) sendSnapshot(now time.Time, id uint64, pr *progress) {
	n.send(Message{Kind: InstallSnapshot, To: id, Commit: n.commit})
	pr.isProbing, pr.isInstalling, pr.isAwaiting = true, true, true
	pr.sentAt = now
}

// handleSnapshot installs the leader's snapshot unless the local log already reaches it.
func (n *Node) handleSnapshot(m Message) {
	snap := m.Snapshot
	switch {
	case snap == nil:
		return
	case snap.Index <= n.commit:
		n.replySynced(m, Message{Kind: AppendReply, Index: n.commit})
		return
	case n.log.matches(snap.Index, snap.Term):
		n.commit = snap.Index
	default:
		n.install(snap)
	}
	n.replySynced(m, Message{Kind: AppendReply, Index: snap.Index})
}

func (n *Node) install(snap *Snapshot) {
	n.log = newMemoryLog(snap)
	n.commit, n.applied, n.emitted, n.stable = snap.Index, snap.Index, snap.Index, snap.Index
	n.out.Snapshot = snap
}

// SnapshotAt returns a snapshot without data as of an applied entry, and the entries after it.
func (n *Node) SnapshotAt(index uint64) (Snapshot, []Entry, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return Snapshot{}, nil, errors.NotValidf("snapshot at entry %d with applied entry %d", index, n.applied)
	}
	snap := Snapshot{Index: index, Term: term, Configuration: n.log.configurationBefore(index).conf}
	return snap, n.log.slice(index+1, n.emitted, unlimited), nil
}

// Compact drops the entries up to index. A stored snapshot must cover them.
func (n *Node) Compact(index uint64) { n.log.compact(min(index, n.applied)) }
