package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// day describes one day of demand for the models of one deployment.
type day struct {
	name      string
	zones     int
	servers   int // of the fixed fleet
	burstAt   time.Duration
	burstFor  time.Duration
	burst     float64 // additional demand, as a multiple of the normal peak
	announced bool    // the planner gets a Broadcast for the burst
}

const (
	dayStep        = 10 * time.Second
	daySlots       = 8
	dayUtilisation = 0.7
	dayStartTime   = 2 * time.Minute
	dayPrice       = 3.0 // per server and hour
	zoneLostAt     = 15 * time.Hour
	zoneLostFor    = 30 * time.Minute
)

var days = []day{
	{"camurca", 4, 12, 10 * time.Hour, 20 * time.Minute, 3, true},
	{"camurca-unannounced", 4, 12, 10 * time.Hour, 20 * time.Minute, 3, false},
	{"fjordslag", 3, 18, 19 * time.Hour, 45 * time.Minute, 4, true},
	{"fjordslag-unannounced", 3, 18, 19 * time.Hour, 45 * time.Minute, 4, false},
}

// demand returns the demand in slots at a time of the day: low at night, a sine curve by day, noise, and the burst.
func (d day) demand(at time.Duration, noise *rand.Rand) float64 {
	peak := float64(d.servers) * daySlots * dayUtilisation
	hour := at.Hours()
	base := 0.15
	if hour > 7 && hour < 22 {
		base += 0.85 * math.Sin((hour-7)/15*math.Pi)
	}
	base *= 0.9 + 0.2*noise.Float64()
	if at >= d.burstAt && at < d.burstAt+d.burstFor {
		base += d.burst * min(1, (at-d.burstAt).Seconds()/60) // ramps up within a minute
	}
	return base * peak
}

// dayFleet holds the simulated servers by zone: the number of ready ones, and the times at which ordered ones become ready.
type dayFleet struct {
	ready   []int
	ordered [][]time.Duration
}

func (f *dayFleet) advance(at time.Duration, lost bool) {
	for z := range f.ready {
		for len(f.ordered[z]) > 0 && f.ordered[z][0] <= at {
			f.ready[z]++
			f.ordered[z] = f.ordered[z][1:]
		}
	}
	if lost {
		f.ready[0] = 0
		f.ordered[0] = nil
	}
}

func (f *dayFleet) set(z, want int, at time.Duration) {
	for have := f.ready[z] + len(f.ordered[z]); have < want; have++ {
		f.ordered[z] = append(f.ordered[z], at+dayStartTime)
	}
	if have := f.ready[z] + len(f.ordered[z]); have > want {
		f.ready[z] = max(0, f.ready[z]-(have-want))
	}
}

func (f *dayFleet) count() (ready, all int) {
	for z := range f.ready {
		ready += f.ready[z]
		all += f.ready[z] + len(f.ordered[z])
	}
	return ready, all
}

// policy sets the number of wanted servers of each zone.
type policy func(d day, at time.Duration, demand float64, f *dayFleet, lost bool)

// plannerPolicy returns a policy that follows a Planner.
func plannerPolicy(survive bool) policy {
	planner := NewPlanner()
	return func(d day, at time.Duration, demand float64, f *dayFleet, lost bool) {
		o := Observation{Model: "m", SlotsPerServer: daySlots, Attainment: -1, DemandByOrganisation: map[string]float64{"x": demand}}
		pool := Pool{Model: "m", MinPerZone: 1, SurviveZoneLoss: survive, TargetUtilisation: dayUtilisation, StartTimeS: int(dayStartTime.Seconds())}
		for z := range f.ready {
			name := fmt.Sprint(z)
			pool.Zones = append(pool.Zones, name)
			o.Zones = append(o.Zones, ZoneState{
				Zone: name, Servers: f.ready[z] + len(f.ordered[z]), NoSupply: lost && z == 0, PricePerHour: dayPrice,
			})
		}
		s := Settings{Pools: []Pool{pool}}
		if d.announced {
			slots := float64(d.servers) * daySlots * dayUtilisation * (d.burst + 1)
			s.Broadcasts = []Broadcast{{
				Model: "m", BeginMS: epoch.Add(d.burstAt).UnixMilli(), EndMS: epoch.Add(d.burstAt + d.burstFor).UnixMilli(),
				Servers: int(math.Ceil(slots / daySlots)),
			}}
		}
		wanted := planner.Plan(epoch.Add(at), s, []Observation{o})[0].Wanted
		for z := range f.ready {
			f.set(z, wanted[fmt.Sprint(z)], at)
		}
	}
}

