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
	// scaleDownMargin lowers the target utilisation for scaling down, as hysteresis: a need close to a whole number of servers
	// must not start and stop a server repeatedly.
	scaleDownMargin = 0.9
	// scaleDownStep is the maximum share of a pool's servers that is removed at once.
	scaleDownStep = 0.25
	// attainmentStep is the share of a pool's servers that is added per start time while attainment is below its target.
	attainmentStep = 0.25
	// attainmentLimit bounds the servers added for low attainment, as a multiple of the need by demand: more servers don't help
	// if each of them is too slow.
	attainmentLimit = 2
)

// ZoneState is the state of a pool in one availability zone.
type ZoneState struct {
	Zone         string
	Servers      int     // running or ordered, without those that are leaving
	NoSupply     bool    // the platform recently refused an order in this zone
	PricePerHour float64 // per server
}

// Observation is the observed state of a pool.
type Observation struct {
	Model                string
	SlotsPerServer       float64            // 0: not reported yet
	DemandByOrganisation map[string]float64 // slots in use plus slots that requests wait for
	Attainment           float64            // share of the servers that meet their first-token target, 0..1; negative: unknown
	Zones                []ZoneState
}

// Plan is the decision for one pool.
type Plan struct {
	Model              string         `json:"model"`
	Demand             float64        `json:"demand_slots"`        // demand that the pool is sized for
	Need               int            `json:"need_servers"`        // without spare servers for the loss of a zone
	Wanted             map[string]int `json:"wanted_by_zone"`      // number of servers
	Capped             []string       `json:"capped,omitempty"`    // organisations whose demand is limited by a price ceiling
	CostPerHour        float64        `json:"cost_per_hour"`       // of the wanted servers
	Manual             bool           `json:"manual,omitempty"`    // at least one zone has a manual count
	Broadcast          bool           `json:"broadcast,omitempty"` // the need is set by an announced burst
	Holding            bool           `json:"holding,omitempty"`   // fewer servers would suffice, but scaling down is delayed
	ZonesWithoutSupply []string       `json:"without_supply,omitempty"`
}

// Total returns the number of wanted servers over all zones.
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

// poolState is the history of a pool.
type poolState struct {
	firstSeen time.Time // time of the first observation
	sizedNeed int       // number of servers that the pool is sized for
	samples   []sample  // of the last scale-down hold, with decreasing needs
	loweredAt time.Time // last decrease of the need
	raisedAt  time.Time // last increase for low attainment
}

// Planner plans all pools of a fleet. A new planner doesn't scale a pool down before it has observed it for one scale-down hold.
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

// withDefaults returns the pool with defaults for the settings that are not set.
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

// slots returns the number of slots per server of the pool.
func slots(p Pool, o Observation) float64 {
	if o.SlotsPerServer > 0 {
		return o.SlotsPerServer
	}
	return float64(max(1, p.SlotsPerServer))
}

// meanPrice returns the mean price per server and hour over the zones.
func meanPrice(o Observation) float64 {
	sum := 0.0
	for _, z := range o.Zones {
		sum += z.PricePerHour
	}
	if len(o.Zones) == 0 {
		return 0
	}
	return sum / float64(len(o.Zones))
}

