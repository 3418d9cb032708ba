package fleet

import (
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

// newObservation returns an observation of model m with unknown attainment.
func newObservation(demand map[string]float64, zones ...ZoneState) Observation {
	return Observation{Model: "m", SlotsPerServer: 10, DemandByOrganisation: demand, Attainment: -1, Zones: zones}
}

func zone(name string, servers int) ZoneState {
	return ZoneState{Zone: name, Servers: servers, PricePerHour: 3}
}

func withoutSupply(z ZoneState) ZoneState {
	z.NoSupply = true
	return z
}

func TestPlan(t *testing.T) {
	pool := Pool{Model: "m", Zones: []string{"a", "b", "c"}, TargetUtilisation: 0.5}
	zoneRedundant := pool
	zoneRedundant.SurviveZoneLoss = true
	withMinimum := pool
	withMinimum.MinPerZone = 2
	bounded := pool
	bounded.Max = 4
	manual := pool
	manual.Manual = map[string]int{"b": 9}
	tests := []struct {
		name     string
		settings Settings
		observed Observation
		want     map[string]int
		capped   int
	}{
		{
			"demand spread over zones",
			Settings{Pools: []Pool{pool}},
			newObservation(map[string]float64{"x": 30}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 2, "b": 2, "c": 2},
			0,
		},
		{
			"existing servers before new ones",
			Settings{Pools: []Pool{pool}},
			newObservation(map[string]float64{"x": 20}, zone("a", 0), zone("b", 1), zone("c", 2)),
			map[string]int{"a": 1, "b": 1, "c": 2},
			0,
		},
		{
			"enough after the loss of a zone",
			Settings{Pools: []Pool{zoneRedundant}},
			newObservation(map[string]float64{"x": 30}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 3, "b": 3, "c": 3},
			0,
		},
		{
			"zone without supply replaced by others",
			Settings{Pools: []Pool{pool}},
			newObservation(map[string]float64{"x": 30}, zone("a", 0), withoutSupply(zone("b", 1)), zone("c", 0)),
			map[string]int{"a": 3, "b": 1, "c": 2},
			0,
		},
		{
			"one zone has supply",
			Settings{Pools: []Pool{zoneRedundant}},
			newObservation(map[string]float64{"x": 30}, withoutSupply(zone("a", 1)), withoutSupply(zone("b", 1)), zone("c", 0)),
			map[string]int{"a": 1, "b": 1, "c": 4},
			0,
		},
		{
			"no zone has supply",
			Settings{Pools: []Pool{zoneRedundant}},
			newObservation(map[string]float64{"x": 30}, withoutSupply(zone("a", 1)), withoutSupply(zone("b", 0)), withoutSupply(zone("c", 0))),
			map[string]int{"a": 1, "b": 0, "c": 0},
			0,
		},
		{
			"minimum per zone",
			Settings{Pools: []Pool{withMinimum}},
			newObservation(nil, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 2, "b": 2, "c": 2},
			0,
		},
		{
			"maximum",
			Settings{Pools: []Pool{bounded}},
			newObservation(map[string]float64{"x": 500}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 2, "b": 1, "c": 1},
			0,
		},
		{
			"manual count",
			Settings{Pools: []Pool{manual}},
			newObservation(map[string]float64{"x": 30}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 2, "b": 9, "c": 2},
			0,
		},
		{
			"organisation limited by its ceiling",
			Settings{Pools: []Pool{pool}, Ceilings: map[string]float64{"x": 6}},
			newObservation(map[string]float64{"x": 100, "y": 5}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 1, "b": 1, "c": 1},
			1,
		},
		{
			"ceiling of the parent organisation",
			Settings{Pools: []Pool{pool}, Ceilings: map[string]float64{"x": 6}},
			newObservation(map[string]float64{"x/1": 50, "x/2": 50}, zone("a", 0), zone("b", 0), zone("c", 0)),
			map[string]int{"a": 1, "b": 1, "c": 0},
			2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.settings.Validate(); err != nil {
				t.Fatal(err)
			}
			plan := NewPlanner().Plan(epoch, tt.settings, []Observation{tt.observed})[0]
			if !maps.Equal(plan.Wanted, tt.want) || len(plan.Capped) != tt.capped {
				t.Errorf("got wanted %v and capped %v, want %v and %d capped", plan.Wanted, plan.Capped, tt.want, tt.capped)
			}
		})
	}
}

