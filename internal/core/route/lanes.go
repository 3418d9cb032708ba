package route

import (
	"math"
	"time"
)

// A Lane is a subset of a service's servers. The prefill of a long prompt delays every token of the streams on the same server,
// so requests with tight targets and requests with long prompts go to different servers if there are enough.
type Lane uint8

const (
	// AnyLane means all servers of the service.
	AnyLane Lane = iota
	// TightLane serves requests with tight targets for the gap between tokens.
	TightLane
	// BulkLane serves requests with loose gap targets, which tend to have long prompts.
	BulkLane
)

// String returns the name of the lane.
func (l Lane) String() string { return [...]string{"any", "tight", "bulk"}[l] }

const (
	// laneHalfLife is the half-life of observed work.
	laneHalfLife = 4 * time.Second
	// tightGapFactor is the multiple of the smallest gap target from which a route belongs to the bulk lane.
	tightGapFactor = 2
	// delayWeight is the weight of a new delay in the moving average of its lane.
	delayWeight = 0.05
	// maxDelay bounds a delay, as a multiple of the request's target.
	maxDelay = 3
	// minLaneServers is the minimum number of servers that are split into lanes.
	minLaneServers = 4
)

// Lanes assigns the routes of a service to lanes and estimates how many servers each lane needs, from the observed requests.
// It is not safe for concurrent use.
type Lanes struct {
	routes   map[string]*laneWork
	splitter Splitter // decides from the work of this process only

	delays [BulkLane + 1]float64 // moving average by lane, as a multiple of the target; 0: none yet
}

// laneWork is the recent work of one route.
type laneWork struct {
	gap    time.Duration // target for the gap between tokens
	tokens float64       // prompt tokens to prefill, decaying with laneHalfLife
	at     time.Time     // of the last update of tokens
}

// NewLanes returns lanes without observations.
func NewLanes() *Lanes { return &Lanes{routes: make(map[string]*laneWork)} }

// RecordDelay records how long a request of a lane waited for the start of its answer, relative to its target.
func (l *Lanes) RecordDelay(lane Lane, took, target time.Duration) {
	if target <= 0 || lane == AnyLane {
		return
	}
	delay := min(float64(took)/float64(target), maxDelay)
	if l.delays[lane] == 0 {
		l.delays[lane] = delay
		return
	}
	l.delays[lane] += delayWeight * (delay - l.delays[lane])
}

// Observe records a request of a route with its gap target and the number of prompt tokens that a server has to prefill.
func (l *Lanes) Observe(now time.Time, route string, gap time.Duration, tokens int) {
	w := l.routes[route]
	if w == nil {
		w = &laneWork{at: now}
		l.routes[route] = w
	}
	w.gap = gap
	w.tokens = w.recent(now) + float64(tokens)
	w.at = now
}

// recent returns the tokens with the decay up to now applied.
func (w *laneWork) recent(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(now.Sub(w.at))/float64(laneHalfLife))
}

// rate returns the recent work in tokens per second.
func (w *laneWork) rate(now time.Time) float64 {
	return w.recent(now) * math.Ln2 / laneHalfLife.Seconds()
}

// smallestGap returns the smallest gap target of the observed routes, or 0 if none has one.
func (l *Lanes) smallestGap() time.Duration {
	smallest := time.Duration(0)
	for _, w := range l.routes {
		if w.gap > 0 && (smallest == 0 || w.gap < smallest) {
			smallest = w.gap
		}
	}
	return smallest
}

// LaneFor returns the lane of requests with a gap target.
func (l *Lanes) LaneFor(gap time.Duration) Lane {
	smallest := l.smallestGap()
	switch {
	case gap <= 0 || smallest == 0:
		return AnyLane
	case gap < tightGapFactor*smallest:
		return TightLane
	default:
		return BulkLane
	}
}

// Work returns the recent work and delays by lane.
func (l *Lanes) Work(now time.Time) LaneWork {
	work := LaneWork{TightDelay: l.delays[TightLane], BulkDelay: l.delays[BulkLane]}
	for _, w := range l.routes {
		switch l.LaneFor(w.gap) {
		case TightLane:
			work.Tight += w.rate(now)
		case BulkLane:
			work.Bulk += w.rate(now)
		}
	}
	return work
}

// Share returns the share of the servers that forms the tight lane, judged by the work of this process only. It returns false
// unless both lanes have work.
func (l *Lanes) Share(now time.Time) (share float64, ok bool) { return l.splitter.Decide(l.Work(now)) }

// laneBounds returns the half-open range of positions [from, to) of the lane among n servers in their common order. The order is
// the same in every process, so all processes agree on the lanes without communicating.
func laneBounds(lane Lane, tight, n int) (from, to int) {
	switch {
	case lane == AnyLane || tight <= 0 || tight >= n:
		return 0, n
	case lane == TightLane:
		return 0, tight
	default:
		return tight, n
	}
}
