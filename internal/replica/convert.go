package replica

import (
	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/proto/peerpb"
)

// toProto returns the wire form of m, without its snapshot, which is sent in parts.
func toProto(m raft.Message) *peerpb.Message {
	pb := &peerpb.Message{
		Kind: uint32(m.Kind), Group: m.Group, Epoch: m.Epoch, From: m.From, To: m.To,
		FromIncarnation: m.FromIncarnation, ToIncarnation: m.ToIncarnation,
		Term: m.Term, LogTerm: m.LogTerm, Index: m.Index, Commit: m.Commit,
		Reject: m.Reject, Hint: m.Hint, Context: m.Context, Transfer: m.Transfer,
	}
	for _, e := range m.Entries {
		pb.Entries = append(pb.Entries, wal.EntryToProto(e))
	}
	return pb
}

// fromProto is the inverse of toProto.
func fromProto(pb *peerpb.Message) raft.Message {
	m := raft.Message{
		Kind: raft.Kind(pb.Kind), Group: pb.Group, Epoch: pb.Epoch, From: pb.From, To: pb.To,
		FromIncarnation: pb.FromIncarnation, ToIncarnation: pb.ToIncarnation,
		Term: pb.Term, LogTerm: pb.LogTerm, Index: pb.Index, Commit: pb.Commit,
		Reject: pb.Reject, Hint: pb.Hint, Context: pb.Context, Transfer: pb.Transfer,
	}
	for _, e := range pb.Entries {
		m.Entries = append(m.Entries, wal.EntryFromProto(e))
	}
	return m
}

// snapshotParts splits an encoded snapshot into messages. Context is the offset of a part.
func snapshotParts(m raft.Message, encoded []byte) []*peerpb.Message {
	var parts []*peerpb.Message
	for at := 0; at < len(encoded); at += snapshotPartBytes {
		part := toProto(m)
		part.Context = uint64(at)
		part.SnapshotSize = uint64(len(encoded))
		part.Snapshot = encoded[at:min(at+snapshotPartBytes, len(encoded))]
		parts = append(parts, part)
	}
	return parts
}

// snapshotAssembler reassembles the snapshot parts of one stream.
type snapshotAssembler struct{ data []byte }

// add appends a part and returns the snapshot once it is complete, nil before.
func (a *snapshotAssembler) add(pb *peerpb.Message) (*raft.Snapshot, error) {
	if pb.SnapshotSize > maxSnapshotBytes {
		return nil, errors.NotValidf("snapshot of %d bytes", pb.SnapshotSize)
	}
	if pb.Context == 0 {
		a.data = make([]byte, 0, pb.SnapshotSize)
	}
	if pb.Context != uint64(len(a.data)) {
		return nil, errors.NotValidf("snapshot part at offset %d after %d bytes", pb.Context, len(a.data))
	}
	a.data = append(a.data, pb.Snapshot...)
	if uint64(len(a.data)) < pb.SnapshotSize {
		return nil, nil
	}
	data := a.data
	a.data = nil
	return wal.DecodeSnapshot(data)
}
