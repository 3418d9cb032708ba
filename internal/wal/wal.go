// Package wal stores the replicated log of one member on disk.
//
// A data directory holds an identity, the latest snapshot and one log file. The first record of a log file holds the hard
// state and the entries after the snapshot, so each new snapshot comes with a new log file. Files are replaced
// atomically: they are written under a temporary name, synced and renamed, and then the directory is synced.
package wal

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/proto/peerpb"
)

const (
	logPrefix, logSuffix           = "log-", ".wal"
	snapshotPrefix, snapshotSuffix = "snapshot-", ".snap"
	tempSuffix                     = ".tmp"
	repairAdvice                   = "this member's disk cannot be trusted: remove the member from the group, " +
		"empty its data directory, start it and add it again as a learner (docs/operating/control-group.md)"
)

// ErrSync means that the sync of a file or directory failed. The contents of the disk are unknown from then on, so the process
// must exit.
const ErrSync = errors.ConstError("sync of the data directory failed")

// ErrFull means that the disk was full. The write had no effect and may be retried.
const ErrFull = errors.ConstError("the disk of the data directory is full")

// wrapWriteError adds the type ErrFull to the error of a write that failed because the disk was full.
func wrapWriteError(err error) error {
	if errors.Is(err, unix.ENOSPC) {
		return errors.WithType(err, ErrFull)
	}
	return errors.Trace(err)
}

func wrapSyncError(err error) error { return errors.WithType(err, ErrSync) }

// Log is the open log of one member. It is not safe for concurrent use.
type Log struct {
	fs     FS
	dir    string
	file   File
	seq    uint64 // number in the name of the log file
	size   int64  // valid bytes of the log file
	failed error  // first permanent failure; later writes return it
	buf    []byte
}

// Open reads a data directory prepared by LoadIdentity or Initialize and opens its log for appending. A torn last record is
// truncated.
func Open(fsys FS, dir string) (*Log, raft.State, error) {
	l := &Log{fs: fsys, dir: dir}
	state, err := l.load()
	if err != nil {
		return nil, raft.State{}, err
	}
	return l, state, nil
}

func (l *Log) load() (raft.State, error) {
	var state raft.State
	names, err := l.fs.List(l.dir)
	if err != nil {
		return state, errors.Annotate(err, "list the data directory")
	}
	snaps, logs := l.sortNames(names)
	if len(snaps) > 0 {
		if state.Snapshot, err = l.readSnapshot(snaps[len(snaps)-1]); err != nil {
			return state, err
		}
	}
	if len(logs) == 0 {
		return state, errors.Annotatef(ErrDamaged, "%q holds no log; %s", l.dir, repairAdvice)
	}
	l.seq = logs[len(logs)-1]
	if err := l.replayLog(&state); err != nil {
		return state, err
	}
	l.removeOld(snaps, logs)
	return state, nil
}

// sortNames returns the numbers of the snapshots and logs in ascending order, and removes temporary files. names must be
// sorted.
func (l *Log) sortNames(names []string) (snaps, logs []uint64) {
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			_ = l.fs.Remove(filepath.Join(l.dir, name))
		case isSnapshotName(name):
			snaps = append(snaps, parseNumber(name, snapshotPrefix, snapshotSuffix))
		case isLogName(name):
			logs = append(logs, parseNumber(name, logPrefix, logSuffix))
		}
	}
	return snaps, logs
}

func isLogName(name string) bool {
	return strings.HasPrefix(name, logPrefix) && strings.HasSuffix(name, logSuffix)
}

func isSnapshotName(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

func parseNumber(name, prefix, suffix string) uint64 {
	n, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(name, prefix), suffix), 10, 64)
	return n
}

// Numbers in file names have a fixed width, so that names sort in numerical order.
func logName(seq uint64) string { return fmt.Sprintf("%s%020d%s", logPrefix, seq, logSuffix) }

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%020d%s", snapshotPrefix, index, snapshotSuffix)
}