// simulate plans every 10 s, with every plan carried out at once, and returns the total number of servers of each plan.
func simulate(s Settings, d time.Duration, demand func(at time.Duration) float64, attainment func(at time.Duration) float64) []int {
	planner := NewPlanner()
	servers := 0
	var totals []int
	for at := time.Duration(0); at < d; at += 10 * time.Second {
		o := newObservation(map[string]float64{"x": demand(at)}, zone("a", servers))
		o.Attainment = attainment(at)
		servers = planner.Plan(epoch.Add(at), s, []Observation{o})[0].Total()
		totals = append(totals, servers)
	}
	return totals
}

func unknownAttainment(time.Duration) float64 { return -1 }

func onePool() Settings {
	return Settings{Pools: []Pool{{Model: "m", Zones: []string{"a"}, TargetUtilisation: 0.5, ScaleDownHoldS: 300, StartTimeS: 60}}}
}

func TestGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	totals := simulate(onePool(), 20*time.Minute, func(at time.Duration) float64 {
		if at >= time.Minute && at < 2*time.Minute {
			return 80
		}
		return 10
	}, unknownAttainment)
	if totals[5] != 2 || totals[6] != 16 {
		t.Errorf("got totals %v around the rise, want 2 before and 16 after it", totals[4:8])
	}
	for i, n := range totals[6 : 6+6+30] {
		if n != 16 {
			t.Fatalf("got %d servers within the hold, %d s after the rise, want 16", n, i*10)
		}
	}
	for i := 1; i < len(totals); i++ {
		if drop := totals[i-1] - totals[i]; drop > 4 {
			t.Errorf("removed %d servers at once, want at most 4", drop)
		}
	}
	if last := totals[len(totals)-1]; last > 3 {
		t.Errorf("got %d servers at the end, want at most 3", last)
	}
}

func TestSmallDemandChangesDoNotOscillate(t *testing.T) {
	totals := simulate(onePool(), time.Hour, func(at time.Duration) float64 {
		return 20 + 0.5*float64(at/(10*time.Minute)%2) // alternates between a need of exactly four servers and slightly more
	}, unknownAttainment)
	changes := 0
	for i := 1; i < len(totals); i++ {
		if totals[i] != totals[i-1] {
			changes++
		}
	}
	if changes > 1 {
		t.Errorf("got %d changes of the number of servers, want at most 1", changes)
	}
}

func TestLowAttainmentAddsServers(t *testing.T) {
	totals := simulate(onePool(), 5*time.Minute, func(time.Duration) float64 { return 20 }, func(at time.Duration) float64 {
		if at < 2*time.Minute {
			return 0.5
		}
		return 1
	})
	if first, last := totals[0], totals[len(totals)-1]; first < 5 || last <= first || last > 10 {
		t.Errorf("got %d servers at first, %d at the end, want at least 5 and then more, at most 10", first, last)
	}
}

func TestLowAttainmentIsBounded(t *testing.T) {
	totals := simulate(onePool(), 15*time.Minute, func(time.Duration) float64 { return 20 }, func(time.Duration) float64 { return 0 })
	if last := totals[len(totals)-1]; last != 8 {
		t.Errorf("got %d servers for a need of 4 by demand, want 8", last)
	}
}

func TestBroadcastServersAreOrderedInAdvance(t *testing.T) {
	s := onePool()
	s.Broadcasts = []Broadcast{{
		Model: "m", BeginMS: epoch.Add(5 * time.Minute).UnixMilli(), EndMS: epoch.Add(7 * time.Minute).UnixMilli(), Servers: 12,
	}}
	totals := simulate(s, 10*time.Minute, func(time.Duration) float64 { return 10 }, unknownAttainment)
	if before, ordered := totals[23], totals[24]; before != 2 || ordered != 12 {
		t.Errorf("got %d servers before the start time, %d after it, want 2 and 12", before, ordered)
	}
	if after := totals[len(totals)-1]; after != 2 {
		t.Errorf("got %d servers after the broadcast, want 2", after)
	}
}

