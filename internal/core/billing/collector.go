package billing

import "slices"

// Ack answers a report of an entry.
type Ack struct {
	OpenWindow uint64 // entries tag usage with this number
	// Session names the collector. An entry reports only what has changed since the session took it; a session that it
	// does not know gets every counter again.
	Session uint64
	// Settled is the newest window below the open one whose counters are all committed, as far as this session took
	// them. An entry that reported all its counters to the session may forget those up to this window.
	Settled  uint64
	Accepted bool // false: at least one counter belongs to a window that takes no late usage any more
}

// owner is one entry incarnation.
type owner struct {
	entry, incarnation string
}

// Collector holds the counters that entries have reported to the leader and that are not committed yet.
// It is lost with the leader; the next one has another session, so entries report again what is not settled.
// A Collector is not safe for concurrent use.
type Collector struct {
	module  *Module
	session uint64
	pending map[owner]map[slot]Counter
}

// NewCollector returns a collector that compares with the committed state of module. No other collector has had the
// session, a random number.
func NewCollector(module *Module, session uint64) *Collector {
	return &Collector{module: module, session: session, pending: make(map[owner]map[slot]Counter)}
}

// Report takes cumulative counters of one entry incarnation.
func (c *Collector) Report(entry, incarnation string, counters []Counter) Ack {
	from := owner{entry, incarnation}
	accepted := true
	for _, counter := range counters {
		counter.Entry = entry
		counter.Incarnation = incarnation
		switch {
		case !c.module.Accepts(counter.Window):
			accepted = false
		case !c.module.committed(counter):
			c.add(from, counter)
		}
	}
	return Ack{OpenWindow: c.module.Open(), Session: c.session, Settled: c.settled(from), Accepted: accepted}
}

func (c *Collector) add(from owner, counter Counter) {
	counters := c.pending[from]
	if counters == nil {
		counters = make(map[slot]Counter)
		c.pending[from] = counters
	}
	if known, ok := counters[counter.slot()]; ok {
		counter.Figures = counter.merge(known.Figures)
	}
	counters[counter.slot()] = counter
}

// settled returns the newest closed window up to which nothing of the owner is pending.
func (c *Collector) settled(of owner) uint64 {
	c.dropCommitted(of)
	settled := c.module.s.Closed
	for k := range c.pending[of] {
		settled = min(settled, k.window-1)
	}
	return settled
}

// dropCommitted forgets the counters of an owner that need not be committed any more.
func (c *Collector) dropCommitted(of owner) {
	for k, counter := range c.pending[of] {
		if !c.module.Accepts(k.window) || c.module.committed(counter) {
			delete(c.pending[of], k)
		}
	}
	if len(c.pending[of]) == 0 {
		delete(c.pending, of)
	}
}

// Pending returns the counters that are to be committed, in a fixed order, at most limit of them.
func (c *Collector) Pending(limit int) []Counter {
	var all []Counter
	for of := range c.pending {
		c.dropCommitted(of)
		for _, counter := range c.pending[of] {
			all = append(all, counter)
		}
	}
	slices.SortFunc(all, func(a, b Counter) int { return compareSlots(a.slot(), b.slot()) })
	return all[:min(limit, len(all))]
}
