package wal_test

import (
	"testing"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
)

// BenchmarkAppend reports one synced entry of 512 bytes on the disk of the machine.
func BenchmarkAppend(b *testing.B) {
	l, _, err := wal.Open(wal.OS{}, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
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

// BenchmarkSnapshot reports a snapshot of 16 MiB: the time for which the member's loop stands still, besides the
// state machine's own part.
func BenchmarkSnapshot(b *testing.B) {
	l, _, err := wal.Open(wal.OS{}, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	snap := raft.Snapshot{Term: 1, Data: make([]byte, 16<<20)}
	for b.Loop() {
		snap.Index++
		if err := l.SaveSnapshot(snap, raft.HardState{Term: 1}, nil); err != nil {
			b.Fatal(err)
		}
	}
	_ = l.Close()
}
