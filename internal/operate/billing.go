package operate

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/platform"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// maxRecord bounds the counters of one commit.
	maxRecord = 2000
	// reportRetry is the time between two attempts to report a window.
	reportRetry = 2 * time.Second
)

// Usage takes the usage reports of entries while this member leads.
type Usage struct {
	group  Group
	module *billing.Module

	mu        sync.Mutex
	collector *billing.Collector
	recent    map[recentKey]uint64 // output tokens, cumulative, of the newest two windows
	open      uint64               // newest of them
}

// recentKey names one counter of recent usage.
type recentKey struct {
	entry  string // with its incarnation
	window uint64
	billing.Key
}

func newUsage(cfg Config) *Usage {
	u := &Usage{group: cfg.Group, module: cfg.Billing}
	u.reset()
	return u
}

// Report takes cumulative counters of one entry incarnation: all that have changed since this session took them.
// Reporting them again is harmless.
func (u *Usage) Report(report *controlpb.UsageReport) billing.Ack {
	counters := make([]billing.Counter, 0, len(report.Counters))
	for _, c := range report.Counters {
		counters = append(counters, billing.Counter{
			Window: c.Window,
			Key:    billing.Key{Organisation: c.Organisation, Class: c.Class, Model: c.Model},
			Figures: billing.Figures{
				Requests: c.Requests, PromptTokens: c.PromptTokens,
				CachedTokens: c.CachedTokens, OutputTokens: c.OutputTokens,
			},
		})
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var ack billing.Ack
	u.group.View(func() {
		ack = u.collector.Report(report.EntryId, report.Incarnation, counters)
	})
	u.noteRecent(report.EntryId+"/"+report.Incarnation, counters, ack.OpenWindow)
	return ack
}

// noteRecent keeps the usage of the newest two windows for the shares of the organisations.
func (u *Usage) noteRecent(entry string, counters []billing.Counter, open uint64) {
	for _, c := range counters {
		u.recent[recentKey{entry, c.Window, c.Key}] = c.OutputTokens
	}
	if open != u.open {
		u.open = open
		maps.DeleteFunc(u.recent, func(k recentKey, _ uint64) bool { return k.window+1 < open })
	}
}

// shares returns each organisation's part of the recent usage of a model.
func (u *Usage) shares(model string) map[string]float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	sums := make(map[string]uint64)
	total := uint64(0)
	for k, tokens := range u.recent {
		if k.Model == model && tokens > 0 {
			sums[k.Organisation] += tokens
			total += tokens
		}
	}
	shares := make(map[string]float64, len(sums))
	for organisation, tokens := range sums {
		shares[organisation] = float64(tokens) / float64(total)
	}
	return shares
}

// pending returns counters that are to be committed.
func (u *Usage) pending() []billing.Counter {
	u.mu.Lock()
	defer u.mu.Unlock()
	var counters []billing.Counter
	u.group.View(func() { counters = u.collector.Pending(maxRecord) })
	return counters
}

// reset begins a new session.
func (u *Usage) reset() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.collector = billing.NewCollector(u.module, rand.Uint64())
	u.recent = make(map[recentKey]uint64)
}

// OpenWindow returns the number of the open window as far as this member has applied the log.
func (u *Usage) OpenWindow() uint64 {
	var open uint64
	u.group.View(func() { open = u.module.Open() })
	return open
}

// billingState is what one tenure remembers of billing.
type billingState struct {
	opened     map[uint64]time.Time // when this tenure saw each window open first
	window     uint64               // the open window
	began      time.Time            // when this tenure saw its first window
	reportedAt time.Time            // of the last attempt
	failed     uint64               // window whose last attempt has no known outcome
}

// noteWindow notices a window that is new to this tenure.
func (b *billingState) noteWindow(open uint64, now time.Time) {
	if b.opened == nil {
		b.opened = make(map[uint64]time.Time)
		b.began = now
	}
	if open != b.window {
		b.window = open
		b.opened[open] = now
	}
}

// left returns when the window after the given one was opened, as far as this tenure knows.
func (b *billingState) left(window uint64) time.Time {
	if at, ok := b.opened[window+1]; ok {
		return at
	}
	return b.began
}

// billingRound does whatever is due: open the next window, close the one before, report one window.
func (c *tenure) billingRound(ctx context.Context) error {
	b := &c.billing
	now := time.Now()
	b.noteWindow(c.op.usage.OpenWindow(), now)
	if c.op.cfg.ClockWindows {
		return c.clockRound(ctx)
	}
	if now.Sub(b.opened[b.window]) >= c.op.cfg.Window {
		return c.advance(ctx, b.window)
	}
	if window, due := c.dueWindow(); due && now.Sub(b.left(window)) >= c.op.cfg.Grace {
		return c.closeWindow(ctx, window)
	}
	return c.report(ctx)
}

// clockRound is the part of a round that depends on windows which follow the time of day.
func (c *tenure) clockRound(ctx context.Context) error {
	length := c.op.cfg.Window
	now := c.op.cfg.Wall()
	if window, due := c.dueWindow(); due && now.Sub(time.Unix(0, int64(window+1)*int64(length))) >= c.op.cfg.Grace {
		return c.closeWindow(ctx, window)
	}
	return c.report(ctx)
}

// countingRound opens the windows that follow the time of day, and commits the counters that are not committed yet. It calls
// nobody but the group, so that it need not wait for the calls of an older leader: counters that a process must keep, for
// their window isn't open or they aren't committed, are lost with it.
func (c *tenure) countingRound(ctx context.Context) error {
	if c.op.cfg.ClockWindows {
		if err := c.openCurrent(ctx); err != nil {
			return err
		}
	}
	return c.record(ctx)
}

