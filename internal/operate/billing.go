package operate

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/billing"
	"github.com/guavastack/guavastack/internal/platformclient"
	"github.com/guavastack/guavastack/proto/controlpb"
)

const (
	// maxCountersPerCommit bounds the counters in one proposal.
	maxCountersPerCommit = 2000
	// reportRetryInterval is the minimum time between two attempts to report the same window.
	reportRetryInterval = 2 * time.Second
)

// Usage collects the usage reports of entries while this member leads.
type Usage struct {
	group  Group
	module *billing.Module

	mu        sync.Mutex
	collector *billing.Collector
	recent    map[recentKey]uint64 // cumulative output tokens of the newest two windows
	open      uint64               // newest window
}

// recentKey identifies one counter of recent usage.
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

// Report stores cumulative counters of one entry incarnation: all that have changed since this session acknowledged
// them. It is idempotent.
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
	u.recordRecent(report.EntryId+"/"+report.Incarnation, counters, ack.OpenWindow)
	return ack
}

// recordRecent keeps the usage of the newest two windows, from which shares computes the shares of the organisations.
func (u *Usage) recordRecent(entry string, counters []billing.Counter, open uint64) {
	for _, c := range counters {
		u.recent[recentKey{entry, c.Window, c.Key}] = c.OutputTokens
	}
	if open != u.open {
		u.open = open
		maps.DeleteFunc(u.recent, func(k recentKey, _ uint64) bool { return k.window+1 < open })
	}
}

// shares returns each organisation's share of the recent output tokens of a model, 0 to 1.
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

// pending returns up to maxCountersPerCommit counters that are not committed yet.
func (u *Usage) pending() []billing.Counter {
	u.mu.Lock()
	defer u.mu.Unlock()
	var counters []billing.Counter
	u.group.View(func() { counters = u.collector.Pending(maxCountersPerCommit) })
	return counters
}

// reset starts a new session: entries report all their counters again.
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

// billingState is the billing state of one tenure that is not replicated.
type billingState struct {
	opened       map[uint64]time.Time // when this tenure first saw each window open
	window       uint64               // the open window
	firstSeenAt  time.Time            // when this tenure first saw any window
	reportedAt   time.Time            // time of the last report attempt
	failedWindow uint64               // window whose last report attempt has an unknown outcome
}

// observeWindow records when this tenure first saw the window open.
func (b *billingState) observeWindow(open uint64, now time.Time) {
	if b.opened == nil {
		b.opened = make(map[uint64]time.Time)
		b.firstSeenAt = now
	}
	if open != b.window {
		b.window = open
		b.opened[open] = now
	}
}

// endedAt returns when the window after the given one was opened, or when this tenure first saw any window if that was
// later.
func (b *billingState) endedAt(window uint64) time.Time {
	if at, ok := b.opened[window+1]; ok {
		return at
	}
	return b.firstSeenAt
}

// billingRound performs one step that is due: it opens the next window, closes an ended one, or reports a closed one.
func (c *tenure) billingRound(ctx context.Context) error {
	b := &c.billing
	now := time.Now()
	b.observeWindow(c.op.usage.OpenWindow(), now)
	if c.op.cfg.ClockWindows {
		return c.clockRound(ctx)
	}
	if now.Sub(b.opened[b.window]) >= c.op.cfg.WindowLength {
		return c.openWindowAfter(ctx, b.window)
	}
	if window, due := c.dueWindow(); due && now.Sub(b.endedAt(window)) >= c.op.cfg.WindowGrace {
		return c.closeWindow(ctx, window)
	}
	return c.reportNextWindow(ctx)
}

// clockRound is billingRound for windows that follow the time of day. It opens no windows; recordingRound does.
func (c *tenure) clockRound(ctx context.Context) error {
	length := c.op.cfg.WindowLength
	now := c.op.cfg.Wall()
	if window, due := c.dueWindow(); due && now.Sub(time.Unix(0, int64(window+1)*int64(length))) >= c.op.cfg.WindowGrace {
		return c.closeWindow(ctx, window)
	}
	return c.reportNextWindow(ctx)
}

// recordingRound opens the windows that follow the time of day and commits pending counters. It calls nothing but the
// group, so it runs during a takeover, without waiting for calls of an older leader to end. Counters that a process
// must keep in memory, because their window isn't open or they aren't committed, would be lost if the process crashed
// meanwhile.
func (c *tenure) recordingRound(ctx context.Context) error {
	if c.op.cfg.ClockWindows {
		if err := c.openCurrentWindow(ctx); err != nil {
			return err
		}
	}
	return c.commitCounters(ctx)
}

