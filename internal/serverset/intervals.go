package serverset

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

const (
	// intervalBuckets and intervalFactor divide the intervals between events, from shortestInterval to 0.4 s.
	intervalBuckets  = 64
	intervalFactor   = 1.1
	shortestInterval = time.Millisecond
	// minIntervals is the number of intervals from which the short one is taken.
	minIntervals = 8
	// shortQuantile is the quantile that is taken as the short interval. The lowest ones may be those of events that the network delivered
	// together.
	shortQuantile = 0.2
)

// intervals are the intervals between the events of streams since they were last taken. They are safe for concurrent use.
type intervals struct {
	longest atomic.Int64 // nanoseconds
	events  atomic.Int64
	counts  [intervalBuckets]atomic.Int32 // of events, by the length of the interval
}

// RecordInterval records the interval before a number of events that arrived together.
func (i *intervals) RecordInterval(interval time.Duration, events int) {
	i.events.Add(int64(events))
	i.counts[bucketOf(interval/time.Duration(max(events, 1)))].Add(int32(events))
	for {
		longest := i.longest.Load()
		if int64(interval) <= longest || i.longest.CompareAndSwap(longest, int64(interval)) {
			return
		}
	}
}

var logFactor = math.Log(intervalFactor)

// bucketOf returns the bucket of an interval. The first bucket is for those below shortestInterval.
func bucketOf(interval time.Duration) int {
	if interval < shortestInterval {
		return 0
	}
	return min(1+int(math.Log(float64(interval)/float64(shortestInterval))/logFactor), intervalBuckets-1)
}

// take returns the intervals recorded since the last call. As long as there are fewer than minIntervals, they stay for the next call.
func (i *intervals) take() route.Intervals {
	out := route.Intervals{Longest: time.Duration(i.longest.Swap(0))}
	if i.events.Load() < minIntervals {
		return out
	}
	i.events.Store(0)
	var counts [intervalBuckets]int32
	total := int32(0)
	for b := range counts {
		counts[b] = i.counts[b].Swap(0)
		total += counts[b]
	}
	left := int32(float64(total) * shortQuantile)
	for b, n := range counts {
		if left < n {
			out.Short = time.Duration(float64(shortestInterval) * math.Pow(intervalFactor, float64(b)-0.5))
			break
		}
		left -= n
	}
	return out
}

// PaceReports returns what this process knows of the pace of the services' servers.
func (s *Set) PaceReports() []route.PaceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.PaceReports(time.Now())
}

// PaceStates returns the pace of each ready backend server as this process sees it, and how often a stream left its session's home because of
// it.
func (s *Set) PaceStates() (states []route.PaceState, homesLeft int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.PaceStates(time.Now()), s.router.HomesLeft()
}

// ObserveIntervals compares the backend servers by the intervals between the events of their streams since the last call.
func (s *Set) ObserveIntervals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordIntervals(time.Now(), s.takeIntervals())
}

// TakeIntervals returns the intervals between the events of streams since the last call of it or of ObserveIntervals.
func (s *Set) TakeIntervals() []route.ServerIntervals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeIntervals()
}

func (s *Set) takeIntervals() []route.ServerIntervals {
	var observed []route.ServerIntervals
	for id, a := range s.activities {
		if in := a.take(); in.Longest > 0 {
			observed = append(observed, route.ServerIntervals{ID: id, Incarnation: s.servers[id].Incarnation, Intervals: in})
		}
	}
	return observed
}