// ceilingFactors returns for each organisation above its price ceiling the fraction of its demand that the ceiling covers. The
// demand of an organisation also counts for its ancestors in the organisation tree.
func ceilingFactors(s Settings, observed []Observation) map[string]float64 {
	cost := make(map[string]float64)
	for _, pool := range s.Pools {
		pool = withDefaults(pool)
		for _, o := range observed {
			if o.Model != pool.Model {
				continue
			}
			perSlot := meanPrice(o) / (slots(pool, o) * pool.TargetUtilisation)
			for _, organisation := range slices.Sorted(maps.Keys(o.DemandByOrganisation)) {
				for owner := range withAncestors(organisation) {
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

// withAncestors yields the path of an organisation and the paths of its ancestors.
func withAncestors(organisation string) iter.Seq[string] {
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

// cappedDemand returns the total demand within the price ceilings, and the organisations that are limited by one.
func cappedDemand(o Observation, factors map[string]float64) (demand float64, capped []string) {
	for _, organisation := range slices.Sorted(maps.Keys(o.DemandByOrganisation)) {
		factor := 1.0
		for owner := range withAncestors(organisation) {
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
	demand, capped := cappedDemand(o, factors)
	plan := Plan{Model: pool.Model, Demand: demand, Capped: capped, Manual: len(pool.Manual) > 0}
	state := pl.state(now, pool, o)
	perServer := slots(pool, o) * pool.TargetUtilisation
	need := int(math.Ceil(demand / perServer))
	low := int(math.Ceil(demand / (perServer * scaleDownMargin)))
	state.observe(now, scaleDownHold(pool), low)
	if len(capped) == 0 {
		need = max(need, state.attainmentNeed(now, pool, o, need))
	}
	state.adjust(now, pool, need)
	plan.Holding = state.sizedNeed > low
	plan.Need = state.sizedNeed
	if b := broadcastNeed(now, s, pool); b > plan.Need {
		plan.Need = b
		plan.Broadcast = true
	}
	plan.Wanted = distribute(pool, o, plan.Need)
	plan.CostPerHour = cost(plan.Wanted, o)
	for _, z := range o.Zones {
		if z.NoSupply {
			plan.ZonesWithoutSupply = append(plan.ZonesWithoutSupply, z.Zone)
		}
	}
	return plan
}

func scaleDownHold(p Pool) time.Duration { return time.Duration(p.ScaleDownHoldS) * time.Second }

func startTime(p Pool) time.Duration { return time.Duration(p.StartTimeS) * time.Second }

// state returns the state of a pool. The need of a new pool is initialised to keep its existing servers.
func (pl *Planner) state(now time.Time, pool Pool, o Observation) *poolState {
	if st, ok := pl.pools[pool.Model]; ok {
		return st
	}
	st := &poolState{firstSeen: now, sizedNeed: needCovered(pool, o)}
	pl.pools[pool.Model] = st
	return st
}

// needCovered returns the need that the existing servers cover, not counting spare servers for the loss of a zone.
func needCovered(pool Pool, o Observation) int {
	total := 0
	for _, z := range o.Zones {
		total += z.Servers
	}
	if pool.SurviveZoneLoss && len(pool.Zones) > 1 {
		return total * (len(pool.Zones) - 1) / len(pool.Zones)
	}
	return total
}

// observe adds a sample and removes those older than the hold. Samples with a need not above the new one are removed too, so that
// the first sample always has the highest need.
func (st *poolState) observe(now time.Time, hold time.Duration, need int) {
	st.samples = slices.DeleteFunc(st.samples, func(s sample) bool { return now.Sub(s.at) > hold })
	for len(st.samples) > 0 && st.samples[len(st.samples)-1].need <= need {
		st.samples = st.samples[:len(st.samples)-1]
	}
	st.samples = append(st.samples, sample{at: now, need: need})
}

// attainmentNeed returns the need raised for low attainment, or zero if attainment is unknown or meets its target. The need is
// raised at most once per start time.
func (st *poolState) attainmentNeed(now time.Time, pool Pool, o Observation, need int) int {
	if need == 0 || o.Attainment < 0 || o.Attainment >= pool.TargetAttainment {
		return 0
	}
	if !st.raisedAt.IsZero() && now.Sub(st.raisedAt) < startTime(pool) {
		return st.sizedNeed
	}
	st.raisedAt = now
	raised := max(need, st.sizedNeed, needCovered(pool, o))
	raised += int(math.Ceil(float64(raised) * attainmentStep))
	return min(raised, attainmentLimit*need)
}

// adjust raises the pool's need immediately, and lowers it in steps towards the highest need of the hold.
func (st *poolState) adjust(now time.Time, pool Pool, need int) {
	if need > st.sizedNeed {
		st.sizedNeed = need
		return
	}
	holdElapsed := now.Sub(st.firstSeen) >= scaleDownHold(pool)
	cooledDown := now.Sub(st.loweredAt) >= startTime(pool)
	recentlyRaised := !st.raisedAt.IsZero() && now.Sub(st.raisedAt) < scaleDownHold(pool)
	highest := st.samples[0].need
	if !holdElapsed || !cooledDown || recentlyRaised || highest >= st.sizedNeed {
		return
	}
	step := max(1, int(float64(st.sizedNeed)*scaleDownStep))
	st.sizedNeed = max(highest, st.sizedNeed-step)
	st.loweredAt = now
}

// broadcastNeed returns the number of servers for announced bursts, from one start time before each of them.
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

// cost returns the total price per hour of the wanted servers.
func cost(wanted map[string]int, o Observation) float64 {
	sum := 0.0
	for _, z := range o.Zones {
		sum += float64(wanted[z.Zone]) * z.PricePerHour
	}
	return sum
}
