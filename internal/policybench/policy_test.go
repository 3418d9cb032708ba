package policybench

import (
	"reflect"
	"sync"
	"testing"
	"time"
)

// The aims of the tiered policy under a burst of three times the capacity.
const (
	leastAttainment = 0.99
	mostWasted      = 0.02
	leastWorstShare = 0.9
)

// short returns a scenario whose burst is short enough for a test.
func short(s Scenario) Scenario {
	s.Warmup, s.Burst = 4*time.Second, 8*time.Second
	return s
}

// reports are the runs of the tiered policy that the tests of its aims share.
var reports = sync.OnceValue(func() []Report {
	var out []Report
	for _, scenario := range []Scenario{Camurca, Fjordslag} {
		out = append(out, Run(short(scenario), AllPolicies[0]))
	}
	return out
})

// testAim checks one aim in both scenarios. BenchmarkPolicy measures the aims over longer bursts.
func testAim(t *testing.T, check func(t *testing.T, r *Report)) {
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
	testAim(t, func(t *testing.T, r *Report) {
		for tier := range 2 {
			if got := r.TierAttainment(tier); got < leastAttainment {
				t.Errorf("attainment of tier %d is %.4f, want %.2f", tier, got, leastAttainment)
			}
		}
	})
}

func TestFairnessAim(t *testing.T) {
	testAim(t, func(t *testing.T, r *Report) {
		for _, c := range r.Classes {
			if got := c.WorstShare(); got < leastWorstShare {
				t.Errorf("worst share of %s is %.3f, want %.2f", c.Class, got, leastWorstShare)
			}
		}
	})
}

func TestWasteAim(t *testing.T) {
	testAim(t, func(t *testing.T, r *Report) {
		if got := r.WastedShare(); got > mostWasted {
			t.Errorf("wasted %.4f, want at most %.2f", got, mostWasted)
		}
	})
}

func TestEveryClassStarts(t *testing.T) {
	testAim(t, func(t *testing.T, r *Report) {
		if r.LeastStarts() == 0 {
			t.Error("a class had no start")
		}
	})
}

// TestBaselinesAreWorse checks that the measurement tells the policies apart.
func TestBaselinesAreWorse(t *testing.T) {
	scenario := short(Camurca)
	scenario.Burst = 4 * time.Second
	tiered := Run(scenario, AllPolicies[0])
	for _, policies := range AllPolicies[1:] {
		baseline := Run(scenario, policies)
		if got, than := baseline.TierAttainment(0), tiered.TierAttainment(0); got >= than {
			t.Errorf("%s: attainment of tier 0 is %.3f, tiered %.3f", policies.Name, got, than)
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	scenario := short(Fjordslag)
	scenario.Warmup, scenario.Burst = 2*time.Second, 2*time.Second
	a, b := Run(scenario, AllPolicies[0]), Run(scenario, AllPolicies[0])
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ:\n%s\n%s", a.String(), b.String())
	}
}

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
