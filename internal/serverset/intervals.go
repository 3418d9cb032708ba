package serverset

import (
	"sync/atomic"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
)

// intervals sums up the intervals between the events of streams since they were last taken. It is safe for concurrent use.
type intervals struct {
	events  atomic.Int64
	total   atomic.Int64 // nanoseconds
	longest atomic.Int64 // nanoseconds
}

// RecordInterval records the interval before a number of events that arrived together.
func (i *intervals) RecordInterval(interval time.Duration, events int) {
	i.events.Add(int64(events))
	i.total.Add(int64(interval))
	for {
		longest := i.longest.Load()
		if int64(interval) <= longest || i.longest.CompareAndSwap(longest, int64(interval)) {
			return
		}
	}
}

// take returns the intervals recorded since the last call. One that is recorded meanwhile may be divided between two calls.
func (i *intervals) take() route.Intervals {
	return route.Intervals{
		Events: int(i.events.Swap(0)), Total: time.Duration(i.total.Swap(0)), Longest: time.Duration(i.longest.Swap(0)),
	}
}

// ObserveIntervals compares the backend servers by the intervals between the events of their streams since the last call.
func (s *Set) ObserveIntervals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var observed []route.ServerIntervals
	for id, a := range s.activities {
		if in := a.take(); in.Events > 0 {
			observed = append(observed, route.ServerIntervals{ID: id, Incarnation: s.servers[id].Incarnation, Intervals: in})
		}
	}
	s.table.RecordIntervals(time.Now(), observed)
}
