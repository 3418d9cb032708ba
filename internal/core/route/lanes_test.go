package route

import (
	"testing"
	"time"
)

// ready returns a table of n ready servers, each of which reported the given number of running requests.
func ready(n, running int) *Table {
	table := newTable(n, nil)
	for id := range table.servers {
		table.Report(epoch, id, load(running, 0))
	}
	return table
}

// split returns how many of n servers make the tight lane by the work that l saw; 0: the servers are not split.
func split(l *Lanes, now time.Time, n int) int {
	share, ok := l.Share(now)
	if !ok {
		return 0
	}
	return TightServers(share, n)
}

// TestLongPromptsBesideTightStreams plays the mix of a day: few long summaries, many short drafts that must flow.
func TestLongPromptsBesideTightStreams(t *testing.T) {
	l := NewLanes()
	for i := range 100 {
		at := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		l.Observe(at, "summary", 800*time.Millisecond, 2890)
		l.Observe(at, "question", 300*time.Millisecond, 1800)
		l.Observe(at, "draft", 200*time.Millisecond, 543)
	}
	now := epoch.Add(10 * time.Second)
	for gap, want := range map[time.Duration]Lane{
		200 * time.Millisecond: TightLane, 300 * time.Millisecond: TightLane, 800 * time.Millisecond: BulkLane, 0: AnyLane,
	} {
		if got := l.Of(gap); got != want {
			t.Errorf("gap target %v: lane %d, want %d", gap, got, want)
		}
	}
	if n := split(l, now, 12); n < 3 || n > 9 {
		t.Errorf("%d of 12 servers in the tight lane, want neither lane below a quarter", n)
	}
	if n := split(l, now, 3); n != 0 {
		t.Errorf("3 servers split at %d, want no split", n)
	}

	table := ready(12, 4)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	tight := make(map[string]bool)
	for rnd := range uint64(1000) {
		b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m", Lane: TightLane, TightServers: 5}, rnd)
		if err != nil {
			t.Fatal(err)
		}
		tight[b.ID] = true
	}
	if len(tight) != 5 {
		t.Errorf("tight streams went to %d servers, want 5", len(tight))
	}
	for rnd := range uint64(1000) {
		b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m", Lane: BulkLane, TightServers: 5, Session: rnd + 1}, rnd)
		if err != nil {
			t.Fatal(err)
		}
		if tight[b.ID] {
			t.Fatalf("a long prompt went to %s, where tight streams run", b.ID)
		}
	}
}

// TestBroadcastOfLongPrompts lets the work of one lane grow several times over: its share follows, and a small change
// moves nothing.
func TestBroadcastOfLongPrompts(t *testing.T) {
	l := NewLanes()
	at := epoch
	play := func(d time.Duration, bulk int) {
		for end := at.Add(d); at.Before(end); at = at.Add(100 * time.Millisecond) {
			l.Observe(at, "summary", 800*time.Millisecond, bulk)
			l.Observe(at, "draft", 200*time.Millisecond, 1000)
		}
	}
	play(30*time.Second, 2000)
	calm := split(l, at, 12)
	play(5*time.Second, 2100)
	if n := split(l, at, 12); n != calm {
		t.Errorf("%d servers in the tight lane after a small change, want %d", n, calm)
	}
	play(20*time.Second, 6000)
	if n := split(l, at, 12); n >= calm || n < 3 {
		t.Errorf("%d servers in the tight lane during the broadcast, want fewer than %d and a quarter at least", n, calm)
	}
}

// TestBroadcastOfShortDrafts keeps tight requests waiting beyond their targets while long prompts are served in time: the
// tight lane gets more servers for the same work, and gives them back when both are calm.
func TestBroadcastOfShortDrafts(t *testing.T) {
	l := NewLanes()
	at := epoch
	split := func(tight, bulk time.Duration) int {
		n := 0
		for range 200 {
			at = at.Add(50 * time.Millisecond)
			l.Observe(at, "summary", 800*time.Millisecond, 2000)
			l.Observe(at, "draft", 200*time.Millisecond, 1000)
			l.Served(TightLane, tight, 300*time.Millisecond)
			l.Served(BulkLane, bulk, time.Second)
			n = split(l, at, 12)
		}
		return n
	}
	calm := split(50*time.Millisecond, 100*time.Millisecond)
	if n := split(600*time.Millisecond, 100*time.Millisecond); n <= calm {
		t.Errorf("%d servers in the tight lane while its requests wait, want more than %d", n, calm)
	}
	if n := split(50*time.Millisecond, 100*time.Millisecond); n != calm {
		t.Errorf("%d servers in the tight lane when all is calm again, want %d", n, calm)
	}
	if n := split(50*time.Millisecond, 5*time.Second); n >= calm {
		t.Errorf("%d servers in the tight lane while long prompts wait, want fewer than %d", n, calm)
	}
}

