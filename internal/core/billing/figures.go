// Package billing keeps usage counters, closes billing windows and decides what is reported for them.
//
// Entries count cumulatively within (entry incarnation, window), so that resending is harmless. A window is closed by
// committing its report; the committed bytes are the only ones that are ever sent for it. Usage that comes later
// goes into the next window that closes, as a stated correction.
package billing

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// Key names one line of usage.
type Key struct {
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Model        string `json:"model"`
}

// Figures are the amounts of one line. Only delivered work counts.
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

// Sub returns the difference; g is never above f in any amount.
func (f Figures) Sub(g Figures) Figures {
	return Figures{
		Requests:     f.Requests - g.Requests,
		PromptTokens: f.PromptTokens - g.PromptTokens,
		CachedTokens: f.CachedTokens - g.CachedTokens,
		OutputTokens: f.OutputTokens - g.OutputTokens,
	}
}

// merge returns the higher of each amount, so that a late copy of an older counter changes nothing.
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

// slot identifies a counter.
type slot struct {
	entry       string
	incarnation string
	window      uint64
	key         Key
}

func (c Counter) slot() slot {
	return slot{entry: c.Entry, incarnation: c.Incarnation, window: c.Window, key: c.Key}
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Model, b.Model),
	)
}

func compareSlots(a, b slot) int {
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

// Correction is usage of an earlier window that came after its report was committed.
type Correction struct {
	Window uint64 `json:"window"`
	Line
}

// Report is what the platform gets for one window. Its committed bytes never change.
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

// ParseReport reads the bytes of a report.
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

// buildReport turns unbilled usage into the report of window.
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
