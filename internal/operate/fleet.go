package operate

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/platformclient"
)

// maxUnregisteredStartTimes is the number of start times within which a server's agent must register; later the server
// counts as broken.
const maxUnregisteredStartTimes = 3

// planFleet observes the fleet, computes plans for all pools and stores them for the status.
func (c *tenure) planFleet(settings fleet.Settings, open []duty.Order) ([]fleet.Plan, []fleet.Observation) {
	observed := c.observe(settings, open)
	plans := c.planner.Plan(time.Now(), settings, observed)
	c.recordFleet(plans, observed, open)
	c.op.mu.Lock()
	defer c.op.mu.Unlock()
	c.op.status.plans = plans
	c.op.status.inventory = c.inventory
	return plans, observed
}

// observe returns the observed state of each pool.
func (c *tenure) observe(settings fleet.Settings, open []duty.Order) []fleet.Observation {
	observed := make([]fleet.Observation, 0, len(settings.Pools))
	for _, pool := range settings.Pools {
		o := fleet.Observation{
			Model: pool.Model, Attainment: c.attainment(pool),
			DemandByOrganisation: c.demand(pool.Model),
			SlotsPerServer:       c.meanSlots(pool.Model),
		}
		for _, zone := range pool.Zones {
			o.Zones = append(o.Zones, c.observeZone(pool, zone, open))
		}
		observed = append(observed, o)
	}
	return observed
}

func (c *tenure) observeZone(pool fleet.Pool, zone string, open []duty.Order) fleet.ZoneState {
	state := fleet.ZoneState{Zone: zone, NoSupply: time.Now().Before(c.noSupplyUntil[poolZone{pool.Model, zone}])}
	for _, z := range c.inventory.Zones {
		if z.Name == zone {
			state.PricePerHour = z.PricePerHour
		}
	}
	if ceiling, ok := c.op.cfg.ZoneCeiling(zone); ok && state.PricePerHour > ceiling {
		state.NoSupply = true // a price above the ceiling counts as no supply
	}
	for _, server := range c.inventory.Servers {
		if server.Model == pool.Model && server.Zone == zone && !isStopping(open, server.ID) && !c.isBroken(pool, server.ID) {
			state.Servers++
		}
	}
	for _, order := range slices.Concat(open, c.uncertainIntents) {
		if order.Kind == duty.StartServer && order.Model == pool.Model && order.Zone == zone {
			state.Servers++
		}
	}
	return state
}

func isStopping(open []duty.Order, server string) bool {
	return slices.ContainsFunc(open, func(o duty.Order) bool { return o.Kind == duty.StopServer && o.Server == server })
}

// isBroken reports whether the agent of a server has been missing from the registry for too long.
func (c *tenure) isBroken(pool fleet.Pool, server string) bool {
	start := time.Duration(cmp.Or(pool.StartTimeS, fleet.DefaultStartTimeS)) * time.Second
	return time.Since(c.lastSeen[server]) > maxUnregisteredStartTimes*start
}

// demand distributes the running and waiting requests of a model over the organisations, by their shares of its recent
// usage.
func (c *tenure) demand(model string) map[string]float64 {
	requests := 0.0
	for _, server := range c.registry {
		if server.Model == model {
			requests += float64(server.Running + server.Waiting)
		}
	}
	shares := c.op.usage.shares(model)
	if len(shares) == 0 {
		return map[string]float64{"": requests}
	}
	for organisation := range shares {
		shares[organisation] *= requests
	}
	return shares
}

// attainment returns the fraction of a pool's servers whose expected time to first token is within the target, or -1 if
// no server reports one or the pool has no target.
func (c *tenure) attainment(pool fleet.Pool) float64 {
	within, n := 0.0, 0.0
	for _, server := range c.registry {
		if server.Model != pool.Model || server.FirstTokenUs <= 0 {
			continue
		}
		n++
		if time.Duration(server.FirstTokenUs)*time.Microsecond <= time.Duration(pool.FirstTokenTargetMS*float64(time.Millisecond)) {
			within++
		}
	}
	if n == 0 || pool.FirstTokenTargetMS == 0 {
		return -1
	}
	return within / n
}

