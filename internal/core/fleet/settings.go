// Package fleet decides how many backend servers of each model are wanted in each availability zone.
//
// A Planner takes observations with the current time and returns wanted counts. It starts nothing itself, reads no
// clock and is not safe for concurrent use.
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

// Settings are the operators' settings of the fleet. Durations are in seconds.
type Settings struct {
	Paused     bool               `json:"paused,omitempty"`  // nothing is sent; outcomes are still learned from the inventory
	DryRun     bool               `json:"dry_run,omitempty"` // plans are made and shown, nothing is sent
	Pools      []Pool             `json:"pools,omitempty"`
	Broadcasts []Broadcast        `json:"broadcasts,omitempty"`
	Ceilings   map[string]float64 `json:"ceilings,omitempty"` // price per hour that each organisation pays at most
}

// Pool is the set of backend servers that serve one model.
type Pool struct {
	Model              string         `json:"model"`
	Zones              []string       `json:"zones"`
	MinPerZone         int            `json:"min_per_zone,omitempty"`
	Max                int            `json:"max,omitempty"`                   // of all zones; 0: no bound
	SurviveZoneLoss    bool           `json:"survive_zone_loss,omitempty"`     // the other zones can carry the need of a lost one
	TargetUtilisation  float64        `json:"target_utilisation,omitempty"`    // of slots, 0..1
	FirstTokenTargetMS float64        `json:"first_token_target_ms,omitempty"` // a server expecting more misses its target; 0: not judged
	TargetAttainment   float64        `json:"target_attainment,omitempty"`     // part of the servers within it, 0..1
	ScaleDownHoldS     int            `json:"scale_down_hold_s,omitempty"`     // the need must have been lower for so long
	StartTimeS         int            `json:"start_time_s,omitempty"`          // from the order to a ready server
	SlotsPerServer     int            `json:"slots_per_server,omitempty"`      // while no server has reported its own
	Manual             map[string]int `json:"manual,omitempty"`                // counts by zone, in place of the plan
}

// Broadcast announces a burst. Servers are ready when it begins.
type Broadcast struct {
	Model   string `json:"model"`
	BeginMS int64  `json:"begin_ms"` // wall clock, milliseconds since 1970
	EndMS   int64  `json:"end_ms"`
	Servers int    `json:"servers"` // wanted in all zones at least
}

// Validate reports the first contradiction in the settings.
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
