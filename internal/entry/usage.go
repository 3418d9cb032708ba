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

// usageMeter counts what was delivered, cumulatively per window, and reports it. Counters of one incarnation only
// grow, so that a report may be sent again; every counter is reported until the control group has committed it.
type usageMeter struct {
	cfg Config
	dir Directory

	mu       sync.Mutex
	counters map[usageKey]*delivered
	open     uint64 // newest open window that an acknowledgement named; settled windows are below it
}

func newUsageMeter(cfg Config, dir Directory) *usageMeter {
	return &usageMeter{cfg: cfg, dir: dir, counters: make(map[usageKey]*delivered)}
}

// add counts d for x in the open window.
func (m *usageMeter) add(x *exchange, d delivered) {
	known := m.dir.OpenWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	key := usageKey{max(known, m.open), x.organisation, x.class.Name, x.model}
	c := m.counters[key]
	if c == nil {
		c = &delivered{}
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

// report sends all counters that are not settled.
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
	m.forget(r, ack)
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
			to = &delivered{}
			m.counters[k] = to
		}
		to.add(*c)
	}
}

// forget drops the counters of settled windows that did not grow since their report. From now on usage belongs to a
// newer window, since a counter that began again from zero would be taken for an old copy.
func (m *usageMeter) forget(r *controlpb.UsageReport, ack *controlpb.UsageAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = max(m.open, ack.OpenWindow)
	for _, c := range r.Counters {
		k := usageKey{c.Window, c.Organisation, c.Class, c.Model}
		reported := delivered{c.Requests, c.PromptTokens, c.CachedTokens, c.OutputTokens}
		if now := m.counters[k]; now != nil && c.Window <= ack.SettledWindow && *now == reported {
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
