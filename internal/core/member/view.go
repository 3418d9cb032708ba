package member

import "time"

// View tracks until when a watcher's settings are fresh, so that it may act on them.
//
// Each query is numbered and its send time kept. A confirmation proves that the watcher's version was the newest at some
// time after the query was sent. So the view is fresh until the send time plus the limit, by the watcher's own clock
// alone.
type View struct {
	limit time.Duration
	sent  map[uint64]time.Time
	last  uint64
	until time.Time
}

// NewView returns a view that isn't fresh.
func NewView(limit time.Duration) *View {
	return &View{limit: limit, sent: make(map[uint64]time.Time)}
}

// Ask returns the number of a new query, which is sent at now. Queries that are too old to extend the freshness are
// dropped.
func (v *View) Ask(now time.Time) uint64 {
	for n, at := range v.sent {
		if now.Sub(at) >= v.limit {
			delete(v.sent, n)
		}
	}
	v.last++
	v.sent[v.last] = now
	return v.last
}

// Confirm records the confirmation of a query and returns until when the view is fresh.
func (v *View) Confirm(query uint64) time.Time {
	at, ok := v.sent[query]
	if !ok {
		return v.until
	}
	for n := range v.sent {
		if n <= query {
			delete(v.sent, n)
		}
	}
	if until := at.Add(v.limit); until.After(v.until) {
		v.until = until
	}
	return v.until
}
