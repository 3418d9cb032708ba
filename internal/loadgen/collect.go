package loadgen

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	// histogramMax is the longest latency that a histogram records, in microseconds; longer ones are counted as this value.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 3
	// minArrivalsForWorst is the minimum number of requests of an organisation that can be the worst served.
	minArrivalsForWorst = 20
	// timelineStep is the resolution of the timeline.
	timelineStep = time.Second
)

// classStats holds the counters and latency histograms of one class.
type classStats struct {
	ClassResult
	firstToken   *hdrhistogram.Histogram
	betweenToken *hdrhistogram.Histogram
	total        *hdrhistogram.Histogram
}

// collector aggregates samples into a Result. It is safe for concurrent use.
type collector struct {
	scenario Scenario

	mu            sync.Mutex
	started       time.Time
	classes       []*classStats
	organisations []OrganisationResult
	verdicts      map[string]int
	codes         map[string]int
	lateness      *hdrhistogram.Histogram
	orders        OrdersResult
	orderSamples  []sample // kept to be compared with the arrivals at the services
	timeline      []TimelinePoint
	finished      time.Duration
}

func newCollector(s Scenario) *collector {
	c := &collector{scenario: s, verdicts: make(map[string]int), codes: make(map[string]int), lateness: newHistogram()}
	for _, class := range s.Classes {
		c.classes = append(c.classes, &classStats{
			ClassResult: ClassResult{Class: class.Name, Tier: class.Tier, Outcomes: make(map[string]int)},
			firstToken:  newHistogram(), betweenToken: newHistogram(), total: newHistogram(),
		})
	}
	for _, o := range s.Organisations {
		c.organisations = append(c.organisations, OrganisationResult{Organisation: o.Name})
	}
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // the value is clamped to the range, so this cannot fail
}

func (c *collector) setStart(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = started
}

// attained reports whether a request was answered completely and met all targets of its class.
func (c *collector) attained(s sample) bool {
	if s.outcome != outcomeComplete {
		return false
	}
	class := c.scenario.Classes[s.class]
	return meetsTarget(s.firstToken, class.FirstTokenTargetMS) && meetsTarget(s.total, class.DeadlineMS) &&
		meetsTarget(betweenTokens(s), class.BetweenTokenTargetMS)
}

func meetsTarget(d time.Duration, targetMS float64) bool {
	return targetMS == 0 || d <= milliseconds(targetMS)
}

// betweenTokens returns the mean time between the tokens of a response.
func betweenTokens(s sample) time.Duration {
	if s.tokens < 2 {
		return 0
	}
	return (s.total - s.firstToken) / time.Duration(s.tokens-1)
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = max(c.finished, time.Since(c.started))
	if s.outcome != outcomeUnsent {
		record(c.lateness, s.lateness)
	}
	if s.verdict != "" {
		c.verdicts[s.verdict]++
	}
	if s.code != "" {
		c.codes[s.code]++
	}
	c.addTimeline(s)
	if s.order {
		c.addOrder(s)
		return
	}
	c.addClass(s)
	c.addOrganisation(s)
}

func (c *collector) addClass(s sample) {
	stats := c.classes[s.class]
	stats.Arrivals++
	stats.Outcomes[s.outcome]++
	if s.firstToken > 0 {
		record(stats.firstToken, s.firstToken)
	}
	switch {
	case c.attained(s):
		stats.Attained++
		stats.GoodTokens += s.tokens
	case s.outcome != outcomeComplete:
		stats.WastedTokens += s.tokens
	}
	if s.outcome != outcomeComplete {
		return
	}
	record(stats.total, s.total)
	stats.Tokens += s.tokens
	if s.tokens > 1 {
		record(stats.betweenToken, betweenTokens(s))
	}
}

func (c *collector) addOrganisation(s sample) {
	o := &c.organisations[s.organisation]
	if s.outcome == outcomeDisconnected {
		return
	}
	o.Arrivals++
	if s.outcome == outcomeComplete {
		o.Served++
		o.Tokens += s.tokens
	}
	if c.attained(s) {
		o.Attained++
	}
}

