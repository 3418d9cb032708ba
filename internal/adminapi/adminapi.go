// Package adminapi defines the messages of the operators' HTTP API, which its server and its client share.
package adminapi

import (
	"github.com/guavastack/guavastack/internal/core/fleet"
	"github.com/guavastack/guavastack/internal/core/settings"
)

// Headers of the API.
const (
	HeaderChangeID = "Idempotency-Key" // a change resent under the same id gets the first outcome
	HeaderIfMatch  = "If-Match"        // version that the change is based on, or * for any
	HeaderVersion  = "ETag"            // current version
)

// Error codes in addition to those of settings.Code.
const (
	CodeUnauthorized = "unauthorized"
	CodeForbidden    = "forbidden"
	CodeBadRequest   = "bad_request"
	CodeNeedsVersion = "if_match_required"
	CodeUnavailable  = "unavailable"     // the request failed; a change was not made and won't be made later
	CodeUnknown      = "unknown_outcome" // the change may have been made; send it again under the same id
	CodeNotServed    = "not_served"      // this member can't serve the request, the leader can
)

// Error is the body of an error response.
type Error struct {
	Code     string            `json:"code"`
	Message  string            `json:"message"`
	Verdict  string            `json:"verdict"`           // not_run or may_have_run
	Version  string            `json:"version,omitempty"` // current version, with a conflict
	Problems settings.Problems `json:"problems,omitempty"`
}

// Change is the response to an accepted change.
type Change struct {
	Version  string   `json:"version"`
	ChangeID string   `json:"change_id"`
	InForce  bool     `json:"in_force"`         // in every process
	Behind   []string `json:"behind,omitempty"` // ids of processes in which it isn't in force yet
}

// Settings is the subtree of one node.
type Settings struct {
	Version   string            `json:"version"`
	Confirmed bool              `json:"confirmed"` // a quorum confirmed that the version is the newest
	Path      string            `json:"path"`
	Root      settings.Branch   `json:"root"`
	Globals   *settings.Globals `json:"globals,omitempty"` // only with the whole tree
}

// Globals are the settings that belong to no organisation, with the version of the tree.
type Globals struct {
	Version string `json:"version"`
	settings.Globals
}

// FleetSettings are the fleet settings. Their version is independent of the tree's.
type FleetSettings struct {
	Version  string         `json:"version"`
	Settings fleet.Settings `json:"settings"`
}

// HistoryChange is one accepted change.
type HistoryChange struct {
	Version      string      `json:"version"` // after the change
	AtMS         int64       `json:"at_ms"`   // milliseconds since 1970
	Operator     string      `json:"operator"`
	ChangeID     string      `json:"change_id,omitempty"`
	Op           settings.Op `json:"op"`
	Organisation string      `json:"organisation,omitempty"`
	KeyID        string      `json:"key_id,omitempty"`
}

// History is a list of changes, newest first.
type History struct {
	Version string          `json:"version"`
	Changes []HistoryChange `json:"changes"`
}

// Explanation lists the origins of the effective values of a class.
type Explanation struct {
	Version      string            `json:"version"`
	Organisation string            `json:"organisation"`
	Class        string            `json:"class"`
	Origins      []settings.Origin `json:"origins"`
}

// Check is the result of validating a document.
type Check struct {
	Valid    bool              `json:"valid"`
	Problems settings.Problems `json:"problems,omitempty"`
}

// Rollback is a request to return to an earlier version.
type Rollback struct {
	To string `json:"to"`
}

// Organisation is the summary of a node of the tree.
type Organisation struct {
	Path    string   `json:"path"`
	Classes []string `json:"classes"` // highest tier first
	Keys    int      `json:"keys"`    // not withdrawn
}

// Organisations is a list of nodes.
type Organisations struct {
	Version       string         `json:"version"`
	Organisations []Organisation `json:"organisations"`
}

// Node is what one organisation sets itself.
type Node struct {
	Version string        `json:"version"`
	Path    string        `json:"path"`
	Node    settings.Node `json:"node"`
}