// fixedPolicy is a policy that keeps the number of servers constant.
func fixedPolicy(d day, at time.Duration, _ float64, f *dayFleet, lost bool) {
	for z := range f.ready {
		if !lost || z != 0 {
			f.set(z, d.servers/d.zones, at)
		}
	}
}

// utilisationPolicy returns a policy that scales by the ratio of the utilisation to its target, with a pause between changes.
func utilisationPolicy() policy {
	const pause = 5 * time.Minute
	next := time.Duration(0)
	return func(d day, at time.Duration, demand float64, f *dayFleet, lost bool) {
		ready, all := f.count()
		if at < next || ready == 0 {
			return
		}
		used := min(demand, float64(ready*daySlots)) / float64(ready*daySlots)
		total := max(d.zones, int(math.Ceil(float64(ready)*used/dayUtilisation)))
		if total == all {
			return
		}
		next = at + pause
		for z := range f.ready {
			if !lost || z != 0 {
				f.set(z, (total+z)/d.zones, at)
			}
		}
	}
}

// result is the cost and the attainment of a day.
type result struct {
	cost, attainment, worst float64 // worst: the lowest attainment over ten minutes
}

func (d day) run(p policy) result {
	noise := rand.New(rand.NewPCG(1, 2))
	f := &dayFleet{ready: make([]int, d.zones), ordered: make([][]time.Duration, d.zones)}
	for z := range f.ready {
		f.ready[z] = d.servers / d.zones
	}
	r := result{worst: 1}
	var demanded, served, demandedRecently, servedRecently float64
	for at := time.Duration(0); at < 24*time.Hour; at += dayStep {
		lost := at >= zoneLostAt && at < zoneLostAt+zoneLostFor
		f.advance(at, lost)
		demand := d.demand(at, noise)
		p(d, at, demand, f, lost)
		ready, all := f.count()
		r.cost += float64(all) * dayPrice * dayStep.Hours()
		s := min(demand, float64(ready*daySlots))
		demanded, served = demanded+demand, served+s
		demandedRecently, servedRecently = demandedRecently+demand, servedRecently+s
		if (at+dayStep)%(10*time.Minute) == 0 {
			r.worst = min(r.worst, servedRecently/demandedRecently)
			demandedRecently, servedRecently = 0, 0
		}
	}
	r.attainment = served / demanded
	return r
}

// BenchmarkDay compares policies for sizing the fleet over one day. Attainment is the share of the demanded slots that were
// available at once; the simulation has no queue.
func BenchmarkDay(b *testing.B) {
	policies := []struct {
		name string
		make func() policy
	}{
		{"planner", func() policy { return plannerPolicy(false) }},
		{"planner-zone-loss", func() policy { return plannerPolicy(true) }},
		{"fixed", func() policy { return fixedPolicy }},
		{"utilisation", utilisationPolicy},
	}
	for _, d := range days {
		for _, p := range policies {
			b.Run(d.name+"/"+p.name, func(b *testing.B) {
				var r result
				for b.Loop() {
					r = d.run(p.make())
				}
				b.ReportMetric(r.cost, "cost/day")
				b.ReportMetric(100*r.attainment, "%attained")
				b.ReportMetric(100*r.worst, "%worst10min")
			})
		}
	}
}

// BenchmarkPlan measures a plan at the design size: 19 models, 27 zones, 7,500 organisations.
func BenchmarkPlan(b *testing.B) {
	s := Settings{Ceilings: make(map[string]float64)}
	var observed []Observation
	for m := range 19 {
		pool := Pool{Model: fmt.Sprint("m", m), SurviveZoneLoss: true}
		o := Observation{Model: pool.Model, SlotsPerServer: 16, Attainment: 1, DemandByOrganisation: make(map[string]float64)}
		for z := range 27 {
			pool.Zones = append(pool.Zones, fmt.Sprint("z", z))
			o.Zones = append(o.Zones, ZoneState{Zone: fmt.Sprint("z", z), Servers: 3, PricePerHour: 3})
		}
		for n := range 7500 {
			o.DemandByOrganisation[fmt.Sprint("o", n)] = 0.1
		}
		s.Pools = append(s.Pools, pool)
		observed = append(observed, o)
	}
	for n := range 7500 {
		s.Ceilings[fmt.Sprint("o", n)] = 5
	}
	planner := NewPlanner()
	for b.Loop() {
		planner.Plan(epoch, s, observed)
	}
}

// TestPlannerCoversAnnouncedBurst checks that the planner serves the demand of a day with an announced burst.
func TestPlannerCoversAnnouncedBurst(t *testing.T) {
	for _, d := range days {
		if !d.announced {
			continue
		}
		if r := d.run(plannerPolicy(true)); r.attainment < 0.99 {
			t.Errorf("%s: got attainment %.4f, want at least 0.99", d.name, r.attainment)
		}
	}
}
