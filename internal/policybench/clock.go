// Package policybench measures scheduling and routing policies under overload: it runs the schedulers, the router and the retry
// rules of the core against simulated backend servers in virtual time. It is used by tests and benchmarks only.
package policybench

import (
	"container/heap"
	"time"
)

// epoch is the start of the virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// clock is a discrete-event scheduler. Events of the same time run in the order in which they were scheduled.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules run to be called in d.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: run})
}

// runUntil runs the events up to and including end, and sets the time to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
