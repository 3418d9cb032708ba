package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zonedTable returns a table of loaded engines, in turn in the given zones.
func zonedTable(n int, zones ...string) *Table {
	t := NewTable(Config{})
	for i := range n {
		id := fmt.Sprintf("s%02d", i)
		t.Upsert(epoch, Backend{ID: id, Incarnation: "1", Kind: KindEngine, Model: "m", Zone: zones[i%len(zones)], Lifecycle: LifecycleReady, Slots: 8})
		t.RecordLoad(epoch, id, load(4, 0))
	}
	return t
}

var allPolicies = []Policy{PolicyTwoChoices, PolicySessionLanes, PolicyRoundRobin, PolicyLeastOutstanding}

// TestDrainedZoneGetsNoWork guards against any path by which work still reaches a server of a drained zone: choices under each policy,
// sources of a prompt prefix, and servers that keep backups.
func TestDrainedZoneGetsNoWork(t *testing.T) {
	for _, policy := range allPolicies {
		t.Run(fmt.Sprint("policy ", policy), func(t *testing.T) {
			table := zonedTable(12, "a", "b", "c")
			table.SetLanePlan(KindEngine, "m", twoLanes)
			r := NewRouter(table, RouterConfig{Policy: policy})
			for id := range table.servers { // every server has every prefix, those of the drained zone last
				table.RecordCached(epoch, id, []uint64{5, 6})
			}
			table.RecordCached(epoch, "s00", []uint64{5, 6})
			table.SetDrainedZones(epoch, []string{"a", "c"})
			now := epoch
			for session := range uint64(300) {
				now = now.Add(time.Millisecond)
				req := Request{Kind: KindEngine, Model: "m", Session: session, Zone: "a", GapTarget: draftGap, Prefix: []uint64{5, 6, session}}
				if session%2 == 0 {
					req.GapTarget = summaryGap
				}
				chosen, err := r.Choose(now, req, session*7919)
				if err != nil || chosen.Zone != "b" {
					t.Fatalf("session %d: got server %s in zone %q, error %v; want one in zone b", session, chosen.ID, chosen.Zone, err)
				}
				for _, run := range []string{chosen.ID, "s00"} {
					if from, ok := r.FetchSource(now, req, run); ok && from.Zone != "b" {
						t.Fatalf("session %d: source %s in zone %q, want zone b", session, from.ID, from.Zone)
					}
					if backup, ok := r.BackupServer(now, req, run, session); ok && backup.Zone != "b" {
						t.Fatalf("session %d: backup at %s in zone %q, want zone b", session, backup.ID, backup.Zone)
					}
				}
			}
			if table.TakesWork(epoch, "s00") || !table.TakesWork(epoch, "s01") {
				t.Error("a server of a drained zone takes work, or another one does not")
			}
			if !table.IsStaying("s00") {
				t.Error("a server leaves since its zone is drained, want that it goes on with its requests")
			}
		})
	}
}

// TestServersThatComeDuringDrain guards against work for a server that registers in a drained zone, starts again or moves there.
func TestServersThatComeDuringDrain(t *testing.T) {
	upsert := func(table *Table, id, incarnation, zone string) {
		table.Upsert(epoch, Backend{ID: id, Incarnation: incarnation, Kind: KindEngine, Model: "m", Zone: zone, Lifecycle: LifecycleReady, Slots: 8})
	}
	for _, c := range []struct {
		name string
		come func(table *Table) (id string)
		want bool // takes work
	}{
		{"registers in the zone", func(table *Table) string { upsert(table, "new", "1", "a"); return "new" }, false},
		{"starts again in the zone", func(table *Table) string { upsert(table, "s00", "2", "a"); return "s00" }, false},
		{"is removed and comes back", func(table *Table) string {
			table.Remove("s00")
			upsert(table, "s00", "1", "a")
			return "s00"
		}, false},
		{"moves into the zone", func(table *Table) string { upsert(table, "s01", "1", "a"); return "s01" }, false},
		{"moves out of the zone", func(table *Table) string { upsert(table, "s00", "1", "b"); return "s00" }, true},
		{"registers elsewhere", func(table *Table) string { upsert(table, "new", "1", "b"); return "new" }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := zonedTable(2, "a", "b")
			table.SetDrainedZones(epoch, []string{"a"})
			id := c.come(table)
			if got := table.TakesWork(epoch, id); got != c.want {
				t.Errorf("server %s: takes work %v, want %v", id, got, c.want)
			}
			r := NewRouter(table, RouterConfig{Policy: PolicySessionLanes})
			chosen := false
			for rnd := range uint64(200) {
				b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m"}, nextRandom(rnd))
				chosen = chosen || (err == nil && b.ID == id)
			}
			if chosen != c.want {
				t.Errorf("server %s: chosen %v, want %v", id, chosen, c.want)
			}
			table.SetDrainedZones(epoch, nil)
			if !table.TakesWork(epoch, id) {
				t.Errorf("server %s takes no work after the drain", id)
			}
		})
	}
}

