package route

import (
	"testing"
	"time"
)

// newLoadedTable returns a table of n ready servers, each of which has reported the given number of running requests.
func newLoadedTable(n, running int) *Table {
	table := newTable(n, nil)
	for id := range table.servers {
		table.RecordLoad(epoch, id, load(running, 0))
	}
	return table
}

// tightServerCount returns how many of n servers form the tight lane for the work observed by l; 0: the servers are not split.
func tightServerCount(l *Lanes, now time.Time, n int) int {
	share, ok := l.Share(now)
	if !ok {
		return 0
	}
	return TightServers(share, n)
}

// TestLanesSeparateLongPrompts checks the lanes and the choices for a mix of long summaries with loose gap targets and short
// drafts with tight ones.
func TestLanesSeparateLongPrompts(t *testing.T) {
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
		if got := l.LaneFor(gap); got != want {
			t.Errorf("gap target %v: lane %d, want %d", gap, got, want)
		}
	}
	if n := tightServerCount(l, now, 12); n < 3 || n > 9 {
		t.Errorf("got %d of 12 servers in the tight lane, want 3 to 9", n)
	}
	if n := tightServerCount(l, now, 3); n != 0 {
		t.Errorf("got %d of 3 servers in the tight lane, want no split", n)
	}

	table := newLoadedTable(12, 4)
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
			t.Fatalf("a long prompt went to %s, want a server outside the tight lane", b.ID)
		}
	}
}

// TestLaneShareFollowsWork checks that the share of a lane grows with its work, and that a small change of the work doesn't
// change the share.
func TestLaneShareFollowsWork(t *testing.T) {
	l := NewLanes()
	at := epoch
	observe := func(d time.Duration, bulk int) {
		for end := at.Add(d); at.Before(end); at = at.Add(100 * time.Millisecond) {
			l.Observe(at, "summary", 800*time.Millisecond, bulk)
			l.Observe(at, "draft", 200*time.Millisecond, 1000)
		}
	}
	observe(30*time.Second, 2000)
	initial := tightServerCount(l, at, 12)
	observe(5*time.Second, 2100)
	if n := tightServerCount(l, at, 12); n != initial {
		t.Errorf("got %d servers in the tight lane after a small change, want %d", n, initial)
	}
	observe(20*time.Second, 6000)
	if n := tightServerCount(l, at, 12); n >= initial || n < 3 {
		t.Errorf("got %d servers in the tight lane during a burst of long prompts, want fewer than %d and at least 3", n, initial)
	}
}

// TestLaneShareFollowsDelays checks that the tight lane gets more servers for the same work while its requests miss their
// targets, and returns to the old share when both lanes meet theirs.
func TestLaneShareFollowsDelays(t *testing.T) {
	l := NewLanes()
	at := epoch
	tightServersWith := func(tightWait, bulkWait time.Duration) int {
		n := 0
		for range 200 {
			at = at.Add(50 * time.Millisecond)
			l.Observe(at, "summary", 800*time.Millisecond, 2000)
			l.Observe(at, "draft", 200*time.Millisecond, 1000)
			l.RecordDelay(TightLane, tightWait, 300*time.Millisecond)
			l.RecordDelay(BulkLane, bulkWait, time.Second)
			n = tightServerCount(l, at, 12)
		}
		return n
	}
	initial := tightServersWith(50*time.Millisecond, 100*time.Millisecond)
	if n := tightServersWith(600*time.Millisecond, 100*time.Millisecond); n <= initial {
		t.Errorf("got %d servers in the tight lane while its requests are late, want more than %d", n, initial)
	}
	if n := tightServersWith(50*time.Millisecond, 100*time.Millisecond); n != initial {
		t.Errorf("got %d servers in the tight lane when delays are low again, want %d", n, initial)
	}
	if n := tightServersWith(50*time.Millisecond, 5*time.Second); n >= initial {
		t.Errorf("got %d servers in the tight lane while long prompts are late, want fewer than %d", n, initial)
	}
}

