package main

import (
	"context"
	"fmt"

	"github.com/guavastack/guavastack/internal/loadgen"
	"github.com/guavastack/guavastack/internal/localcluster"
)

const (
	// batchSlowdown is the relative growth of a stand-in engine's token interval with each further request in its batch.
	batchSlowdown = 0.02
	outputTokens  = 60 // median output length
	organisations = 10
	// dominantShare is the share of the requests that come from the first organisation.
	dominantShare = 0.8
	// orderShare is the share of the requests that are orders.
	orderShare = 0.05
)

const settingsDocument = `{
  "defaults": {"deadline": "20s", "between_token_target": "37ms", "attempts": 3, "repeatable": true, "preemptible": true, "floor_share": 0.02},
  "classes": {
    "t0": {"tier": 0, "first_token_target": "700ms", "preemptible": false},
    "t1": {"tier": 1, "first_token_target": "1s"},
    "t2": {"tier": 2, "first_token_target": "2s"},
    "t3": {"tier": 3, "first_token_target": "4s"},
    "t4": {"tier": 4, "first_token_target": "8s"},
    "t5": {"tier": 5, "first_token_target": "15s"},
  },
  "organisations": {"o0": {}, "o1": {}, "o2": {}, "o3": {}, "o4": {}, "o5": {}, "o6": {}, "o7": {}, "o8": {}, "o9": {}},
  "routes": [{"prefix": "/services/orders", "service": "orders", "class": "t0"}],
}`

// classShares are the shares of the classes in the load, highest tier first. The load of tiers 0 and 1 alone is below the
// capacity.
var classShares = []float64{0.1, 0.15, 0.2, 0.2, 0.2, 0.15}

// firstTokenTargets are the first token targets in settingsDocument, in milliseconds.
var firstTokenTargets = []float64{700, 1000, 2000, 4000, 8000, 15000}

// scenario returns a load with a burst between two periods of low rate, from ten organisations of which one sends most of the
// requests. It creates an API key for each organisation.
func scenario(ctx context.Context, c *localcluster.Cluster, o options, f fleet) (loadgen.Scenario, error) {
	s := loadgen.Scenario{
		Name:      o.fleet,
		Seed:      o.seed,
		DurationS: o.duration.Seconds(),
		DrainS:    30,
		Model:     "m",
	}
	interval := o.interval.Seconds() * (1 + batchSlowdown*float64(o.slots-1))
	capacity := float64(f.engines*o.slots) / (outputTokens * interval) // requests a second
	s.Arrivals = loadgen.Arrivals{
		Kind:          loadgen.ArrivalsBurst,
		RatePerSecond: 0.3 * capacity,
		Burst:         loadgen.Burst{AtS: s.DurationS * 0.2, ForS: s.DurationS * 0.5, RatePerSecond: o.overload * capacity},
	}
	for _, name := range c.Names(localcluster.RoleEntry) {
		s.Entries = append(s.Entries, c.URL(name))
	}
	for tier, share := range classShares {
		s.Classes = append(s.Classes, loadgen.Class{
			Name: fmt.Sprintf("t%d", tier), Tier: tier, Share: share, Stream: true,
			FirstTokenTargetMS: firstTokenTargets[tier], BetweenTokenTargetMS: 37, DeadlineMS: 20_000,
			Output: loadgen.Lengths{Kind: loadgen.LengthsLognormal, Mean: outputTokens, Sigma: 0.5, Min: 5, Max: 300},
		})
	}
	for i := range organisations {
		name := fmt.Sprintf("o%d", i)
		key, err := c.CreateKey(ctx, name)
		if err != nil {
			return s, err
		}
		weight := (1 - dominantShare) / (organisations - 1)
		if i == 0 {
			weight = dominantShare
		}
		s.Organisations = append(s.Organisations, loadgen.Organisation{Name: name, Key: key.Secret, Weight: weight})
	}
	s.Orders = &loadgen.Orders{Share: orderShare, KeyedShare: 0.7, Resends: 5}
	for _, url := range c.ServiceURLs() {
		s.Orders.ArrivalURLs = append(s.Orders.ArrivalURLs, url+"/arrivals")
	}
	return s, nil
}