// meanSlots returns the mean number of slots per server of a model, or 0 if no server has reported any.
func (c *tenure) meanSlots(model string) float64 {
	sum, n := 0.0, 0.0
	for _, server := range c.registry {
		if server.Model == model && server.Slots > 0 {
			sum += float64(server.Slots)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// intendNew commits the orders that bring the fleet closer to its plans.
func (c *tenure) intendNew(ctx context.Context, settings fleet.Settings, plans []fleet.Plan, observed []fleet.Observation) error {
	for i, plan := range plans {
		o := observed[slices.IndexFunc(observed, func(o fleet.Observation) bool { return o.Model == plan.Model })]
		pool := settings.Pools[slices.IndexFunc(settings.Pools, func(p fleet.Pool) bool { return p.Model == plan.Model })]
		started, err := c.intendStarts(ctx, plans[i], o)
		if err != nil {
			return err
		}
		if err := c.intendStops(ctx, pool, plan, o, started); err != nil {
			return err
		}
	}
	return nil
}

func (c *tenure) intendStarts(ctx context.Context, plan fleet.Plan, o fleet.Observation) (started int, err error) {
	for _, zone := range o.Zones {
		if zone.NoSupply {
			continue
		}
		for n := zone.Servers; n < plan.Wanted[zone.Zone]; n++ {
			order := duty.Order{Kind: duty.StartServer, Model: plan.Model, Zone: zone.Zone}
			if err := c.intend(ctx, order); err != nil {
				return started, err
			}
			started++
		}
	}
	return started, nil
}

// intendStops commits orders to stop broken servers, and surplus ones once no server of the pool is starting, so that
// replacements serve before the servers that they replace are stopped.
func (c *tenure) intendStops(ctx context.Context, pool fleet.Pool, plan fleet.Plan, o fleet.Observation, started int) error {
	_, open := c.fleetState()
	starting := started > 0 || slices.ContainsFunc(open, func(d duty.Order) bool {
		return d.Kind == duty.StartServer && d.Model == plan.Model
	})
	for _, zone := range o.Zones {
		surplus := zone.Servers - plan.Wanted[zone.Zone]
		if starting || c.hasStartingServer(pool) {
			surplus = 0
		}
		for _, server := range c.stopCandidates(pool, zone.Zone, open) {
			broken := c.isBroken(pool, server.ID)
			if !broken && surplus <= 0 {
				continue
			}
			if !broken {
				surplus--
			}
			order := duty.Order{Kind: duty.StopServer, Model: plan.Model, Zone: zone.Zone, Server: server.ID}
			if err := c.intend(ctx, order); err != nil {
				return err
			}
		}
	}
	return nil
}

// hasStartingServer reports whether the pool has a server whose agent has not registered yet and that is not broken.
func (c *tenure) hasStartingServer(pool fleet.Pool) bool {
	return slices.ContainsFunc(c.inventory.Servers, func(s platformclient.Server) bool {
		return s.Model == pool.Model && c.registry[s.ID] == nil && !c.isBroken(pool, s.ID)
	})
}

// stopCandidates returns the servers of a zone that have no stop order, those with the fewest active requests first.
func (c *tenure) stopCandidates(pool fleet.Pool, zone string, open []duty.Order) []platformclient.Server {
	servers := slices.DeleteFunc(slices.Clone(c.inventory.Servers), func(s platformclient.Server) bool {
		return s.Model != pool.Model || s.Zone != zone || isStopping(open, s.ID)
	})
	slices.SortStableFunc(servers, func(a, b platformclient.Server) int {
		return cmp.Or(cmp.Compare(c.activeRequests(a.ID), c.activeRequests(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return servers
}

func (c *tenure) activeRequests(id string) uint32 {
	server := c.registry[id]
	if server == nil {
		return 0
	}
	return server.Running + server.Waiting
}