// TestTightWorkDoesNotWaitBesideBulkWork fills the tight lane: further tight requests go to the servers of the bulk lane, and
// bulk requests stay where they are.
func TestTightWorkDoesNotWaitBesideBulkWork(t *testing.T) {
	table := ready(12, 2)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m", Lane: TightLane, TightServers: 4}
	tight := make(map[string]bool)
	for rnd := range uint64(500) {
		b, _ := r.Choose(epoch, req, rnd)
		tight[b.ID] = true
	}
	for id := range tight {
		table.Report(epoch, id, load(8, 6))
	}
	elsewhere := 0
	for rnd := range uint64(500) {
		b, err := r.Choose(epoch, req, rnd)
		if err != nil {
			t.Fatal(err)
		}
		if !tight[b.ID] {
			elsewhere++
		}
	}
	if elsewhere < 400 {
		t.Errorf("%d of 500 tight requests left the full lane, want most", elsewhere)
	}
	req.Lane = BulkLane
	for rnd := range uint64(500) {
		if b, _ := r.Choose(epoch, req, rnd); tight[b.ID] {
			t.Fatalf("a bulk request went to %s in the full tight lane", b.ID)
		}
	}
}

// TestASessionKeepsItsHome sends the same session from several processes that share nothing.
func TestASessionKeepsItsHome(t *testing.T) {
	homes := make(map[string]bool)
	used := make(map[string]int)
	for session := uint64(1); session <= 300; session++ {
		clear(homes)
		for process := range uint64(8) {
			r := NewRouter(ready(12, 4), RouterConfig{Policy: PolicySessionLanes})
			b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m", Session: session}, process*session)
			if err != nil {
				t.Fatal(err)
			}
			homes[b.ID] = true
			used[b.ID]++
		}
		if len(homes) != 1 {
			t.Fatalf("session %d has %d homes", session, len(homes))
		}
	}
	if len(used) != 12 {
		t.Errorf("%d of 12 servers are homes", len(used))
	}
}

// TestAHotSessionSpreads sends much of the traffic about one thing: its home takes what it can bear.
func TestAHotSessionSpreads(t *testing.T) {
	table := ready(12, 4)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m", Session: 7}
	taken := make(map[string]int)
	for rnd := range uint64(60) {
		b, err := r.Choose(epoch, req, rnd)
		if err != nil {
			t.Fatal(err)
		}
		table.Began(epoch, b.ID, 0, nil)
		taken[b.ID]++
	}
	if len(taken) < 3 {
		t.Errorf("one session's 60 requests went to %d servers, want more", len(taken))
	}
	for id, n := range taken {
		if n > 30 {
			t.Errorf("%d of 60 went to %s", n, id)
		}
	}
}

// TestOnlyItsOwnSessionsMove removes one server.
func TestOnlyItsOwnSessionsMove(t *testing.T) {
	home := func(table *Table, session uint64) string {
		b, err := NewRouter(table, RouterConfig{Policy: PolicySessionLanes}).Choose(epoch, Request{Kind: KindEngine, Model: "m", Session: session}, 1)
		if err != nil {
			t.Fatal(err)
		}
		return b.ID
	}
	before, after := ready(12, 4), ready(12, 4)
	after.Remove("s003")
	for session := uint64(1); session <= 200; session++ {
		if b, a := home(before, session), home(after, session); b != "s003" && a != b {
			t.Errorf("session %d moved from %s to %s", session, b, a)
		}
	}
}

// TestUnreachableServersAreLeftAtOnce fails connections: the server is left for a moment, and where all are bad one is tried
// all the same.
func TestUnreachableServersAreLeftAtOnce(t *testing.T) {
	table := ready(2, 0)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m"}
	table.Began(epoch, "s000", 0, nil)
	table.Ended(epoch, "s000", Outcome{Result: Unreachable})
	for rnd := range uint64(20) {
		if b, err := r.Choose(epoch, req, rnd); err != nil || b.ID != "s001" {
			t.Fatalf("%s, %v; want s001", b.ID, err)
		}
	}
	table.Began(epoch, "s001", 0, nil)
	table.Ended(epoch, "s001", Outcome{Result: Unreachable})
	if _, err := r.Choose(epoch, req, 1); err != nil {
		t.Errorf("%v; want one of the two", err)
	}
	later := epoch.Add(minUnreachable)
	if _, err := r.Choose(later, req, 1); err != nil {
		t.Errorf("%v after the time aside", err)
	}
}

// BenchmarkSessionLanes256 chooses among 256 servers that all hold work, half of the requests with a session.
func BenchmarkSessionLanes256(b *testing.B) {
	table := ready(256, 4)
	for id := range table.servers {
		table.Await(epoch, id, activity(epoch))
	}
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m", Lane: BulkLane, TightServers: 90, FirstTokenTarget: time.Second}
	b.ReportAllocs()
	for i := range b.N {
		req.Session = uint64(i%2) * uint64(i)
		if _, err := r.Choose(epoch, req, uint64(i)); err != nil {
			b.Fatal(err)
		}
	}
}
