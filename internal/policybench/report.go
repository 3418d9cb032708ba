package policybench

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// ClassReport is what became of the requests of one class that arrived in the burst.
type ClassReport struct {
	Class     string
	Tier      int
	Offered   int
	Starts    int
	Completed int // whole and before the deadline
	Attained  int // completed, and both latency targets met

	LateFirst   int // completed, first token too late
	SlowBetween int // completed, first token in time, too long between tokens

	windows []map[string]*orgTokens // by arrival
}

// orgTokens counts the tokens of one organisation in one class and window.
type orgTokens struct{ offered, served float64 }

// fairWindow is the time over which fair shares are reckoned: capacity varies with the stragglers, and a request that
// was not served in its time cannot be served later.
const fairWindow = 30 * time.Second

// Report is the result of a run.
type Report struct {
	Scenario    string
	Policies    string
	Classes     []*ClassReport
	Computed    int // tokens, prompt and output
	Wasted      int // tokens of answers that nobody got in time
	Good        int // tokens of attained answers
	Preemptions int
	Measured    time.Duration
	byClass     map[string]*ClassReport
}

func newReport(scenario Scenario, policies Policies) Report {
	r := Report{
		Scenario: scenario.Name, Policies: policies.Name, Measured: scenario.Burst, byClass: make(map[string]*ClassReport),
	}
	for _, classes := range [][]class{engineClasses, serviceClasses} {
		for _, c := range classes {
			cr := &ClassReport{Class: c.name, Tier: c.tier}
			r.Classes = append(r.Classes, cr)
			r.byClass[c.name] = cr
		}
	}
	return r
}

func (r *request) work() float64 { return float64(r.prompt + r.output) }

func (c *ClassReport) org(r *request) *orgTokens {
	w := int(r.arrived.Sub(epoch) / fairWindow)
	for len(c.windows) <= w {
		c.windows = append(c.windows, make(map[string]*orgTokens))
	}
	o := c.windows[w][r.organisation]
	if o == nil {
		o = &orgTokens{}
		c.windows[w][r.organisation] = o
	}
	return o
}

func (sim *simulation) offered(r *request) {
	if !r.measured {
		return
	}
	c := sim.report.byClass[r.class.name]
	c.Offered++
	c.org(r).offered += r.work()
}

func (sim *simulation) starts(r *request) {
	if r.measured && r.firstStart.IsZero() {
		sim.report.byClass[r.class.name].Starts++
	}
}

func (sim *simulation) lost(r *request) {
	sim.outstanding--
	sim.report.Wasted += r.computed
}

func (sim *simulation) completed(r *request) {
	sim.outstanding--
	if !r.measured {
		return
	}
	c := sim.report.byClass[r.class.name]
	c.Completed++
	c.org(r).served += r.work()
	switch {
	case !r.metFirstToken():
		c.LateFirst++
	case !r.metBetweenTokens():
		c.SlowBetween++
	default:
		c.Attained++
		sim.report.Good += r.prompt + r.output
	}
}

func (r *request) metFirstToken() bool {
	return r.class.firstToken == 0 || r.first.Sub(r.arrived) <= r.class.firstToken
}

func (r *request) metBetweenTokens() bool {
	if r.class.betweenTokens == 0 || r.tokens < 2 {
		return true
	}
	return r.last.Sub(r.first)/time.Duration(r.tokens-1) <= r.class.betweenTokens
}

// Attainment is the share of the offered requests whose targets were met.
func (c *ClassReport) Attainment() float64 { return ratio(float64(c.Attained), float64(c.Offered)) }

// WorstShare is what the worst-served organisation got, as a part of its fair share of what the class was served.
func (c *ClassReport) WorstShare() float64 {
	served := make(map[string]float64)
	fair := make(map[string]float64)
	for _, w := range c.windows {
		addFairShares(w, served, fair)
	}
	worst := 1.0
	for name, f := range fair {
		worst = math.Min(worst, ratio(served[name], f))
	}
	return worst
}

// addFairShares adds up what the organisations were served in a window, and their max-min fair shares of it.
func addFairShares(window map[string]*orgTokens, served, fair map[string]float64) {
	names := make([]string, 0, len(window))
	for name := range window {
		names = append(names, name)
	}
	sort.Strings(names)
	total := 0.0
	demand := make([]float64, len(names))
	for i, name := range names {
		total += window[name].served
		demand[i] = window[name].offered
	}
	level := waterLevel(demand, total)
	for i, name := range names {
		served[name] += window[name].served
		fair[name] += math.Min(demand[i], level)
	}
}

// waterLevel returns the max-min fair level: each demand gets at most the level, and together they get the total.
func waterLevel(demand []float64, total float64) float64 {
	sorted := append([]float64(nil), demand...)
	sort.Float64s(sorted)
	for i, d := range sorted {
		level := total / float64(len(sorted)-i)
		if d >= level {
			return level
		}
		total -= d
	}
	return math.Inf(1)
}

// TierAttainment is the share of a tier's offered requests whose targets were met, at the class where it is least.
func (r *Report) TierAttainment(tier int) float64 {
	least := 1.0
	for _, c := range r.Classes {
		if c.Tier == tier {
			least = math.Min(least, c.Attainment())
		}
	}
	return least
}

// WorstShare is the least of the classes' worst shares.
func (r *Report) WorstShare() float64 {
	worst := 1.0
	for _, c := range r.Classes {
		worst = math.Min(worst, c.WorstShare())
	}
	return worst
}

// LeastStarts is the least number of starts of a class.
func (r *Report) LeastStarts() int {
	least := math.MaxInt
	for _, c := range r.Classes {
		least = min(least, c.Starts)
	}
	return least
}

// WastedShare is the share of the computed tokens that nobody got in time.
func (r *Report) WastedShare() float64 { return ratio(float64(r.Wasted), float64(r.Computed)) }

// Goodput is the number of tokens of attained answers for each second of the burst.
func (r *Report) Goodput() float64 { return float64(r.Good) / r.Measured.Seconds() }

// String lists the report as a table.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: goodput %.0f tokens/s, wasted %.4f, preemptions %d\n",
		r.Scenario, r.Policies, r.Goodput(), r.WastedShare(), r.Preemptions)
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "  tier %d %-12s offered %6d starts %6d completed %6d late first %5d slow between %5d attainment %.4f worst share %.3f\n",
			c.Tier, c.Class, c.Offered, c.Starts, c.Completed, c.LateFirst, c.SlowBetween, c.Attainment(), c.WorstShare())
	}
	return b.String()
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