// openCurrent opens windows up to the current one by the time of day.
func (c *tenure) openCurrent(ctx context.Context) error {
	current := uint64(c.op.cfg.Wall().UnixNano()) / uint64(c.op.cfg.Window)
	for open := c.op.usage.OpenWindow(); open < current; {
		if err := c.openNext(ctx, open, current); err != nil {
			return err
		}
		next := c.op.usage.OpenWindow()
		if next <= open {
			return nil // the group has not applied it yet
		}
		open = next
	}
	return nil
}

// openNext opens the window behind the open one, or the current one where there was none before.
func (c *tenure) openNext(ctx context.Context, open, current uint64) error {
	var isNew bool
	c.op.cfg.Group.View(func() { isNew = c.op.cfg.Billing.IsNew() })
	if !isNew {
		return c.advance(ctx, open)
	}
	_, err := c.proposeBilling(ctx, billing.Command{Begin: &billing.Begin{Window: current}})
	return err
}

func (c *tenure) dueWindow() (window uint64, due bool) {
	c.op.cfg.Group.View(func() { window, due = c.op.cfg.Billing.Due() })
	return window, due
}

// record commits the counters that are not committed yet.
func (c *tenure) record(ctx context.Context) error {
	c.counting.Lock()
	defer c.counting.Unlock()
	return c.recordAll(ctx)
}

func (c *tenure) recordAll(ctx context.Context) error {
	for {
		counters := c.op.usage.pending()
		if len(counters) == 0 {
			return nil
		}
		if _, err := c.proposeBilling(ctx, billing.Command{Record: &billing.Record{Counters: counters}}); err != nil {
			return err
		}
	}
}

// advance opens the window behind the given one.
func (c *tenure) advance(ctx context.Context, window uint64) error {
	_, err := c.proposeBilling(ctx, billing.Command{Advance: &billing.Advance{Window: window}})
	return err
}

// isForeign reports whether the platform holds figures of a window that this group has not closed yet.
func (c *tenure) isForeign(ctx context.Context, window uint64) (bool, error) {
	err := c.call(ctx, func(ctx context.Context) error {
		_, err := c.op.cfg.Platform.ReportedUsage(ctx, window)
		return err
	})
	if errors.Is(err, errors.NotFound) {
		return false, nil
	}
	return err == nil, errors.Annotatef(err, "window %d at the platform", window)
}

// skipWindow ends a window without a report.
func (c *tenure) skipWindow(ctx context.Context, window uint64) error {
	const reason = "the platform holds figures that this group never committed"
	_, err := c.proposeBilling(ctx, billing.Command{Skip: &billing.Skip{Window: window, Reason: reason}})
	c.op.cfg.Logger.Error("billing window skipped", "window", window, "reason", reason)
	return err
}

// closeWindow commits the figures of a window, with every counter that has come in.
func (c *tenure) closeWindow(ctx context.Context, window uint64) error {
	if foreign, err := c.isForeign(ctx, window); err != nil {
		return err
	} else if foreign {
		return c.skipWindow(ctx, window)
	}
	c.counting.Lock()
	defer c.counting.Unlock()
	if err := c.recordAll(ctx); err != nil {
		return err
	}
	var closing billing.Close
	var err error
	c.op.cfg.Group.View(func() { closing, err = c.op.cfg.Billing.PrepareClose(time.Now().UnixMilli()) })
	if err != nil || closing.Window != window {
		return err
	}
	result, err := c.proposeBilling(ctx, billing.Command{Close: &closing})
	if err != nil {
		return err
	}
	if result.Code == billing.CodeOK {
		delete(c.billing.opened, window)
	}
	c.op.cfg.Logger.Info("billing window closed", "window", window, "code", result.Code)
	return nil
}

// report sends the committed bytes of the oldest window that the platform has not confirmed.
func (c *tenure) report(ctx context.Context) error {
	c.showReports()
	var window billing.Window
	var ok bool
	c.op.cfg.Group.View(func() { window, ok = c.op.cfg.Billing.NextReport() })
	if !ok || time.Since(c.billing.reportedAt) < reportRetry && c.billing.failed == window.Window {
		return nil
	}
	err := c.call(ctx, func(ctx context.Context) error {
		return c.op.cfg.Platform.ReportUsage(ctx, platform.UsageReport{
			Sender: c.sender(), Window: window.Window, Body: window.Report,
		})
	})
	c.billing.reportedAt = time.Now()
	switch {
	case err == nil:
		return c.confirm(ctx, window, billing.Reported, "")
	case errors.Is(err, platform.ErrStaleFencing):
		return errOvertaken
	case errors.Is(err, platform.ErrDifferentFigures), errors.Is(err, platform.ErrInvalid):
		return c.confirm(ctx, window, billing.Disputed, err.Error())
	default:
		c.billing.failed = window.Window
		return err // the same bytes go out again
	}
}

// confirm commits the platform's answer to the report of a window.
func (c *tenure) confirm(ctx context.Context, window billing.Window, status billing.Status, reason string) error {
	c.op.showConfirmed(window, status)
	_, err := c.proposeBilling(ctx, billing.Command{Confirm: &billing.Confirm{
		Window: window.Window, Status: status, Reason: reason,
	}})
	if err == nil {
		c.op.cfg.Logger.Info("usage reported", "window", window.Window, "status", status, "reason", reason)
	}
	return err
}
