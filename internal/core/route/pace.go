package route

import (
	"math"
	"time"

	"github.com/guavastack/guavastack/internal/core/decay"
)

// The pace of a server is how long work takes there relative to its peers: servers share their machines with other workloads. A server
// may state it with its load, and each process observes it in the intervals between the events of its streams.

const (
	// MaxSlowdown bounds the pace that a server states.
	MaxSlowdown = 100
	// maxWeight bounds the weight of a server's load, so that a slow server still gets requests. The weight of a fast server is not below 1: its
	// reported load is lower anyway, and with a lower weight all processes would choose it at once.
	maxWeight = 4
	// freshPace is the age from which a stated pace no longer counts: other workloads on a server's machine start and end within a second.
	freshPace = time.Second
	// statedMemory is how long the last statement of a server counts for the median of its peers.
	statedMemory = 10 * time.Second
	// lowDeviation is the deviation from the peers below which an observed pace counts as theirs. Servers differ as much by their batches.
	lowDeviation = 1.4

	// gapSlices is the number of observations from which the longest gap of a stream is expected, and gapMemory their maximum age.
	gapSlices = 8
	gapMemory = 4 * time.Second
	// shortMemory is how long the short interval of a server is compared with that of its peers.
	shortMemory = 2 * time.Second
	// lastingInterval is the time between two comparisons of lasting paces.
	lastingInterval = time.Second
)

// Intervals summarises the intervals between the events of all streams of this process at one server, within a short time.
type Intervals struct {
	Longest time.Duration
	// Short is an interval that few are shorter than: that of a step in which no prompt is prefilled. It tells the pace of a server from its
	// load. 0: there were too few events.
	Short time.Duration
}

// ServerIntervals are the intervals at one incarnation of a server.
type ServerIntervals struct {
	ID, Incarnation string
	Intervals
}

// pace is what is known of one incarnation's pace. The zero value is nothing.
type pace struct {
	stated   float64 // relative to the server's own usual pace; 0: nothing stated
	statedAt time.Time

	short     time.Duration // short interval between two events; 0: none yet
	shortAt   time.Time
	longest   [gapSlices]gapSlice
	nextSlice int

	observed      paceHistory // ratios
	statedHistory paceHistory // stated figures
	gaps          paceHistory // longest intervals within a short time, milliseconds
	listed        float64     // slowdown by which the control group lists the server as slow; 0: not listed
	isSlow        bool        // it counted as slow when PaceStates was last called

	// The following figures are derived at each review.
	gap        time.Duration // expected longest interval in a stream; 0: unknown
	peerGap    time.Duration // median of gap of the peers; 0: unknown
	usual      float64       // lasting pace relative to the peers; 0: unknown
	lastingGap time.Duration // gapQuantile of gaps; 0: unknown
	reference  float64       // median of what the peers state; 0: unknown
}

// gapSlice is the longest interval within a short time that ended at the given time.
type gapSlice struct {
	longest time.Duration
	at      time.Time
}

// recordSlowdown records a stated slowdown; 0: the server states none. Figures above MaxSlowdown are bounded; any that is not
// positive counts as none.
func (s *server) recordSlowdown(now time.Time, slowdown float64) {
	p := s.pace
	if math.IsNaN(slowdown) || slowdown <= 0 {
		p.stated = 0
		return
	}
	p.stated, p.statedAt = min(slowdown, MaxSlowdown), now
	s.isPaceKnown = true
	p.statedHistory.add(now, &paceEdges, p.stated)
}

// RecordIntervals records the intervals between the events of the streams of this process since the last call, and compares the servers
// with their peers. It is called at short intervals, also without any events.
func (t *Table) RecordIntervals(now time.Time, observed []ServerIntervals) {
	for _, o := range observed {
		if s := t.servers[o.ID]; s != nil && s.Incarnation == o.Incarnation {
			s.pace.record(now, o.Intervals)
			s.isPaceKnown = true
		}
	}
	for _, g := range t.groups {
		g.refreshLanes(now)
		g.reviewPaces(now)
	}
}

func (p *pace) record(now time.Time, in Intervals) {
	if in.Longest <= 0 || in.Short < 0 {
		return
	}
	p.longest[p.nextSlice] = gapSlice{longest: in.Longest, at: now}
	p.nextSlice = (p.nextSlice + 1) % gapSlices
	p.gaps.add(now, &gapEdges, in.Longest.Seconds()*1e3)
	if in.Short > 0 {
		p.short, p.shortAt = in.Short, now
	}
}