func (c *collector) addOrder(s sample) {
	c.orderSamples = append(c.orderSamples, s)
	c.orders.Placed++
	if s.keyed {
		c.orders.Keyed++
	}
	switch {
	case s.outcome == outcomeComplete:
		c.orders.Answered++
	case s.verdict == "not_run":
		c.orders.NotRun++
	default:
		c.orders.Unknown++
	}
}

func (c *collector) addTimeline(s sample) {
	i := int(s.at / timelineStep)
	for len(c.timeline) <= i {
		c.timeline = append(c.timeline, TimelinePoint{AtS: float64(len(c.timeline)) * timelineStep.Seconds()})
	}
	if s.outcome == outcomeDisconnected {
		return
	}
	p := &c.timeline[i]
	p.Arrivals++
	if c.attained(s) {
		p.Attained++
	}
	if s.outcome == outcomeRefused {
		p.Refused++
	}
}

// progressLine returns a one-line summary of the run so far.
func (c *collector) progressLine(outstanding int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals, attained := c.orders.Placed, 0
	for _, s := range c.classes {
		arrivals += s.Arrivals
		attained += s.Attained
	}
	return fmt.Sprintf("%6.0f s  %8d done  %6d in flight  %8d attained  %6d orders  not run %d  ",
		time.Since(c.started).Seconds(), arrivals, outstanding, attained, c.orders.Placed, c.verdicts["not_run"])
}

// result returns the totals of the run so far.
func (c *collector) result(started time.Time) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{
		Scenario: c.scenario.Name, Seed: c.scenario.Seed, Started: started, DurationS: c.scenario.DurationS,
		FinishedS: c.finished.Seconds(), Verdicts: maps.Clone(c.verdicts), Codes: maps.Clone(c.codes),
		Lateness: summarise(c.lateness), Timeline: c.timeline, Orders: c.orders,
	}
	for _, stats := range c.classes {
		class := stats.ClassResult
		class.computeRates(c.scenario.DurationS)
		class.FirstToken = summarise(stats.firstToken)
		class.BetweenToken = summarise(stats.betweenToken)
		class.Total = summarise(stats.total)
		r.Classes = append(r.Classes, class)
		r.Arrivals += class.Arrivals
		r.GoodTokensPerSecond += class.GoodTokensPerSecond
		r.wasted += class.WastedTokens
		r.tokens += class.WastedTokens + class.Tokens
	}
	if r.tokens > 0 {
		r.WastedShare = float64(r.wasted) / float64(r.tokens)
	}
	for _, o := range c.organisations {
		o.computeAttainment()
		r.Organisations = append(r.Organisations, o)
	}
	r.Worst = worstServed(r.Organisations)
	return r
}

// worstServed returns the organisation of lowest attainment among those with at least minArrivalsForWorst requests, or nil.
func worstServed(organisations []OrganisationResult) *OrganisationResult {
	eligible := slices.DeleteFunc(slices.Clone(organisations), func(o OrganisationResult) bool { return o.Arrivals < minArrivalsForWorst })
	if len(eligible) == 0 {
		return nil
	}
	o := slices.MinFunc(eligible, func(a, b OrganisationResult) int { return cmp.Compare(a.Attainment, b.Attainment) })
	return &o
}

// compareOrders fetches the arrival counts from the services and counts the orders that were answered but never arrived, arrived
// more than once, or arrived once although their verdict was not_run.
func (c *collector) compareOrders(ctx context.Context, s *sender, r *Result) error {
	arrived := make(map[string]int)
	for _, url := range c.scenario.Orders.ArrivalURLs {
		if err := addArrivals(ctx, s.orderClient, url, arrived); err != nil {
			return err
		}
	}
	r.Orders.Compared = true
	for _, o := range c.orderSamples {
		n := arrived[o.digest]
		switch {
		case n > 1:
			r.Orders.Duplicated++
		case n == 0 && o.outcome == outcomeComplete:
			r.Orders.Lost++
		case n > 0 && o.verdict == "not_run":
			r.Orders.FalseNotRun++
		}
	}
	return nil
}

// addArrivals fetches the arrival counts of one service and adds them to arrived, by the digest of the body.
func addArrivals(ctx context.Context, client *http.Client, url string, arrived map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var counts map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return errors.Annotate(err, url)
	}
	for digest, n := range counts {
		arrived[digest] += n
	}
	return nil
}
