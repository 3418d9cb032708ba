package wal_test

import (
	"testing"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
)

// openDisk opens a log in a temporary directory on a real disk.
func openDisk(b *testing.B) *wal.Log {
	folder := b.TempDir()
	if _, _, err := wal.LoadIdentity(wal.OS{}, folder, wal.Identity{Group: 1, ID: 1, Incarnation: 1}); err != nil {
		b.Fatal(err)
	}
	l, _, err := wal.Open(wal.OS{}, folder)
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// BenchmarkAppend measures appending and syncing one entry of 512 bytes on a real disk.
func BenchmarkAppend(b *testing.B) {
	l := openDisk(b)
	data := make([]byte, 512)
	var index uint64
	for b.Loop() {
		index++
		if err := l.Append(nil, []raft.Entry{{Term: 1, Index: index, Kind: raft.EntryCommand, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
	_ = l.Close()
}

// BenchmarkSnapshot measures saving a snapshot of 16 MiB. The member's loop is blocked for this time, and for that of the state
// machine's Snapshot method.
func BenchmarkSnapshot(b *testing.B) {
	l := openDisk(b)
	snap := raft.Snapshot{Term: 1, Data: make([]byte, 16<<20)}
	for b.Loop() {
		snap.Index++
		if err := l.SaveSnapshot(snap, raft.HardState{Term: 1}, nil); err != nil {
			b.Fatal(err)
		}
	}
	_ = l.Close()
}