// TestLastZoneDrained checks that requests find no server once every zone is drained, also under the rules that use unhealthy servers as a
// last resort, and that a pause of a drained server is not what callers are told to wait for.
func TestLastZoneDrained(t *testing.T) {
	for _, policy := range allPolicies {
		table := zonedTable(4, "a", "b")
		r := NewRouter(table, RouterConfig{Policy: policy})
		table.SetDrainedZones(epoch, []string{"a"})
		if b, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m"}, 1); err != nil || b.Zone != "b" {
			t.Errorf("policy %d: got server %+v, error %v with one zone drained, want one in zone b", policy, b, err)
		}
		table.SetDrainedZones(epoch, []string{"a", "b"})
		table.RecordPause(epoch, "s00", "1", time.Minute)
		table.RecordPause(epoch, "s01", "1", time.Minute)
		for _, s := range table.servers {
			s.health.quarantine(epoch)
		}
		_, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m"}, 1)
		var drained *DrainedError
		if !errors.As(err, &drained) || !errors.Is(err, ErrNoCandidate) {
			t.Errorf("policy %d: got error %v with all zones drained, want a DrainedError", policy, err)
		}
		if _, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "other"}, 1); !errors.Is(err, ErrUnknownModel) {
			t.Errorf("policy %d: got error %v for an unknown model, want %v", policy, err, ErrUnknownModel)
		}
		table.SetDrainedZones(epoch, []string{"a"})
		if _, err := r.Choose(epoch, Request{Kind: KindEngine, Model: "m", Exclude: []string{"s01", "s03"}}, 1); errors.As(err, &drained) {
			t.Errorf("policy %d: got error %v though servers of another zone were tried, want no DrainedError", policy, err)
		}
	}
}

// TestLanesDuringDrain guards against lanes that keep servers of a drained zone: each lane has its share of the others, in each process,
// whether it learned of the drain before or after the servers.
func TestLanesDuringDrain(t *testing.T) {
	build := func(drainFirst bool) *Table {
		table := zonedTable(0, "a")
		if drainFirst {
			table.SetDrainedZones(epoch, []string{"a"})
		}
		for i := range 16 {
			table.Upsert(epoch, Backend{ID: fmt.Sprintf("s%02d", i), Kind: KindEngine, Model: "m", Zone: []string{"a", "b"}[i%2], Lifecycle: LifecycleReady, Slots: 8})
		}
		table.SetLanePlan(KindEngine, "m", twoLanes)
		table.groups[groupKey{KindEngine, "m"}].refreshLanes(epoch)
		table.SetDrainedZones(epoch, []string{"a"})
		table.groups[groupKey{KindEngine, "m"}].refreshLanes(epoch)
		return table
	}
	first, second := build(true).groups[groupKey{KindEngine, "m"}], build(false).groups[groupKey{KindEngine, "m"}]
	sizes := twoLanes.sizes(8, 8)
	for lane := range sizes {
		if len(first.lanes[lane]) != sizes[lane] {
			t.Errorf("lane %d: got %d servers, want %d", lane, len(first.lanes[lane]), sizes[lane])
		}
		for i, s := range first.lanes[lane] {
			if s.Zone == "a" || s.ID != second.lanes[lane][i].ID {
				t.Errorf("lane %d: got server %s of zone %s, and %s in the other process", lane, s.ID, s.Zone, second.lanes[lane][i].ID)
			}
		}
	}
}

// TestDrainEndIsRemembered checks the time that a process knows as the end of a zone's drain.
func TestDrainEndIsRemembered(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	table := zonedTable(2, "a", "b")
	steps := []struct {
		now    time.Duration
		zones  []string
		wantA  time.Time
		wantB  time.Time
		reason string
	}{
		{0, nil, time.Time{}, time.Time{}, "no drain"},
		{time.Second, []string{"a"}, time.Time{}, time.Time{}, "a is drained"},
		{2 * time.Second, []string{"a", "b"}, time.Time{}, time.Time{}, "both are drained"},
		{3 * time.Second, []string{"b"}, at(3 * time.Second), time.Time{}, "a has ended"},
		{4 * time.Second, []string{"b"}, at(3 * time.Second), time.Time{}, "nothing changes"},
		{5 * time.Second, nil, at(3 * time.Second), at(5 * time.Second), "b has ended"},
		{6 * time.Second, []string{"a"}, time.Time{}, at(5 * time.Second), "a is drained again"},
		{2 * drainEndMemory, nil, at(2 * drainEndMemory), time.Time{}, "a has ended, the end of b is forgotten"},
	}
	for _, s := range steps {
		table.SetDrainedZones(at(s.now), s.zones)
		if a, b := table.drainEndedAt("a"), table.drainEndedAt("b"); !a.Equal(s.wantA) || !b.Equal(s.wantB) {
			t.Errorf("%s: got ends %v and %v, want %v and %v", s.reason, a, b, s.wantA, s.wantB)
		}
	}
}

