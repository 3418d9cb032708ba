package policybench

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// ClassReport counts the requests of one class that arrived in the burst.
type ClassReport struct {
	Class     string
	Tier      int
	Offered   int
	Starts    int // requests that were started at least once
	Completed int // answered completely before the deadline
	Attained  int // completed with both latency targets met

	LateFirst   int // completed with a late first token
	SlowBetween int // completed with a first token in time, but too much time between tokens

	windows []map[string]*organisationTokens // by time of arrival, then by organisation
}

// organisationTokens counts the tokens of one organisation in one class and window.
type organisationTokens struct{ offered, served float64 }

// fairShareWindow is the period for which fair shares are computed. It is short because the capacity varies with the stragglers,
// and a request that missed its time cannot be served later.
const fairShareWindow = 30 * time.Second

// Report is the result of a run.
type Report struct {
	Scenario    string
	Policies    string
	Classes     []*ClassReport
	Computed    int // tokens, prompt and output
	Wasted      int // computed tokens of requests that did not complete in time, and those discarded by preemptions
	Good        int // tokens of attained requests
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

func (c *ClassReport) organisationTokens(r *request) *organisationTokens {
	w := int(r.arrived.Sub(epoch) / fairShareWindow)
	for len(c.windows) <= w {
		c.windows = append(c.windows, make(map[string]*organisationTokens))
	}
	o := c.windows[w][r.organisation]
	if o == nil {
		o = &organisationTokens{}
		c.windows[w][r.organisation] = o
	}
	return o
}

func (sim *simulation) recordOffered(r *request) {
	if !r.measured {
		return
	}
	c := sim.report.byClass[r.class.name]
	c.Offered++
	c.organisationTokens(r).offered += r.work()
}

func (sim *simulation) recordStart(r *request) {
	if r.measured && r.firstStart.IsZero() {
		sim.report.byClass[r.class.name].Starts++
	}
}

func (sim *simulation) recordLost(r *request) {
	sim.outstanding--
	sim.report.Wasted += r.computed
}

func (sim *simulation) recordCompleted(r *request) {
	sim.outstanding--
	if !r.measured {
		return
	}
	c := sim.report.byClass[r.class.name]
	c.Completed++
	c.organisationTokens(r).served += r.work()
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

// Attainment returns the share of the offered requests whose targets were met.
func (c *ClassReport) Attainment() float64 { return ratio(float64(c.Attained), float64(c.Offered)) }

// WorstShare returns the tokens served to the worst-served organisation, as a fraction of its fair share of the tokens served to the
// class; at most 1.
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

// addFairShares adds the served tokens of the organisations in a window, and their max-min fair shares of the total.
func addFairShares(window map[string]*organisationTokens, served, fair map[string]float64) {
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
	level := maxMinFairShare(demand, total)
	for i, name := range names {
		served[name] += window[name].served
		fair[name] += math.Min(demand[i], level)
	}
}

// maxMinFairShare returns the max-min fair share: if each demand gets at most this much, together they get the total. It returns
// +Inf if the total covers all demands.
func maxMinFairShare(demand []float64, total float64) float64 {
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

// TierAttainment returns the lowest attainment of the tier's classes.
func (r *Report) TierAttainment(tier int) float64 {
	least := 1.0
	for _, c := range r.Classes {
		if c.Tier == tier {
			least = math.Min(least, c.Attainment())
		}
	}
	return least
}

// WorstShare returns the lowest worst share of all classes.
func (r *Report) WorstShare() float64 {
	worst := 1.0
	for _, c := range r.Classes {
		worst = math.Min(worst, c.WorstShare())
	}
	return worst
}

// MinStarts returns the lowest number of starts of all classes.
func (r *Report) MinStarts() int {
	least := math.MaxInt
	for _, c := range r.Classes {
		least = min(least, c.Starts)
	}
	return least
}

// WastedShare returns the share of the computed tokens that were wasted.
func (r *Report) WastedShare() float64 { return ratio(float64(r.Wasted), float64(r.Computed)) }

// Goodput returns the tokens of attained requests per second of the burst.
func (r *Report) Goodput() float64 { return float64(r.Good) / r.Measured.Seconds() }

// String returns the report as a table.
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
