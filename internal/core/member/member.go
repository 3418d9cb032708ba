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
// for a report that is older than what is known.
func (r *Registry[T]) Put(report Report[T], heard time.Time, first, material bool) bool {
	old, ok := r.entries[report.ID]
	if ok && !report.newer(old.Report) {
		return false
	}
	if ok && old.Report.Incarnation == report.Incarnation && old.Stated.order() > report.Lifecycle.order() {
		report.Lifecycle = old.Stated
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

// Renew takes the news that the agent of id was heard, with nothing changed. It returns false where the report
// itself is needed: the incarnation isn't known here, or it counts as gone.
func (r *Registry[T]) Renew(id, incarnation string, sequence uint64, heard time.Time) bool {
	e, ok := r.entries[id]
	if !ok || e.Report.Incarnation != incarnation {
		return false
	}
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
