package duty

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/core/state"
)

// ModuleName is the name of the orders module in the replicated state machine.
const ModuleName = "duty"

// Retention limits.
const (
	keptOrders  = 1000 // settled orders
	keptChanges = 1000 // outcomes of settings changes
)

// Outcome codes of commands.
const (
	CodeOK          = "ok"
	CodeSuperseded  = "superseded"    // the fencing token is not the current one
	CodeDuplicate   = "duplicate"     // the id belongs to another order, or the server has an open stop order
	CodeUnknown     = "unknown_order" // no such order
	CodeConflict    = "conflict"      // the settings have another version
	CodeInvalid     = "invalid"       // the settings are inconsistent
	CodeChangeReuse = "change_reused" // the change id belongs to another change
)

// Command is the body of a state command of this module; exactly one field is set.
type Command struct {
	TakeOver *TakeOver `json:"take_over,omitempty"`
	Intend   *Intend   `json:"intend,omitempty"`
	Settle   *Settle   `json:"settle,omitempty"`
	Change   *Change   `json:"change,omitempty"`
}

// TakeOver issues a new fencing token, higher than every older one and than Above.
type TakeOver struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	Above  uint64 `json:"above,omitempty"` // highest token that the platform or an agent is known to have seen
}

// Intend commits an order before it is sent.
type Intend struct {
	Fencing uint64 `json:"fencing"`
	Order   Order  `json:"order"`
}

// Settle records the outcome of an order. The first outcome is final.
type Settle struct {
	Fencing uint64 `json:"fencing"`
	ID      string `json:"id"`
	Status  Status `json:"status"`
	Server  string `json:"server,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Change replaces the fleet settings.
type Change struct {
	ID         string         `json:"id"`                    // the same id again returns the first outcome
	IfMatch    uint64         `json:"if_version"`            // version that the change is based on
	AnyVersion bool           `json:"any_version,omitempty"` // apply regardless of the version
	Settings   fleet.Settings `json:"settings"`
}

// Result is the outcome of a command.
type Result struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"` // current token
	Version uint64 `json:"version,omitempty"` // current version of the settings
	Order   *Order `json:"order,omitempty"`
}

// changeOutcome is a settings change with its outcome, stored so that a resend returns the same outcome.
type changeOutcome struct {
	ID     string          `json:"id"`
	Change json.RawMessage `json:"change"`
	Result Result          `json:"result"`
}

// snapshot is the whole state of the module.
type snapshot struct {
	Fencing  uint64          `json:"fencing"`
	Holder   string          `json:"holder"`
	Term     uint64          `json:"term"`
	Orders   []Order         `json:"orders"` // ordered by intent
	Version  uint64          `json:"version"`
	Settings fleet.Settings  `json:"settings"`
	Changes  []changeOutcome `json:"changes"`
}

// Module is the orders and fleet settings module of the replicated state machine. It is not safe for concurrent use.
type Module struct {
	s snapshot
}

// NewModule returns a module without orders, with the default settings.
func NewModule() *Module { return &Module{} }

// Name implements state.Module.
func (m *Module) Name() string { return ModuleName }

