package watch_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavastack/guavastack/internal/core/poison"
	"github.com/guavastack/guavastack/internal/watch"
)

// crashAt returns the report of the crash of a server under one part.
func crashAt(server string, part uint64) poison.Command {
	return poison.Command{Crashes: []poison.ServerCrash{{
		Crash: poison.Crash{Server: server, AtMS: time.Now().UnixMilli()}, Parts: []poison.CrashedPart{{Part: part}},
	}}}
}

// TestPromptPartIsBlockedEverywhere reports crashes through several watchers, one per second, while the leader changes. Every watcher
// must learn that the part is blocked in time, as must one that starts later, before its first confirmation.
func TestPromptPartIsBlockedEverywhere(t *testing.T) {
	cases := []struct {
		name    string
		between func(w *testGroup, crash int) // runs after each crash
	}{
		{"undisturbed", func(*testGroup, int) {}},
		{"the leader changes after each crash", func(w *testGroup, crash int) { w.cluster.SetLeader(crash % 3) }},
		{"no leader for a second", func(w *testGroup, crash int) {
			if crash == 2 {
				w.cluster.SetLeader(-1)
				time.AfterFunc(time.Second, func() { w.cluster.SetLeader(1) })
			}
		}},
		{"all services restart", func(w *testGroup, crash int) {
			for i := range w.services {
				w.start(i, fmt.Sprint("restarted-", crash))
			}
		}},
	}
	const part = 7
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withGroup(t, 3, func(w *testGroup) {
				var watchers []*watch.Client
				for i := range 3 {
					watchers = append(watchers, w.watcher(fmt.Sprint("gateway-", i)))
				}
				time.Sleep(time.Second)
				for crash := 1; crash <= 3; crash++ {
					if err := watchers[crash%3].ReportPromptParts(w.ctx, crashAt(fmt.Sprint("server-", crash), part)); err != nil {
						t.Fatalf("crash %d: %v", crash, err)
					}
					c.between(w, crash)
					time.Sleep(time.Second)
				}
				time.Sleep(2 * poison.DecisionTime)
				for i, watcher := range watchers {
					if watcher.PromptParts().Blocked([]uint64{part}) == nil {
						t.Errorf("watcher %d does not block the part", i)
					}
				}
				late := w.watcher("gateway-late")
				for !late.Ready() {
					time.Sleep(time.Millisecond)
				}
				if late.PromptParts().Blocked([]uint64{part}) == nil {
					t.Error("a watcher that started later is ready and does not block the part")
				}
			})
		})
	}
}

// TestAnsweredPartIsNotBlocked reports crashes under a part that other requests have an answer for in between.
func TestAnsweredPartIsNotBlocked(t *testing.T) {
	withGroup(t, 3, func(w *testGroup) {
		a, b := w.watcher("gateway-1"), w.watcher("gateway-2")
		synctest.Wait()
		const part = 7
		for crash := range 12 {
			if err := a.ReportPromptParts(w.ctx, crashAt(fmt.Sprint("server-", crash), part)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(400 * time.Millisecond)
			if crash%2 == 1 {
				if err := b.ReportPromptParts(w.ctx, poison.Command{Answered: []uint64{part}}); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(400 * time.Millisecond)
			if a.PromptParts().Blocked([]uint64{part}) != nil {
				t.Fatalf("the part is blocked after crash %d", crash)
			}
		}
	})
}

// TestBlockedPartExpires checks that a blocked part leaves the list after poison.BlockTime.
func TestBlockedPartExpires(t *testing.T) {
	withGroup(t, 1, func(w *testGroup) {
		c := w.watcher("gateway-1")
		synctest.Wait()
		for _, report := range []poison.Command{crashAt("server-1", 7), {Block: []uint64{7}}} {
			if err := c.ReportPromptParts(w.ctx, report); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(poison.BlockTime - 2*time.Second)
		if c.PromptParts().Blocked([]uint64{7}) == nil {
			t.Error("the part is unblocked too early")
		}
		time.Sleep(4 * time.Second)
		if c.PromptParts().Find(7) != nil {
			t.Error("the part is still listed")
		}
	})
}
