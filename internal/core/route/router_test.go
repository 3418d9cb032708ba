package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// newTable returns a table of n ready engines without load reports.
func newTable(n int, change func(i int, b *Backend)) *Table {
	t := NewTable(Config{})
	for i := range n {
		b := Backend{
			ID: fmt.Sprintf("s%03d", i), Kind: KindEngine, Model: "m", Version: "1", Zone: "a", Lifecycle: LifecycleReady, Slots: 8,
		}
		if change != nil {
			change(i, &b)
		}
		t.Upsert(epoch, b)
	}
	return t
}

func load(running, waiting int) Load {
	return Load{Slots: 8, Running: running, Waiting: waiting, QueueLimit: 10}
}

// chosen returns how often each server is chosen in 400 decisions with different random numbers.
func chosen(t *testing.T, table *Table, now time.Time, req Request) map[string]int {
	t.Helper()
	r := NewRouter(table, RouterConfig{})
	counts := make(map[string]int)
	for i := range uint64(400) {
		b, err := r.Choose(now, req, i)
		if err != nil {
			t.Fatal(err)
		}
		counts[b.ID]++
	}
	return counts
}

func TestFilter(t *testing.T) {
	want := Request{Kind: KindEngine, Model: "m", Version: "1", Adapter: "legal", Role: "decode"}
	fits := func(b *Backend) { b.Adapters, b.Role = []string{"tax", "legal"}, "decode" }
	tests := []struct {
		name   string
		change func(b *Backend)
		req    func(r *Request)
		want   error
	}{
		{"fits", nil, nil, nil},
		{"any version", nil, func(r *Request) { r.Version = "" }, nil},
		{"other kind", nil, func(r *Request) { r.Kind = KindService }, ErrUnknownModel},
		{"other model", nil, func(r *Request) { r.Model = "n" }, ErrUnknownModel},
		{"other version", nil, func(r *Request) { r.Version = "2" }, ErrUnknownModel},
		{"other adapter", func(b *Backend) { b.Adapters = []string{"tax"} }, nil, ErrUnknownModel},
		{"other role", func(b *Backend) { b.Role = "prefill" }, nil, ErrUnknownModel},
		{"joining", func(b *Backend) { b.Lifecycle = LifecycleJoining }, nil, ErrNoCandidate},
		{"leaving", func(b *Backend) { b.Lifecycle = LifecycleLeaving }, nil, ErrNoCandidate},
		{"excluded", nil, func(r *Request) { r.Exclude = []string{"s000"} }, ErrNoCandidate},
	}
	for _, policy := range []Policy{PolicyTwoChoices, PolicyRoundRobin, PolicyLeastOutstanding} {
		for _, tt := range tests {
			t.Run(fmt.Sprint(policy, "/", tt.name), func(t *testing.T) {
				table := newTable(1, func(_ int, b *Backend) {
					fits(b)
					if tt.change != nil {
						tt.change(b)
					}
				})
				req := want
				if tt.req != nil {
					tt.req(&req)
				}
				_, err := NewRouter(table, RouterConfig{Policy: policy}).Choose(epoch, req, 1)
				if !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
			})
		}
	}
}

func TestScorePrefers(t *testing.T) {
	byTier := func(running, waiting [2]int) Load {
		l := load(running[0]+running[1], waiting[0]+waiting[1])
		copy(l.RunningByTier[:], running[:])
		copy(l.WaitingByTier[:], waiting[:])
		l.FirstToken = time.Second
		return l
	}
	tests := []struct {
		name          string
		better, worse Load
		tier          int
	}{
		{"fewer running", load(1, 0), load(7, 0), 0},
		{"fewer waiting", load(8, 1), load(8, 6), 0},
		{"a free place in the queue", load(8, 9), load(8, 10), 0},
		{"work that a higher tier can displace", func() Load {
			l := load(8, 10)
			l.HasDisplaceable, l.LowestTier = true, 3
			return l
		}(), load(8, 10), 2},
		{"running work of a lower tier", byTier([2]int{0, 8}, [2]int{0, 2}), byTier([2]int{8, 0}, [2]int{0, 2}), 0},
		{"waiting work of a lower tier", byTier([2]int{4, 4}, [2]int{0, 8}), byTier([2]int{4, 4}, [2]int{4, 0}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(2, nil)
			table.RecordLoad(epoch, "s000", tt.worse)
			table.RecordLoad(epoch, "s001", tt.better)
			got := chosen(t, table, epoch, Request{Kind: KindEngine, Model: "m", Tier: tt.tier, Zone: "a"})
			if got["s001"] < 300 {
				t.Errorf("got choices %v, want s001 at least 300 times", got)
			}
		})
	}
}

func TestZoneDecidesBetweenEquals(t *testing.T) {
	table := newTable(2, func(i int, b *Backend) { b.Zone = string(rune('a' + i)) })
	got := chosen(t, table, epoch, Request{Kind: KindEngine, Model: "m", Zone: "b"})
	if got["s001"] < 300 {
		t.Errorf("got choices %v, want s001 at least 300 times", got)
	}
}

