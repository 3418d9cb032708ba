// Package fleet plans the number of backend servers per model and availability zone.
//
// A Planner takes observations with the current time and returns the wanted counts. It has no side effects, reads no clock and is
// not safe for concurrent use.
package fleet

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Default settings of a pool.
const (
	DefaultTargetUtilisation = 0.7
	DefaultScaleDownHoldS    = 600
	DefaultStartTimeS        = 120
	DefaultAttainment        = 0.95
)

// Settings are the fleet settings of the operators. Fields that end in S are in seconds, those in MS in milliseconds.
type Settings struct {
	Paused     bool               `json:"paused,omitempty"`  // no orders are sent; outcomes are still read from the inventory
	DryRun     bool               `json:"dry_run,omitempty"` // plans are computed and shown, but no orders are sent
	Pools      []Pool             `json:"pools,omitempty"`
	Broadcasts []Broadcast        `json:"broadcasts,omitempty"`
	Ceilings   map[string]float64 `json:"ceilings,omitempty"` // maximum price per hour by organisation
}

// Pool holds the settings for the backend servers of one model.
type Pool struct {
	Model              string         `json:"model"`
	Zones              []string       `json:"zones"`
	MinPerZone         int            `json:"min_per_zone,omitempty"`
	Max                int            `json:"max,omitempty"`                   // over all zones; 0: no limit
	SurviveZoneLoss    bool           `json:"survive_zone_loss,omitempty"`     // the remaining zones must cover the need if one is lost
	TargetUtilisation  float64        `json:"target_utilisation,omitempty"`    // share of the slots in use, 0..1
	FirstTokenTargetMS float64        `json:"first_token_target_ms,omitempty"` // bound on a server's expected time to the first token; 0: none
	TargetAttainment   float64        `json:"target_attainment,omitempty"`     // share of the servers that meet the target, 0..1
	ScaleDownHoldS     int            `json:"scale_down_hold_s,omitempty"`     // time that the need must be lower before scaling down
	StartTimeS         int            `json:"start_time_s,omitempty"`          // time from an order to a ready server
	SlotsPerServer     int            `json:"slots_per_server,omitempty"`      // assumed until a server reports its slots
	Manual             map[string]int `json:"manual,omitempty"`                // fixed counts by zone, which override the plan
}

// Broadcast announces a burst of requests, for which servers are started in advance.
type Broadcast struct {
	Model   string `json:"model"`
	BeginMS int64  `json:"begin_ms"` // Unix time in milliseconds
	EndMS   int64  `json:"end_ms"`
	Servers int    `json:"servers"` // minimum over all zones
}

// Validate returns an error for the first invalid value in the settings.
func (s Settings) Validate() error {
	seen := make(map[string]bool)
	for _, p := range s.Pools {
		if seen[p.Model] {
			return errors.NotValidf("pools: second pool of model %q", p.Model)
		}
		seen[p.Model] = true
		if err := p.validate(); err != nil {
			return errors.Annotatef(err, "pool %q", p.Model)
		}
	}
	for _, b := range s.Broadcasts {
		if !seen[b.Model] {
			return errors.NotValidf("broadcasts: model %q without a pool", b.Model)
		}
		if b.EndMS <= b.BeginMS {
			return errors.NotValidf("broadcasts: end_ms %d before begin_ms %d", b.EndMS, b.BeginMS)
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(s.Ceilings)) {
		if s.Ceilings[organisation] < 0 {
			return errors.NotValidf("ceilings: negative price of %q", organisation)
		}
	}
	return nil
}

func (p Pool) validate() error {
	switch {
	case p.Model == "":
		return errors.NotValidf("empty model")
	case len(p.Zones) == 0:
		return errors.NotValidf("empty zones")
	case p.MinPerZone < 0 || p.Max < 0:
		return errors.NotValidf("negative min_per_zone or max")
	case p.Max > 0 && p.Max < p.MinPerZone*len(p.Zones):
		return errors.NotValidf("max %d below min_per_zone of all zones", p.Max)
	case p.TargetUtilisation < 0 || p.TargetUtilisation > 1:
		return errors.NotValidf("target_utilisation %v", p.TargetUtilisation)
	case p.TargetAttainment < 0 || p.TargetAttainment > 1:
		return errors.NotValidf("target_attainment %v", p.TargetAttainment)
	case p.FirstTokenTargetMS < 0:
		return errors.NotValidf("first_token_target_ms %v", p.FirstTokenTargetMS)
	case p.ScaleDownHoldS < 0 || p.StartTimeS < 0 || p.SlotsPerServer < 0:
		return errors.NotValidf("negative duration or slots")
	}
	for _, zone := range slices.Sorted(maps.Keys(p.Manual)) {
		if !slices.Contains(p.Zones, zone) || p.Manual[zone] < 0 {
			return errors.NotValidf("manual count of zone %q", zone)
		}
	}
	return nil
}