// expectedGap returns the longest interval that a stream is expected to have: the second longest of the recent ones, so that a single pause
// doesn't count, or gapQuantile of those of some time, if that is longer. It returns 0 if neither is known.
func (p *pace) expectedGap(now time.Time) time.Duration {
	var first, second time.Duration
	for _, slice := range p.longest {
		if slice.at.IsZero() || now.Sub(slice.at) > gapMemory {
			continue
		}
		if slice.longest > first {
			first, second = slice.longest, first
		} else if slice.longest > second {
			second = slice.longest
		}
	}
	return max(second, p.lastingGap)
}

// reviewPaces derives the figures of the servers from those of their peers in the lane, or in the whole group if too few of the lane are
// known.
func (g *group) reviewPaces(now time.Time) {
	for _, s := range g.servers {
		s.pace.gap = s.pace.expectedGap(now)
	}
	all := medianPaces(now, g.servers)
	for _, peers := range g.peerSets() {
		own := medianPaces(now, peers).orElse(all)
		for _, s := range peers {
			s.pace.compare(now, own, s.pace.shortAt.Equal(now))
		}
	}
	if now.Sub(g.lastingAt) >= lastingInterval {
		g.lastingAt = now
		g.lastingPaces(now, typicalQuantile, func(s *server, pace float64) { s.pace.usual = withoutNoise(pace) })
		for _, s := range g.servers {
			s.pace.lastingGap = time.Duration(s.pace.gaps.quantile(now, &gapEdges, gapQuantile) * float64(time.Millisecond))
		}
	}
}

// paceMedians are medians over the servers of a lane; 0: too few are known.
type paceMedians struct {
	short, stated, gap float64
}

func (m paceMedians) orElse(o paceMedians) paceMedians {
	return paceMedians{short: firstPositive(m.short, o.short), stated: firstPositive(m.stated, o.stated), gap: firstPositive(m.gap, o.gap)}
}

func firstPositive(a, b float64) float64 {
	if a > 0 {
		return a
	}
	return b
}

func medianPaces(now time.Time, servers []*server) paceMedians {
	return paceMedians{
		short: median(servers, func(s *server) float64 {
			if now.Sub(s.pace.shortAt) > shortMemory {
				return 0
			}
			return s.pace.short.Seconds()
		}),
		stated: median(servers, func(s *server) float64 {
			if now.Sub(s.pace.statedAt) > statedMemory {
				return 0
			}
			return s.pace.stated
		}),
		gap: median(servers, func(s *server) float64 { return s.pace.gap.Seconds() }),
	}
}

// compare compares the newest figures with the medians of the peers. isNew is true if the short interval was taken at now.
func (p *pace) compare(now time.Time, peers paceMedians, isNew bool) {
	p.reference = peers.stated
	p.peerGap = time.Duration(peers.gap * float64(time.Second))
	if isNew && peers.short > 0 {
		p.observed.add(now, &paceEdges, p.short.Seconds()/peers.short)
	}
}

// slowdown estimates how long work takes at the server at this moment, relative to its peers: by its newest statement, and the older that is,
// the more by its lasting pace.
func (s *server) slowdown(now time.Time) float64 {
	p := s.pace
	lasting := 1.0
	if p.usual > 0 {
		lasting = p.usual
	} else if p.listed > 0 {
		lasting = p.listed
	}
	age := max(now.Sub(p.statedAt), 0)
	if p.stated <= 0 || age >= freshPace {
		return lasting
	}
	left := 1 - float64(age)/float64(freshPace)
	return lasting + left*(p.stated/firstPositive(p.reference, 1)-lasting)
}

// withoutNoise returns 1 for a known ratio that is lower than lowDeviation; 0 means unknown and stays 0.
func withoutNoise(ratio float64) float64 {
	if ratio > 0 && ratio < lowDeviation {
		return 1
	}
	return ratio
}

// loadWeight returns the factor by which a server's load counts: one that works at half the speed of its peers has twice the load. Without
// knowledge of its pace it is 1.
func (s *server) loadWeight(now time.Time) float64 {
	if !s.isPaceKnown {
		return 1
	}
	return min(max(s.slowdown(now), 1), maxWeight)
}

// missesGap reports whether a stream is expected to miss its target for the gap between tokens at the server, while it is expected to
// hold at the median of the server's peers. Otherwise the server is not the cause.
func (s *server) missesGap(now time.Time, target time.Duration) bool {
	if !s.isPaceKnown || target <= 0 {
		return false
	}
	p := s.pace
	if p.peerGap <= 0 || p.peerGap > target {
		return false
	}
	if p.gap > target {
		return true
	}
	return time.Duration(float64(p.peerGap)*s.slowdown(now)) > target
}

