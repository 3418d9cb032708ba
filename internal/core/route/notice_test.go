package route

import (
	"testing"
	"time"

	"github.com/juju/errors"
)

// noticeTable returns a table with ready servers of one service, and its routers by policy.
func noticeTable(ids ...string) (*Table, map[string]*Router) {
	t := NewTable(Config{})
	for _, id := range ids {
		t.Upsert(noticeStart, noticeServer(id, "1"))
	}
	return t, map[string]*Router{
		"two choices":       NewRouter(t, RouterConfig{Policy: PolicyTwoChoices}),
		"session lanes":     NewRouter(t, RouterConfig{Policy: PolicySessionLanes}),
		"round robin":       NewRouter(t, RouterConfig{Policy: PolicyRoundRobin}),
		"least outstanding": NewRouter(t, RouterConfig{Policy: PolicyLeastOutstanding}),
	}
}

func noticeServer(id, incarnation string) Backend {
	return Backend{ID: id, Incarnation: incarnation, Kind: KindService, Model: "app", Lifecycle: LifecycleReady, Slots: 4}
}

var noticeStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// choices100 returns how often each server is chosen for 100 requests of different sessions, and the last error.
func choices100(r *Router, now time.Time) (counts map[string]int, err error) {
	counts = make(map[string]int)
	for i := range uint64(100) {
		b, chooseErr := r.Choose(now, Request{Kind: KindService, Model: "app", Session: i + 1, Prefix: []uint64{i}}, i*0x9e3779b97f4a7c15)
		if chooseErr != nil {
			err = chooseErr
			continue
		}
		counts[b.ID]++
	}
	return counts, err
}

// Guards against new work for a server that has said that it leaves: a gateway that is cut off from the control group hears of it from
// the server's answers only.
func TestServerThatSaysItLeavesIsNotChosen(t *testing.T) {
	table, routers := noticeTable("a", "b")
	if !table.RecordLeaving("a", "1") || table.RecordLeaving("a", "1") {
		t.Error("the notice must be new the first time and known the second time")
	}
	table.Upsert(noticeStart, noticeServer("a", "1")) // the registry doesn't know yet
	table.Remove("a")
	table.Upsert(noticeStart, noticeServer("a", "1"))
	for name, r := range routers {
		if counts, err := choices100(r, noticeStart.Add(time.Hour)); counts["a"] != 0 || counts["b"] != 100 {
			t.Errorf("%s: chosen %v, error %v; want only b", name, counts, err)
		}
	}
	if table.TakesWork(noticeStart, "a") || !table.TakesWork(noticeStart, "b") || table.TakesWork(noticeStart, "none") {
		t.Error("only b takes work")
	}
	table.RecordLeaving("b", "1")
	for name, r := range routers {
		if counts, err := choices100(r, noticeStart); len(counts) != 0 || !errors.Is(err, ErrNoCandidate) {
			t.Errorf("%s: chosen %v, error %v; want none, not even as a last resort", name, counts, err)
		}
	}
	table.Upsert(noticeStart, noticeServer("a", "2"))
	if table.RecordLeaving("a", "1") {
		t.Error("the notice of a former incarnation counts")
	}
	for name, r := range routers {
		if counts, _ := choices100(r, noticeStart); counts["a"] != 100 {
			t.Errorf("%s: chosen %v, want the new incarnation of a", name, counts)
		}
	}
}

// Guards against requests to a server that has asked for a pause.
func TestPausedServerIsNotChosen(t *testing.T) {
	table, routers := noticeTable("a", "b")
	at := func(s int) time.Time { return noticeStart.Add(time.Duration(s) * time.Second) }
	steps := []struct {
		name    string
		second  int
		pause   time.Duration // that a asks for; 0: none
		changes bool
		paused  bool // a afterwards
	}{
		{"before", 0, 0, false, false},
		{"first pause", 1, 10 * time.Second, true, true},
		{"a shorter one shortens nothing", 2, time.Second, false, true},
		{"a longer one lengthens", 3, 20 * time.Second, true, true},
		{"before its end", 22, 0, false, true},
		{"at its end", 23, 0, false, false},
		{"very long", 24, 1000 * time.Hour, true, true},
		{"before the longest pause ends", 24 + 3599, 0, false, true},
		{"after the longest pause", 24 + 3600, 0, false, false},
	}
	for _, s := range steps {
		if s.pause > 0 && table.RecordPause(at(s.second), "a", "1", s.pause) != s.changes {
			t.Errorf("%s: want a change %v", s.name, s.changes)
		}
		for name, r := range routers {
			counts, err := choices100(r, at(s.second))
			if (counts["a"] == 0) != s.paused || err != nil {
				t.Errorf("%s, %s: chosen %v, error %v; want a paused %v", s.name, name, counts, err, s.paused)
			}
		}
	}
}

// All servers are paused: the error says when the first one takes work again.
func TestAllServersPaused(t *testing.T) {
	table, routers := noticeTable("a", "b")
	table.RecordPause(noticeStart, "a", "1", 10*time.Second)
	table.RecordPause(noticeStart, "b", "1", 4*time.Second)
	for name, r := range routers {
		_, err := choices100(r, noticeStart.Add(time.Second))
		var paused *PausedError
		if !errors.As(err, &paused) || paused.Left != 3*time.Second || !errors.Is(err, ErrNoCandidate) {
			t.Errorf("%s: error %v, want a pause of another 3s", name, err)
		}
	}
	table.RecordLeaving("b", "1")
	if _, err := choices100(routers["round robin"], noticeStart.Add(time.Second)); err == nil || err.(*PausedError).Left != 9*time.Second {
		t.Errorf("error %v, want the pause of the server that stays", err)
	}
	table.Upsert(noticeStart, noticeServer("c", "1"))
	for _, r := range routers {
		r.table.servers["c"].health.quarantine(noticeStart)
	}
	if counts, err := choices100(routers["round robin"], noticeStart.Add(time.Second)); len(counts) != 0 || errors.As(err, new(*PausedError)) {
		t.Errorf("chosen %v, error %v; want no statement about the time, since a server is not paused", counts, err)
	}
}

// A backup must not be kept, nor a prefix fetched, at a server that takes no new work.
func TestBackupAvoidsServersThatTakeNoWork(t *testing.T) {
	table, routers := noticeTable("a", "b", "c")
	table.RecordLeaving("b", "1")
	table.RecordPause(noticeStart, "c", "1", time.Minute)
	if b, ok := routers["session lanes"].BackupServer(noticeStart, Request{Kind: KindService, Model: "app"}, "a", 1); ok {
		t.Errorf("backup at %s, want none", b.ID)
	}
}
