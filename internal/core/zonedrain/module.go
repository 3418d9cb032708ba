package zonedrain

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/state"
)

// ModuleName is the value of state.Command.Module for this module's commands.
const ModuleName = "zone_drain"

// Command orders that the drain of a zone begins or ends.
type Command struct {
	Zone    string `json:"zone"`
	Drained bool   `json:"drained"`
	// Base is the revision of the zone on which the order is based. The command has no effect if the zone has another revision when it is
	// applied, since a newer order was accepted meanwhile.
	Base uint64 `json:"base"`
	By   string `json:"by"` // who gives the order
}

// Result is the result of a command.
type Result string

// Results of commands.
const (
	Accepted  Result = "accepted"  // the order is in force, also if it changed nothing
	Overtaken Result = "overtaken" // there is a newer order on the zone
	Full      Result = "full"      // the drain cannot begin: too many other zones are drained
	Invalid   Result = "invalid"   // no zone can have the name
)

// Outcome is the result of a command and the state of its zone.
type Outcome struct {
	Result   Result `json:"result"`
	Revision uint64 `json:"revision"` // of the zone after the command
}

// zone is the newest order on a zone.
type zone struct {
	Revision uint64 `json:"revision"` // number of the order
	Drained  bool   `json:"drained"`
	SinceMS  int64  `json:"since_ms,omitempty"` // like Drain; valid if Drained
	By       string `json:"by,omitempty"`
}

// Module holds the newest order on each zone.
//
// All accepted orders have one sequence of numbers, and the number of its newest order is the revision of a zone. An order counts even if
// it changes nothing, so that an older one that arrives later has no effect.
type Module struct {
	orders uint64 // accepted
	floor  uint64 // revision of the zones that are not in byName; not below that of any zone that was removed from it
	byName map[string]zone
	list   *List
}

// NewModule returns a module without drains.
func NewModule() *Module {
	m := &Module{}
	m.Reset()
	return m
}

// Name implements state.Module.
func (m *Module) Name() string { return ModuleName }

// List returns the drains in force.
func (m *Module) List() *List { return m.list }

// Revision returns the revision of a zone, on which the next order on it is based.
func (m *Module) Revision(name string) uint64 {
	if z, ok := m.byName[name]; ok {
		return z.Revision
	}
	return m.floor
}

// HasOrder reports whether an order on a zone is stored.
func (m *Module) HasOrder(name string) bool {
	_, ok := m.byName[name]
	return ok
}

// Apply implements state.Module.
func (m *Module) Apply(_ uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "command for drains of zones")
	}
	result := m.apply(&c, cmd.AtMS)
	return json.Marshal(Outcome{Result: result, Revision: m.Revision(c.Zone)})
}

func (m *Module) apply(c *Command, atMS int64) Result {
	if ValidateZone(c.Zone) != nil {
		return Invalid
	}
	if c.Base != m.Revision(c.Zone) {
		return Overtaken
	}
	old, known := m.byName[c.Zone]
	if !known && !m.makeRoom() {
		if c.Drained {
			return Full
		}
		m.orders++
		m.floor = m.orders // the zone cannot be stored; older orders on it must still have no effect
		return Accepted
	}
	m.orders++
	next := zone{Revision: m.orders, Drained: c.Drained}
	switch {
	case c.Drained && old.Drained:
		next.SinceMS, next.By = old.SinceMS, old.By
	case c.Drained:
		next.SinceMS, next.By = atMS, c.By
	}
	m.byName[c.Zone] = next
	if old.Drained != c.Drained {
		m.list = m.newList(m.list.Revision + 1)
	}
	return Accepted
}

// makeRoom removes the zone with the oldest order, except drained ones, if there are too many zones. It returns false if all are drained.
func (m *Module) makeRoom() bool {
	if len(m.byName) < maxZones {
		return true
	}
	oldest := ""
	for name, z := range m.byName {
		if !z.Drained && (oldest == "" || z.Revision < m.byName[oldest].Revision) {
			oldest = name
		}
	}
	if oldest == "" {
		return false
	}
	m.floor = max(m.floor, m.byName[oldest].Revision)
	delete(m.byName, oldest)
	return true
}

func (m *Module) newList(revision uint64) *List {
	list := &List{Revision: revision}
	for _, name := range slices.Sorted(maps.Keys(m.byName)) {
		if z := m.byName[name]; z.Drained {
			list.Drains = append(list.Drains, Drain{Zone: name, SinceMS: z.SinceMS, By: z.By})
		}
	}
	return list
}

// snapshot is the JSON form of a Module.
type snapshot struct {
	Orders       uint64          `json:"orders"`
	Floor        uint64          `json:"floor"`
	Zones        map[string]zone `json:"zones"`
	ListRevision uint64          `json:"list_revision"`
}

// Snapshot implements state.Module.
func (m *Module) Snapshot() (json.RawMessage, error) {
	return json.Marshal(snapshot{Orders: m.orders, Floor: m.floor, Zones: m.byName, ListRevision: m.list.Revision})
}

// Restore implements state.Module.
func (m *Module) Restore(data json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.NewNotValid(err, "snapshot of drains of zones")
	}
	m.Reset()
	m.orders, m.floor = s.Orders, s.Floor
	maps.Copy(m.byName, s.Zones)
	m.list = m.newList(s.ListRevision)
	return nil
}

// Reset implements state.Resetter: snapshots of earlier versions of the program do not contain the module.
func (m *Module) Reset() {
	m.orders, m.floor, m.byName, m.list = 0, 0, make(map[string]zone), &List{}
}
