// Package member keeps the soft state of the control group: the registered backend servers and the watching processes.
// It is not part of the replicated log; it is rebuilt from reports after a restart.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Lifecycle is the state of a backend server.
type Lifecycle string

// The lifecycle of a backend server.
const (
	Joining Lifecycle = "joining"
	Ready   Lifecycle = "ready"
	Leaving Lifecycle = "leaving" // accepts no new work
	Gone    Lifecycle = "gone"
)

// progress returns the progress of a lifecycle, which never decreases within one incarnation: Leaving and Gone are not
// reverted.
func (l Lifecycle) progress() int {
	switch l {
	case Leaving:
		return 1
	case Gone:
		return 2
	default:
		return 0
	}
}

// Report is one report of a backend server's agent. Detail is opaque to this package.
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

// Registration is one registered backend server.
type Registration[T any] struct {
	Report            Report[T]
	ReportedLifecycle Lifecycle // as last reported by the agent; Report.Lifecycle is Gone when reports have stopped
	Heard             time.Time // send time of the agent's last known report or renewal
	Changed           uint64    // registry version of the last change that watchers must receive
	Direct            bool      // the agent reports to this member and not to another one
}

// Registry holds the registered backend servers.
type Registry[T any] struct {
	ttl           time.Duration
	started       time.Time
	version       uint64
	registrations map[string]*Registration[T]
	changes       []change // by ascending version; holds at least the last change of each registration
}

// change is one change that watchers must receive.
type change struct {
	version uint64
	id      string
}

// NewRegistry returns an empty registry. It marks backend servers as Gone after ttl without a report.
func NewRegistry[T any](ttl time.Duration, now time.Time) *Registry[T] {
	return &Registry[T]{ttl: ttl, started: now, registrations: make(map[string]*Registration[T])}
}

// Version returns the registry version, which rises with each change that watchers must receive.
func (r *Registry[T]) Version() uint64 { return r.version }

// Len returns the number of registered backend servers.
func (r *Registry[T]) Len() int { return len(r.registrations) }

// IsComplete reports whether every agent has had time to report since the start. Until then a backend server that is
// missing from the registry may be running.
func (r *Registry[T]) IsComplete(now time.Time) bool { return now.Sub(r.started) >= 2*r.ttl }

// Put stores a report that was sent at heard. direct means that the agent reported to this member, material that watchers
// must receive the detail. Put returns false for a report that is neither newer nor advances the lifecycle.
//
// Within an incarnation the lifecycle never goes back, whichever report is newer: a server may have reported to one
// member that it is leaving, and later, by its sequence, to another one that it is ready.
func (r *Registry[T]) Put(report Report[T], heard time.Time, direct, material bool) bool {
	old, ok := r.registrations[report.ID]
	if ok && !report.newer(old.Report) {
		return r.advanceLifecycle(old, report, direct)
	}
	if ok && old.Report.Incarnation == report.Incarnation && old.ReportedLifecycle.progress() > report.Lifecycle.progress() {
		report.Lifecycle = old.ReportedLifecycle
		direct = direct || old.Direct // the reporting member hasn't seen it yet, so this member must announce it
	}
	changed := !ok || material || old.Report.Incarnation != report.Incarnation || old.Report.Lifecycle != report.Lifecycle
	reg := &Registration[T]{Report: report, ReportedLifecycle: report.Lifecycle, Heard: heard, Direct: direct}
	if ok {
		reg.Changed = old.Changed
		if old.Heard.After(heard) {
			reg.Heard = old.Heard
		}
	}
	r.registrations[report.ID] = reg
	if changed {
		r.markChanged(reg)
	}
	return true
}

// markChanged records that watchers must receive a registration.
func (r *Registry[T]) markChanged(reg *Registration[T]) {
	r.version++
	reg.Changed = r.version
	r.changes = append(r.changes, change{r.version, reg.Report.ID})
	if len(r.changes) > 2*len(r.registrations)+minKeptChanges {
		r.changes = slices.DeleteFunc(r.changes, func(c change) bool { return !r.isLast(c) })
	}
}