// replayLog replays the log file into state and opens the file for appending.
func (l *Log) replayLog(state *raft.State) error {
	path := filepath.Join(l.dir, logName(l.seq))
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "log")
	}
	payloads, valid, err := parseRecords(data)
	if err != nil {
		return errors.Annotatef(err, "%s; %s", path, repairAdvice)
	}
	if len(payloads) == 0 {
		return errors.Annotatef(ErrDamaged, "%s has no first record; %s", path, repairAdvice)
	}
	for _, payload := range payloads {
		if err := replay(state, payload); err != nil {
			return errors.Annotatef(err, "%s; %s", path, repairAdvice)
		}
	}
	if err := dropCovered(state); err != nil {
		return errors.Annotatef(err, "%s; %s", path, repairAdvice)
	}
	if l.file, err = l.fs.OpenAppend(path); err != nil {
		return errors.Annotate(err, "log")
	}
	l.size = int64(valid)
	if valid < len(data) {
		return l.truncateTornRecord()
	}
	return nil
}

// truncateTornRecord truncates a torn last record.
func (l *Log) truncateTornRecord() error {
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Annotate(err, "truncate a torn record")
	}
	if err := l.file.Sync(); err != nil {
		return wrapSyncError(err)
	}
	return nil
}

// replay applies one record to state.
func replay(state *raft.State, payload []byte) error {
	var rec peerpb.Record
	if err := rec.UnmarshalVT(payload); err != nil {
		return errors.Annotatef(ErrDamaged, "%v", err)
	}
	if rec.Snapshot > 0 && (state.Snapshot == nil || state.Snapshot.Index < rec.Snapshot) {
		return errors.Annotatef(ErrDamaged, "the snapshot at entry %d is missing", rec.Snapshot)
	}
	if rec.HasState {
		state.HardState = raft.HardState{Term: rec.Term, Vote: rec.Vote}
	}
	for _, pb := range rec.Entries {
		if len(state.Entries) > 0 {
			first, next := state.Entries[0].Index, state.Entries[0].Index+uint64(len(state.Entries))
			if pb.Index < first || pb.Index > next {
				return errors.Annotatef(ErrDamaged, "entry %d follows entries %d to %d", pb.Index, first, next-1)
			}
			state.Entries = state.Entries[:pb.Index-first]
		}
		state.Entries = append(state.Entries, EntryFromProto(pb))
	}
	return nil
}

// dropCovered removes the entries that the snapshot covers. A crash between writing a received snapshot and its log
// leaves the old log in place; if the old log conflicts with the snapshot, all of its entries are dropped.
func dropCovered(state *raft.State) error {
	var snap raft.Snapshot
	if state.Snapshot != nil {
		snap = *state.Snapshot
	}
	for i, e := range state.Entries {
		switch {
		case e.Index == snap.Index && e.Term != snap.Term:
			state.Entries = nil
			return nil
		case e.Index == snap.Index+1:
			state.Entries = state.Entries[i:]
			return nil
		case e.Index > snap.Index+1:
			return errors.Annotatef(ErrDamaged, "entry %d follows the snapshot at entry %d", e.Index, snap.Index)
		}
	}
	state.Entries = nil
	return nil
}

// Append writes hs, unless it is nil, and entries in one record and syncs them. The first entry replaces all stored
// entries from its index on.
func (l *Log) Append(hs *raft.HardState, entries []raft.Entry) error {
	if hs == nil && len(entries) == 0 {
		return nil
	}
	if l.failed != nil {
		return l.failed
	}
	payload, err := encodeRecord(0, hs, entries)
	if err != nil {
		return err
	}
	l.buf = appendRecord(l.buf[:0], payload)
	if _, err := l.file.Write(l.buf); err != nil {
		return l.undoWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		l.failed = wrapSyncError(err)
		return l.failed
	}
	l.size += int64(len(l.buf))
	return nil
}

// undoWrite truncates the partial data of a write that failed because the disk was full. After any other error, or if the
// truncation fails, the log can no longer be written.
func (l *Log) undoWrite(cause error) error {
	err := wrapWriteError(errors.Annotate(cause, "write the log"))
	if !errors.Is(err, ErrFull) {
		l.failed = err
		return err
	}
	if truncateErr := l.file.Truncate(l.size); truncateErr != nil {
		l.failed = errors.Annotate(truncateErr, "truncate an incomplete write of the log")
		return l.failed
	}
	return err
}

func encodeRecord(base uint64, hs *raft.HardState, entries []raft.Entry) ([]byte, error) {
	rec := &peerpb.Record{Snapshot: base}
	if hs != nil {
		rec.HasState, rec.Term, rec.Vote = true, hs.Term, hs.Vote
	}
	for _, e := range entries {
		rec.Entries = append(rec.Entries, EntryToProto(e))
	}
	payload, err := rec.MarshalVT()
	return payload, errors.Trace(err)
}