// TestRandomDrains is a property test in virtual time: servers come, leave, pause and fail while zones are drained and served again. No
// server of a drained zone is ever chosen, and a request that finds no server does not do so for a drain of other zones.
func TestRandomDrains(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		table := zonedTable(6, zones...)
		r := NewRouter(table, RouterConfig{Policy: rapid.SampledFrom(allPolicies).Draw(t, "policy")})
		drained := make(map[string]bool)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("s%02d", rapid.IntRange(0, 8).Draw(t, "server"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				clear(drained)
				var list []string
				for _, zone := range zones {
					if rapid.Bool().Draw(t, "drained "+zone) {
						drained[zone] = true
						list = append(list, zone)
					}
				}
				table.SetDrainedZones(now, list)
			case 1:
				table.Upsert(now, Backend{
					ID: id, Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"), Kind: KindEngine, Model: "m",
					Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Lifecycle: rapid.SampledFrom([]string{LifecycleReady, LifecycleReady, LifecycleLeaving}).Draw(t, "lifecycle"),
				})
			case 2:
				table.Remove(id)
			case 3:
				table.RecordLoad(now, id, load(rapid.IntRange(0, 9).Draw(t, "busy"), 0))
			case 4:
				if s := table.servers[id]; s != nil {
					table.RecordEnd(now, id, s.Incarnation, Outcome{Result: Unreachable})
				}
			case 5:
				table.SetLanePlan(KindEngine, "m", rapid.SampledFrom([]*LanePlan{nil, twoLanes}).Draw(t, "plan"))
			}
			req := Request{Kind: KindEngine, Model: "m", Session: rapid.Uint64Range(0, 3).Draw(t, "session"), GapTarget: draftGap, Prefix: []uint64{1, 2}}
			b, err := r.Choose(now, req, rapid.Uint64().Draw(t, "rnd"))
			var drainedErr *DrainedError
			switch {
			case err == nil && drained[b.Zone]:
				t.Fatalf("server %s of drained zone %s was chosen", b.ID, b.Zone)
			case err == nil:
				table.RecordDispatch(now, b.ID, 10, req.Prefix)
				if from, ok := r.FetchSource(now, req, b.ID); ok && drained[from.Zone] {
					t.Fatalf("source %s is in drained zone %s", from.ID, from.Zone)
				}
			case errors.As(err, &drainedErr):
				for _, s := range table.servers {
					if s.Lifecycle == LifecycleReady && !drained[s.Zone] {
						t.Fatalf("got %v though server %s of zone %s is ready", err, s.ID, s.Zone)
					}
				}
			}
		}
	})
}

// TestServersAreColdAfterADrain guards against a burst on the servers of a zone at the end of its drain: they may have turned cold
// meanwhile, and count as cold until a report that arrived after the end says otherwise.
func TestServersAreColdAfterADrain(t *testing.T) {
	table := newTable(2, func(i int, b *Backend) { b.Zone = string(rune('a' + i)) })
	table.SetColdStart(KindEngine, "m", ColdStart{Length: 3 * time.Second, PerSecond: 15})
	table.SetDrainedZones(epoch, []string{"a"})
	ended := epoch.Add(10 * time.Second)
	table.SetDrainedZones(ended, nil)
	for id, s := range table.servers {
		want := NotCold
		if s.Zone == "a" {
			want = ColdAfterDrain
		}
		if left, cause := s.coldLeft(ended); left > 0 != (want != NotCold) || cause != want {
			t.Errorf("server %s of zone %s counts as cold for %v (%q), want %q", id, s.Zone, left, cause, want)
		}
		table.RecordReport(ended.Add(time.Second), id, 7, 0)
		if left, cause := s.coldLeft(ended.Add(time.Second)); left > 0 {
			t.Errorf("server %s counts as cold for %v (%q) after a report that it is warm", id, left, cause)
		}
	}
}