// minKeptChanges is the number of changes that are kept even if there are few registrations.
const minKeptChanges = 64

// isLast reports whether c is the last change of a registration.
func (r *Registry[T]) isLast(c change) bool {
	reg, ok := r.registrations[c.id]
	return ok && reg.Changed == c.version
}

// advanceLifecycle applies the lifecycle of a report that isn't newer, if it is further along in the same incarnation.
func (r *Registry[T]) advanceLifecycle(reg *Registration[T], report Report[T], direct bool) bool {
	if reg.Report.Incarnation != report.Incarnation || report.Lifecycle.progress() <= reg.ReportedLifecycle.progress() {
		return false
	}
	r.markChanged(reg)
	reg.ReportedLifecycle = report.Lifecycle
	reg.Direct = reg.Direct || direct
	if reg.Report.Lifecycle != Gone {
		reg.Report.Lifecycle = report.Lifecycle
	}
	return true
}

// IsSilent reports whether the server counts as gone only because its reports stopped.
func (reg Registration[T]) IsSilent() bool {
	return reg.Report.Lifecycle == Gone && reg.ReportedLifecycle != Gone
}

// Renewal is a heartbeat of a backend server whose report has not changed.
type Renewal struct {
	ID          string
	Incarnation string
	Sequence    uint64
	Lifecycle   Lifecycle // as in the report
}

// Renew applies a renewal that was sent at heard. It returns false if the report itself is needed: the incarnation is not
// registered here, it counts as gone, or another lifecycle is registered here. The last happens when the report that
// changed it went to another member, and the renewal came from a third one.
func (r *Registry[T]) Renew(renewal Renewal, heard time.Time) bool {
	reg, ok := r.registrations[renewal.ID]
	if !ok || reg.Report.Incarnation != renewal.Incarnation {
		return false
	}
	if reg.ReportedLifecycle != renewal.Lifecycle && reg.ReportedLifecycle.progress() <= renewal.Lifecycle.progress() {
		return false
	}
	sequence := renewal.Sequence
	if sequence > reg.Report.Sequence {
		reg.Report.Sequence = sequence
	}
	if heard.After(reg.Heard) {
		reg.Heard = heard
	}
	return reg.Report.Lifecycle == reg.ReportedLifecycle
}

// Expire marks registrations as Gone that were silent for the time to live, and deletes those in Gone that were silent for
// four times as long.
func (r *Registry[T]) Expire(now time.Time) {
	for _, id := range r.ids() {
		reg := r.registrations[id]
		silent := now.Sub(reg.Heard)
		if reg.Report.Lifecycle != Gone && silent >= r.ttl {
			reg.Report.Lifecycle = Gone
			r.markChanged(reg)
		}
		if reg.Report.Lifecycle == Gone && silent >= 4*r.ttl {
			delete(r.registrations, id)
		}
	}
}

// Get returns the registration of id.
func (r *Registry[T]) Get(id string) (Registration[T], bool) {
	reg, ok := r.registrations[id]
	if !ok {
		return Registration[T]{}, false
	}
	return *reg, true
}

// Since returns the registrations that changed after a registry version, sorted by id. Its cost depends on the number of changes since.
func (r *Registry[T]) Since(version uint64) []Registration[T] {
	first, _ := slices.BinarySearchFunc(r.changes, version+1, func(c change, v uint64) int { return cmp.Compare(c.version, v) })
	var out []Registration[T]
	for _, c := range r.changes[first:] {
		if r.isLast(c) {
			out = append(out, *r.registrations[c.id])
		}
	}
	slices.SortFunc(out, func(a, b Registration[T]) int { return cmp.Compare(a.Report.ID, b.Report.ID) })
	return out
}

// Each calls f for each registration, in no particular order.
func (r *Registry[T]) Each(f func(*Registration[T])) {
	for _, reg := range r.registrations {
		f(reg)
	}
}

func (r *Registry[T]) ids() []string { return slices.Sorted(maps.Keys(r.registrations)) }
