package member

import (
	"sort"
	"time"

	"github.com/guavastack/guavastack/internal/core/route"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// Process is a process that watches the control group.
type Process struct {
	ID          string           `json:"id"`
	Incarnation string           `json:"incarnation"`
	Role        string           `json:"role"`
	Zone        string           `json:"zone"`
	Version     settings.Version `json:"version"` // in force there
	Heard       time.Time        `json:"heard"`
	First       bool             `json:"-"` // it watches this member, rather than another one
	Demand      []Demand         `json:"-"`
	Lanes       []ServiceWork    `json:"-"`
	Freshness   time.Duration    `json:"-"` // how long it acts on a confirmed view
}

// ServiceWork is what one process sent to the lanes of one service lately.
type ServiceWork struct {
	Service string
	route.LaneWork
}

// Demand is what one organisation asked of one process lately.
type Demand struct {
	Organisation string
	Requests     uint64
	Tokens       uint64
	Running      uint32
}

// Processes holds the processes that watch any member of the control group.
type Processes struct {
	stale  time.Duration
	memory time.Duration
	byID   map[string]Process
}

// NewProcesses returns an empty set. A process that is silent for stale, and for twice its own freshness limit, no longer
// counts as behind: it serves no keyed route any more. After memory it is forgotten.
func NewProcesses(stale, memory time.Duration) *Processes {
	return &Processes{stale: stale, memory: max(stale, memory), byID: make(map[string]Process)}
}

// Put takes news of a process and reports whether its version is another one. Older news than what is known is
// dropped, and a version never falls within an incarnation.
func (p *Processes) Put(news Process) bool {
	old, ok := p.byID[news.ID]
	if ok && old.Heard.After(news.Heard) {
		return false
	}
	if ok && old.Incarnation == news.Incarnation && news.Version.Less(old.Version) {
		news.Version = old.Version
	}
	p.byID[news.ID] = news
	return !ok || old.Version != news.Version
}

// staleAfter returns the silence after which a process surely acts on its view no more.
func (p *Processes) staleAfter(proc Process) time.Duration { return max(p.stale, 2*proc.Freshness) }

// Expire forgets silent processes.
func (p *Processes) Expire(now time.Time) {
	for id, proc := range p.byID {
		if now.Sub(proc.Heard) >= max(p.memory, p.staleAfter(proc)) {
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

// Behind returns the processes in which v isn't in force yet, sorted by id.
func (p *Processes) Behind(v settings.Version, now time.Time) []Process {
	var out []Process
	for _, proc := range p.All() {
		if proc.Version.Less(v) && now.Sub(proc.Heard) < p.staleAfter(proc) {
			out = append(out, proc)
		}
	}
	return out
}