// SaveSnapshot stores a snapshot and starts a new log file with hs and the entries after the snapshot.
func (l *Log) SaveSnapshot(snap raft.Snapshot, hs raft.HardState, entries []raft.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	data, err := EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	if err := writeFile(l.fs, l.dir, snapshotName(snap.Index), appendRecord(nil, data)); err != nil {
		return l.recordSyncFailure(errors.Annotate(err, "snapshot"))
	}
	if err := l.create(l.seq+1, snap.Index, hs, entries); err != nil {
		return err
	}
	names, err := l.fs.List(l.dir)
	if err != nil {
		return errors.Trace(err)
	}
	snaps, logs := l.sortNames(names)
	l.removeOld(snaps, logs)
	return nil
}

// create creates a new log file for the entries after the snapshot at entry base, and makes it the current one.
func (l *Log) create(seq, base uint64, hs raft.HardState, entries []raft.Entry) error {
	payload, err := encodeRecord(base, &hs, entries)
	if err != nil {
		return err
	}
	data := appendRecord(nil, payload)
	if err := writeFile(l.fs, l.dir, logName(seq), data); err != nil {
		return l.recordSyncFailure(errors.Annotate(err, "log"))
	}
	file, err := l.fs.OpenAppend(filepath.Join(l.dir, logName(seq)))
	if err != nil {
		l.failed = errors.Annotate(err, "log")
		return l.failed
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.seq, l.size = file, seq, int64(len(data))
	return nil
}

// recordSyncFailure records a failed sync, after which the log can no longer be written.
func (l *Log) recordSyncFailure(err error) error {
	if errors.Is(err, ErrSync) {
		l.failed = err
	}
	return err
}

// removeOld deletes all but the newest snapshot and log. Errors are ignored: the files are deleted the next time.
func (l *Log) removeOld(snaps, logs []uint64) {
	for _, index := range snaps[:max(len(snaps)-1, 0)] {
		_ = l.fs.Remove(filepath.Join(l.dir, snapshotName(index)))
	}
	for _, seq := range logs[:max(len(logs)-1, 0)] {
		_ = l.fs.Remove(filepath.Join(l.dir, logName(seq)))
	}
}

// Snapshot reads the latest snapshot. It returns nil if there is none.
func (l *Log) Snapshot() (*raft.Snapshot, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	snaps, _ := l.sortNames(names)
	if len(snaps) == 0 {
		return nil, nil
	}
	return l.readSnapshot(snaps[len(snaps)-1])
}

func (l *Log) readSnapshot(index uint64) (*raft.Snapshot, error) {
	path := filepath.Join(l.dir, snapshotName(index))
	data, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	payload, ok := parseRecord(data)
	if !ok || headerSize+len(payload) != len(data) {
		return nil, errors.Annotatef(ErrDamaged, "%s; %s", path, repairAdvice)
	}
	snap, err := DecodeSnapshot(payload)
	return snap, errors.Annotatef(err, "%s; %s", path, repairAdvice)
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log file. It does not need to sync, because Append does.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// EncodeSnapshot returns the encoding of a snapshot that is used in files and between members.
func EncodeSnapshot(snap raft.Snapshot) ([]byte, error) {
	conf, err := json.Marshal(snap.Configuration)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pb := &peerpb.Snapshot{Index: snap.Index, Term: snap.Term, Configuration: conf, Data: snap.Data}
	data, err := pb.MarshalVT()
	return data, errors.Trace(err)
}

// DecodeSnapshot is the inverse of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*raft.Snapshot, error) {
	var pb peerpb.Snapshot
	if err := pb.UnmarshalVT(data); err != nil {
		return nil, errors.Annotatef(ErrDamaged, "snapshot: %v", err)
	}
	snap := &raft.Snapshot{Index: pb.Index, Term: pb.Term, Data: pb.Data}
	if err := json.Unmarshal(pb.Configuration, &snap.Configuration); err != nil {
		return nil, errors.Annotatef(ErrDamaged, "snapshot: configuration: %v", err)
	}
	return snap, nil
}

// EntryToProto returns the message of an entry that is used in files and between members.
func EntryToProto(e raft.Entry) *peerpb.Entry {
	return &peerpb.Entry{Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data}
}

// EntryFromProto is the inverse of EntryToProto.
func EntryFromProto(pb *peerpb.Entry) raft.Entry {
	return raft.Entry{Term: pb.Term, Index: pb.Index, Kind: raft.EntryKind(pb.Kind), Data: pb.Data}
}
