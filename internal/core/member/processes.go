package member

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// Process is the state of a process that watches the control group.
type Process struct {
	ID          string              `json:"id"`
	Incarnation string              `json:"incarnation"`
	Role        string              `json:"role"`
	Zone        string              `json:"zone"`
	Version     settings.Version    `json:"version"` // in force in the process
	Heard       time.Time           `json:"heard"`
	Direct      bool                `json:"-"` // it watches this member and not another one
	Demand      []Demand            `json:"-"`
	Work        []route.ServiceWork `json:"-"`
	Paces       []route.PaceReport  `json:"-"`
	Freshness   time.Duration       `json:"-"` // freshness limit: how long it may act on its settings after a confirmation
}

// Demand is the recent demand of one organisation at one process.
type Demand struct {
	Organisation string
	Requests     uint64
	Tokens       uint64
	Running      uint32
}

// Processes holds the processes that watch any member of the control group.
type Processes struct {
	stale     time.Duration
	retention time.Duration
	byID      map[string]Process
}

// NewProcesses returns an empty set. A process that is silent for stale, and for twice its own freshness limit, no longer
// counts as behind, since it no longer serves keyed routes. After retention, and not before, it is deleted.
func NewProcesses(stale, retention time.Duration) *Processes {
	return &Processes{stale: stale, retention: max(stale, retention), byID: make(map[string]Process)}
}

// Put stores the state of a process and reports whether the process is new or its version changed. A state older than the
// stored one is dropped, and a version never goes back within an incarnation.
func (p *Processes) Put(update Process) bool {
	old, ok := p.byID[update.ID]
	if ok && old.Heard.After(update.Heard) {
		return false
	}
	if ok && old.Incarnation == update.Incarnation && update.Version.Less(old.Version) {
		update.Version = old.Version
	}
	p.byID[update.ID] = update
	return !ok || old.Version != update.Version
}

// staleAfter returns the length of silence after which a process certainly no longer acts on its settings.
func (p *Processes) staleAfter(proc Process) time.Duration { return max(p.stale, 2*proc.Freshness) }

// Expire deletes processes that have been silent for too long.
func (p *Processes) Expire(now time.Time) {
	for id, proc := range p.byID {
		if now.Sub(proc.Heard) >= max(p.retention, p.staleAfter(proc)) {
			delete(p.byID, id)
		}
	}
}

// All returns the processes sorted by id.
func (p *Processes) All() []Process {
	out := make([]Process, 0, len(p.byID))
	for _, proc := range p.byID {
		out = append(out, proc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Behind returns the processes in which v is not in force yet, sorted by id.
func (p *Processes) Behind(v settings.Version, now time.Time) []Process {
	var out []Process
	for _, proc := range p.All() {
		if proc.Version.Less(v) && now.Sub(proc.Heard) < p.staleAfter(proc) {
			out = append(out, proc)
		}
	}
	return out
}
