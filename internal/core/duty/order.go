package duty

// Kind says what an order asks for.
type Kind string

const (
	// StartServer orders a backend server from the platform.
	StartServer Kind = "start_server"
	// StopServer gives a backend server back to the platform, once its agent has drained.
	StopServer Kind = "stop_server"
	// LoadModel orders a model or a version of it into an engine.
	LoadModel Kind = "load_model"
	// UnloadModel removes a model or a version from an engine.
	UnloadModel Kind = "unload_model"
	// LoadAdapter orders an adapter into an engine.
	LoadAdapter Kind = "load_adapter"
	// SetRole changes the role of an engine.
	SetRole Kind = "set_role"
)

// ForEngine reports whether orders of this kind go to an engine through its agent.
func (k Kind) ForEngine() bool {
	return k != StartServer && k != StopServer
}

// Status is what is known of an order.
type Status string

const (
	// Intended orders are committed and may have been sent; their outcome is not known.
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
	Server  string `json:"server,omitempty"` // target of a stop or an engine order; outcome of a start

	Status     Status `json:"status"`
	Reason     string `json:"reason,omitempty"` // of a refusal
	Fencing    uint64 `json:"fencing"`          // number under which the intent was committed
	Index      uint64 `json:"index"`            // log index of the intent
	IntendedMS int64  `json:"intended_ms"`      // wall clock of the proposer, for records only
	SettledMS  int64  `json:"settled_ms,omitempty"`
}

// sameIntent reports whether two orders ask for the same.
func (o Order) sameIntent(p Order) bool {
	return o.ID == p.ID && o.Kind == p.Kind && o.Model == p.Model && o.Version == p.Version &&
		o.Adapter == p.Adapter && o.Role == p.Role && o.Zone == p.Zone && (o.Server == p.Server || o.Kind == StartServer)
}
