// Package settings holds the replicated tree of settings: organisations, request classes, keys and routes.
//
// It is a deterministic state machine: commands change it, queries read it, and it does no input or output.
package settings

import "time"

// Class is the effective settings of one class of one organisation, after inheritance.
type Class struct {
	Organisation string // full path in the tree, such as "camurca/porto"
	Name         string

	Tier               int // 0 is the highest
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration
	Deadline           time.Duration // for the complete answer

	Weight     float64 // weight of the organisation in fair sharing
	FloorShare float64 // minimum share of request starts while requests of the class are queued, 0..1

	Repeatable  bool // may be sent again although an earlier attempt may have run
	Preemptible bool
	KeepAnswer  bool // the request continues after its caller disconnects; the answer can be fetched later
	Attempts    int  // upper bound on dispatches of one request

	Limits Limits
}

// Limits bound the requests of a class of an organisation. Zero means no limit.
type Limits struct {
	RequestsPerMinute int
	TokensPerMinute   int
	Concurrency       int
}

// Route maps a path prefix of the callers' API to a plain service.
type Route struct {
	Prefix     string // such as "/services/orders"
	Service    string // name that the service's backend servers announce
	Class      string // for requests that name no class
	Open       bool   // callers need no key
	Repeatable bool
}

// Key is the stored record of a caller's key. The key itself is shown once, at its creation, and never stored.
type Key struct {
	ID           string
	Organisation string
	Hash         [32]byte  // SHA-256 of the key
	Expires      time.Time // zero: never
	Withdrawn    bool
}
