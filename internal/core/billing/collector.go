package billing

import "slices"

// Ack is the acknowledgement of an entry's report.
type Ack struct {
	OpenWindow uint64 // entries tag usage with this number
	// Session identifies the collector. An entry reports only counters that changed since its last report to the session;
	// to a new session it reports every counter again.
	Session uint64
	// Settled is the newest closed window up to which all counters reported to this session are committed. An entry that
	// has reported all its counters to the session may delete those up to this window.
	Settled  uint64
	Accepted bool // false if at least one counter belongs to a window that no longer accepts late usage
}

// entryIncarnation identifies one run of an entry process.
type entryIncarnation struct {
	entry, incarnation string
}

// Collector holds the counters that entries have reported to the leader and that are not committed yet.
// It is lost when the leader changes. The next leader's collector has another session, so entries report again what is not
// settled. A Collector is not safe for concurrent use.
type Collector struct {
	module  *Module
	session uint64
	pending map[entryIncarnation]map[counterKey]Counter
}

// NewCollector returns a collector for the committed state of module. session must be unique among collectors, such as a
// random number.
func NewCollector(module *Module, session uint64) *Collector {
	return &Collector{module: module, session: session, pending: make(map[entryIncarnation]map[counterKey]Counter)}
}

// Report stores cumulative counters of one entry incarnation until they are committed, and returns the acknowledgement. It
// drops counters of windows that no longer accept late usage.
func (c *Collector) Report(entry, incarnation string, counters []Counter) Ack {
	from := entryIncarnation{entry, incarnation}
	accepted := true
	for _, counter := range counters {
		counter.Entry = entry
		counter.Incarnation = incarnation
		switch {
		case !c.module.Accepts(counter.Window):
			accepted = false
		case !c.module.isCommitted(counter):
			c.add(from, counter)
		}
	}
	return Ack{OpenWindow: c.module.Open(), Session: c.session, Settled: c.settled(from), Accepted: accepted}
}

func (c *Collector) add(from entryIncarnation, counter Counter) {
	counters := c.pending[from]
	if counters == nil {
		counters = make(map[counterKey]Counter)
		c.pending[from] = counters
	}
	if known, ok := counters[counter.counterKey()]; ok {
		counter.Figures = counter.merge(known.Figures)
	}
	counters[counter.counterKey()] = counter
}

// settled returns the newest closed window up to which the entry incarnation has no pending counters.
func (c *Collector) settled(of entryIncarnation) uint64 {
	c.dropCommitted(of)
	settled := c.module.s.Closed
	for k := range c.pending[of] {
		settled = min(settled, k.window-1)
	}
	return settled
}

// dropCommitted deletes the pending counters of an entry incarnation that are committed or no longer accepted.
func (c *Collector) dropCommitted(of entryIncarnation) {
	for k, counter := range c.pending[of] {
		if !c.module.Accepts(k.window) || c.module.isCommitted(counter) {
			delete(c.pending[of], k)
		}
	}
	if len(c.pending[of]) == 0 {
		delete(c.pending, of)
	}
}

// Pending returns at most limit counters to be committed, in a deterministic order.
func (c *Collector) Pending(limit int) []Counter {
	var all []Counter
	for of := range c.pending {
		c.dropCommitted(of)
		for _, counter := range c.pending[of] {
			all = append(all, counter)
		}
	}
	slices.SortFunc(all, func(a, b Counter) int { return compareCounterKeys(a.counterKey(), b.counterKey()) })
	return all[:min(limit, len(all))]
}