// TestTightLaneOverflowsIntoBulkLane checks that tight requests go to the bulk lane while the tight lane is full, and that bulk
// requests stay in their lane.
func TestTightLaneOverflowsIntoBulkLane(t *testing.T) {
	table := newLoadedTable(12, 2)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m", Lane: TightLane, TightServers: 4}
	tight := make(map[string]bool)
	for rnd := range uint64(500) {
		b, _ := r.Choose(epoch, req, rnd)
		tight[b.ID] = true
	}
	for id := range tight {
		table.RecordLoad(epoch, id, load(8, 6))
	}
	inBulkLane := 0
	for rnd := range uint64(500) {
		b, err := r.Choose(epoch, req, rnd)
		if err != nil {
			t.Fatal(err)
		}
		if !tight[b.ID] {
			inBulkLane++
		}
	}
	if inBulkLane < 400 {
		t.Errorf("%d of 500 tight requests left the full lane, want at least 400", inBulkLane)
	}
	req.Lane = BulkLane
	for rnd := range uint64(500) {
		if b, _ := r.Choose(epoch, req, rnd); tight[b.ID] {
			t.Fatalf("a bulk request went to %s in the full tight lane", b.ID)
		}
	}
}

// TestSessionHomeIsSameInEveryProcess checks that processes without shared state send a session to the same server.
func TestSessionHomeIsSameInEveryProcess(t *testing.T) {
	homes := make(map[string]bool)
	used := make(map[string]int)
	for session := uint64(1); session <= 300; session++ {
		clear(homes)
		for process := range uint64(8) {
			r := NewRouter(newLoadedTable(12, 4), RouterConfig{Policy: PolicySessionLanes})
			b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m", Session: session}, process*session)
			if err != nil {
				t.Fatal(err)
			}
			homes[b.ID] = true
			used[b.ID]++
		}
		if len(homes) != 1 {
			t.Fatalf("session %d has %d homes, want 1", session, len(homes))
		}
	}
	if len(used) != 12 {
		t.Errorf("got %d servers that are homes, want 12", len(used))
	}
}

// TestHotSessionSpreads checks that a session with many requests is spread over several servers once its home is loaded.
func TestHotSessionSpreads(t *testing.T) {
	table := newLoadedTable(12, 4)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m", Session: 7}
	chosenCount := make(map[string]int)
	for rnd := range uint64(60) {
		b, err := r.Choose(epoch, req, rnd)
		if err != nil {
			t.Fatal(err)
		}
		table.RecordDispatch(epoch, b.ID, 0, nil)
		chosenCount[b.ID]++
	}
	if len(chosenCount) < 3 {
		t.Errorf("one session's 60 requests went to %d servers, want at least 3", len(chosenCount))
	}
	for id, n := range chosenCount {
		if n > 30 {
			t.Errorf("%d of 60 requests went to %s, want at most 30", n, id)
		}
	}
}

// TestRemovedServerMovesOnlyItsSessions checks that removing a server doesn't move the sessions of the others.
func TestRemovedServerMovesOnlyItsSessions(t *testing.T) {
	home := func(table *Table, session uint64) string {
		b, err := NewRouter(table, RouterConfig{Policy: PolicySessionLanes}).Choose(epoch, Request{Kind: KindEngine, Model: "m", Session: session}, 1)
		if err != nil {
			t.Fatal(err)
		}
		return b.ID
	}
	before, after := newLoadedTable(12, 4), newLoadedTable(12, 4)
	after.Remove("s003")
	for session := uint64(1); session <= 200; session++ {
		if b, a := home(before, session), home(after, session); b != "s003" && a != b {
			t.Errorf("session %d moved from %s to %s, want it to stay", session, b, a)
		}
	}
}

// TestUnreachableServerIsQuarantined checks that a failed connection quarantines a server at once, and that a server is still
// chosen if all are quarantined.
func TestUnreachableServerIsQuarantined(t *testing.T) {
	table := newLoadedTable(2, 0)
	r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
	req := Request{Kind: KindEngine, Model: "m"}
	table.RecordDispatch(epoch, "s000", 0, nil)
	table.RecordEnd(epoch, "s000", Outcome{Result: Unreachable})
	for rnd := range uint64(20) {
		if b, err := r.Choose(epoch, req, rnd); err != nil || b.ID != "s001" {
			t.Fatalf("got %s, %v, want s001", b.ID, err)
		}
	}
	table.RecordDispatch(epoch, "s001", 0, nil)
	table.RecordEnd(epoch, "s001", Outcome{Result: Unreachable})
	if _, err := r.Choose(epoch, req, 1); err != nil {
		t.Errorf("got %v, want one of the two servers", err)
	}
	later := epoch.Add(minUnreachableQuarantine)
	if _, err := r.Choose(later, req, 1); err != nil {
		t.Errorf("got %v after the quarantine, want a server", err)
	}
}

// BenchmarkSessionLanes256 chooses among 256 busy servers; half of the requests have a session.
func BenchmarkSessionLanes256(b *testing.B) {
	table := newLoadedTable(256, 4)
	for id := range table.servers {
		table.BeginWait(epoch, id, activity(epoch))
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