const (
	// historyHalfLife is the half-life of the observations of a lasting pace.
	historyHalfLife = 20 * time.Second
	// minHistory is the weight of the observations from which a lasting pace is known.
	minHistory = 8
	// typicalQuantile is the quantile of the lasting pace by which load is weighted. Higher quantiles of the observed pace differ between equal
	// servers if some of them prefill prompts in most of their steps.
	typicalQuantile = 0.5
	// badQuantile is the quantile by which a server counts as slow. Streams with tight targets miss them in the bad moments.
	badQuantile = 0.9
	// gapQuantile is the quantile of the longest gaps within a short time that a stream is expected to have: it lasts several times as long.
	gapQuantile = 0.95
)

// historyEdges is the number of edges between the buckets of a paceHistory.
const historyEdges = 22

// paceEdges are the lower edges of the buckets of a history of paces.
var paceEdges = geometricEdges(0.5, 1.15)

// gapEdges are the lower edges of the buckets of a history of gaps, milliseconds.
var gapEdges = geometricEdges(10, 1.25)

// geometricEdges returns edges that begin at first, each of them a multiple of the one before.
func geometricEdges(first, factor float64) (edges [historyEdges]float64) {
	for i := range edges {
		edges[i] = first * math.Pow(factor, float64(i))
	}
	return edges
}

// paceHistory is a distribution of observations, of which each loses half of its weight within historyHalfLife.
type paceHistory struct {
	weights [historyEdges + 1]float32 // by bucket; the first one is for values below all edges
	total   float32
	at      time.Time
}

func (h *paceHistory) add(now time.Time, edges *[historyEdges]float64, value float64) {
	h.age(now)
	bucket := 0
	for bucket < len(edges) && value >= edges[bucket] {
		bucket++
	}
	h.weights[bucket]++
	h.total++
}

// age reduces the weights to those at now.
func (h *paceHistory) age(now time.Time) {
	if h.total > 0 {
		left := float32(decay.Weight(now.Sub(h.at), historyHalfLife))
		for i := range h.weights {
			h.weights[i] *= left
		}
		h.total *= left
	}
	h.at = now
}

// quantile returns the value that a share of the observations doesn't exceed, interpolated within its bucket, or 0 if there are too few for
// a single one not to decide.
func (h *paceHistory) quantile(now time.Time, edges *[historyEdges]float64, share float64) float64 {
	known := float64(h.total) * decay.Weight(now.Sub(h.at), historyHalfLife)
	if known < minHistory || known*(1-share) < 1.2 {
		return 0
	}
	left := float32(share) * h.total
	for i, w := range h.weights {
		if left > w && i < len(edges) {
			left -= w
			continue
		}
		switch {
		case i == 0:
			return edges[0]
		case i == len(edges):
			return edges[i-1]
		default:
			return edges[i-1] + (edges[i]-edges[i-1])*float64(left/max(w, 1e-6))
		}
	}
	return edges[len(edges)-1]
}

// lastingPace is a quantile of the pace over some time by its two sources; 0: unknown.
type lastingPace struct{ observed, stated float64 }

func (l lastingPace) orElse(o lastingPace) lastingPace {
	return lastingPace{firstPositive(l.observed, o.observed), firstPositive(l.stated, o.stated)}
}

// medianLasting returns the medians of a quantile over the servers; 0: too few are known.
func medianLasting(now time.Time, servers []*server, quantile float64) lastingPace {
	return lastingPace{
		observed: median(servers, func(s *server) float64 { return s.pace.observed.quantile(now, &paceEdges, quantile) }),
		stated:   median(servers, func(s *server) float64 { return s.pace.statedHistory.quantile(now, &paceEdges, quantile) }),
	}
}

// lasting returns a quantile of the pace over some time, relative to the medians of the peers, or 0 if it is unknown. If both sources are
// known, the lower one counts: a server with larger batches than its peers has longer steps too, and its statements may be wrong.
func (p *pace) lasting(now time.Time, quantile float64, peers lastingPace) float64 {
	observed := 0.0
	if peers.observed > 0 {
		observed = p.observed.quantile(now, &paceEdges, quantile) / peers.observed
	}
	stated := p.statedHistory.quantile(now, &paceEdges, quantile) / firstPositive(peers.stated, 1)
	switch {
	case observed == 0:
		return stated
	case stated == 0:
		return observed
	default:
		return min(observed, stated)
	}
}

// lastingPaces calls f with a quantile of the lasting pace of each server of the group relative to its peers in the lane, or in the whole group
// if too few of the lane are known; 0: unknown.
func (g *group) lastingPaces(now time.Time, quantile float64, f func(s *server, pace float64)) {
	all := medianLasting(now, g.servers, quantile)
	for _, peers := range g.peerSets() {
		own := medianLasting(now, peers, quantile).orElse(all)
		for _, s := range peers {
			f(s, s.pace.lasting(now, quantile, own))
		}
	}
}
