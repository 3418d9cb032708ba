package billing

import "slices"

// Ack answers a report of an entry.
type Ack struct {
	OpenWindow uint64 // entries tag usage with this number
	// Settled is the newest window below the open one whose counters, as reported here, are all committed.
	// The entry may forget its counters up to this window; it must report the others again.
	Settled  uint64
	Accepted bool // false: at least one counter belongs to a window that takes no late usage any more
}

// Collector holds the counters that entries have reported to the leader and that are not committed yet.
// It is lost with the leader: entries report cumulative counters until they are settled, so the next leader gets them again.
// A Collector is not safe for concurrent use.
type Collector struct {
	module  *Module
	pending map[slot]Counter
}

// NewCollector returns a collector that compares with the committed state of module.
func NewCollector(module *Module) *Collector {
	return &Collector{module: module, pending: make(map[slot]Counter)}
}

// Report takes the cumulative counters of one entry incarnation.
func (c *Collector) Report(entry, incarnation string, counters []Counter) Ack {
	ack := Ack{OpenWindow: c.module.Open(), Settled: c.module.s.Closed, Accepted: true}
	for _, counter := range counters {
		counter.Entry = entry
		counter.Incarnation = incarnation
		switch {
		case !c.module.Accepts(counter.Window):
			ack.Accepted = false
		case !c.module.committed(counter):
			c.add(counter)
			ack.Settled = min(ack.Settled, counter.Window-1)
		}
	}
	return ack
}

func (c *Collector) add(counter Counter) {
	known, ok := c.pending[counter.slot()]
	if ok {
		counter.Figures = counter.merge(known.Figures)
	}
	c.pending[counter.slot()] = counter
}

// Pending returns the counters that are to be committed, in a fixed order, at most limit of them.
func (c *Collector) Pending(limit int) []Counter {
	counters := make([]Counter, 0, len(c.pending))
	for k, counter := range c.pending {
		if !c.module.Accepts(k.window) || c.module.committed(counter) {
			delete(c.pending, k)
			continue
		}
		counters = append(counters, counter)
	}
	slices.SortFunc(counters, func(a, b Counter) int { return compareSlots(a.slot(), b.slot()) })
	return counters[:min(limit, len(counters))]
}

// Reset forgets everything; a process that leads no longer calls it.
func (c *Collector) Reset() { clear(c.pending) }
