package member

import "time"

// FreshnessTracker tracks until when a watcher's settings are fresh, so that it may act on them.
//
// Each freshness query is numbered, and its send time is kept. A confirmation proves that the watcher's version was the newest at some
// time after the query was sent. So the settings are fresh until the send time plus the limit, by the watcher's own clock
// alone.
type FreshnessTracker struct {
	limit time.Duration
	sent  map[uint64]time.Time
	last  uint64
	until time.Time
}

// NewFreshnessTracker returns a tracker of settings that aren't fresh yet; limit is how long a confirmation keeps them fresh.
func NewFreshnessTracker(limit time.Duration) *FreshnessTracker {
	return &FreshnessTracker{limit: limit, sent: make(map[uint64]time.Time)}
}

// StartQuery returns the number of a new query, which is sent at now. Queries that are too old to extend the freshness are
// dropped.
func (t *FreshnessTracker) StartQuery(now time.Time) uint64 {
	for n, at := range t.sent {
		if now.Sub(at) >= t.limit {
			delete(t.sent, n)
		}
	}
	t.last++
	t.sent[t.last] = now
	return t.last
}

// Confirm records the confirmation of a query and returns until when the settings are fresh.
func (t *FreshnessTracker) Confirm(query uint64) time.Time {
	at, ok := t.sent[query]
	if !ok {
		return t.until
	}
	for n := range t.sent {
		if n <= query {
			delete(t.sent, n)
		}
	}
	if until := at.Add(t.limit); until.After(t.until) {
		t.until = until
	}
	return t.until
}
