package duty

// Kind is the kind of an order.
type Kind string

const (
	// StartServer requests a backend server from the platform.
	StartServer Kind = "start_server"
	// StopServer returns a backend server to the platform after its agent has drained.
	StopServer Kind = "stop_server"
	// LoadModel loads a model, or a version of it, into an engine.
	LoadModel Kind = "load_model"
	// UnloadModel removes a model, or a version of it, from an engine.
	UnloadModel Kind = "unload_model"
	// LoadAdapter loads an adapter into an engine.
	LoadAdapter Kind = "load_adapter"
	// SetRole changes the role of an engine.
	SetRole Kind = "set_role"
)

// ForEngine reports whether orders of this kind go to an engine through its agent.
func (k Kind) ForEngine() bool {
	return k != StartServer && k != StopServer
}

// Status is the state of an order.
type Status string

const (
	// Intended orders are committed and may have been sent; their outcome is unknown.
	Intended Status = "intended"
	// Done orders took effect.
	Done Status = "done"
	// Refused orders did not take effect and never will.
	Refused Status = "refused"
)

// Order is one replicated intent with its outcome.
type Order struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Server  string `json:"server,omitempty"` // target of a stop or an engine order; result of a start

	Status     Status `json:"status"`
	Reason     string `json:"reason,omitempty"` // of a refusal
	Fencing    uint64 `json:"fencing"`          // token under which the intent was committed
	Index      uint64 `json:"index"`            // log index of the intent
	IntendedMS int64  `json:"intended_ms"`      // wall clock of the proposer, for records only
	SettledMS  int64  `json:"settled_ms,omitempty"`
}

// sameIntent reports whether o and p have the same id and request the same effect.
func (o Order) sameIntent(p Order) bool {
	return o.ID == p.ID && o.Kind == p.Kind && o.Model == p.Model && o.Version == p.Version &&
		o.Adapter == p.Adapter && o.Role == p.Role && o.Zone == p.Zone && (o.Server == p.Server || o.Kind == StartServer)
}
