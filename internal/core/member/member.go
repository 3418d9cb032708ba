// Package member keeps the soft state of the control group: which backend servers are registered and which processes
// watch. Nothing of it stands in the log; it is rebuilt from reports after a restart.
package member

import (
	"sort"
	"time"
)

// Lifecycle is the state of a backend server.
type Lifecycle string

// The lifecycle of a backend server.
const (
	Joining Lifecycle = "joining"
	Ready   Lifecycle = "ready"
	Leaving Lifecycle = "leaving" // takes no new work
	Gone    Lifecycle = "gone"
)

// order is how far a lifecycle has come. Leaving and gone can't be taken back within one incarnation.
func (l Lifecycle) order() int {
	switch l {
	case Leaving:
		return 1
	case Gone:
		return 2
	default:
		return 0
	}
}

// Report is one report of a backend server's agent. Detail is the caller's own; it is kept as it is.
type Report[T any] struct {
	ID          string
	Incarnation string
	StartedMS   int64  // orders incarnations
	Sequence    uint64 // orders reports of an incarnation
	Lifecycle   Lifecycle
	Detail      T
}

// newer reports whether r comes after o.
func (r Report[T]) newer(o Report[T]) bool {
	if r.StartedMS != o.StartedMS {
		return r.StartedMS > o.StartedMS
	}
	return r.Sequence > o.Sequence
}

// Entry is one registered backend server.
type Entry[T any] struct {
	Report  Report[T]
	Stated  Lifecycle // as the agent said last; Report.Lifecycle is gone after a silence
	Heard   time.Time // when the agent sent its last report, as far as is known here
	Changed uint64    // registry version of the last change that watchers must learn
	First   bool      // the agent reports to this member, rather than to another one
}

// Registry holds the registered backend servers.
type Registry[T any] struct {
	ttl     time.Duration
	started time.Time
	version uint64
	entries map[string]*Entry[T]
}

// NewRegistry returns an empty registry whose entries are gone after ttl without a report.
func NewRegistry[T any](ttl time.Duration, now time.Time) *Registry[T] {
	return &Registry[T]{ttl: ttl, started: now, entries: make(map[string]*Entry[T])}
}

// Version rises with each change that watchers must learn.
func (r *Registry[T]) Version() uint64 { return r.version }

// Len returns the number of registered backend servers.
func (r *Registry[T]) Len() int { return len(r.entries) }

// Complete reports whether every agent had the time to report since the start. Until then a backend server that is
// missing here may well be there.
func (r *Registry[T]) Complete(now time.Time) bool { return now.Sub(r.started) >= 2*r.ttl }

// Put takes a report that was sent at heard. material says that watchers must learn of the detail. It returns false
// for a report that tells nothing new.
//
// Within an incarnation the lifecycle only moves on, whichever report is the newer one: a server may have said to one member
// that it leaves, and later, by its sequence, to another one that it is ready.
func (r *Registry[T]) Put(report Report[T], heard time.Time, first, material bool) bool {
	old, ok := r.entries[report.ID]
	if ok && !report.newer(old.Report) {
		return r.moveOn(old, report, first)
	}
	if ok && old.Report.Incarnation == report.Incarnation && old.Stated.order() > report.Lifecycle.order() {
		report.Lifecycle = old.Stated
		first = first || old.First // the reporter doesn't know it yet: this member must tell
	}
	changed := !ok || material || old.Report.Incarnation != report.Incarnation || old.Report.Lifecycle != report.Lifecycle
	entry := &Entry[T]{Report: report, Stated: report.Lifecycle, Heard: heard, First: first}
	if ok {
		entry.Changed = old.Changed
		if old.Heard.After(heard) {
			entry.Heard = old.Heard
		}
	}
	if changed {
		r.version++
		entry.Changed = r.version
	}
	r.entries[report.ID] = entry
	return true
}

// moveOn takes the lifecycle of a report that isn't newer, where it is further along in the same incarnation.
func (r *Registry[T]) moveOn(e *Entry[T], report Report[T], first bool) bool {
	if e.Report.Incarnation != report.Incarnation || report.Lifecycle.order() <= e.Stated.order() {
		return false
	}
	r.version++
	e.Changed = r.version
	e.Stated = report.Lifecycle
	e.First = e.First || first
	if e.Report.Lifecycle != Gone {
		e.Report.Lifecycle = report.Lifecycle
	}
	return true
}

// IsSilent reports whether the server counts as gone only because nothing was heard of it.
func (e Entry[T]) IsSilent() bool { return e.Report.Lifecycle == Gone && e.Stated != Gone }

// Renewal is the news that a backend server was heard with an unchanged report.
type Renewal struct {
	ID          string
	Incarnation string
	Sequence    uint64
	Lifecycle   Lifecycle // as stated in the report
}

// Renew takes the news that a backend server was heard, with nothing changed. It returns false where the report itself is
// needed: the incarnation isn't known here, it counts as gone, or another lifecycle is known here. The last happens when the
// report that changed it went to another member, and the renewal came from a third one.
func (r *Registry[T]) Renew(news Renewal, heard time.Time) bool {
	e, ok := r.entries[news.ID]
	if !ok || e.Report.Incarnation != news.Incarnation {
		return false
	}
	if e.Stated != news.Lifecycle && e.Stated.order() <= news.Lifecycle.order() {
		return false
	}
	sequence := news.Sequence
	if sequence > e.Report.Sequence {
		e.Report.Sequence = sequence
	}
	if heard.After(e.Heard) {
		e.Heard = heard
	}
	return e.Report.Lifecycle == e.Stated
}

// Expire marks entries gone that were not heard for the time to live, and forgets those gone for as long again.
func (r *Registry[T]) Expire(now time.Time) {
	for _, id := range r.ids() {
		e := r.entries[id]
		silent := now.Sub(e.Heard)
		if e.Report.Lifecycle != Gone && silent >= r.ttl {
			r.version++
			e.Report.Lifecycle, e.Changed = Gone, r.version
		}
		if e.Report.Lifecycle == Gone && silent >= 4*r.ttl {
			delete(r.entries, id)
		}
	}
}

// Get returns the entry of id.
func (r *Registry[T]) Get(id string) (Entry[T], bool) {
	e, ok := r.entries[id]
	if !ok {
		return Entry[T]{}, false
	}
	return *e, true
}

// Since returns the entries that changed after a registry version, sorted by id.
func (r *Registry[T]) Since(version uint64) []Entry[T] {
	var out []Entry[T]
	for _, id := range r.ids() {
		if e := r.entries[id]; e.Changed > version {
			out = append(out, *e)
		}
	}
	return out
}

func (r *Registry[T]) ids() []string {
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