// Key describes a caller's key, without the key itself.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	ExpiresMS    int64  `json:"expires_ms,omitempty"` // milliseconds since 1970; 0: never
	Withdrawn    bool   `json:"withdrawn,omitempty"`
}

// Keys is a list of keys, oldest first.
type Keys struct {
	Version string `json:"version"`
	Keys    []Key  `json:"keys"`
}

// NewKey is a request to create a key.
type NewKey struct {
	ExpiresIn settings.Duration `json:"expires_in,omitempty"` // such as "720h"; 0: never
}

// RotateKey is a request to replace a key by a new one.
type RotateKey struct {
	Overlap settings.Duration `json:"overlap,omitempty"` // time for which the old key stays valid
}

// ExpireKey is a request to set the expiry of a key.
type ExpireKey struct {
	ExpiresMS int64 `json:"expires_ms"`
}

// CreatedKey is the response to the creation or rotation of a key. No other response contains the key itself.
type CreatedKey struct {
	Change
	Key
	Secret string `json:"key"`
}

// Process is a process that watches the settings.
type Process struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Version string `json:"version"` // in force in the process
	AgeMS   int64  `json:"age_ms"`  // since its last report
	Behind  bool   `json:"behind"`
}

// Status is the state of the system as known to one member.
type Status struct {
	Member    string    `json:"member"`
	Leader    string    `json:"leader"` // empty: unknown
	Version   string    `json:"version"`
	Confirmed bool      `json:"confirmed"`       // a quorum confirmed that the version is the newest
	Requested string    `json:"asked,omitempty"` // version in the request; empty: none
	InForce   bool      `json:"in_force"`        // whether Requested, or Version if Requested is empty, is in force in every process
	Behind    []string  `json:"behind,omitempty"`
	Processes []Process `json:"processes"`
	Replica   any       `json:"replica,omitempty"`
	Group     *Group    `json:"group,omitempty"`

	Drains []ZoneDrain `json:"drains,omitempty"` // of availability zones, in force; with Confirmed, all that were acknowledged before
}

// ZoneDrain is the drain of an availability zone, whose servers get no new work.
type ZoneDrain struct {
	Zone      string `json:"zone"`
	SinceMS   int64  `json:"since_ms"`   // milliseconds since 1970
	OrderedBy string `json:"ordered_by"` // address of the caller
}

// Group tells how many losses the control group tolerates, as known to one member. The leader knows what the group waits for; another
// member doesn't know of announced members, nor which learners have caught up.
type Group struct {
	Voters          int      `json:"voters"`
	Reachable       int      `json:"reachable"`             // voters
	Unreachable     []string `json:"unreachable,omitempty"` // addresses of the other voters
	Quorum          int      `json:"quorum"`
	LossesTolerated int      `json:"losses_tolerated"` // below 0: number of voters missing to a quorum
	FaultTolerance  int      `json:"fault_tolerance"`  // losses that the group must tolerate
	BelowMS         int64    `json:"below_ms"`         // for how long it has tolerated fewer; 0: it does not
	WaitsFor        string   `json:"waits_for"`
}

// Backend is a registered backend server.
type Backend struct {
	ID             string   `json:"id"`
	Address        string   `json:"address"`
	Kind           string   `json:"kind"`
	Model          string   `json:"model"`
	Version        string   `json:"version,omitempty"`
	Adapters       []string `json:"adapters,omitempty"`
	Zone           string   `json:"zone"`
	Lifecycle      string   `json:"lifecycle"`
	Slots          uint32   `json:"slots"`
	Running        uint32   `json:"running"`
	Waiting        uint32   `json:"waiting"`
	FirstTokenMS   float64  `json:"first_token_ms"`
	BetweenTokenMS float64  `json:"between_token_ms"`
	Fencing        uint64   `json:"fencing"`
}

// Backends is a list of backend servers, sorted by id.
type Backends struct {
	Backends []Backend `json:"backends"`
}

// Member is one member of the control group.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address,omitempty"`
}
