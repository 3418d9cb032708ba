package settings

// ModuleName is the name of the settings in the replicated state machine.
const ModuleName = "settings"

// Op is the kind of a command.
type Op string

// The kinds of commands.
const (
	PutNode     Op = "put_node"     // Path, Node: replaces what the node sets, or adds the node
	PatchNode   Op = "patch_node"   // Path, Node: an RFC 7396 merge patch of what the node sets
	RemoveNode  Op = "remove_node"  // Path: a node without nodes below it; its keys are withdrawn
	PutDocument Op = "put_document" // Document: replaces the whole tree
	PutGlobals  Op = "put_globals"  // Globals: replaces routes, models, price ceilings and broadcasts
	CreateKey   Op = "create_key"   // Path, KeyID, KeyHash, ExpiresMS
	WithdrawKey Op = "withdraw_key" // KeyID
	ExpireKey   Op = "expire_key"   // KeyID, ExpiresMS
	RotateKey   Op = "rotate_key"   // KeyID, NewKeyID, KeyHash, ExpiresMS (of the old key: the overlap)
	Rollback    Op = "rollback"     // To: nodes and globals return to that version; keys stay as they are
)

// Command is one change of the settings.
type Command struct {
	Op       Op     `json:"op"`
	ChangeID string `json:"change_id,omitempty"` // the same id again returns the first outcome
	IfMatch  string `json:"if_match,omitempty"`  // version that the operator has read; empty: any

	Path      string `json:"path,omitempty"`     // of the organisation
	Node      string `json:"node,omitempty"`     // JSON with comments, as the operator wrote it
	Document  string `json:"document,omitempty"` // likewise
	Globals   string `json:"globals,omitempty"`  // likewise
	KeyID     string `json:"key_id,omitempty"`
	NewKeyID  string `json:"new_key_id,omitempty"`
	KeyHash   string `json:"key_hash,omitempty"` // SHA-256 in hexadecimal; the key itself never enters the log
	ExpiresMS int64  `json:"expires_ms,omitempty"`
	To        string `json:"to,omitempty"`
}

// Code is the reason why a command was refused.
type Code string

// The reasons for a refusal.
const (
	CodeConflict Code = "conflict"         // IfMatch is not the current version
	CodeInvalid  Code = "invalid"          // Problems holds the reasons
	CodeNotFound Code = "not_found"        // no such organisation, key or version
	CodeExists   Code = "exists"           // the key id or hash is taken
	CodeReused   Code = "change_id_reused" // the change id belongs to another change
)

// Outcome is the result of a command.
type Outcome struct {
	Accepted bool     `json:"accepted"`
	Version  Version  `json:"version"` // after the command; of a refusal: the current one
	Code     Code     `json:"code,omitempty"`
	Message  string   `json:"message,omitempty"`
	Problems Problems `json:"problems,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Version  Version `json:"version"`
	AtMS     int64   `json:"at_ms"` // milliseconds since 1970
	Actor    string  `json:"actor"`
	ChangeID string  `json:"change_id,omitempty"`
	Op       Op      `json:"op"`
	Path     string  `json:"path,omitempty"`
	KeyID    string  `json:"key_id,omitempty"`
	Before   *Delta  `json:"before,omitempty"` // what the change replaced; absent once it is too old to roll back to
}
