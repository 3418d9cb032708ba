// Package billing keeps usage counters, closes billing windows and builds their reports.
//
// Counters are cumulative per (entry incarnation, window), so that resends are idempotent. A window is closed by
// committing its report; the committed bytes are the only ones that are ever sent for it. Usage that arrives later goes
// into the report of the next window that closes, as an explicit correction.
package billing

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// Key identifies one line of usage.
type Key struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Model        string `json:"model"`
}

// Figures are the amounts of one line. Only delivered work is counted.
type Figures struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	CachedTokens uint64 `json:"cached_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
}

// Add returns the sum.
func (f Figures) Add(g Figures) Figures {
	return Figures{
		Requests:     f.Requests + g.Requests,
		PromptTokens: f.PromptTokens + g.PromptTokens,
		CachedTokens: f.CachedTokens + g.CachedTokens,
		OutputTokens: f.OutputTokens + g.OutputTokens,
	}
}

// Sub returns f - g. No amount of g may exceed that of f.
func (f Figures) Sub(g Figures) Figures {
	return Figures{
		Requests:     f.Requests - g.Requests,
		PromptTokens: f.PromptTokens - g.PromptTokens,
		CachedTokens: f.CachedTokens - g.CachedTokens,
		OutputTokens: f.OutputTokens - g.OutputTokens,
	}
}

// merge returns the maximum of each amount, so that a late copy of an older counter has no effect.
func (f Figures) merge(g Figures) Figures {
	return Figures{
		Requests:     max(f.Requests, g.Requests),
		PromptTokens: max(f.PromptTokens, g.PromptTokens),
		CachedTokens: max(f.CachedTokens, g.CachedTokens),
		OutputTokens: max(f.OutputTokens, g.OutputTokens),
	}
}

// Counter is a cumulative counter of one entry incarnation in one window.
type Counter struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	Window      uint64 `json:"window"`
	Key
	Figures
}

// counterKey identifies a counter.
type counterKey struct {
	entry       string
	incarnation string
	window      uint64
	key         Key
}

func (c Counter) counterKey() counterKey {
	return counterKey{entry: c.Entry, incarnation: c.Incarnation, window: c.Window, key: c.Key}
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Model, b.Model),
	)
}

func compareCounterKeys(a, b counterKey) int {
	return cmp.Or(
		cmp.Compare(a.window, b.window),
		cmp.Compare(a.entry, b.entry),
		cmp.Compare(a.incarnation, b.incarnation),
		compareKeys(a.key, b.key),
	)
}

// Line is one line of a report.
type Line struct {
	Key
	Figures
}

// Correction is usage of an earlier window that arrived after its report was committed.
type Correction struct {
	Window uint64 `json:"window"`
	Line
}

// Report is the usage report of one window to the platform. Its committed bytes never change.
type Report struct {
	Window      uint64       `json:"window"`
	OpenedMS    int64        `json:"opened_ms"` // wall clock, milliseconds since 1970
	ClosedMS    int64        `json:"closed_ms"`
	Lines       []Line       `json:"lines"`
	Corrections []Correction `json:"corrections"`
}

// Total returns the sum of all lines and corrections.
func (r Report) Total() Figures {
	var total Figures
	for _, l := range r.Lines {
		total = total.Add(l.Figures)
	}
	for _, c := range r.Corrections {
		total = total.Add(c.Figures)
	}
	return total
}

// ParseReport decodes the JSON form of a report.
func ParseReport(data []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return Report{}, errors.NewNotValid(err, "usage report")
	}
	return r, nil
}

// lineKey identifies a line of a report under construction.
type lineKey struct {
	window uint64
	key    Key
}

// buildReport returns the report of window with the unbilled usage: lines for window, corrections for other windows.
func buildReport(window uint64, openedMS, closedMS int64, unbilled map[lineKey]Figures) Report {
	keys := make([]lineKey, 0, len(unbilled))
	for k := range unbilled {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lineKey) int {
		return cmp.Or(cmp.Compare(a.window, b.window), compareKeys(a.key, b.key))
	})
	r := Report{Window: window, OpenedMS: openedMS, ClosedMS: closedMS, Lines: []Line{}, Corrections: []Correction{}}
	for _, k := range keys {
		line := Line{Key: k.key, Figures: unbilled[k]}
		if k.window == window {
			r.Lines = append(r.Lines, line)
		} else {
			r.Corrections = append(r.Corrections, Correction{Window: k.window, Line: line})
		}
	}
	return r
}
