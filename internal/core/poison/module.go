package poison

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/state"
)

// ModuleName is the value of state.Command.Module for this module's commands.
const ModuleName = "poison"

// Command reports observations of a gateway, or carries out a decision of the leader. Each command may be committed twice without
// harm.
type Command struct {
	Crashes  []ServerCrash `json:"crashes,omitempty"`
	Begun    []uint64      `json:"begun,omitempty"`    // listed parts of which an answer has begun
	Answered []uint64      `json:"answered,omitempty"` // listed parts that were answered completely since they were listed
	Block    []uint64      `json:"block,omitempty"`    // parts to block
	Expire   bool          `json:"expire,omitempty"`   // for a command that only removes what has expired, as every command does
}

// ServerCrash is the crash of one incarnation of a server, with the parts under which it crashed as one gateway observed it.
type ServerCrash struct {
	Crash
	Parts []CrashedPart `json:"parts"`
}

// CrashedPart is a part of the prompt of a request that a crash broke off.
type CrashedPart struct {
	Part  uint64 `json:"part"`
	Depth int    `json:"depth"` // position in the prompt; 0 is the first part
	Begun bool   `json:"begun"` // an answer to a request with it has begun at the gateway
}

// IsEmpty reports whether the command does nothing.
func (c *Command) IsEmpty() bool {
	return len(c.Crashes)+len(c.Begun)+len(c.Answered)+len(c.Block) == 0 && !c.Expire
}

// Module is the list of parts in the replicated state machine.
type Module struct {
	byPart map[uint64]*Suspect
	list   *List // what gateways are told
}

// NewModule returns a module with an empty list.
func NewModule() *Module {
	m := &Module{}
	m.Reset()
	return m
}

// Name implements state.Module.
func (m *Module) Name() string { return ModuleName }

// List returns the current list. A list of the same version may have other crashes.
func (m *Module) List() *List { return m.list }

// suspects returns copies of the suspects for which keep returns true, by ascending part.
func (m *Module) suspects(keep func(*Suspect) bool) []Suspect {
	var out []Suspect
	for _, part := range slices.Sorted(maps.Keys(m.byPart)) {
		if s := m.byPart[part]; keep(s) {
			suspect := *s
			suspect.Crashes = slices.Clone(s.Crashes)
			out = append(out, suspect)
		}
	}
	return out
}

// renewList renews the list after a command. Its version grows only if gateways would see a difference.
func (m *Module) renewList() {
	next := &List{Version: m.list.Version, Suspects: m.suspects((*Suspect).isListed)}
	if !next.hasSameParts(m.list) {
		next.Version++
	}
	m.list = next
}

// Apply implements state.Module.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "command for poisonous parts")
	}
	maps.DeleteFunc(m.byPart, func(_ uint64, s *Suspect) bool { return s.expiresAt() <= cmd.AtMS })
	for _, crash := range c.Crashes {
		m.recordCrash(crash)
	}
	for _, part := range c.Begun {
		if s := m.byPart[part]; s != nil {
			s.Begun = true
		}
	}
	for _, part := range c.Answered {
		delete(m.byPart, part)
	}
	for _, part := range c.Block {
		m.block(part, cmd.AtMS)
	}
	m.renewList()
	return json.RawMessage(`{}`), nil
}

// recordCrash adds a crash to each of its parts, or only to those that are blocked if one is: it explains the crash.
func (m *Module) recordCrash(c ServerCrash) {
	explained := m.isExplained(c.Server)
	for _, p := range c.Parts {
		if s := m.byPart[p.Part]; s != nil && s.IsBlocked() {
			s.addCrash(c.Crash)
			explained = true
		}
	}
	if explained {
		m.forgetCrashes([]Crash{c.Crash})
		return
	}
	for _, p := range c.Parts {
		s := m.byPart[p.Part]
		if s == nil {
			s = &Suspect{Part: p.Part}
			m.byPart[p.Part] = s
		}
		s.Depth = max(s.Depth, p.Depth)
		s.Begun = s.Begun || p.Begun
		s.addCrash(c.Crash)
	}
	m.enforceBound()
}

// isExplained reports whether a server crashed under a blocked part.
func (m *Module) isExplained(server string) bool {
	for _, s := range m.byPart {
		if s.IsBlocked() && slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.Server == server }) {
			return true
		}
	}
	return false
}

// block blocks a part if it is listed, and clears the other parts of its crashes.
func (m *Module) block(part uint64, atMS int64) {
	s := m.byPart[part]
	if s == nil || s.IsBlocked() {
		return
	}
	s.BlockedAtMS = max(atMS, 1)
	m.forgetCrashes(s.Crashes)
}

// forgetCrashes removes crashes from all parts that are not blocked. Parts without a crash are no longer listed.
func (m *Module) forgetCrashes(explained []Crash) {
	maps.DeleteFunc(m.byPart, func(_ uint64, s *Suspect) bool {
		if s.IsBlocked() {
			return false
		}
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool {
			return slices.ContainsFunc(explained, func(e Crash) bool { return e.Server == c.Server })
		})
		return len(s.Crashes) == 0
	})
}

// enforceBound removes the parts with the fewest crashes, the oldest first, until maxSuspects are left. Blocked parts stay.
func (m *Module) enforceBound() {
	extra := len(m.byPart) - maxSuspects
	if extra <= 0 {
		return
	}
	var open []*Suspect
	for _, s := range m.byPart {
		if !s.IsBlocked() {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *Suspect) int {
		return cmp.Or(
			cmp.Compare(len(a.Crashes), len(b.Crashes)),
			cmp.Compare(a.expiresAt(), b.expiresAt()),
			cmp.Compare(a.Part, b.Part),
		)
	})
	for _, s := range open[:min(extra, len(open))] {
		delete(m.byPart, s.Part)
	}
}

// snapshot is the JSON form of a Module.
type snapshot struct {
	Version  uint64    `json:"version"`
	Suspects []Suspect `json:"suspects"`
}

// Snapshot implements state.Module.
func (m *Module) Snapshot() (json.RawMessage, error) {
	return json.Marshal(snapshot{m.list.Version, m.suspects(func(*Suspect) bool { return true })})
}

// Restore implements state.Module.
func (m *Module) Restore(data json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.NewNotValid(err, "snapshot of poisonous parts")
	}
	m.Reset()
	for i := range s.Suspects {
		m.byPart[s.Suspects[i].Part] = &s.Suspects[i]
	}
	m.list = &List{Version: s.Version, Suspects: m.suspects((*Suspect).isListed)}
	return nil
}

// Reset implements state.Resetter: snapshots of earlier versions of the program do not contain the module.
func (m *Module) Reset() { m.byPart, m.list = make(map[uint64]*Suspect), &List{} }
