package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulation is a run of a scenario with a combination of policies.
type simulation struct {
	scenario    Scenario
	policies    Policies
	clock       *clock
	rand        *rand.Rand
	servers     map[string]*server
	engines     []*server
	entries     []*entry
	arrivals    uint64
	outstanding int // requests that have not ended
	report      Report
}

// Run measures a scenario with a combination of policies. The same arguments give the same report.
func Run(scenario Scenario, policies Policies) Report {
	sim := &simulation{
		scenario: scenario, policies: policies, clock: newClock(), servers: make(map[string]*server),
		rand:   rand.New(rand.NewPCG(scenario.Seed, 0)),
		report: newReport(scenario, policies),
	}
	sim.build()
	sim.scheduleArrivals(engineClasses, scenario.Engines, engineWork, false)
	sim.scheduleArrivals(serviceClasses, scenario.Services*serviceSlots, serviceWork, true)
	sim.scheduleStragglers()
	sim.clock.runUntil(epoch.Add(scenario.Warmup + scenario.Burst))
	for sim.outstanding > 0 {
		sim.clock.runUntil(sim.clock.now.Add(time.Second))
	}
	return sim.report
}

func (sim *simulation) build() {
	for i := range sim.scenario.Entries {
		sim.entries = append(sim.entries, newEntry(sim, i%sim.scenario.Zones))
	}
	for i := range sim.scenario.Engines + sim.scenario.Services {
		service := i >= sim.scenario.Engines
		s := newServer(sim, fmt.Sprintf("server%02d", i), i%sim.scenario.Zones, service)
		sim.servers[s.id] = s
		if !service {
			sim.engines = append(sim.engines, s)
		}
		for _, e := range sim.entries {
			e.table.Upsert(epoch, s.backend())
		}
	}
}

// engineWork returns the mean engine time of a request of the class at the reference batch size, in seconds.
func engineWork(c *class) float64 {
	step := stepBase + referenceBatch*stepPerBatch
	return float64(c.output)*step.Seconds()/referenceBatch + float64(c.prompt)*prefillToken.Seconds()
}

// serviceWork returns the mean slot time of a request of the class, in seconds.
func serviceWork(c *class) float64 { return float64(c.output) / 1000 }

// scheduleArrivals starts a Poisson process of arrivals for each class.
func (sim *simulation) scheduleArrivals(classes []class, capacity int, work func(*class) float64, service bool) {
	end := sim.scenario.Warmup + sim.scenario.Burst
	for i := range classes {
		c := &classes[i]
		rate := c.workShare * float64(capacity) / work(c)
		random := rand.New(rand.NewPCG(sim.scenario.Seed, uint64(c.tier)<<1|uint64(len(c.name))<<8|1))
		var next func()
		next = func() {
			at := sim.clock.now.Sub(epoch)
			if at >= end {
				return
			}
			sim.addRequest(c, random, service, at >= sim.scenario.Warmup)
			load := warmupLoad
			if at >= sim.scenario.Warmup {
				load = sim.scenario.Overload
			}
			sim.clock.after(time.Duration(random.ExpFloat64()/(rate*load)*float64(time.Second)), next)
		}
		sim.clock.after(time.Duration(random.ExpFloat64()/(rate*warmupLoad)*float64(time.Second)), next)
	}
}

func (sim *simulation) addRequest(c *class, random *rand.Rand, service, measured bool) {
	sim.arrivals++
	now := sim.clock.now
	organisation := 0
	if random.Float64() >= firstOrganisationShare {
		organisation = 1 + random.IntN(sim.scenario.Organisations-1)
	}
	r := &request{
		id: fmt.Sprint(sim.arrivals), class: c, organisation: fmt.Sprintf("organisation%02d", organisation),
		prompt: drawLength(random, c.prompt), output: max(1, drawLength(random, c.output)),
		arrived: now, deadline: now.Add(c.deadline), measured: measured, service: service,
		entry: sim.entries[random.IntN(len(sim.entries))],
	}
	r.due = now.Add(c.firstToken)
	if c.firstToken == 0 {
		r.due = now
	}
	sim.outstanding++
	sim.recordOffered(r)
	r.entry.dispatch(r)
}

// drawLength draws an exponentially distributed length, truncated at eight times the mean.
func drawLength(random *rand.Rand, mean int) int {
	return int(math.Min(8, random.ExpFloat64()) * float64(mean))
}

func (sim *simulation) scheduleStragglers() {
	third := sim.scenario.Burst / 3
	for i := range sim.scenario.Stragglers {
		s := sim.engines[i*5%len(sim.engines)]
		sim.clock.after(sim.scenario.Warmup+third, func() { s.slowdown = sim.scenario.Slowdown })
		sim.clock.after(sim.scenario.Warmup+2*third, func() { s.slowdown = 1 })
	}
}

func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return otherZoneDelay
}

// reply delivers a message from an agent to the request's entry, together with a load report.
func (sim *simulation) reply(s *server, r *request, deliver func()) {
	load := s.load()
	sim.clock.after(sim.delay(s.zone, r.entry.zone), func() {
		r.entry.table.RecordLoad(sim.clock.now, s.id, load)
		deliver()
	})
}
