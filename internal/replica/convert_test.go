package replica

import (
	"reflect"
	"testing"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
)

func TestMessageWireRoundTrip(t *testing.T) {
	want := raft.Message{
		Kind: raft.Append, Group: 1, Epoch: 2, From: 3, To: 4, FromIncarnation: 5, ToIncarnation: 6, Term: 7, LogTerm: 8,
		Index: 9, Commit: 10, Reject: true, Hint: 11, Context: 12, Transfer: true,
		Entries: []raft.Entry{{Term: 7, Index: 10, Kind: raft.EntryCommand, Data: []byte("x")}},
	}
	data, err := toProto(want).MarshalVT()
	if err != nil {
		t.Fatal(err)
	}
	pb := toProto(raft.Message{})
	if err := pb.UnmarshalVT(data); err != nil {
		t.Fatal(err)
	}
	if got := fromProto(pb); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestSnapshotParts(t *testing.T) {
	want := raft.Snapshot{Index: 5, Term: 2, Configuration: raft.Configuration{Epoch: 3}, Data: make([]byte, 2*snapshotPartBytes+7)}
	encoded, err := wal.EncodeSnapshot(want)
	if err != nil {
		t.Fatal(err)
	}
	parts := snapshotParts(raft.Message{Kind: raft.InstallSnapshot}, encoded)
	if len(parts) != 3 {
		t.Fatalf("got %d parts, want 3", len(parts))
	}
	var a snapshotAssembler
	for _, part := range append(parts[:1:1], parts...) { // the first part twice: the transfer is restarted
		got, err := a.add(part)
		if err != nil {
			t.Fatal(err)
		}
		if got != nil && !reflect.DeepEqual(*got, want) {
			t.Error("the assembled snapshot differs from the original")
		}
	}
	if a.data != nil {
		t.Error("the snapshot is not complete after its last part")
	}
	if _, err := a.add(parts[1]); err == nil {
		t.Error("a part was accepted without its predecessor")
	}
}
