package fleet

import (
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// scaleDownMargin lowers the target utilisation for the decision to shrink, so that a need near a whole number of
	// servers does not switch one on and off.
	scaleDownMargin = 0.9
	// scaleDownStep is the part of a pool's servers given back at once.
	scaleDownStep = 0.25
	// attainmentStep is the part of a pool's servers added while attainment stays below its target.
	attainmentStep = 0.25
	// attainmentLimit bounds what low attainment adds, as a multiple of the need by demand: more servers do not help
	// where each of them is too slow.
	attainmentLimit = 2
)

// ZoneState is what is known of one pool in one availability zone.
type ZoneState struct {
	Zone         string
	Servers      int     // running or ordered, not leaving
	NoSupply     bool    // the platform refused an order here lately
	PricePerHour float64 // of one server
}

// Observation is what is known of one pool.
type Observation struct {
	Model                string
	SlotsPerServer       float64            // 0: no server has reported
	DemandByOrganisation map[string]float64 // slots in use and waited for
	Attainment           float64            // part of the servers within their first-token target, 0..1; negative: unknown
	Zones                []ZoneState
}

// Plan is the decision for one pool.
type Plan struct {
	Model       string         `json:"model"`
	Demand      float64        `json:"demand_slots"`        // that the pool is sized for
	Need        int            `json:"need_servers"`        // without spare servers
	Wanted      map[string]int `json:"wanted_by_zone"`      //
	Capped      []string       `json:"capped,omitempty"`    // organisations held at their price ceiling
	CostPerHour float64        `json:"cost_per_hour"`       // of the wanted servers
	Manual      bool           `json:"manual,omitempty"`    // at least one zone has a manual count
	Broadcast   bool           `json:"broadcast,omitempty"` // an announced burst sets the need
	Holding     bool           `json:"holding,omitempty"`   // fewer would do, but not for long enough yet
	ZonesOut    []string       `json:"without_supply,omitempty"`
}

// Total returns the wanted servers of all zones.
func (p Plan) Total() int {
	total := 0
	for _, n := range p.Wanted {
		total += n
	}
	return total
}

// sample is the need at one moment.
type sample struct {
	at   time.Time
	need int
}

// poolState is what a planner remembers of one pool.
type poolState struct {
	since     time.Time // first observation
	level     int       // need that the pool is sized for
	samples   []sample  // of the scale-down hold
	loweredAt time.Time
	raisedAt  time.Time // for low attainment
}

// Planner plans all pools of one fleet. A new planner shrinks nothing before it has watched for one scale-down hold.
type Planner struct {
	pools map[string]*poolState
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner {
	return &Planner{pools: make(map[string]*poolState)}
}

// Plan returns the plan of every pool that has both settings and an observation, in the order of the settings.
func (pl *Planner) Plan(now time.Time, s Settings, observed []Observation) []Plan {
	factors := ceilingFactors(s, observed)
	var plans []Plan
	for _, pool := range s.Pools {
		i := slices.IndexFunc(observed, func(o Observation) bool { return o.Model == pool.Model })
		if i < 0 {
			continue
		}
		plans = append(plans, pl.planPool(now, s, withDefaults(pool), observed[i], factors))
	}
	return plans
}

// withDefaults fills in what the settings of a pool leave out.
func withDefaults(p Pool) Pool {
	if p.TargetUtilisation == 0 {
		p.TargetUtilisation = DefaultTargetUtilisation
	}
	if p.TargetAttainment == 0 {
		p.TargetAttainment = DefaultAttainment
	}
	if p.ScaleDownHoldS == 0 {
		p.ScaleDownHoldS = DefaultScaleDownHoldS
	}
	if p.StartTimeS == 0 {
		p.StartTimeS = DefaultStartTimeS
	}
	return p
}

// slots returns the slots of one server of the pool.
func slots(p Pool, o Observation) float64 {
	if o.SlotsPerServer > 0 {
		return o.SlotsPerServer
	}
	return float64(max(1, p.SlotsPerServer))
}

// price returns the mean price of a server of the observation.
func price(o Observation) float64 {
	sum := 0.0
	for _, z := range o.Zones {
		sum += z.PricePerHour
	}
	if len(o.Zones) == 0 {
		return 0
	}
	return sum / float64(len(o.Zones))
}

// ceilingFactors returns, for each organisation over its price ceiling, the part of its demand that the ceiling pays
// for. The demand of an organisation counts for those above it in the tree, too.
func ceilingFactors(s Settings, observed []Observation) map[string]float64 {
	cost := make(map[string]float64)
	for _, pool := range s.Pools {
		pool = withDefaults(pool)
		for _, o := range observed {
			if o.Model != pool.Model {
				continue
			}
			perSlot := price(o) / (slots(pool, o) * pool.TargetUtilisation)
			for _, organisation := range slices.Sorted(maps.Keys(o.DemandByOrganisation)) {
				for owner := range lineage(organisation) {
					cost[owner] += o.DemandByOrganisation[organisation] * perSlot
				}
			}
		}
	}
	factors := make(map[string]float64)
	for organisation, ceiling := range s.Ceilings {
		if cost[organisation] > ceiling {
			factors[organisation] = ceiling / cost[organisation]
		}
	}
	return factors
}

// lineage yields an organisation's path and the paths above it.
func lineage(organisation string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for yield(organisation) {
			i := strings.LastIndexByte(organisation, '/')
			if i < 0 {
				return
			}
			organisation = organisation[:i]
		}
	}
}

