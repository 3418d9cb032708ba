// Package state is the replicated state machine of the control group.
//
// It consists of modules, each of which handles the commands of one kind. The same commands in the same order give the
// same state and the same results on every replica.
package state

import (
	"encoding/json"
	"sort"

	"github.com/juju/errors"
)

// Command is one entry of the replicated log in its JSON form.
type Command struct {
	Module string          `json:"module"`          // name of the module that applies it
	AtMS   int64           `json:"at_ms"`           // wall clock of the proposer, milliseconds since 1970
	Body   json.RawMessage `json:"body"`            // the module's command in JSON
	Actor  string          `json:"actor,omitempty"` // requester, for the audit record
}

// Module applies the commands of one kind. Apply must be deterministic: no clock, no random numbers, no map order.
type Module interface {
	// Name is the value of Command.Module.
	Name() string
	// Apply executes one command and returns its outcome in JSON form. index is the log index.
	// A refusal is an outcome like any other; an error means that the command could not be decoded.
	Apply(index uint64, cmd Command) (json.RawMessage, error)
	// Snapshot returns the whole state of the module.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the state of the module.
	Restore(json.RawMessage) error
}

// Resetter is implemented by modules that were added to the state machine later: snapshots of earlier versions of the program lack them.
type Resetter interface {
	// Reset replaces the state of the module with the initial one.
	Reset()
}

// Machine dispatches commands to its modules.
type Machine struct {
	modules map[string]Module
	applied uint64
}

// New returns a machine of the given modules. Two modules of one name are an error.
func New(modules ...Module) (*Machine, error) {
	m := &Machine{modules: make(map[string]Module)}
	for _, mod := range modules {
		if _, ok := m.modules[mod.Name()]; ok {
			return nil, errors.AlreadyExistsf("state module %q", mod.Name())
		}
		m.modules[mod.Name()] = mod
	}
	return m, nil
}

// Applied returns the index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// Apply executes the command in data, the JSON form of Command.
func (m *Machine) Apply(index uint64, data []byte) (json.RawMessage, error) {
	m.applied = index
	var cmd Command
	if err := json.Unmarshal(data, &cmd); err != nil {
		return nil, errors.NewNotValid(err, "command")
	}
	mod, ok := m.modules[cmd.Module]
	if !ok {
		return nil, errors.NotFoundf("state module %q", cmd.Module)
	}
	return mod.Apply(index, cmd)
}

// snapshot is the JSON form of a Machine.
type snapshot struct {
	Applied uint64                     `json:"applied"`
	Modules map[string]json.RawMessage `json:"modules"`
}

// Snapshot returns the state of all modules.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Applied: m.applied, Modules: make(map[string]json.RawMessage)}
	for name, mod := range m.modules {
		data, err := mod.Snapshot()
		if err != nil {
			return nil, errors.Annotatef(err, "snapshot of %q", name)
		}
		s.Modules[name] = data
	}
	return json.Marshal(s)
}

// Restore replaces the state of all modules. A module that the snapshot lacks is reset if it is a Resetter, otherwise it is an error.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.NewNotValid(err, "snapshot")
	}
	names := make([]string, 0, len(m.modules))
	for name := range m.modules {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		part, ok := s.Modules[name]
		if r, isResetter := m.modules[name].(Resetter); !ok && isResetter {
			r.Reset()
			continue
		}
		if !ok {
			return errors.NotFoundf("module %q in the snapshot", name)
		}
		if err := m.modules[name].Restore(part); err != nil {
			return errors.Annotatef(err, "restore of %q", name)
		}
	}
	m.applied = s.Applied
	return nil
}

// RewriteModule returns the snapshot data with the state of one module replaced by the result of rewrite.
func RewriteModule(data []byte, module string, rewrite func(json.RawMessage) (json.RawMessage, error)) ([]byte, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.NewNotValid(err, "snapshot")
	}
	part, ok := s.Modules[module]
	if !ok {
		return nil, errors.NotFoundf("module %q in the snapshot", module)
	}
	part, err := rewrite(part)
	if err != nil {
		return nil, errors.Annotatef(err, "module %q", module)
	}
	s.Modules[module] = part
	return json.Marshal(s)
}