// Apply implements state.Module.
func (m *Module) Apply(index uint64, cmd state.Command) (json.RawMessage, error) {
	var c Command
	if err := json.Unmarshal(cmd.Body, &c); err != nil {
		return nil, errors.NewNotValid(err, "duty command")
	}
	result, err := m.apply(index, cmd.AtMS, c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

func (m *Module) apply(index uint64, atMS int64, c Command) (Result, error) {
	switch {
	case c.TakeOver != nil:
		return m.takeOver(*c.TakeOver), nil
	case c.Intend != nil:
		return m.intend(index, atMS, *c.Intend), nil
	case c.Settle != nil:
		return m.settle(atMS, *c.Settle), nil
	case c.Change != nil:
		return m.change(*c.Change)
	default:
		return Result{}, errors.NotValidf("duty command without a body")
	}
}

func (m *Module) takeOver(c TakeOver) Result {
	m.s.Fencing = max(m.s.Fencing, c.Above) + 1
	m.s.Holder = c.Holder
	m.s.Term = c.Term
	return Result{Code: CodeOK, Fencing: m.s.Fencing}
}

func (m *Module) intend(index uint64, atMS int64, c Intend) Result {
	if c.Fencing != m.s.Fencing {
		return Result{Code: CodeSuperseded, Fencing: m.s.Fencing}
	}
	if i := m.orderIndex(c.Order.ID); i >= 0 {
		known := m.s.Orders[i]
		if !known.sameIntent(c.Order) {
			return Result{Code: CodeDuplicate, Message: "the id stands for another order"}
		}
		return Result{Code: CodeOK, Fencing: m.s.Fencing, Order: &known}
	}
	if c.Order.Kind == StopServer && m.hasOpenStop(c.Order.Server) {
		return Result{Code: CodeDuplicate, Message: "the server has an open stop order"}
	}
	order := c.Order
	order.Status = Intended
	order.Fencing = c.Fencing
	order.Index = index
	order.IntendedMS = atMS
	m.s.Orders = append(m.s.Orders, order)
	m.prune()
	return Result{Code: CodeOK, Fencing: m.s.Fencing, Order: &order}
}

func (m *Module) settle(atMS int64, c Settle) Result {
	if c.Fencing != m.s.Fencing {
		return Result{Code: CodeSuperseded, Fencing: m.s.Fencing}
	}
	i := m.orderIndex(c.ID)
	if i < 0 {
		return Result{Code: CodeUnknown}
	}
	order := &m.s.Orders[i]
	if order.Status == Intended {
		order.Status = c.Status
		order.Reason = c.Reason
		order.SettledMS = atMS
		if c.Server != "" {
			order.Server = c.Server
		}
	}
	settled := *order
	return Result{Code: CodeOK, Fencing: m.s.Fencing, Order: &settled}
}

func (m *Module) change(c Change) (Result, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	for _, known := range m.s.Changes {
		if known.ID != c.ID || c.ID == "" {
			continue
		}
		if string(known.Change) != string(body) {
			return Result{Code: CodeChangeReuse, Version: m.s.Version}, nil
		}
		return known.Result, nil
	}
	result := m.applyChange(c)
	if c.ID != "" {
		m.s.Changes = append(m.s.Changes, changeOutcome{ID: c.ID, Change: body, Result: result})
		m.s.Changes = m.s.Changes[max(0, len(m.s.Changes)-keptChanges):]
	}
	return result, nil
}

func (m *Module) applyChange(c Change) Result {
	if c.IfMatch != m.s.Version && !c.AnyVersion {
		return Result{Code: CodeConflict, Version: m.s.Version}
	}
	if err := c.Settings.Validate(); err != nil {
		return Result{Code: CodeInvalid, Message: err.Error(), Version: m.s.Version}
	}
	m.s.Settings = c.Settings
	m.s.Version++
	return Result{Code: CodeOK, Version: m.s.Version}
}

func (m *Module) orderIndex(id string) int {
	return slices.IndexFunc(m.s.Orders, func(o Order) bool { return o.ID == id })
}

func (m *Module) hasOpenStop(server string) bool {
	return slices.ContainsFunc(m.s.Orders, func(o Order) bool {
		return o.Kind == StopServer && o.Server == server && o.Status == Intended
	})
}

// prune deletes the oldest settled orders beyond keptOrders. Open orders are kept.
func (m *Module) prune() {
	settled := 0
	for _, o := range m.s.Orders {
		if o.Status != Intended {
			settled++
		}
	}
	surplus := settled - keptOrders
	m.s.Orders = slices.DeleteFunc(m.s.Orders, func(o Order) bool {
		if surplus <= 0 || o.Status == Intended {
			return false
		}
		surplus--
		return true
	})
}

// FencingToken returns the current fencing token, 0 before the first takeover, and its holder.
func (m *Module) FencingToken() (token uint64, holder string) { return m.s.Fencing, m.s.Holder }

// Orders returns the stored orders, oldest first.
func (m *Module) Orders() []Order { return slices.Clone(m.s.Orders) }

// Open returns the orders without a known outcome, oldest first.
func (m *Module) Open() []Order {
	return slices.DeleteFunc(m.Orders(), func(o Order) bool { return o.Status != Intended })
}

// Settings returns the fleet settings and their version.
func (m *Module) Settings() (fleet.Settings, uint64) { return m.s.Settings, m.s.Version }

// Snapshot implements state.Module.
func (m *Module) Snapshot() (json.RawMessage, error) { return json.Marshal(m.s) }

// Restore implements state.Module.
func (m *Module) Restore(data json.RawMessage) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.NewNotValid(err, "duty snapshot")
	}
	m.s = s
	return nil
}

// Encode returns the state command that carries c, for a proposal.
func Encode(c Command, actor string, atMS int64) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return json.Marshal(state.Command{Module: ModuleName, AtMS: atMS, Body: body, Actor: actor})
}