// payableDemand sums the demand that the organisations pay for, and names those held at a ceiling.
func payableDemand(o Observation, factors map[string]float64) (demand float64, capped []string) {
	for _, organisation := range slices.Sorted(maps.Keys(o.DemandByOrganisation)) {
		factor := 1.0
		for owner := range lineage(organisation) {
			if f, ok := factors[owner]; ok {
				factor = min(factor, f)
			}
		}
		if factor < 1 {
			capped = append(capped, organisation)
		}
		demand += factor * o.DemandByOrganisation[organisation]
	}
	return demand, capped
}

func (pl *Planner) planPool(now time.Time, s Settings, pool Pool, o Observation, factors map[string]float64) Plan {
	demand, capped := payableDemand(o, factors)
	plan := Plan{Model: pool.Model, Demand: demand, Capped: capped, Manual: len(pool.Manual) > 0}
	state := pl.state(now, pool, o)
	perServer := slots(pool, o) * pool.TargetUtilisation
	need := int(math.Ceil(demand / perServer))
	low := int(math.Ceil(demand / (perServer * scaleDownMargin)))
	state.observe(now, hold(pool), low)
	if len(capped) == 0 {
		need = max(need, state.attainmentNeed(now, pool, o, need))
	}
	state.adjust(now, pool, need)
	plan.Holding = state.level > low
	plan.Need = state.level
	if b := broadcastNeed(now, s, pool); b > plan.Need {
		plan.Need = b
		plan.Broadcast = true
	}
	plan.Wanted = distribute(pool, o, plan.Need)
	plan.CostPerHour = cost(plan.Wanted, o)
	for _, z := range o.Zones {
		if z.NoSupply {
			plan.ZonesOut = append(plan.ZonesOut, z.Zone)
		}
	}
	return plan
}

func hold(p Pool) time.Duration { return time.Duration(p.ScaleDownHoldS) * time.Second }

func startTime(p Pool) time.Duration { return time.Duration(p.StartTimeS) * time.Second }

// state returns what is remembered of a pool; a new pool keeps the servers that it has.
func (pl *Planner) state(now time.Time, pool Pool, o Observation) *poolState {
	if st, ok := pl.pools[pool.Model]; ok {
		return st
	}
	st := &poolState{since: now, level: carried(pool, o)}
	pl.pools[pool.Model] = st
	return st
}

// carried returns the need that the existing servers carry, spare ones for the loss of a zone left out.
func carried(pool Pool, o Observation) int {
	total := 0
	for _, z := range o.Zones {
		total += z.Servers
	}
	if pool.SurviveZoneLoss && len(pool.Zones) > 1 {
		return total * (len(pool.Zones) - 1) / len(pool.Zones)
	}
	return total
}

// observe adds a sample and forgets those older than the hold.
func (st *poolState) observe(now time.Time, hold time.Duration, need int) {
	st.samples = slices.DeleteFunc(st.samples, func(s sample) bool { return now.Sub(s.at) > hold })
	for len(st.samples) > 0 && st.samples[len(st.samples)-1].need <= need {
		st.samples = st.samples[:len(st.samples)-1]
	}
	st.samples = append(st.samples, sample{at: now, need: need})
}

// attainmentNeed raises the need once per start time while attainment is below its target.
func (st *poolState) attainmentNeed(now time.Time, pool Pool, o Observation, need int) int {
	if need == 0 || o.Attainment < 0 || o.Attainment >= pool.TargetAttainment {
		return 0
	}
	if !st.raisedAt.IsZero() && now.Sub(st.raisedAt) < startTime(pool) {
		return st.level
	}
	st.raisedAt = now
	raised := max(need, st.level, carried(pool, o))
	raised += int(math.Ceil(float64(raised) * attainmentStep))
	return min(raised, attainmentLimit*need)
}

// adjust raises the level at once, and lowers it by steps to the highest need of the hold.
func (st *poolState) adjust(now time.Time, pool Pool, need int) {
	if need > st.level {
		st.level = need
		return
	}
	watched := now.Sub(st.since) >= hold(pool)
	rested := now.Sub(st.loweredAt) >= startTime(pool)
	raised := !st.raisedAt.IsZero() && now.Sub(st.raisedAt) < hold(pool)
	highest := st.samples[0].need
	if !watched || !rested || raised || highest >= st.level {
		return
	}
	step := max(1, int(float64(st.level)*scaleDownStep))
	st.level = max(highest, st.level-step)
	st.loweredAt = now
}

// broadcastNeed returns the servers that announced bursts ask for now; orders go out one start time ahead.
func broadcastNeed(now time.Time, s Settings, pool Pool) int {
	need := 0
	for _, b := range s.Broadcasts {
		begin := time.UnixMilli(b.BeginMS).Add(-startTime(pool))
		if b.Model == pool.Model && !now.Before(begin) && now.Before(time.UnixMilli(b.EndMS)) {
			need = max(need, b.Servers)
		}
	}
	return need
}

// cost returns the price per hour of the wanted servers.
func cost(wanted map[string]int, o Observation) float64 {
	sum := 0.0
	for _, z := range o.Zones {
		sum += float64(wanted[z.Zone]) * z.PricePerHour
	}
	return sum
}
