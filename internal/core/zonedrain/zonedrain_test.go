package zonedrain

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/guavastack/guavastack/internal/core/state"
)

// TestMain fixes the seed of the property test, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// tb is the common part of testing.T and rapid.T.
type tb interface {
	Helper()
	Fatal(args ...any)
}

// apply applies a command at a wall clock time in milliseconds.
func apply(t tb, m *Module, atMS int64, c Command) Outcome {
	t.Helper()
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	data, err := m.Apply(1, state.Command{AtMS: atMS, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	var outcome Outcome
	if err := json.Unmarshal(data, &outcome); err != nil {
		t.Fatal(err)
	}
	return outcome
}

// order applies an order that is based on the newest revision.
func order(t tb, m *Module, atMS int64, zone string, drained bool, by string) Result {
	t.Helper()
	return apply(t, m, atMS, Command{Zone: zone, Drained: drained, Base: m.Revision(zone), By: by}).Result
}

func TestOrders(t *testing.T) {
	m := NewModule()
	steps := []struct {
		name     string
		zone     string
		drained  bool
		by       string
		want     []Drain
		revision uint64
	}{
		{"end without a drain", "a", false, "op1", nil, 0},
		{"first drain", "a", true, "op1", []Drain{{"a", 1, "op1"}}, 1},
		{"repeated: the first order counts", "a", true, "op2", []Drain{{"a", 1, "op1"}}, 1},
		{"second zone", "b", true, "op2", []Drain{{"a", 1, "op1"}, {"b", 3, "op2"}}, 2},
		{"end of the first", "a", false, "op1", []Drain{{"b", 3, "op2"}}, 3},
		{"end repeated", "a", false, "op1", []Drain{{"b", 3, "op2"}}, 3},
		{"drained again", "a", true, "op3", []Drain{{"a", 6, "op3"}, {"b", 3, "op2"}}, 4},
	}
	for i, s := range steps {
		if got := order(t, m, int64(i), s.zone, s.drained, s.by); got != Accepted {
			t.Errorf("%s: got result %q, want %q", s.name, got, Accepted)
		}
		if list := m.List(); !slices.Equal(list.Drains, s.want) || list.Revision != s.revision {
			t.Errorf("%s: got drains %v at revision %d, want %v at %d", s.name, list.Drains, list.Revision, s.want, s.revision)
		}
	}
	list := m.List()
	if d := list.Find("a"); d == nil || d.By != "op3" || list.Find("c") != nil || (*List)(nil).Find("a") != nil {
		t.Errorf("got drain %v of zone a, %v of zone c, want one by op3 and none", d, list.Find("c"))
	}
	if got := list.Zones(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("got zones %q, want a and b", got)
	}
}

// Guards against an order that arrives after a newer one on its zone and undoes it.
func TestOvertakenOrderHasNoEffect(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []bool // orders on the zone before the delayed one is issued
		late   bool   // the delayed order
		newer  bool   // overtakes it
	}{
		{"start behind the end of no drain", nil, true, false},
		{"start behind an end", []bool{true}, true, false},
		{"end behind a start", []bool{true}, false, true},
		{"end behind the start of a zone that is not drained", []bool{true, false}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewModule()
			for _, drained := range c.before {
				order(t, m, 1, "a", drained, "op")
			}
			late := Command{Zone: "a", Drained: c.late, Base: m.Revision("a"), By: "op"}
			order(t, m, 2, "b", true, "op") // orders on other zones do not matter
			order(t, m, 2, "a", c.newer, "op")
			before := m.List()
			if outcome := apply(t, m, 3, late); outcome.Result != Overtaken || outcome.Revision != m.Revision("a") {
				t.Errorf("got outcome %+v, want %s and the revision of the zone", outcome, Overtaken)
			}
			if m.List() != before {
				t.Errorf("the delayed order changed the drains from %v to %v", before, m.List())
			}
		})
	}
}

// Guards against a state that depends on how long commands are under way: orders on two zones are given one after the other, each is sent
// several times, and commands that got no answer are applied at any later time. The last order that was acknowledged must stay in force
// until the next one is given.
func TestLastAcknowledgedOrderIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModule()
		acknowledged := map[string]bool{"a": false, "b": false}
		var underWay []Command
		deliver := func() {
			for len(underWay) > 0 && rapid.Bool().Draw(t, "deliver") {
				i := rapid.IntRange(0, len(underWay)-1).Draw(t, "which")
				apply(t, m, 1, underWay[i])
				underWay = slices.Delete(underWay, i, i+1)
			}
		}
		check := func() {
			for zone, want := range acknowledged {
				if got := m.List().Find(zone) != nil; got != want {
					t.Fatalf("zone %s: drained %v, the last acknowledged order says %v", zone, got, want)
				}
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			drained := rapid.Bool().Draw(t, "drained")
			for range rapid.IntRange(0, 3).Draw(t, "lost attempts") {
				underWay = append(underWay, Command{Zone: zone, Drained: drained, Base: m.Revision(zone)})
				deliver()
			}
			for order(t, m, 1, zone, drained, "op") != Accepted {
				t.Fatal("an order on the newest revision is not accepted")
			}
			acknowledged[zone] = drained
			check()
			deliver()
			check()
			if rapid.Bool().Draw(t, "restore") {
				m = restored(t, m)
				check()
			}
		}
	})
}