func TestStaleReportCountsLess(t *testing.T) {
	table := newTable(2, nil)
	table.RecordLoad(epoch, "s000", load(8, 9))
	table.RecordLoad(epoch, "s001", load(8, 0))
	table.RecordLoad(epoch.Add(time.Minute), "s001", load(8, 6))
	got := chosen(t, table, epoch.Add(time.Minute), Request{Kind: KindEngine, Model: "m", Zone: "a"})
	if got["s000"] < 300 {
		t.Errorf("got choices %v, want s000, whose report is old, at least 300 times", got)
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	table := newTable(1, nil)
	fresh, old := load(1, 0), load(8, 9)
	fresh.Seq, old.Seq = 7, 6
	table.RecordLoad(epoch, "s000", fresh)
	table.RecordLoad(epoch.Add(time.Second), "s000", old)
	if got := table.servers["s000"].load.Running; got != 1 {
		t.Errorf("got %d running after an older report, want 1", got)
	}
}

func TestOwnDispatchesCountUntilReported(t *testing.T) {
	table := newTable(2, nil)
	for range 6 {
		table.RecordDispatch(epoch, "s000", 100, nil)
	}
	got := chosen(t, table, epoch, Request{Kind: KindEngine, Model: "m", Zone: "a"})
	if got["s001"] < 300 {
		t.Errorf("got choices %v, want s001 at least 300 times", got)
	}
}

func TestPrefixAffinity(t *testing.T) {
	prefix := []uint64{11, 12, 13, 14}
	req := Request{Kind: KindEngine, Model: "m", Zone: "a", PromptTokens: 4000, Prefix: prefix}
	tests := []struct {
		name   string
		events func(table *Table)
		home   bool
	}{
		{"own placement", func(*Table) {}, true},
		{"shared start of the prompt", func(table *Table) { table.RecordEvicted("s003", prefix[2:]) }, true},
		{"evicted", func(table *Table) { table.RecordEvicted("s003", prefix) }, false},
		{"placed on another server since", func(table *Table) { table.RecordCached(epoch, "s001", prefix) }, false},
		{"late event of another server's eviction", func(table *Table) { table.RecordEvicted("s001", prefix) }, true},
		{"gap in the events", func(table *Table) { table.RecordCacheGap(epoch.Add(time.Second), "s003") }, true},
		{"above its load bound, though its cache would save time", func(table *Table) { table.RecordLoad(epoch, "s003", load(6, 0)) }, false},
		{"overloaded", func(table *Table) { table.RecordLoad(epoch, "s003", load(8, 8)) }, false},
		{"removed", func(table *Table) { table.Remove("s003") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(8, nil)
			for i := range 8 {
				table.RecordLoad(epoch, fmt.Sprintf("s%03d", i), load(2, 0))
			}
			table.RecordDispatch(epoch, "s003", 4000, prefix)
			tt.events(table)
			got := chosen(t, table, epoch, req)
			if home := got["s003"] == 400; home != tt.home {
				t.Errorf("got choices %v, want always s003: %v", got, tt.home)
			}
		})
	}
}

func TestChoicesDoNotHerd(t *testing.T) {
	table := newTable(16, nil)
	for i := range 16 {
		table.RecordLoad(epoch, fmt.Sprintf("s%03d", i), load(min(i, 4), 0))
	}
	got := chosen(t, table, epoch, Request{Kind: KindEngine, Model: "m", Zone: "a"})
	// The best server is among the drawn candidates of choices/16 of the requests.
	if got["s000"] > 400*choices/16*3/2 {
		t.Errorf("the best server got %d of 400 requests, want at most 150", got["s000"])
	}
}

// completeRequests starts and ends n dispatches to a server.
func completeRequests(table *Table, now time.Time, id string, n int, o Outcome) {
	for range n {
		table.RecordDispatch(now, id, 0, nil)
		table.RecordEnd(now, id, "", o)
	}
}

func TestStragglersAreQuarantined(t *testing.T) {
	good := Outcome{Result: OK, FirstToken: 100 * time.Millisecond}
	tests := []struct {
		name            string
		cause           func(table *Table, now time.Time)
		wantQuarantined bool
	}{
		{"first token", func(table *Table, now time.Time) {
			completeRequests(table, now, "s000", 20, Outcome{Result: OK, FirstToken: time.Second})
		}, true},
		{"time between tokens", func(table *Table, now time.Time) {
			l := load(2, 0)
			l.TokenInterval = 200 * time.Millisecond
			table.RecordLoad(now, "s000", l)
		}, true},
		{"failures", func(table *Table, now time.Time) { completeRequests(table, now, "s000", 20, Outcome{Result: Failed}) }, true},
		{"refusals", func(table *Table, now time.Time) { completeRequests(table, now, "s000", 20, Outcome{Result: Refused}) }, false},
		{"twice the peers", func(table *Table, now time.Time) {
			completeRequests(table, now, "s000", 20, Outcome{Result: OK, FirstToken: 200 * time.Millisecond})
		}, false},
		{"all are slow alike", func(table *Table, now time.Time) {
			for i := range 6 {
				completeRequests(table, now, fmt.Sprintf("s%03d", i), 60, Outcome{Result: OK, FirstToken: time.Second})
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(6, nil)
			for i := range 6 {
				l := load(2, 0)
				l.TokenInterval = 30 * time.Millisecond
				table.RecordLoad(epoch, fmt.Sprintf("s%03d", i), l)
				completeRequests(table, epoch, fmt.Sprintf("s%03d", i), 10, good)
			}
			now := epoch.Add(10 * time.Second)
			tt.cause(table, now)
			now = now.Add(reviewInterval)
			completeRequests(table, now, "s005", 1, good) // any outcome triggers a review
			got := chosen(t, table, now, Request{Kind: KindEngine, Model: "m", Zone: "a"})
			if gotQuarantined := got["s000"] == 0; gotQuarantined != tt.wantQuarantined {
				t.Errorf("got choices %v, want s000 quarantined: %v", got, tt.wantQuarantined)
			}
		})
	}
}

func TestStragglerRecoversAfterProbes(t *testing.T) {
	table := newTable(6, nil)
	now := epoch
	s := table.servers["s000"]
	s.health.quarantine(now)
	now = now.Add(minQuarantine + reviewInterval)
	table.RecordLoad(now, "s001", load(1, 0))
	if !s.isAvailable(now) {
		t.Fatal("no probe after the quarantine")
	}
	table.RecordDispatch(now, "s000", 0, nil)
	if s.isAvailable(now) {
		t.Error("more than one probe at a time")
	}
	table.RecordEnd(now, "s000", "", Outcome{Result: Failed})
	if s.isAvailable(now.Add(minQuarantine)) {
		t.Error("available too soon after a failed probe, want a longer quarantine")
	}
	now = now.Add(2*minQuarantine + reviewInterval)
	table.RecordLoad(now, "s001", load(1, 0))
	completeRequests(table, now, "s000", probesToRecover, Outcome{Result: OK, FirstToken: time.Millisecond})
	if s.health.state != healthy {
		t.Errorf("got state %d after successful probes, want healthy", s.health.state)
	}
}

// TestRouterInvariants checks for random histories that at most a third of a model's servers are quarantined, that choices obey
// the filter, and that the same inputs give the same choice.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "servers")
		tables := [2]*Table{newTable(n, nil), newTable(n, nil)}
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			id := fmt.Sprintf("s%03d", rapid.IntRange(0, n-1).Draw(t, "server"))
			l := load(rapid.IntRange(0, 8).Draw(t, "running"), rapid.IntRange(0, 10).Draw(t, "waiting"))
			l.TokenInterval = time.Duration(rapid.IntRange(0, 300).Draw(t, "interval")) * time.Millisecond
			o := Outcome{
				Result:     Result(rapid.IntRange(int(OK), int(Failed)).Draw(t, "result")),
				FirstToken: time.Duration(rapid.IntRange(0, 3000).Draw(t, "first")) * time.Millisecond,
			}
			for _, table := range tables {
				table.RecordLoad(now, id, l)
				completeRequests(table, now, id, 3, o)
			}
			out := 0
			for _, s := range tables[0].servers {
				if !s.isAvailable(now) {
					out++
				}
			}
			if out > n/3 {
				t.Fatalf("%d of %d servers quarantined, want at most a third", out, n)
			}
		}
		rnd := rapid.Uint64().Draw(t, "rnd")
		req := Request{Kind: KindEngine, Model: "m", Exclude: []string{"s000"}}
		a, errA := NewRouter(tables[0], RouterConfig{}).Choose(now, req, rnd)
		b, errB := NewRouter(tables[1], RouterConfig{}).Choose(now, req, rnd)
		if a.ID != b.ID || !errors.Is(errA, errB) {
			t.Fatalf("got %v, %v, then %v, %v, want the same for the same inputs", a.ID, errA, b.ID, errB)
		}
		if a.ID == "s000" || (errA != nil && n > 3) {
			t.Fatalf("got %q, %v with %d servers, want not the excluded s000, and no error with more than 3 servers", a.ID, errA, n)
		}
	})
}

func BenchmarkChoose256(b *testing.B) {
	table := newTable(256, func(i int, b *Backend) { b.Zone = string(rune('a' + i%4)) })
	for i := range 256 {
		table.RecordLoad(epoch, fmt.Sprintf("s%03d", i), load(i%8, i%5))
	}
	prefix := []uint64{1, 2, 3, 4}
	table.RecordDispatch(epoch, "s007", 100, prefix)
	r := NewRouter(table, RouterConfig{})
	req := Request{Kind: KindEngine, Model: "m", Version: "1", Zone: "b", PromptTokens: 100, Prefix: prefix, Exclude: []string{"s100"}}
	b.ReportAllocs()
	for i := range b.N {
		if _, err := r.Choose(epoch.Add(time.Second), req, uint64(i)); err != nil {
			b.Fatal(err)
		}
	}
}
