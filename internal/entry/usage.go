package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// flushTimeout bounds the last usage report of an entry that shuts down.
const flushTimeout = 5 * time.Second

// usageKey names one counter.
type usageKey struct {
	window       uint64
	organisation string
	class        string
	model        string
}

// delivered is what one request received. Only what was delivered is billed.
type delivered struct {
	requests     uint64
	promptTokens uint64
	cachedTokens uint64
	outputTokens uint64
}

func (d *delivered) add(e delivered) {
	d.requests += e.requests
	d.promptTokens += e.promptTokens
	d.cachedTokens += e.cachedTokens
	d.outputTokens += e.outputTokens
}

// usageCounter is a counter with what the control group has of it.
type usageCounter struct {
	delivered
	taken   delivered // by the session
	session uint64
}

// usageMeter counts what was delivered, cumulatively per window, and reports it. Counters of one incarnation only
// grow, so that a report may be sent again. A counter is kept until the control group has committed it, and reported
// when it has changed or another session of the control group's collector needs it.
type usageMeter struct {
	cfg Config
	dir Directory

	mu       sync.Mutex
	counters map[usageKey]*usageCounter
	session  uint64 // that took the last report
	open     uint64 // newest open window that an acknowledgement named; settled windows are below it
}

func newUsageMeter(cfg Config, dir Directory) *usageMeter {
	return &usageMeter{cfg: cfg, dir: dir, counters: make(map[usageKey]*usageCounter)}
}

// add counts d for x in the open window.
func (m *usageMeter) add(x *exchange, d delivered) {
	known := m.dir.OpenWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	key := usageKey{max(known, m.open), x.organisation, x.class.Name, x.model}
	c := m.counters[key]
	if c == nil {
		c = &usageCounter{}
		m.counters[key] = c
	}
	c.add(d)
}

// run reports until ctx is done.
func (m *usageMeter) run(ctx context.Context) {
	tick := time.NewTicker(m.cfg.UsageInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.report(ctx)
		}
	}
}

// flush reports what is left when the entry shuts down.
func (m *usageMeter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m.report(ctx)
}

// report sends the counters that the control group needs. While any is kept, an empty report asks what is settled.
func (m *usageMeter) report(ctx context.Context) {
	r := m.snapshot(m.dir.OpenWindow())
	if r == nil {
		return
	}
	ack, err := m.dir.ReportUsage(ctx, r)
	if err != nil {
		if ctx.Err() == nil {
			m.cfg.Logger.Warn("usage report failed; it will be sent again", telemetry.KeyError, err.Error())
		}
		return
	}
	if !ack.Accepted {
		m.cfg.Logger.Error("usage came too late to be billed", "open_window", ack.OpenWindow)
	}
	m.acknowledge(r, ack)
}

// snapshot returns the report to send, nil when there is none.
func (m *usageMeter) snapshot(open uint64) *controlpb.UsageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	if open == 0 {
		return nil
	}
	m.assign(open)
	if len(m.counters) == 0 {
		return nil
	}
	r := &controlpb.UsageReport{EntryId: m.cfg.ID, Incarnation: m.cfg.Incarnation}
	for k, c := range m.counters {
		if c.session == m.session && c.taken == c.delivered {
			continue
		}
		r.Counters = append(r.Counters, &controlpb.UsageCounter{
			Window:       k.window,
			Organisation: k.organisation,
			Class:        k.class,
			Model:        k.model,
			Requests:     c.requests,
			PromptTokens: c.promptTokens,
			CachedTokens: c.cachedTokens,
			OutputTokens: c.outputTokens,
		})
	}
	sort.Slice(r.Counters, func(i, j int) bool {
		a, b := r.Counters[i], r.Counters[j]
		if a.Window != b.Window {
			return a.Window < b.Window
		}
		if a.Organisation != b.Organisation {
			return a.Organisation < b.Organisation
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Model < b.Model
	})
	return r
}

// assign moves usage that was counted before any window was known into the open one.
func (m *usageMeter) assign(open uint64) {
	for k, c := range m.counters {
		if k.window != 0 {
			continue
		}
		delete(m.counters, k)
		k.window = open
		to := m.counters[k]
		if to == nil {
			to = &usageCounter{}
			m.counters[k] = to
		}
		to.add(c.delivered)
	}
}

// acknowledge notes what the session has taken, and drops the counters that it says are committed and that did not grow
// since. A session says nothing about counters that it has not taken. From now on usage belongs to a newer window,
// since a counter that began again from zero would be taken for an old copy.
func (m *usageMeter) acknowledge(r *controlpb.UsageReport, ack *controlpb.UsageAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = max(m.open, ack.OpenWindow)
	m.session = ack.Session
	for _, c := range r.Counters {
		if now := m.counters[usageKey{c.Window, c.Organisation, c.Class, c.Model}]; now != nil {
			now.taken = delivered{c.Requests, c.PromptTokens, c.CachedTokens, c.OutputTokens}
			now.session = ack.Session
		}
	}
	for k, c := range m.counters {
		if k.window <= ack.SettledWindow && c.session == m.session && c.taken == c.delivered {
			delete(m.counters, k)
		}
	}
}

// demandMeter counts what organisations ask for between two reports, granted or not.
type demandMeter struct {
	mu   sync.Mutex
	byID map[string]*controlpb.Demand
}

func newDemandMeter() *demandMeter { return &demandMeter{byID: make(map[string]*controlpb.Demand)} }

func (d *demandMeter) of(organisation string) *controlpb.Demand {
	c := d.byID[organisation]
	if c == nil {
		c = &controlpb.Demand{Organisation: organisation}
		d.byID[organisation] = c
	}
	return c
}

// arrived counts one request.
func (d *demandMeter) arrived(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.of(organisation)
	c.Requests++
	c.Running++
}

// left says that a request is over.
func (d *demandMeter) left(organisation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(organisation).Running--
}

// tokens counts delivered tokens.
func (d *demandMeter) tokens(organisation string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(organisation).Tokens += uint64(n)
}

// collect returns the demand since the last call.
func (d *demandMeter) collect() []*controlpb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*controlpb.Demand
	for org, c := range d.byID {
		out = append(out, &controlpb.Demand{
			Organisation: org, Requests: c.Requests, Tokens: c.Tokens, Running: c.Running,
		})
		if c.Running == 0 {
			delete(d.byID, org)
			continue
		}
		c.Requests, c.Tokens = 0, 0
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}
