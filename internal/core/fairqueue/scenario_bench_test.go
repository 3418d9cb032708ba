package fairqueue

import (
	"testing"
	"time"
)

// benchSeeds is the number of seeds of each setting of BenchmarkScenarios.
const benchSeeds = 8

// BenchmarkScenarios measures how the shares of calls on time, and the credit of all calls (1 on time, 0.3 late), depend on the servers'
// queues, the number of gateways, the burst and the target, without the queue (before) and with it (after).
func BenchmarkScenarios(b *testing.B) {
	cases := []struct {
		name   string
		change func(*simConfig)
	}{
		{"first deployment", func(*simConfig) {}},
		{"servers queue 3", func(c *simConfig) { c.queue = 3 }},
		{"servers queue 12", func(c *simConfig) { c.queue = 12 }},
		{"8 gateways", func(c *simConfig) { c.gateways = 8 }},
		{"24 gateways", func(c *simConfig) { c.gateways = 24 }},
		{"31 gateways", func(c *simConfig) { c.gateways = 31 }},
		{"burst 5", func(c *simConfig) { c.loads = oneBig(110, 5) }},
		{"burst 7", func(c *simConfig) { c.loads = oneBig(110, 7) }},
		{"burst 8", func(c *simConfig) { c.loads = oneBig(110, 8) }},
		{"high load burst 1.5", func(c *simConfig) { c.loads = oneBig(300, 1.5) }},
		{"target 4 times the work", func(c *simConfig) {
			c.work, c.target, c.deadline, c.loads = 30*time.Millisecond, 120*time.Millisecond, time.Second, oneBig(220, 12)
		}},
		{"target 2 times the work", func(c *simConfig) { c.target, c.deadline = 120*time.Millisecond, time.Second }},
	}
	for _, bc := range cases {
		b.Run(bc.name, func(b *testing.B) {
			for b.Loop() {
				for _, fair := range []bool{false, true} {
					var others, big simTotals
					wrong := 0
					for seed := range uint64(benchSeeds) {
						c := first(oneBig(110, 12))
						bc.change(&c)
						c.fair, c.seed = fair, 100+seed
						s := c.run()
						others.add(s.totals(simBurstFrom, simBurstTo, isOther))
						big.add(s.totals(simBurstFrom, simBurstTo, isBig))
						wrong += s.wrongRefusals
					}
					all := others
					all.add(big)
					suffix := "/before"
					if fair {
						suffix = "/after"
						b.ReportMetric(float64(wrong), "wrong-refusals")
					}
					b.ReportMetric(others.share(others.onTime), "others"+suffix)
					b.ReportMetric(big.share(big.onTime), "big"+suffix)
					b.ReportMetric((float64(all.onTime)+0.3*float64(all.late))/float64(all.calls), "credit"+suffix)
				}
			}
		})
	}
}
