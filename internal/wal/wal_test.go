package wal_test

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/raft"
	"github.com/guavastack/guavastack/internal/wal"
	"github.com/guavastack/guavastack/internal/wal/waltest"
)

const dir = "data"

var logFile = filepath.Join(dir, "log-00000000000000000001.wal")

func entry(term, index uint64) raft.Entry {
	return raft.Entry{Term: term, Index: index, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "%d/%d", term, index)}
}

func hardState(term uint64) *raft.HardState { return &raft.HardState{Term: term, Vote: 2} }

// model is the state that the log must hold after a number of successful steps.
type model struct {
	hs      raft.HardState
	base    uint64
	entries []raft.Entry
}

// steps are the writes of the tests. Each one updates the model to the expected state after its success.
var steps = []func(l *wal.Log, m *model) error{
	appendStep(hardState(1), entry(1, 1), entry(1, 2)),
	appendStep(nil, entry(1, 3)),
	appendStep(hardState(2), entry(2, 3), entry(2, 4)), // replaces entry 3
	snapshotStep(3, 2, hardState(2), entry(2, 4)),
	appendStep(hardState(3), entry(3, 5)),
	snapshotStep(9, 4, hardState(4)), // a received snapshot
	appendStep(nil, entry(4, 10)),
}

func appendStep(hs *raft.HardState, entries ...raft.Entry) func(*wal.Log, *model) error {
	return func(l *wal.Log, m *model) error {
		if hs != nil {
			m.hs = *hs
		}
		for _, e := range entries {
			m.entries = append(m.entries[:e.Index-m.base-1:e.Index-m.base-1], e)
		}
		return l.Append(hs, entries)
	}
}

func snapshotStep(index, term uint64, hs *raft.HardState, tail ...raft.Entry) func(*wal.Log, *model) error {
	return func(l *wal.Log, m *model) error {
		m.hs, m.base, m.entries = *hs, index, tail
		return l.SaveSnapshot(raft.Snapshot{Index: index, Term: term, Data: []byte("state")}, *hs, tail)
	}
}

// runSteps executes the steps until one fails, and returns the expected states before and after that step.
func runSteps(t *testing.T, fs wal.FS) (before, after model, err error) {
	t.Helper()
	if _, _, err = wal.LoadIdentity(fs, dir, wal.Identity{Group: 1, ID: 1, Incarnation: 9}); err != nil {
		return before, after, err
	}
	l, _, err := wal.Open(fs, dir)
	if err != nil {
		return before, after, err
	}
	for _, step := range steps {
		before = after
		if err = step(l, &after); err != nil {
			return before, after, err
		}
	}
	return after, after, l.Close()
}

