package raft

import (
	"time"

	"github.com/juju/errors"
)

// sendSnapshot asks the caller to send its latest snapshot, whose data it adds.
func (n *Node) sendSnapshot(now time.Time, id uint64, pr *progress) {
	n.send(Message{Kind: InstallSnapshot, To: id, Commit: n.commit})
	pr.isProbing, pr.isInstalling, pr.isAwaiting = true, true, true
	pr.sentAt = now
}

// handleSnapshot takes the leader's snapshot unless this member already holds as much.
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
	n.commit, n.applied, n.handed, n.stable = snap.Index, snap.Index, snap.Index, snap.Index
	n.out.Snapshot = snap
}

// SnapshotAt describes a snapshot at an applied entry, without data, and returns the entries after it.
func (n *Node) SnapshotAt(index uint64) (Snapshot, []Entry, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return Snapshot{}, nil, errors.NotValidf("snapshot at entry %d, applied %d,", index, n.applied)
	}
	snap := Snapshot{Index: index, Term: term, Configuration: n.log.configurationBefore(index)}
	return snap, n.log.slice(index+1, n.handed, unlimited), nil
}

// Compact drops the entries up to index, which a stored snapshot must cover.
func (n *Node) Compact(index uint64) { n.log.compact(min(index, n.applied)) }
