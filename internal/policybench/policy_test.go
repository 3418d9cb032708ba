package policybench

import (
	"testing"
)

// BenchmarkPolicy runs every choice of policies under both fleets.
func BenchmarkPolicy(b *testing.B) {
	for _, scenario := range []Scenario{Camurca, Fjordslag} {
		for _, policies := range AllPolicies {
			b.Run(scenario.Name+"/"+policies.Name, func(b *testing.B) {
				var r Report
				for range b.N {
					r = Run(scenario, policies)
				}
				b.ReportMetric(r.TierAttainment(0), "attainment0")
				b.ReportMetric(r.TierAttainment(1), "attainment1")
				b.ReportMetric(r.Goodput(), "goodtokens/s")
				b.ReportMetric(r.WastedShare(), "wasted")
				b.ReportMetric(r.WorstShare(), "worstshare")
				b.ReportMetric(float64(r.LeastStarts()), "leaststarts")
				b.Log("\n" + r.String())
			})
		}
	}
}
