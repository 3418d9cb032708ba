package policybench

import (
	"reflect"
	"sync"
	"testing"
	"time"
)

// Targets of the tiered policy under a burst of three times the capacity.
const (
	minAttainment  = 0.99
	maxWastedShare = 0.02
	minWorstShare  = 0.9
)

// shortened returns the scenario with a warm-up and a burst that are short enough for a test.
func shortened(s Scenario) Scenario {
	s.Warmup, s.Burst = 4*time.Second, 8*time.Second
	return s
}

// reports runs the tiered policy once for all tests of its targets.
var reports = sync.OnceValue(func() []Report {
	var out []Report
	for _, scenario := range []Scenario{Scenario12Plus4, Scenario18Plus3} {
		out = append(out, Run(shortened(scenario), AllPolicies[0]))
	}
	return out
})

// testTarget checks a target in both scenarios. BenchmarkPolicy measures the same figures over longer bursts.
func testTarget(t *testing.T, check func(t *testing.T, r *Report)) {
	for _, r := range reports() {
		t.Run(r.Scenario, func(t *testing.T) {
			check(t, &r)
			if t.Failed() {
				t.Log("\n" + r.String())
			}
		})
	}
}

func TestAttainmentAim(t *testing.T) {
	testTarget(t, func(t *testing.T, r *Report) {
		for tier := range 2 {
			if got := r.TierAttainment(tier); got < minAttainment {
				t.Errorf("attainment of tier %d: got %.4f, want at least %.2f", tier, got, minAttainment)
			}
		}
	})
}

func TestFairnessAim(t *testing.T) {
	testTarget(t, func(t *testing.T, r *Report) {
		for _, c := range r.Classes {
			if got := c.WorstShare(); got < minWorstShare {
				t.Errorf("worst share of %s: got %.3f, want at least %.2f", c.Class, got, minWorstShare)
			}
		}
	})
}

func TestWasteAim(t *testing.T) {
	testTarget(t, func(t *testing.T, r *Report) {
		if got := r.WastedShare(); got > maxWastedShare {
			t.Errorf("got wasted share %.4f, want at most %.2f", got, maxWastedShare)
		}
	})
}

func TestEveryClassStarts(t *testing.T) {
	testTarget(t, func(t *testing.T, r *Report) {
		if r.MinStarts() == 0 {
			t.Error("got a class without starts, want at least one start of every class")
		}
	})
}

// TestBaselinesAreWorse checks that the measurement distinguishes the policies.
func TestBaselinesAreWorse(t *testing.T) {
	scenario := shortened(Scenario12Plus4)
	scenario.Burst = 4 * time.Second
	tiered := Run(scenario, AllPolicies[0])
	for _, policies := range AllPolicies[1:] {
		baseline := Run(scenario, policies)
		if baselineAttainment, tieredAttainment := baseline.TierAttainment(0), tiered.TierAttainment(0); baselineAttainment >= tieredAttainment {
			t.Errorf("%s: got attainment %.3f of tier 0, want less than the %.3f of the tiered policy",
				policies.Name, baselineAttainment, tieredAttainment)
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	scenario := shortened(Scenario18Plus3)
	scenario.Warmup, scenario.Burst = 2*time.Second, 2*time.Second
	a, b := Run(scenario, AllPolicies[0]), Run(scenario, AllPolicies[0])
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same arguments differ:\n%s\n%s", a.String(), b.String())
	}
}

// BenchmarkPolicy runs all policies in both scenarios.
func BenchmarkPolicy(b *testing.B) {
	for _, scenario := range []Scenario{Scenario12Plus4, Scenario18Plus3} {
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
				b.ReportMetric(float64(r.MinStarts()), "leaststarts")
				b.Log(r.String())
			})
		}
	}
}
