// Package settings holds the replicated tree of settings: organisations, request classes, keys and routes.
//
// It decides only: it takes commands and answers questions, and does no input or output.
package settings

import "time"

// Class is the effective settings of one class of one organisation, after inheritance.
type Class struct {
	Organisation string // full path in the tree, such as "camurca/porto"
	Name         string

	Tier               int // 0 is the highest
	FirstTokenTarget   time.Duration
	BetweenTokenTarget time.Duration
	Deadline           time.Duration // for the whole answer

	Weight     float64 // of the organisation in the fair share
	FloorShare float64 // least share of starts while the class has waiting work, 0..1

	Repeatable  bool // may be sent again after it may have run
	Preemptible bool
	KeepAnswer  bool // goes on without its caller; the answer can be fetched later
	Attempts    int  // upper bound on dispatches of one request

	Limits Limits
}

// Limits bound what a class of an organisation may ask for. Zero means no limit.
type Limits struct {
	RequestsPerMinute int
	TokensPerMinute   int
	Concurrency       int
}

// Route maps a path prefix of the callers' API to a plain service.
type Route struct {
	Prefix     string // such as "/services/orders"
	Service    string // name that the service's backend servers announce
	Class      string // used where the caller names none
	Open       bool   // callers need no key
	Repeatable bool
}

// Key is what is stored of a caller's key; the key itself is shown once and never stored.
type Key struct {
	ID           string
	Organisation string
	Hash         [32]byte // SHA-256 of the key
	Expires      time.Time
	Withdrawn    bool
}