// openCurrentWindow opens all windows up to the current one by the time of day.
func (c *tenure) openCurrentWindow(ctx context.Context) error {
	current := uint64(c.op.cfg.Wall().UnixNano()) / uint64(c.op.cfg.WindowLength)
	for open := c.op.usage.OpenWindow(); open < current; {
		if err := c.openNextWindow(ctx, open, current); err != nil {
			return err
		}
		next := c.op.usage.OpenWindow()
		if next <= open {
			return nil // this member has not applied the command yet
		}
		open = next
	}
	return nil
}

// openNextWindow opens the window after the open one, or the current window if none was ever open.
func (c *tenure) openNextWindow(ctx context.Context, open, current uint64) error {
	var isNew bool
	c.op.cfg.Group.View(func() { isNew = c.op.cfg.Billing.IsNew() })
	if !isNew {
		return c.openWindowAfter(ctx, open)
	}
	_, err := c.proposeBilling(ctx, billing.Command{Begin: &billing.Begin{Window: current}})
	return err
}

func (c *tenure) dueWindow() (window uint64, due bool) {
	c.op.cfg.Group.View(func() { window, due = c.op.cfg.Billing.NextToClose() })
	return window, due
}

// commitCounters commits all pending counters.
func (c *tenure) commitCounters(ctx context.Context) error {
	c.countersMu.Lock()
	defer c.countersMu.Unlock()
	return c.commitCountersLocked(ctx)
}

// commitCountersLocked commits all pending counters. The caller holds c.countersMu.
func (c *tenure) commitCountersLocked(ctx context.Context) error {
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

// openWindowAfter opens the window after the given one.
func (c *tenure) openWindowAfter(ctx context.Context, window uint64) error {
	_, err := c.proposeBilling(ctx, billing.Command{Advance: &billing.Advance{Window: window}})
	return err
}

// isAlreadyReported reports whether the platform holds figures of a window that this group has not closed yet, for
// example after a restore from an older backup.
func (c *tenure) isAlreadyReported(ctx context.Context, window uint64) (bool, error) {
	err := c.call(ctx, func(ctx context.Context) error {
		_, err := c.op.cfg.Platform.ReportedUsage(ctx, window)
		return err
	})
	if errors.Is(err, errors.NotFound) {
		return false, nil
	}
	return err == nil, errors.Annotatef(err, "query the platform for the usage of window %d", window)
}

// skipWindow closes a window without a report.
func (c *tenure) skipWindow(ctx context.Context, window uint64) error {
	const reason = "the platform holds figures that this group never committed"
	_, err := c.proposeBilling(ctx, billing.Command{Skip: &billing.Skip{Window: window, Reason: reason}})
	c.op.cfg.Logger.Error("billing window skipped", "window", window, "reason", reason)
	return err
}

// closeWindow commits the final figures of a window, which include every counter received so far. It skips a window that
// is already reported.
func (c *tenure) closeWindow(ctx context.Context, window uint64) error {
	if reported, err := c.isAlreadyReported(ctx, window); err != nil {
		return err
	} else if reported {
		return c.skipWindow(ctx, window)
	}
	c.countersMu.Lock()
	defer c.countersMu.Unlock()
	if err := c.commitCountersLocked(ctx); err != nil {
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

// reportNextWindow sends the committed report of the oldest window that the platform has not confirmed.
func (c *tenure) reportNextWindow(ctx context.Context) error {
	c.recordUnreported()
	var window billing.Window
	var ok bool
	c.op.cfg.Group.View(func() { window, ok = c.op.cfg.Billing.NextReport() })
	if !ok || time.Since(c.billing.reportedAt) < reportRetryInterval && c.billing.failedWindow == window.Window {
		return nil
	}
	err := c.call(ctx, func(ctx context.Context) error {
		return c.op.cfg.Platform.ReportUsage(ctx, platformclient.UsageReport{
			Sender: c.sender(), Window: window.Window, Body: window.Report,
		})
	})
	c.billing.reportedAt = time.Now()
	switch {
	case err == nil:
		return c.confirm(ctx, window, billing.Reported, "")
	case errors.Is(err, platformclient.ErrStaleFencing):
		return errSuperseded
	case errors.Is(err, platformclient.ErrDifferentFigures), errors.Is(err, platformclient.ErrInvalid):
		return c.confirm(ctx, window, billing.Disputed, err.Error())
	default:
		c.billing.failedWindow = window.Window
		return err // the next attempt sends the same bytes
	}
}

// confirm commits the platform's response to the report of a window.
func (c *tenure) confirm(ctx context.Context, window billing.Window, status billing.Status, reason string) error {
	c.op.recordReportDelay(window, status)
	_, err := c.proposeBilling(ctx, billing.Command{Confirm: &billing.Confirm{
		Window: window.Window, Status: status, Reason: reason,
	}})
	if err == nil {
		c.op.cfg.Logger.Info("usage reported", "window", window.Window, "status", status, "reason", reason)
	}
	return err
}
