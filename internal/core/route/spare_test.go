package route

import (
	"slices"
	"testing"
	"time"
)

// TestUnfitForExtraWork covers the servers that must not get a second copy of a request.
func TestUnfitForExtraWork(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]func(table *Table){
		"leaving": func(table *Table) {
			table.Upsert(now, Backend{ID: "a", Incarnation: "1", Kind: KindService, Model: "m", Lifecycle: LifecycleLeaving, Slots: 4})
		},
		"said that it leaves": func(table *Table) { table.RecordLeaving("a", "1") },
		"paused":              func(table *Table) { table.RecordPause(now, "a", "1", time.Second) },
		"states a limit":      func(table *Table) { table.RecordRateLimit(now, "a", now, 1000) },
		"unreachable":         func(table *Table) { table.RecordEnd(now, "a", "1", Outcome{Result: Unreachable}) },
		"full":                func(table *Table) { table.RecordLoad(now, "a", Load{Slots: 4, Running: 3, Waiting: 1}) },
		"cold":                func(table *Table) { table.RecordReport(now, "a", 1, time.Second) },
		"in a drained zone": func(table *Table) {
			table.Upsert(now, Backend{ID: "a", Incarnation: "1", Kind: KindService, Model: "m", Zone: "z", Lifecycle: LifecycleReady, Slots: 4})
			table.SetDrainedZones(now, []string{"z"})
		},
		"silent": func(table *Table) {
			table.BeginWait(now.Add(-10*time.Second), "a", quietSince(now.Add(-10*time.Second)))
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Config{})
			for _, id := range []string{"a", "b"} {
				table.Upsert(now, Backend{ID: id, Incarnation: "1", Kind: KindService, Model: "m", Lifecycle: LifecycleReady, Slots: 4})
			}
			req := &Request{Kind: KindService, Model: "m"}
			if got := table.AppendUnfitForExtra(nil, now, req); len(got) != 0 {
				t.Fatalf("%v are unfit before the change", got)
			}
			change(table)
			if got := table.AppendUnfitForExtra([]string{"x"}, now, req); !slices.Equal(got, []string{"x", "a"}) {
				t.Errorf("got %v, want x and a", got)
			}
		})
	}
}

// quietSince is the activity of a server that has sent nothing since a time.
type quietSince time.Time

func (q quietSince) LastAt() time.Time { return time.Time(q) }

// TestOccupancy sums what ready servers reported recently.
func TestOccupancy(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Config{})
	if busy, slots := table.Occupancy(now, KindService, "m"); busy != 0 || slots != 0 {
		t.Errorf("got %d busy of %d slots without servers", busy, slots)
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		table.Upsert(now, Backend{ID: id, Incarnation: "1", Kind: KindService, Model: "m", Lifecycle: LifecycleReady, Slots: 4})
	}
	table.RecordLoad(now, "a", Load{Slots: 6, Running: 6, Waiting: 3})
	table.RecordLoad(now, "b", Load{Slots: 6, Running: 1})
	table.RecordLoad(now.Add(-time.Minute), "c", Load{Slots: 6, Running: 6})
	table.RecordLoad(now, "d", Load{Slots: 6, Running: 6})
	table.RecordLeaving("d", "1")
	if busy, slots := table.Occupancy(now, KindService, "m"); busy != 10 || slots != 12 {
		t.Errorf("got %d busy of %d slots, want 10 of 12", busy, slots)
	}
}
