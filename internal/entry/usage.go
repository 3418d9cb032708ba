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

// keptWindows is how many billing windows an entry goes on reporting after they closed; the control group takes late
// usage as a correction.
const keptWindows = 3

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

// usageMeter counts what was delivered, cumulatively per window, and reports it. Counters of one incarnation only
// grow, so that a report may be sent again.
type usageMeter struct {
	cfg Config
	dir Directory

	mu       sync.Mutex
	counters map[usageKey]*delivered
	dirty    bool
}

func newUsageMeter(cfg Config, dir Directory) *usageMeter {
	return &usageMeter{cfg: cfg, dir: dir, counters: make(map[usageKey]*delivered)}
}

// add counts d for x in the open window.
func (m *usageMeter) add(x *exchange, d delivered) {
	key := usageKey{m.dir.OpenWindow(), x.organisation, x.class.Name, x.model}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[key]
	if c == nil {
		c = &delivered{}
		m.counters[key] = c
	}
	c.requests += d.requests
	c.promptTokens += d.promptTokens
	c.cachedTokens += d.cachedTokens
	c.outputTokens += d.outputTokens
	m.dirty = true
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

// report sends all counters when some changed since the last report that was taken.
func (m *usageMeter) report(ctx context.Context) {
	r := m.snapshot()
	if r == nil {
		return
	}
	ack, err := m.dir.ReportUsage(ctx, r)
	if err != nil || !ack.Accepted {
		m.mu.Lock()
		m.dirty = true
		m.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			m.cfg.Logger.Warn("usage report failed; it will be sent again", telemetry.KeyError, err.Error())
		}
		return
	}
	m.prune(ack.OpenWindow)
}

// snapshot returns the report to send, nil when nothing changed.
func (m *usageMeter) snapshot() *controlpb.UsageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dirty {
		return nil
	}
	m.dirty = false
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

// prune forgets windows that closed long ago and whose figures were taken.
func (m *usageMeter) prune(open uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dirty {
		return
	}
	for k := range m.counters {
		if k.window+keptWindows < open {
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
