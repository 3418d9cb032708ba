// Package meter counts the usage of organisations, cumulatively per billing window, and reports it to the control group.
//
// Counters of one incarnation only grow, so that reports are idempotent. A counter is kept until the control group has
// committed it, and reported when it has changed or when a new session of the control group's collector needs it.
package meter

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/guavastack/guavastack/internal/telemetry"
	"github.com/guavastack/guavastack/proto/controlpb"
)

// flushTimeout bounds the last report of a process that shuts down.
const flushTimeout = 5 * time.Second

// Key identifies a counter.
type Key struct {
	Window       uint64 // 0: the open one
	Organisation string
	Class        string
	Model        string
}

// Amounts are the billed quantities of one or more requests.
type Amounts struct {
	Requests     uint64
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
}

func (a *Amounts) add(b Amounts) {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.CachedTokens += b.CachedTokens
	a.OutputTokens += b.OutputTokens
}

// Sink receives the reports.
type Sink interface {
	// OpenWindow returns the number of the open billing window, 0 while it is unknown.
	OpenWindow() uint64
	// ReportUsage sends cumulative counters. It is idempotent.
	ReportUsage(ctx context.Context, report *controlpb.UsageReport) (*controlpb.UsageAck, error)
}

// Config configures a Meter.
type Config struct {
	ID          string // of the process
	Incarnation string
	Interval    time.Duration // between reports
	Logger      *slog.Logger
}

// counter is a counter and its last acknowledged value.
type counter struct {
	Amounts
	acked   Amounts // value last acknowledged
	session uint64  // session of the collector that acknowledged it
}

// Meter counts and reports usage. It is safe for concurrent use.
type Meter struct {
	cfg  Config
	sink Sink

	mu       sync.Mutex
	counters map[Key]*counter
	session  uint64 // session of the collector that acknowledged the last report
	open     uint64 // newest open window in an acknowledgement; settled windows are below it
}

// New returns a meter that reports once Run is called.
func New(cfg Config, sink Sink) *Meter {
	return &Meter{cfg: cfg, sink: sink, counters: make(map[Key]*counter)}
}

// Add adds amounts to a counter.
func (m *Meter) Add(key Key, a Amounts) {
	known := m.sink.OpenWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	if key.Window == 0 {
		key.Window = max(known, m.open)
	}
	c := m.counters[key]
	if c == nil {
		c = &counter{}
		m.counters[key] = c
	}
	c.add(a)
}

// Run sends reports until ctx is done.
func (m *Meter) Run(ctx context.Context) {
	tick := time.NewTicker(m.cfg.Interval)
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

// Flush sends the last report when the process shuts down.
func (m *Meter) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m.report(ctx)
}

// report sends the counters that the control group needs. While any counter is kept, it sends a report even if it is empty: the
// acknowledgement states which windows are settled.
func (m *Meter) report(ctx context.Context) {
	r := m.snapshot(m.sink.OpenWindow())
	if r == nil {
		return
	}
	ack, err := m.sink.ReportUsage(ctx, r)
	if err != nil {
		if ctx.Err() == nil {
			m.cfg.Logger.Warn("usage report failed; it will be sent again", telemetry.KeyError, err.Error())
		}
		return
	}
	if !ack.Accepted {
		m.cfg.Logger.Error("usage reported too late to be billed", "open_window", ack.OpenWindow)
	}
	m.acknowledge(r, ack)
}

// snapshot returns the report to send, or nil if none is needed. open is the number of the open window, 0 while it is unknown.
func (m *Meter) snapshot(open uint64) *controlpb.UsageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	if open == 0 {
		return nil
	}
	m.assignWindow(open)
	if len(m.counters) == 0 {
		return nil
	}
	r := &controlpb.UsageReport{EntryId: m.cfg.ID, Incarnation: m.cfg.Incarnation}
	for k, c := range m.counters {
		if k.Window > max(open, m.open) {
			continue // ahead of the control group's clock
		}
		if c.session == m.session && c.acked == c.Amounts {
			continue
		}
		r.Counters = append(r.Counters, &controlpb.UsageCounter{
			Window:       k.Window,
			Organisation: k.Organisation,
			Class:        k.Class,
			Model:        k.Model,
			Requests:     c.Requests,
			PromptTokens: c.PromptTokens,
			CachedTokens: c.CachedTokens,
			OutputTokens: c.OutputTokens,
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

// assignWindow moves usage counted before any window was known into the open one. mu must be held.
func (m *Meter) assignWindow(open uint64) {
	for k, c := range m.counters {
		if k.Window != 0 {
			continue
		}
		delete(m.counters, k)
		k.Window = open
		to := m.counters[k]
		if to == nil {
			to = &counter{}
			m.counters[k] = to
		}
		to.add(c.Amounts)
	}
}

// acknowledge records the counters that the session has received, and drops those that are committed and have not grown
// since. The acknowledgement does not cover counters that the session has not received. It also advances the open window:
// if a dropped counter started from zero again in its old window, its reports would be taken for outdated copies.
func (m *Meter) acknowledge(r *controlpb.UsageReport, ack *controlpb.UsageAck) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open = max(m.open, ack.OpenWindow)
	m.session = ack.Session
	for _, c := range r.Counters {
		if current := m.counters[Key{c.Window, c.Organisation, c.Class, c.Model}]; current != nil {
			current.acked = Amounts{c.Requests, c.PromptTokens, c.CachedTokens, c.OutputTokens}
			current.session = ack.Session
		}
	}
	for k, c := range m.counters {
		if k.Window <= ack.SettledWindow && c.session == m.session && c.acked == c.Amounts {
			delete(m.counters, k)
		}
	}
}