// openBlank initializes a blank directory and opens its log.
func openBlank(t testing.TB, fs wal.FS) *wal.Log {
	t.Helper()
	if _, _, err := wal.LoadIdentity(fs, dir, wal.Identity{Group: 1, ID: 1, Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	l, _, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func reopen(t *testing.T, fs wal.FS) model {
	t.Helper()
	l, state, err := wal.Open(fs, dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	m := model{hs: state.HardState, entries: state.Entries}
	if state.Snapshot != nil {
		m.base = state.Snapshot.Index
	}
	return m
}

func equal(a, b model) bool {
	return a.hs == b.hs && a.base == b.base && (len(a.entries)+len(b.entries) == 0 || reflect.DeepEqual(a.entries, b.entries))
}

func TestStateSurvivesReopen(t *testing.T) {
	fs := waltest.New()
	_, want, err := runSteps(t, fs)
	if err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, fs.Crash(0)); !equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestDiskFaultLosesNoAcknowledgedWrite makes each modifying call fail in turn and then crashes. The log must hold the state
// before or after the step that failed.
func TestDiskFaultLosesNoAcknowledgedWrite(t *testing.T) {
	count := waltest.New()
	count.FailAt(0)
	if _, _, err := runSteps(t, count); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= count.Calls(); n++ {
		for _, keep := range []int{0, 5, 1 << 20} {
			fs := waltest.New()
			fs.FailAt(n)
			before, after, err := runSteps(t, fs)
			crashed := fs.Crash(keep)
			if _, _, idErr := wal.LoadIdentity(crashed, dir, wal.Identity{Group: 1, ID: 1, Incarnation: 9}); idErr != nil {
				t.Fatalf("fault %d: load identity after the crash: %v", n, idErr)
			}
			if got := reopen(t, crashed); !equal(got, before) && !equal(got, after) && !isBetween(got, before, after) {
				t.Errorf("fault %d (%v), keep %d: got %+v, want %+v or %+v", n, err, keep, got, before, after)
			}
		}
	}
}

// isBetween reports whether got is the state after a crash between writing a snapshot and its log: the snapshot is new,
// while hard state and entries are old.
func isBetween(got, before, after model) bool {
	if got.base != after.base || got.hs != before.hs {
		return false
	}
	for _, e := range got.entries {
		if old := e.Index - before.base - 1; old >= uint64(len(before.entries)) || !reflect.DeepEqual(before.entries[old], e) {
			return false
		}
	}
	return true
}

func TestNothingIsWrittenAfterAFailedSync(t *testing.T) {
	fs := waltest.New()
	l := openBlank(t, fs)
	fs.FailAt(2)
	if err := l.Append(hardState(1), nil); !errors.Is(err, wal.ErrSync) {
		t.Fatalf("got error %v, want %v", err, wal.ErrSync)
	}
	calls := fs.Calls()
	if err := l.Append(hardState(2), nil); !errors.Is(err, wal.ErrSync) || fs.Calls() != calls {
		t.Errorf("got error %v after %d calls, want %v after 0 calls", err, fs.Calls()-calls, wal.ErrSync)
	}
}

// TestAppendCanBeRetriedAfterFullDisk fills the disk during an append. The append must have no effect, and succeed when
// it is retried with free space.
func TestAppendCanBeRetriedAfterFullDisk(t *testing.T) {
	fs := waltest.New()
	l := openBlank(t, fs)
	if err := l.Append(hardState(1), []raft.Entry{entry(1, 1)}); err != nil {
		t.Fatal(err)
	}
	fs.SetFull(true)
	for range 2 {
		if err := l.Append(hardState(2), []raft.Entry{entry(2, 2)}); !errors.Is(err, wal.ErrFull) {
			t.Fatalf("got error %v, want %v", err, wal.ErrFull)
		}
	}
	if got := reopen(t, fs.Crash(1<<20)); got.hs.Term != 1 || len(got.entries) != 1 {
		t.Errorf("got %+v while the disk is full, want term 1 and one entry", got)
	}
	fs.SetFull(false)
	if err := l.Append(hardState(2), []raft.Entry{entry(2, 2)}); err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, fs.Crash(0)); got.hs.Term != 2 || len(got.entries) != 2 {
		t.Errorf("got %+v after the retry, want term 2 and two entries", got)
	}
}

func TestOpenDamagedLog(t *testing.T) {
	build := func() (*waltest.FS, int, int) {
		fs := waltest.New()
		l := openBlank(t, fs)
		var sizes []int
		for i := uint64(1); i <= 3; i++ {
			if err := l.Append(nil, []raft.Entry{entry(1, i)}); err != nil {
				t.Fatal(err)
			}
			sizes = append(sizes, int(l.Size()))
		}
		return fs, sizes[1], sizes[2]
	}
	cases := []struct {
		name    string
		damage  func(fs *waltest.FS, second, end int)
		entries int // -1: Open fails
	}{
		{"none", func(*waltest.FS, int, int) {}, 3},
		{"last record truncated", func(fs *waltest.FS, _, end int) { fs.Resize(logFile, end-3) }, 2},
		{"last record truncated in its header", func(fs *waltest.FS, second, _ int) { fs.Resize(logFile, second+5) }, 2},
		{"last record ends in zeros", func(fs *waltest.FS, _, end int) {
			fs.Resize(logFile, end-4)
			fs.Resize(logFile, end)
		}, 2},
		{"zeros after the last record", func(fs *waltest.FS, _, end int) { fs.Resize(logFile, end+4096) }, 3},
		{"corrupt byte in the first record", func(fs *waltest.FS, _, _ int) { fs.Corrupt(logFile, 14) }, -1},
		{"corrupt byte in the second record", func(fs *waltest.FS, second, _ int) { fs.Corrupt(logFile, second-2) }, -1},
		{"corrupt length of the second record", func(fs *waltest.FS, second, end int) { fs.Corrupt(logFile, second-(end-second)+6) }, -1},
		{"corrupt byte in the last record", func(fs *waltest.FS, _, end int) { fs.Corrupt(logFile, end-2) }, -1},
		{"empty file", func(fs *waltest.FS, _, _ int) { fs.Resize(logFile, 0) }, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fs, second, end := build()
			c.damage(fs, second, end)
			l, state, err := wal.Open(fs, dir)
			switch {
			case c.entries < 0 && (!errors.Is(err, wal.ErrDamaged) || !strings.Contains(err.Error(), "learner")):
				t.Errorf("got error %v, want ErrDamaged with repair advice", err)
			case c.entries >= 0 && (err != nil || len(state.Entries) != c.entries):
				t.Errorf("got %d entries, error %v, want %d entries", len(state.Entries), err, c.entries)
			case c.entries >= 0:
				checkAppend(t, fs, l, uint64(c.entries)+1)
			}
		})
	}
}

// checkAppend appends one more entry and checks that it is there after reopening the log.
func checkAppend(t *testing.T, fs wal.FS, l *wal.Log, index uint64) {
	t.Helper()
	if err := l.Append(nil, []raft.Entry{entry(2, index)}); err != nil {
		t.Fatal(err)
	}
	if got := reopen(t, fs).entries; uint64(len(got)) != index {
		t.Errorf("got %d entries after another append, want %d", len(got), index)
	}
}

func TestDamagedSnapshotIsRejected(t *testing.T) {
	fs := waltest.New()
	if _, _, err := runSteps(t, fs); err != nil {
		t.Fatal(err)
	}
	fs.Corrupt(filepath.Join(dir, "snapshot-00000000000000000009.snap"), 15)
	if _, _, err := wal.Open(fs, dir); !errors.Is(err, wal.ErrDamaged) {
		t.Errorf("got error %v, want %v", err, wal.ErrDamaged)
	}
}

// TestDirectoryWithMissingFileIsRejected removes one file of a data directory that is not blank. The directory must be
// rejected, because a member that started with lost state could vote twice in one term.
func TestDirectoryWithMissingFileIsRejected(t *testing.T) {
	for _, name := range []string{"identity.json", "log-00000000000000000003.wal", "snapshot-00000000000000000009.snap"} {
		t.Run(name, func(t *testing.T) {
			fs := waltest.New()
			if _, _, err := runSteps(t, fs); err != nil {
				t.Fatal(err)
			}
			if err := fs.Remove(filepath.Join(dir, name)); err != nil {
				t.Fatal(err)
			}
			_, _, err := wal.LoadIdentity(fs, dir, wal.Identity{Group: 1, ID: 1, Incarnation: 10})
			if err == nil {
				_, _, err = wal.Open(fs, dir)
			}
			if !errors.Is(err, wal.ErrDamaged) {
				t.Errorf("got error %v, want %v", err, wal.ErrDamaged)
			}
		})
	}
}

func TestLogWithMissingSnapshotIsRejected(t *testing.T) {
	fs := waltest.New()
	l := openBlank(t, fs)
	if err := l.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1}, *hardState(1), nil); err != nil {
		t.Fatal(err)
	}
	if err := fs.Remove(filepath.Join(dir, "snapshot-00000000000000000002.snap")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(fs, dir); !errors.Is(err, wal.ErrDamaged) {
		t.Errorf("got error %v, want %v", err, wal.ErrDamaged)
	}
}

// TestCrashAfterReceivedSnapshotBeforeLog crashes after a received snapshot was written and before its log is. Entries of
// the old log that conflict with the snapshot must be dropped.
func TestCrashAfterReceivedSnapshotBeforeLog(t *testing.T) {
	fs := waltest.New()
	l := openBlank(t, fs)
	if err := l.Append(hardState(1), []raft.Entry{entry(1, 1), entry(1, 2), entry(1, 3)}); err != nil {
		t.Fatal(err)
	}
	const snapshotCalls = 5 // create, write, sync, rename, sync of the directory
	fs.FailAt(snapshotCalls + 1)
	if err := l.SaveSnapshot(raft.Snapshot{Index: 2, Term: 5}, *hardState(5), nil); err == nil {
		t.Fatal("the injected fault did not occur")
	}
	if got := reopen(t, fs.Crash(0)); got.base != 2 || len(got.entries) != 0 {
		t.Errorf("got %+v, want the snapshot without entries", got)
	}
}

func FuzzOpen(f *testing.F) {
	fs := waltest.New()
	l := openBlank(f, fs)
	if err := l.Append(hardState(3), []raft.Entry{entry(1, 1), entry(3, 2)}); err != nil {
		f.Fatal(err)
	}
	good, err := fs.ReadFile(logFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{})
	f.Add([]byte("\xb3gv\x1a\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := waltest.New()
		file, _ := fs.Create(logFile)
		_, _ = file.Write(data)
		_, state, err := wal.Open(fs, dir)
		if err != nil {
			return
		}
		for i, e := range state.Entries {
			if e.Index != uint64(i+1) {
				t.Fatalf("got entry with index %d at position %d, want the position as index", e.Index, i+1)
			}
		}
		again := reopen(t, fs)
		if !equal(again, model{hs: state.HardState, entries: state.Entries}) {
			t.Fatal("opening the log again returned another state")
		}
	})
}
