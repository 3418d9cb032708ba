package operate

import (
	"time"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/core/duty"
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/telemetry"
)

// Names of the metrics. Gauges of the fleet are current in the leading member only.
const (
	meterLeading     = "leading"
	meterCost        = "fleet_cost_per_hour_milli" // thousandths of the currency
	meterServers     = "fleet_servers"
	meterWanted      = "fleet_servers_wanted"
	meterOpenOrders  = "fleet_orders_open"
	meterOrders      = "fleet_orders_settled"
	meterUnreported  = "usage_windows_unreported"
	meterReportDelay = "usage_report_delay"
)

// recordPhase sets the gauge for whether this member leads.
func (o *Operator) recordPhase(p Phase) {
	value := int64(0)
	if p == Leading {
		value = 1
	}
	o.cfg.Metrics.Gauge(meterLeading).Update(value)
}

// recordFleet sets the gauges for the cost of the fleet, open orders, and running and wanted servers.
func (c *tenure) recordFleet(plans []fleet.Plan, observed []fleet.Observation, open []duty.Order) {
	m := c.op.cfg.Metrics
	cost := 0.0
	for _, server := range c.inventory.Servers {
		cost += server.PricePerHour
	}
	m.Gauge(meterCost).Update(int64(1000 * cost))
	m.Gauge(meterOpenOrders).Update(int64(len(open)))
	for _, o := range observed {
		for _, z := range o.Zones {
			m.Gauge(meterServers, zoneLabels(o.Model, z.Zone)...).Update(int64(z.Servers))
		}
	}
	for _, p := range plans {
		for zone, n := range p.Wanted {
			m.Gauge(meterWanted, zoneLabels(p.Model, zone)...).Update(int64(n))
		}
	}
}

func zoneLabels(model, zone string) []telemetry.Label {
	return []telemetry.Label{{Name: "model", Value: model}, {Name: "zone", Value: zone}}
}

// countSettledOrder counts a settled order by kind and status.
func (o *Operator) countSettledOrder(kind duty.Kind, status duty.Status) {
	o.cfg.Metrics.Counter(meterOrders,
		telemetry.Label{Name: "kind", Value: string(kind)}, telemetry.Label{Name: "status", Value: string(status)}).Inc(1)
}

// recordUnreported sets the gauge for closed windows that the platform has not confirmed.
func (c *tenure) recordUnreported() {
	unreported := 0
	c.op.cfg.Group.View(func() { unreported = c.op.cfg.Billing.Unreported() })
	c.op.cfg.Metrics.Gauge(meterUnreported).Update(int64(unreported))
}

// recordReportDelay observes the time from the closing of a window to the platform's response.
func (o *Operator) recordReportDelay(w billing.Window, status billing.Status) {
	o.cfg.Metrics.Observe(meterReportDelay, time.Since(time.UnixMilli(w.ClosedMS)),
		telemetry.Label{Name: "status", Value: string(status)})
}