func TestNewPlannerKeepsServers(t *testing.T) {
	planner := NewPlanner()
	for at := time.Duration(0); at < 290*time.Second; at += 10 * time.Second {
		plan := planner.Plan(epoch.Add(at), onePool(), []Observation{newObservation(nil, zone("a", 7))})[0]
		if plan.Total() != 7 || !plan.Holding {
			t.Fatalf("plan after %v: got %+v, want 7 servers and Holding", at, plan)
		}
	}
}

func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := Pool{
			Model: "m", Zones: []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")],
			MinPerZone: rapid.IntRange(0, 3).Draw(t, "min"), SurviveZoneLoss: rapid.Bool().Draw(t, "survive"),
		}
		if rapid.Bool().Draw(t, "bounded") {
			pool.Max = pool.MinPerZone*len(pool.Zones) + rapid.IntRange(1, 10).Draw(t, "max")
		}
		o := newObservation(map[string]float64{"x": rapid.Float64Range(0, 300).Draw(t, "demand")})
		supply := false
		for _, name := range pool.Zones {
			z := zone(name, rapid.IntRange(0, 6).Draw(t, "servers"))
			z.NoSupply = rapid.Bool().Draw(t, "no supply")
			supply = supply || !z.NoSupply
			o.Zones = append(o.Zones, z)
		}
		plan := NewPlanner().Plan(epoch, Settings{Pools: []Pool{pool}}, []Observation{o})[0]
		for _, z := range o.Zones {
			wanted := plan.Wanted[z.Zone]
			if z.NoSupply && wanted > z.Servers {
				t.Fatalf("zone %s without supply grows from %d to %d, want no growth", z.Zone, z.Servers, wanted)
			}
			if !z.NoSupply && wanted < pool.MinPerZone {
				t.Fatalf("zone %s: got %d wanted servers, want at least %d", z.Zone, wanted, pool.MinPerZone)
			}
		}
		if pool.Max > 0 && plan.Total() > pool.Max {
			t.Fatalf("got %d servers, want at most %d", plan.Total(), pool.Max)
		}
		if supply && pool.Max == 0 && plan.Total() < plan.Need {
			t.Fatalf("got %d servers, want at least the need of %d", plan.Total(), plan.Need)
		}
	})
}

func TestValidateRejectsInvalidSettings(t *testing.T) {
	good := Pool{Model: "m", Zones: []string{"a"}}
	tests := []struct {
		name string
		s    Settings
	}{
		{"two pools of a model", Settings{Pools: []Pool{good, good}}},
		{"no zones", Settings{Pools: []Pool{{Model: "m"}}}},
		{"no model", Settings{Pools: []Pool{{Zones: []string{"a"}}}}},
		{"max below min", Settings{Pools: []Pool{{Model: "m", Zones: []string{"a"}, MinPerZone: 3, Max: 2}}}},
		{"manual count of an unknown zone", Settings{Pools: []Pool{{Model: "m", Zones: []string{"a"}, Manual: map[string]int{"z": 1}}}}},
		{"utilisation above one", Settings{Pools: []Pool{{Model: "m", Zones: []string{"a"}, TargetUtilisation: 1.2}}}},
		{"broadcast without a pool", Settings{Broadcasts: []Broadcast{{Model: "m", EndMS: 1}}}},
		{"broadcast that ends first", Settings{Pools: []Pool{good}, Broadcasts: []Broadcast{{Model: "m", BeginMS: 2, EndMS: 1}}}},
		{"negative ceiling", Settings{Ceilings: map[string]float64{"x": -1}}},
	}
	for _, tt := range tests {
		if tt.s.Validate() == nil {
			t.Errorf("%s: got no error, want one", tt.name)
		}
	}
}
