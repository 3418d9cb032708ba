package member

import "time"

// View is what a watcher knows of the newest settings: it may act on them until the view is no longer fresh.
//
// A question is numbered and its send time kept. A confirmation of it proves that the watcher's version was the newest
// at some moment after the question was sent; so the view is fresh until that time plus the limit, by the watcher's
// own clock alone.
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

// Ask returns the number of a question that is sent at now. Questions that can prove nothing any more are dropped.
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

// Confirm takes the answer to a question and returns until when the view is fresh.
func (v *View) Confirm(question uint64) time.Time {
	at, ok := v.sent[question]
	if !ok {
		return v.until
	}
	for n := range v.sent {
		if n <= question {
			delete(v.sent, n)
		}
	}
	if until := at.Add(v.limit); until.After(v.until) {
		v.until = until
	}
	return v.until
}
