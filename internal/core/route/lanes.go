package route

import (
	"math"
	"time"
)

// A Lane is a part of a service's servers. Reading a long prompt delays every token of the streams that run beside it, so
// requests with tight targets and requests with long prompts go to different servers where there are enough.
type Lane uint8

const (
	// AnyLane means all servers of the service.
	AnyLane Lane = iota
	// TightLane takes requests whose answers must flow without pauses.
	TightLane
	// BulkLane takes requests whose prompts are long and whose targets are loose.
	BulkLane
)

// String returns the name of the lane.
func (l Lane) String() string { return [...]string{"any", "tight", "bulk"}[l] }

const (
	// laneHalfLife is how fast observed work counts less.
	laneHalfLife = 4 * time.Second
	// tightGapFactor is the multiple of the smallest gap target from which a route is not tight any more.
	tightGapFactor = 2
	// delayWeight is the weight of a new delay in the moving average of its lane.
	delayWeight = 0.05
	// maxDelay bounds a delay, as a multiple of the request's target.
	maxDelay = 3
	// minLaneServers is the least number of servers that are split.
	minLaneServers = 4
)

// Lanes learns which routes of a service need which lane, and how many servers each lane needs. It is not safe for
// concurrent use.
type Lanes struct {
	routes map[string]*laneWork
	alone  Splitter // by the work of this process

	delays [BulkLane + 1]float64 // moving average by lane, as a multiple of the target; 0: none yet
}

// laneWork is the work that one route brings.
type laneWork struct {
	gap    time.Duration
	tokens float64 // recent prompt tokens to read, decaying
	at     time.Time
}

// NewLanes returns lanes without observations.
func NewLanes() *Lanes { return &Lanes{routes: make(map[string]*laneWork)} }

// Served notes how long a request of a lane waited for the beginning of its answer, against its target.
func (l *Lanes) Served(lane Lane, took, target time.Duration) {
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

// Observe notes a request of a route with its gap target and the prompt tokens that a server has to read for it.
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

// recent returns the work as it counts at now.
func (w *laneWork) recent(now time.Time) float64 {
	return w.tokens * math.Exp2(-float64(now.Sub(w.at))/float64(laneHalfLife))
}

// rate returns the recent work in tokens a second.
func (w *laneWork) rate(now time.Time) float64 {
	return w.recent(now) * math.Ln2 / laneHalfLife.Seconds()
}

// smallestGap returns the smallest gap target of the observed routes, 0 where none has one.
func (l *Lanes) smallestGap() time.Duration {
	smallest := time.Duration(0)
	for _, w := range l.routes {
		if w.gap > 0 && (smallest == 0 || w.gap < smallest) {
			smallest = w.gap
		}
	}
	return smallest
}

// Of returns the lane of requests with a gap target.
func (l *Lanes) Of(gap time.Duration) Lane {
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

// Work returns the work that came lately.
func (l *Lanes) Work(now time.Time) LaneWork {
	work := LaneWork{TightDelay: l.delays[TightLane], BulkDelay: l.delays[BulkLane]}
	for _, w := range l.routes {
		switch l.Of(w.gap) {
		case TightLane:
			work.Tight += w.rate(now)
		case BulkLane:
			work.Bulk += w.rate(now)
		}
	}
	return work
}

// Share returns the share of the servers that makes the tight lane by the work of this process alone, false where there is no
// work for two lanes.
func (l *Lanes) Share(now time.Time) (share float64, ok bool) { return l.alone.Decide(l.Work(now)) }

// laneBounds returns the places from..to-1 of the lane among n servers in their common order. The order is the same in every
// process, so that all agree on the lanes without a word.
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