// restored returns a module restored from a snapshot of m.
func restored(t tb, m *Module) *Module {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := NewModule()
	order(t, next, 1, "other", true, "op") // state that Restore must replace
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	return next
}

func TestSnapshotKeepsDrainsAndRevisions(t *testing.T) {
	m := NewModule()
	order(t, m, 5, "a", true, "op1")
	order(t, m, 6, "b", true, "op2")
	order(t, m, 7, "b", false, "op2")
	next := restored(t, m)
	if !slices.Equal(next.List().Drains, m.List().Drains) || next.List().Revision != m.List().Revision {
		t.Errorf("got list %+v after the restore, want %+v", next.List(), m.List())
	}
	for _, zone := range []string{"a", "b", "c"} {
		if next.Revision(zone) != m.Revision(zone) {
			t.Errorf("zone %s: got revision %d after the restore, want %d", zone, next.Revision(zone), m.Revision(zone))
		}
	}
	next.Reset()
	if list := next.List(); list.Revision != 0 || len(list.Drains) != 0 || next.Revision("a") != 0 {
		t.Errorf("got list %+v after a reset, want an empty one", list)
	}
}

func TestZoneNames(t *testing.T) {
	for name, want := range map[string]bool{
		"": false, "a": true, strings.Repeat("z", MaxZoneBytes): true, strings.Repeat("z", MaxZoneBytes+1): false, "a\xff": false, "zoné": true,
	} {
		if got := ValidateZone(name) == nil; got != want {
			t.Errorf("name %q: valid %v, want %v", name, got, want)
		}
	}
	if got := order(t, NewModule(), 1, strings.Repeat("z", MaxZoneBytes+1), true, "op"); got != Invalid {
		t.Errorf("got result %q for a long name, want %q", got, Invalid)
	}
}

// Guards against a state that grows with every name that a caller makes up, and against the loss of the revisions by which delayed orders
// on forgotten zones are recognised.
func TestNumberOfZonesIsBounded(t *testing.T) {
	m := NewModule()
	delayed := Command{Zone: "z0", Drained: true, Base: m.Revision("z0")}
	for i := range 3 * maxZones {
		if got := order(t, m, 1, fmt.Sprint("z", i), false, "op"); got != Accepted {
			t.Fatalf("zone %d: got result %q, want %q", i, got, Accepted)
		}
	}
	if len(m.byName) > maxZones {
		t.Errorf("got %d zones, want at most %d", len(m.byName), maxZones)
	}
	if got := apply(t, m, 2, delayed).Result; got != Overtaken {
		t.Errorf("got result %q for a delayed order on a forgotten zone, want %q", got, Overtaken)
	}
	for i := range maxZones {
		if got := order(t, m, 3, fmt.Sprint("d", i), true, "op"); got != Accepted {
			t.Fatalf("drain %d: got result %q, want %q", i, got, Accepted)
		}
	}
	if got := order(t, m, 4, "one more", true, "op"); got != Full {
		t.Errorf("got result %q with %d drained zones, want %q", got, maxZones, Full)
	}
	if got := order(t, m, 4, "d7", true, "op"); got != Accepted {
		t.Errorf("got result %q for a repeated order, want %q", got, Accepted)
	}
	if m = restored(t, m); m.Revision("unknown") == 0 {
		t.Error("the revision of forgotten zones is lost with a restore")
	}
}

// Guards against a repeated end of a drain that is refused because the zone was forgotten and all others are drained, and against an older
// start on that zone that takes effect after it.
func TestEndIsAcceptedWithoutRoom(t *testing.T) {
	m := NewModule()
	order(t, m, 1, "a", false, "op")
	for i := range maxZones {
		if got := order(t, m, 2, fmt.Sprint("d", i), true, "op"); got != Accepted {
			t.Fatalf("drain %d: got result %q, want %q", i, got, Accepted)
		}
	}
	delayed := Command{Zone: "a", Drained: true, Base: m.Revision("a")}
	before := m.List()
	if got := order(t, m, 3, "a", false, "op"); got != Accepted {
		t.Errorf("got result %q for the repeated end, want %q", got, Accepted)
	}
	if m.List() != before || len(m.byName) != maxZones {
		t.Errorf("the order changed the drains, or %d zones are stored, want %d", len(m.byName), maxZones)
	}
	order(t, m, 4, "d0", false, "op")
	if got := apply(t, m, 5, delayed).Result; got != Overtaken {
		t.Errorf("got result %q for the delayed start, want %q", got, Overtaken)
	}
}
